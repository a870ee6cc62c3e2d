#include <inttypes.h>
#include <string.h>

#include "trefoilhilld/entry_request.h"
#include "trefoilhilld/header_filter.h"

enum {
	HEX_BASE = 16,
	REQUEST_ID_DIGITS = 16,
};

static bool
set_error(struct response_error *error, enum response_error_kind kind)
{
	memset(error, 0, sizeof(*error));
	error->kind = kind;
	error->not_run = true;
	return false;
}

static bool
is_graphic(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isgraph(s.ptr[i]))
			return false;
	return true;
}

static bool
has_no_line_break(struct str s)
{
	return s.len == 0 ||
	    (memchr(s.ptr, '\r', s.len) == NULL &&
		memchr(s.ptr, '\n', s.len) == NULL);
}

static bool
is_in_list(struct str s, const char *const *methods)
{
	for (; *methods != NULL; methods++)
		if (str_equal(s, str_from(*methods)))
			return true;
	return false;
}

/*
 * Tell whether a method is idempotent (RFC 9110, 9.2.2).
 */
static bool
is_idempotent(struct str method)
{
	static const char *const methods[] = { "GET", "HEAD", "OPTIONS", "PUT",
		"DELETE", NULL };

	return is_in_list(method, methods);
}

/*
 * Parse a decimal header value, limited to max. A missing header yields 0.
 */
static bool
read_number(struct entry_request *request, const char *name, uint64_t max,
    uint32_t *out)
{
	const char *text = mg_get_header(request->conn, name);
	char *end = NULL;
	uint64_t value;

	*out = 0;
	if (text == NULL)
		return true;
	if (!g_ascii_isdigit(text[0]))
		return false;
	value = g_ascii_strtoull(text, &end, 10);
	if (*end != '\0')
		return false;
	*out = (uint32_t)MIN(value, max);
	return true;
}

/*
 * Use the caller's request id or generate one.
 */
static bool
read_id(struct entry_request *request, struct rng *rng)
{
	struct str id =
	    str_from(mg_get_header(request->conn, "Trefoilhill-Request"));

	if (id.len == 0) {
		g_snprintf(request->id, sizeof(request->id), "%016" PRIx64,
		    rng_next(rng));
		return true;
	}
	if (id.len > CALL_REQUEST_MAX || !is_graphic(id))
		return false;
	memcpy(request->id, id.ptr, id.len);
	return true;
}

/*
 * Return the request id as a number for the event log: its value if it is
 * hexadecimal like the generated ones, otherwise 0.
 */
uint64_t
request_id_to_number(const char *id)
{
	char *end = NULL;
	uint64_t value = g_ascii_strtoull(id, &end, HEX_BASE);

	return *end == '\0' && strlen(id) <= REQUEST_ID_DIGITS ? value : 0;
}

/*
 * Require exactly one Host header (RFC 9112, 3.2). With two, this node and a
 * later hop could route the request differently.
 */
static bool
has_one_host(const struct entry_request *request)
{
	size_t count = 0;

	for (size_t i = 0; i < request->headers.count; i++)
		if (header_name_equal(
			request->headers.list[i].name, str_from("host")))
			count++;
	return count == 1;
}

static bool
read_headers(struct entry_request *request, struct response_error *error)
{
	const struct mg_request_info *info = request->info;
	size_t bytes = 0;

	if (info->num_headers > CALL_HEADERS_MAX)
		return set_error(error, RESPONSE_ERROR_TOO_LARGE);
	for (int i = 0; i < info->num_headers; i++) {
		struct call_header *header = &request->headers.list[i];

		header->name = str_from(info->http_headers[i].name);
		header->value = str_from(info->http_headers[i].value);
		bytes += header->name.len + header->value.len;
		if (header->name.len == 0 || !is_graphic(header->name) ||
		    !has_no_line_break(header->value))
			return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	}
	if (bytes > CALL_HEADER_BYTES_MAX)
		return set_error(error, RESPONSE_ERROR_TOO_LARGE);
	request->headers.count = (size_t)info->num_headers;
	if (!has_one_host(request))
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	header_remove_hop_by_hop(&request->headers);
	return true;
}

/*
 * Set path and target from the request line.
 */
static bool
read_target(struct entry_request *request, struct response_error *error)
{
	const struct mg_request_info *info = request->info;
	const char *query = info->query_string;

	request->path = str_from(info->local_uri_raw);
	if (request->path.len == 0 || request->path.ptr[0] != '/')
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	request->target = query == NULL
	    ? g_strdup(info->local_uri_raw)
	    : g_strconcat(info->local_uri_raw, "?", query, NULL);
	if (strlen(request->target) > CALL_TARGET_MAX)
		return set_error(error, RESPONSE_ERROR_TOO_LARGE);
	if (!is_graphic(str_from(request->target)))
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	return true;
}

