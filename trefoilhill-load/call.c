#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "trefoilhill-load/call.h"
#include "trefoilhill-load/request_kind.h"

enum {
	HEADER_MAX = 256,
	URL_MAX = 1024,
	TIMEOUT_GRACE_MS = 1000,
	HTTP_SUCCESS_MIN = 200,
	HTTP_SUCCESS_MAX = 299,
};

static const char post_body[] = "{\"items\":[1,2,3]}";

/*
 * Returns the value of a header line, to be freed with g_free, or NULL if the
 * header has another name.
 */
static char *
header_value(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	if (len <= name_len || line[name_len] != ':' ||
	    g_ascii_strncasecmp(line, name, name_len) != 0)
		return NULL;
	return g_strstrip(g_strndup(line + name_len + 1, len - name_len - 1));
}

static void
set_outcome(struct call *call, const char *value)
{
	call->has_outcome = true;
	if (g_str_equal(value, "not-run") || g_str_equal(value, "shed"))
		call->outcome = OUTCOME_NOT_RUN;
	else
		call->outcome = OUTCOME_UNKNOWN;
}

static size_t
handle_header(char *line, size_t size, size_t count, void *arg)
{
	struct call *call = arg;
	size_t len = size * count;
	char *value;

	if ((value = header_value(line, len, "X-Standin-Request")) != NULL) {
		call->has_mismatch |= !g_str_equal(value, call->id);
		g_free(value);
	}
	if ((value = header_value(line, len, "X-Standin-Outcome")) != NULL &&
	    !call->has_outcome)
		set_outcome(call, value);
	g_free(value);
	if ((value = header_value(line, len, "Trefoilhill-Outcome")) != NULL)
		set_outcome(call, value);
	g_free(value);
	return len;
}

static bool
is_success(CURL *easy)
{
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	return status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX;
}

static size_t
handle_body(char *bytes, size_t size, size_t count, void *arg)
{
	struct call *call = arg;
	size_t len = size * count;

	if (is_success(call->easy) && !call->has_mismatch)
		call->has_mismatch = !body_pattern_matches(
		    &call->expected, call->received_bytes, bytes, len);
	call->received_bytes += len;
	return len;
}

/*
 * Returns an idle call, to be freed with call_free.
 */
struct call *
call_new(void)
{
	struct call *call = g_new0(struct call, 1);
	CURL *easy = curl_easy_init();

	call->easy = easy;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	return call;
}

/*
 * Frees a call. NULL is allowed.
 */
void
call_free(struct call *call)
{
	if (call == NULL)
		return;
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_free(call);
}

static void add_header(struct call *call, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
add_header(struct call *call, const char *format, ...)
{
	char line[HEADER_MAX];
	va_list args;

	va_start(args, format);
	g_vsnprintf(line, sizeof(line), format, args);
	va_end(args);
	call->headers = curl_slist_append(call->headers, line);
}

static void
set_method(CURL *easy, const struct request_kind *kind)
{
	if (g_str_equal(kind->method, "GET")) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, post_body);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)strlen(post_body));
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, kind->method);
}

/*
 * Prepares a call for a request, so that it can be added to a multi handle.
 */
void
call_prepare(struct call *call, const struct load_options *options,
    const struct plan *plan, size_t index, struct timespec due)
{
	const struct planned_request *request = &plan->requests[index];
	const struct request_kind *kind = options->kinds->pdata[request->kind];
	const char *target =
	    load_options_targets(options)->pdata[request->target];
	uint32_t timeout_ms =
	    kind->timeout_ms > 0 ? kind->timeout_ms : options->timeout_ms;
	char url[URL_MAX];

	call->index = index;
	call->due = due;
	call->received_bytes = 0;
	call->has_mismatch = false;
	call->has_outcome = false;
	call->outcome = OUTCOME_ERROR;
	plan_request_id(plan, index, call->id);
	body_pattern_init(&call->expected, str_from(call->id), kind->size);
	g_snprintf(url, sizeof(url), "http://%s%s", target, kind->target);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	if (kind->authority[0] != '\0')
		add_header(call, "Host: %s", kind->authority);
	add_header(call, "Trefoilhill-Request: %s", call->id);
	add_header(call, "Trefoilhill-Timeout-Ms: %" PRIu32, timeout_ms);
	add_header(call, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
	    (long)timeout_ms + TIMEOUT_GRACE_MS);
	set_method(call->easy, kind);
}

/*
 * Returns the outcome of a call whose transfer ended with code.
 */
enum outcome
call_get_outcome(struct call *call, CURLcode code)
{
	if (is_success(call->easy) && !call->has_outcome) {
		if (call->has_mismatch)
			return OUTCOME_WRONG;
		if (code != CURLE_OK)
			return OUTCOME_CUT;
		return call->received_bytes == call->expected.size
		    ? OUTCOME_OK
		    : OUTCOME_WRONG;
	}
	if (code != CURLE_OK && !call->has_outcome)
		return OUTCOME_NO_ANSWER;
	return call->outcome;
}
