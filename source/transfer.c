#include <inttypes.h>

#include "source/error.h"
#include "source/transfer.h"

enum {
	BODY_MAX_BYTES = 8 * 1024 * 1024,
	PAGE_MAX_RECORDS = 5000,
	RESTARTS_MAX = 3,
	STATUS_OK = 200,
	STATUS_GONE = 410,
};

/*
 * Initialize a transfer that is not open.
 */
void
transfer_init(struct transfer *transfer, enum platform_request request)
{
	*transfer = (struct transfer){ .request = request };
	transfer->body = g_byte_array_new();
}

static size_t
handle_body(char *bytes, size_t size, size_t count, void *arg)
{
	struct transfer *transfer = arg;

	if (transfer->body->len + size * count > BODY_MAX_BYTES) {
		transfer->too_large = true;
		return 0;
	}
	g_byte_array_append(
	    transfer->body, (const guint8 *)bytes, (guint)(size * count));
	return size * count;
}

/*
 * Return the URL of the next page of records.
 */
static char *
records_url(const struct transfer *transfer, struct str base)
{
	const struct record_pages *pages = transfer->pages;
	char *key;
	char *url;

	if (pages->next == NULL)
		return g_strdup_printf("%.*s/v1/records?limit=%d",
		    STR_ARG(base), PAGE_MAX_RECORDS);
	key = g_uri_escape_string(pages->next, NULL, FALSE);
	url = g_strdup_printf("%.*s/v1/records?limit=%d&after=%s&at=%" PRIu64,
	    STR_ARG(base), PAGE_MAX_RECORDS, key, pages->revision);
	g_free(key);
	return url;
}

static char *
transfer_url(const struct transfer *transfer,
    const struct http_config_source_settings *settings, uint64_t after)
{
	struct str base = settings->url;

	switch (transfer->request) {
	case PLATFORM_READ_CHANGES:
		return g_strdup_printf(
		    "%.*s/v1/changes?after=%" PRIu64, STR_ARG(base), after);
	case PLATFORM_WATCH_CHANGES:
		return g_strdup_printf("%.*s/v1/changes?after=%" PRIu64
				       "&wait_ms=%" PRIu32,
		    STR_ARG(base), after, settings->watch_ms);
	case PLATFORM_READ_RECORDS:
		return records_url(transfer, base);
	case PLATFORM_READ_HOSTS:
		break;
	}
	return g_strdup_printf("%.*s/v1/hosts", STR_ARG(base));
}

/*
 * Open a transfer, or request its next page. Proxy settings of the environment
 * are ignored and only plain HTTP is allowed. The headers are borrowed until
 * the transfer is closed.
 */
void
transfer_open(struct transfer *transfer,
    const struct http_config_source_settings *settings,
    struct curl_slist *headers, uint64_t after)
{
	long timeout_ms = (long)settings->timeout_ms;
	char *url;

	if (transfer->request == PLATFORM_READ_RECORDS &&
	    transfer->pages == NULL)
		transfer->pages = record_pages_new();
	if (transfer->request == PLATFORM_WATCH_CHANGES)
		timeout_ms += (long)settings->watch_ms;
	g_byte_array_set_size(transfer->body, 0);
	transfer->too_large = false;
	url = transfer_url(transfer, settings, after);
	transfer->easy = curl_easy_init();
	curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
	curl_easy_setopt(transfer->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(transfer->easy, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)settings->timeout_ms);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(transfer->easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
	g_free(url);
}

/*
 * Close a transfer and free what it has read. It may be opened again.
 */
void
transfer_close(struct transfer *transfer)
{
	if (transfer->easy != NULL)
		curl_easy_cleanup(transfer->easy);
	transfer->easy = NULL;
	record_pages_free(transfer->pages);
	transfer->pages = NULL;
	transfer->restarts = 0;
	/* Truncating to size 0 would keep the largest response's memory. */
	g_byte_array_unref(transfer->body);
	transfer->body = g_byte_array_new();
}

/* Status 410 means compaction for records and changes, but not for hosts. */
static bool
is_compacted(const struct transfer *transfer, long status)
{
	return status == STATUS_GONE &&
	    transfer->request != PLATFORM_READ_HOSTS;
}

/*
 * Return the error of a transfer that brought no usable response, or NULL.
 */
static GError *
transfer_error(const struct transfer *transfer, CURLcode code, long status)
{
	enum platform_error kind = PLATFORM_ERROR_UNREACHABLE;

	if (transfer->too_large)
		return g_error_new(PLATFORM_ERROR, PLATFORM_ERROR_TOO_LARGE,
		    "response exceeds %d bytes", BODY_MAX_BYTES);
	if (code == CURLE_OPERATION_TIMEDOUT)
		kind = PLATFORM_ERROR_TIMEOUT;
	if (code != CURLE_OK)
		return g_error_new_literal(
		    PLATFORM_ERROR, (int)kind, curl_easy_strerror(code));
	if (status != STATUS_OK && !is_compacted(transfer, status))
		return g_error_new(PLATFORM_ERROR, PLATFORM_ERROR_STATUS,
		    "HTTP status %ld", status);
	return NULL;
}

/*
 * Restart a read of records whose revision the platform no longer has.
 */
static enum transfer_status
transfer_restart_records(
    struct transfer *transfer, struct config_response **response)
{
	if (transfer->restarts >= RESTARTS_MAX) {
		*response = config_response_failed(transfer->request,
		    g_error_new(PLATFORM_ERROR, PLATFORM_ERROR_RESPONSE,
			"the records changed during each of %d reads",
			RESTARTS_MAX + 1));
		return TRANSFER_DONE;
	}
	transfer->restarts++;
	record_pages_free(transfer->pages);
	transfer->pages = NULL;
	return TRANSFER_CONTINUE;
}

static enum transfer_status
transfer_finish_records(struct transfer *transfer, long status, struct str body,
    struct config_response **response)
{
	GError *error = NULL;

	if (status == STATUS_GONE)
		return transfer_restart_records(transfer, response);
	if (!record_pages_parse(transfer->pages, body, &error)) {
		*response = config_response_failed(transfer->request, error);
		return TRANSFER_DONE;
	}
	if (transfer->pages->next != NULL)
		return TRANSFER_CONTINUE;
	*response = config_response_records(g_steal_pointer(&transfer->pages));
	return TRANSFER_DONE;
}

/*
 * Process a completed or failed HTTP request of a transfer. Unless another one
 * is needed (TRANSFER_CONTINUE), *response is set to a response that the
 * calling code owns.
 */
enum transfer_status
transfer_finish(
    struct transfer *transfer, CURLcode code, struct config_response **response)
{
	struct str body = str_make(transfer->body->data, transfer->body->len);
	long status = 0;
	GError *error;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(transfer->easy);
	transfer->easy = NULL;
	error = transfer_error(transfer, code, status);
	if (error != NULL) {
		*response = config_response_failed(transfer->request, error);
		return TRANSFER_DONE;
	}
	if (body.len == 0)
		body = str_from("");
	if (transfer->request == PLATFORM_READ_RECORDS)
		return transfer_finish_records(
		    transfer, status, body, response);
	if (is_compacted(transfer, status))
		*response = config_response_compacted(transfer->request, body);
	else if (transfer->request == PLATFORM_READ_HOSTS)
		*response = config_response_hosts(body);
	else
		*response = config_response_changes(transfer->request, body);
	return TRANSFER_DONE;
}