/*
 * Determine whether there is a body and its length.
 */
static bool
read_framing(struct entry_request *request, struct response_error *error)
{
	const char *transfer_encoding =
	    mg_get_header(request->conn, "Transfer-Encoding");
	const char *length = mg_get_header(request->conn, "Content-Length");

	if (transfer_encoding != NULL && length != NULL)
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	if (transfer_encoding != NULL)
		request->length = CALL_LENGTH_UNKNOWN;
	else if (length != NULL && request->info->content_length > 0)
		request->length = (uint64_t)request->info->content_length;
	request->body_ended = request->length == 0;
	if (request->is_head && !request->body_ended)
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	return true;
}

static bool
read_method(struct entry_request *request, struct response_error *error)
{
	static const char *const unsupported[] = { "CONNECT", "TRACE", NULL };

	request->method = str_from(request->info->request_method);
	if (request->method.len > CALL_METHOD_MAX ||
	    is_in_list(request->method, unsupported))
		return set_error(error, RESPONSE_ERROR_METHOD);
	request->idempotent = is_idempotent(request->method);
	request->is_head = str_equal(request->method, str_from("HEAD"));
	if (g_strcmp0(request->info->http_version, "1.1") != 0)
		return set_error(error, RESPONSE_ERROR_HTTP_VERSION);
	return true;
}

/*
 * Parse and validate a request up to its body. Sizes of single parts are
 * limited here; CivetWeb limits the size of the whole head.
 */
bool
entry_request_parse(struct entry_request *request, struct mg_connection *conn,
    struct rng *rng, struct response_error *error)
{
	memset(request, 0, sizeof(*request));
	request->conn = conn;
	request->info = mg_get_request_info(conn);
	if (!read_id(request, rng)) {
		g_snprintf(request->id, sizeof(request->id), "%016" PRIx64,
		    rng_next(rng));
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	}
	request->key = str_from(mg_get_header(conn, "Idempotency-Key"));
	request->authority = str_from(mg_get_header(conn, "Host"));
	if (request->key.len > CALL_KEY_MAX || !has_no_line_break(request->key))
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	if (!read_number(request, "Trefoilhill-Timeout-Ms", CALL_TIMEOUT_MAX_MS,
		&request->timeout_ms) ||
	    !read_number(
		request, "Trefoilhill-Attempt", UINT16_MAX, &request->attempt))
		return set_error(error, RESPONSE_ERROR_BAD_REQUEST);
	return read_method(request, error) && read_target(request, error) &&
	    read_headers(request, error) && read_framing(request, error);
}

void
entry_request_clear(struct entry_request *request)
{
	g_free(request->target);
	if (request->first_chunk != NULL)
		g_bytes_unref(request->first_chunk);
}

/*
 * Read up to one chunk of the body. A shorter result means that the body has
 * ended or was truncated; body_ended distinguishes the two.
 */
static GBytes *
read_chunk(struct entry_request *request)
{
	char *chunk = g_malloc(CALL_CHUNK_BYTES);
	size_t len = 0;
	int read_len = 1;

	while (len < CALL_CHUNK_BYTES && read_len > 0) {
		read_len =
		    mg_read(request->conn, chunk + len, CALL_CHUNK_BYTES - len);
		len += (size_t)MAX(read_len, 0);
		if (request->length != CALL_LENGTH_UNKNOWN &&
		    request->body_read + len >= request->length)
			break;
	}
	request->body_read += len;
	if (request->length == CALL_LENGTH_UNKNOWN)
		request->body_ended = read_len == 0;
	else
		request->body_ended = request->body_read >= request->length;
	return g_bytes_new_take(chunk, len);
}

/*
 * See include/trefoilhilld/entry_request.h. A body of less than one chunk is
 * read completely, so that it can be sent again after a refusal.
 */
bool
entry_request_read_first_chunk(
    struct entry_request *request, struct response_error *error)
{
	if (request->body_ended)
		return true;
	request->first_chunk = read_chunk(request);
	if (!request->body_ended &&
	    g_bytes_get_size(request->first_chunk) < CALL_CHUNK_BYTES)
		return set_error(error, RESPONSE_ERROR_INCOMPLETE_BODY);
	if (request->body_ended)
		request->length = request->body_read;
	return true;
}

/*
 * See include/trefoilhilld/entry_request.h.
 */
GBytes *
entry_request_read_next_chunk(struct entry_request *request)
{
	GBytes *chunk = read_chunk(request);
	size_t len = g_bytes_get_size(chunk);

	if (len == CALL_CHUNK_BYTES || (request->body_ended && len > 0))
		return chunk;
	g_bytes_unref(chunk);
	return NULL;
}
