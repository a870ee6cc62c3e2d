#include <pthread.h>

#include "source/error.h"
#include "source/transfer.h"

enum {
	REQUEST_KINDS = PLATFORM_READ_HOSTS + 1,
	POLL_TIMEOUT_MS = 1000,
};

/* Command of the owner for one kind of request. */
enum command {
	COMMAND_NONE,
	COMMAND_OPEN,
	COMMAND_CANCEL,
};

struct http_config_source {
	struct config_source base;
	struct http_config_source_settings settings;
	struct curl_slist *headers;
	CURLM *multi;
	pthread_t thread;

	pthread_mutex_t lock;
	enum command commands[REQUEST_KINDS];
	uint64_t after[REQUEST_KINDS];
	bool stopping;

	/* only accessed by the thread */
	struct transfer transfers[REQUEST_KINDS];
};

static void
source_start_transfer(struct http_config_source *source,
    struct transfer *transfer, uint64_t after)
{
	transfer_open(transfer, &source->settings, source->headers, after);
	curl_multi_add_handle(source->multi, transfer->easy);
}

static void
source_stop_transfer(
    struct http_config_source *source, struct transfer *transfer)
{
	if (transfer->easy != NULL)
		curl_multi_remove_handle(source->multi, transfer->easy);
	transfer_close(transfer);
}

/*
 * Execute the commands posted since the last call; false if the thread is to
 * stop.
 */
static bool
source_execute_commands(struct http_config_source *source)
{
	enum command commands[REQUEST_KINDS];
	uint64_t after[REQUEST_KINDS];
	bool stopping;

	pthread_mutex_lock(&source->lock);
	for (size_t i = 0; i < REQUEST_KINDS; i++) {
		commands[i] = source->commands[i];
		after[i] = source->after[i];
		source->commands[i] = COMMAND_NONE;
	}
	stopping = source->stopping;
	pthread_mutex_unlock(&source->lock);
	for (size_t i = 0; i < REQUEST_KINDS; i++) {
		struct transfer *transfer = &source->transfers[i];

		if (commands[i] != COMMAND_NONE || stopping)
			source_stop_transfer(source, transfer);
		if (commands[i] == COMMAND_OPEN && !stopping)
			source_start_transfer(source, transfer, after[i]);
	}
	return !stopping;
}

/*
 * Pass the responses of all completed transfers to the handler.
 */
