#include "trefoilhilld/upstream_client_state.h"

static void add_header(struct upstream_client *client, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
add_header(struct upstream_client *client, const char *format, ...)
{
	va_list args;
	char *line;

	va_start(args, format);
	line = g_strdup_vprintf(format, args);
	va_end(args);
	client->headers = curl_slist_append(client->headers, line);
	g_free(line);
}

/*
 * Set the headers of the request to the upstream. libcurl expects a header with
 * an empty value to be written with a semicolon.
 */
static void
set_headers(struct upstream_client *client, const struct call_open *open,
    int64_t remaining_ms)
{
	curl_slist_free_all(client->headers);
	client->headers = NULL;
	for (size_t i = 0; i < open->headers.count; i++) {
		struct str name = open->headers.list[i].name;
		struct str value = open->headers.list[i].value;

		if (value.len == 0)
			add_header(client, "%.*s;", STR_ARG(name));
		else
			add_header(client, "%.*s: %.*s", STR_ARG(name),
			    STR_ARG(value));
	}
	add_header(client, "Trefoilhill-Request: %.*s", STR_ARG(open->request));
	add_header(client, "Trefoilhill-Attempt: %u", open->retry);
	add_header(client, "Trefoilhill-Timeout-Ms: %" G_GINT64_FORMAT,
	    MAX(remaining_ms, 1));
	add_header(client, "Expect:");
	if (!open->end || open->length != 0)
		return;
	if (!str_equal(open->method, str_from("GET")) &&
	    !str_equal(open->method, str_from("HEAD")))
		add_header(client, "Content-Length: 0");
}

static void
set_body(struct upstream_client *client, const struct call_open *open)
{
	CURL *easy = client->easy;

	if (open->end && open->length == 0) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		if (str_equal(open->method, str_from("HEAD")))
			curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	/* -1 means unknown and replaces the length set for an earlier body. */
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
	    open->length == CALL_LENGTH_UNKNOWN ? (curl_off_t)-1
						: (curl_off_t)open->length);
}

/*
 * Configure libcurl for one request. All options that differ between requests
 * are set each time.
 */
void
upstream_request_set(struct upstream_client *client,
    const struct call_open *open, int64_t remaining_ms)
{
	CURL *easy = client->easy;

	g_free(client->target);
	g_free(client->method);
	client->target = str_dup_cstr(open->target);
	client->method = str_dup_cstr(open->method);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, client->target);
	set_body(client, open);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, client->method);
	set_headers(client, open, remaining_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, client->headers);
}