static void
source_process_completed(struct http_config_source *source)
{
	struct config_response *response;
	struct transfer *transfer;
	CURLMsg *message;
	CURLcode code;
	int left;

	while ((message = curl_multi_info_read(source->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		curl_multi_remove_handle(source->multi, message->easy_handle);
		if (transfer_finish(transfer, code, &response) ==
		    TRANSFER_CONTINUE) {
			source_start_transfer(source, transfer, 0);
			continue;
		}
		transfer_close(transfer);
		source->settings.handle_response(
		    source->settings.arg, response);
	}
}

static void *
source_run(void *arg)
{
	struct http_config_source *source = arg;
	int running;

	while (source_execute_commands(source)) {
		curl_multi_perform(source->multi, &running);
		source_process_completed(source);
		curl_multi_poll(source->multi, NULL, 0, POLL_TIMEOUT_MS, NULL);
	}
	return NULL;
}

static void
source_post_command(struct http_config_source *source,
    enum platform_request request, enum command command, uint64_t after)
{
	pthread_mutex_lock(&source->lock);
	source->commands[request] = command;
	source->after[request] = after;
	pthread_mutex_unlock(&source->lock);
	curl_multi_wakeup(source->multi);
}

static void
http_request(
    struct config_source *source, enum platform_request request, uint64_t after)
{
	source_post_command(
	    (struct http_config_source *)source, request, COMMAND_OPEN, after);
}

static void
http_cancel(struct config_source *source, enum platform_request request)
{
	source_post_command(
	    (struct http_config_source *)source, request, COMMAND_CANCEL, 0);
}

static void
source_destroy(struct http_config_source *source)
{
	for (size_t i = 0; i < REQUEST_KINDS; i++) {
		transfer_close(&source->transfers[i]);
		g_byte_array_unref(source->transfers[i].body);
	}
	if (source->multi != NULL)
		curl_multi_cleanup(source->multi);
	curl_slist_free_all(source->headers);
	str_release(&source->settings.url);
	str_release(&source->settings.node);
	pthread_mutex_destroy(&source->lock);
	g_free(source);
}

static void
http_free(struct config_source *base)
{
	struct http_config_source *source = (struct http_config_source *)base;

	pthread_mutex_lock(&source->lock);
	source->stopping = true;
	pthread_mutex_unlock(&source->lock);
	curl_multi_wakeup(source->multi);
	pthread_join(source->thread, NULL);
	source_destroy(source);
}

static const struct config_source_ops http_ops = {
	.request = http_request,
	.cancel = http_cancel,
	.free = http_free,
};

/*
 * Tell whether a URL has this part.
 */
static bool
url_has_part(CURLU *parts, CURLUPart part)
{
	char *text = NULL;
	bool present = curl_url_get(parts, part, &text, 0) == CURLUE_OK;

	curl_free(text);
	return present;
}

/*
 * Check that the URL is http://HOST[:PORT], without anything else.
 */
static bool
check_url(struct str url, GError **error)
{
	char *text = str_dup_cstr(url);
	CURLU *parts = curl_url();
	char *scheme = NULL;
	char *path = NULL;
	bool valid;

	valid = curl_url_set(parts, CURLUPART_URL, text, 0) == CURLUE_OK &&
	    curl_url_get(parts, CURLUPART_SCHEME, &scheme, 0) == CURLUE_OK &&
	    curl_url_get(parts, CURLUPART_PATH, &path, 0) == CURLUE_OK &&
	    g_str_equal(scheme, "http") && g_str_equal(path, "/") &&
	    !url_has_part(parts, CURLUPART_QUERY) &&
	    !url_has_part(parts, CURLUPART_FRAGMENT) &&
	    !url_has_part(parts, CURLUPART_USER) && url.ptr[url.len - 1] != '/';
	if (!valid)
		g_set_error(error, PLATFORM_ERROR, PLATFORM_ERROR_URL,
		    "%s is not http://IP:PORT", text);
	curl_free(scheme);
	curl_free(path);
	curl_url_cleanup(parts);
	g_free(text);
	return valid;
}

static struct http_config_source *
source_allocate(const struct http_config_source_settings *settings)
{
	struct http_config_source *source =
	    g_new0(struct http_config_source, 1);
	char *header;

	source->base.ops = &http_ops;
	source->settings = *settings;
	source->settings.url = str_dup(settings->url);
	source->settings.node = str_dup(settings->node);
	pthread_mutex_init(&source->lock, NULL);
	for (size_t i = 0; i < REQUEST_KINDS; i++)
		transfer_init(&source->transfers[i], (enum platform_request)i);
	header =
	    g_strdup_printf("Trefoilhill-Node: %.*s", STR_ARG(settings->node));
	source->headers = curl_slist_append(NULL, header);
	g_free(header);
	source->multi = curl_multi_init();
	return source;
}

/*
 * Return a source that reads the platform over HTTP. One thread runs all open
 * requests, at most one of each kind, and calls the handler; connections are
 * kept alive. The strings of the settings are copied. Returns NULL and sets a
 * PLATFORM_ERROR on failure.
 */
struct config_source *
http_config_source_new(
    const struct http_config_source_settings *settings, GError **error)
{
	struct http_config_source *source;

	if (!check_url(settings->url, error))
		return NULL;
	source = source_allocate(settings);
	if (source->multi == NULL ||
	    pthread_create(&source->thread, NULL, source_run, source) != 0) {
		g_set_error_literal(error, PLATFORM_ERROR,
		    PLATFORM_ERROR_UNREACHABLE, "cannot start the HTTP client");
		source_destroy(source);
		return NULL;
	}
	return &source->base;
}
