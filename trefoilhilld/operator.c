#include <civetweb.h>
#include <jansson.h>
#include <string.h>

#include "trefoilhilld/operator.h"

enum {
	BODY_MAX_BYTES = 2 * 1024 * 1024,
	QUERY_VALUE_MAX_BYTES = 4096,
	STATUS_OK = 200,
	STATUS_NOT_FOUND = 404,
	STATUS_METHOD_NOT_ALLOWED = 405,
	STATUS_TOO_LARGE = 413,
};

struct operator_listener {
	struct mg_context *server;
	struct node *node;
};

static const struct operator_endpoint endpoints[] = {
	{ "GET", "/v1/status", handle_status },
	{ "GET", "/v1/metrics", handle_metrics },
	{ "GET", "/v1/events", handle_events },
	{ "GET", "/v1/records", handle_records },
	{ "GET", "/v1/explain", handle_explain },
	{ "POST", "/v1/check", handle_check },
	{ "POST", "/v1/drain", handle_drain },
};

G_DEFINE_QUARK(trefoilhill - operator- error, operator_error)

/*
 * Append a JSON document (json_t) to the response body and set the content
 * type. Takes ownership of the reference to the document.
 */
void
operator_response_set_json(struct operator_response *response, void *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	response->content_type = "application/json";
	g_string_append(response->body, text);
	g_string_append_c(response->body, '\n');
	free(text);
	json_decref(json);
}

/*
 * Set the status and a JSON error body, which has an error type and a detail.
 */
void
operator_response_set_error(struct operator_response *response, int status,
    const char *type, const char *detail)
{
	response->status = status;
	operator_response_set_json(
	    response, json_pack("{s:s,s:s}", "error", type, "detail", detail));
}

/*
 * Return the decoded value of a query parameter, which the caller frees with
 * g_free. NULL when it is missing or does not fit into QUERY_VALUE_MAX_BYTES
 * with its terminating NUL.
 */
char *
operator_query_value(struct str query, const char *name)
{
	char value[QUERY_VALUE_MAX_BYTES];

	if (query.len == 0 ||
	    mg_get_var(query.ptr, query.len, name, value, sizeof(value)) < 0)
		return NULL;
	return g_strdup(value);
}

/* Read the whole body. False when it is larger than BODY_MAX_BYTES. */
static bool
body_read(struct mg_connection *connection, GString *body)
{
	char chunk[4096];
	int length;

	while ((length = mg_read(connection, chunk, sizeof(chunk))) > 0) {
		if (body->len + (size_t)length > BODY_MAX_BYTES)
			return false;
		g_string_append_len(body, chunk, length);
	}
	return true;
}

static const struct operator_endpoint *
endpoint_find(const struct mg_request_info *info, bool *path_known)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		if (strcmp(endpoints[i].path, info->local_uri) != 0)
			continue;
		*path_known = true;
		if (strcmp(endpoints[i].method, info->request_method) == 0)
			return &endpoints[i];
	}
	return NULL;
}

static void
response_send(
    struct mg_connection *connection, const struct operator_response *response)
{
	char length[24];

	g_snprintf(length, sizeof(length), "%zu", response->body->len);
	mg_response_header_start(connection, response->status);
	mg_response_header_add(
	    connection, "Content-Type", response->content_type, -1);
	mg_response_header_add(connection, "Content-Length", length, -1);
	mg_response_header_send(connection);
	mg_write(connection, response->body->str, response->body->len);
}

static int
handle_request(struct mg_connection *connection, void *arg)
{
	struct operator_listener *listener = arg;
	const struct mg_request_info *info = mg_get_request_info(connection);
	bool path_known = false;
	const struct operator_endpoint *endpoint =
	    endpoint_find(info, &path_known);
	GString *body = g_string_new(NULL);
	struct operator_response response = {
		.status = STATUS_OK,
		.content_type = "text/plain; charset=utf-8",
		.body = g_string_new(NULL),
	};

	if (!body_read(connection, body)) {
		operator_response_set_error(&response, STATUS_TOO_LARGE,
		    "too-large", "the body is over 2 MiB");
	} else if (endpoint != NULL) {
		struct operator_request request = {
			.node = listener->node,
			.query = str_from(info->query_string),
			.body = str_make(body->str, body->len),
		};

		endpoint->handle(&request, &response);
	} else if (path_known) {
		operator_response_set_error(&response,
		    STATUS_METHOD_NOT_ALLOWED, "method-not-allowed",
		    info->request_method);
	} else {
		operator_response_set_error(
		    &response, STATUS_NOT_FOUND, "not-found", info->local_uri);
	}
	response_send(connection, &response);
	g_string_free(body, TRUE);
	g_string_free(response.body, TRUE);
	return STATUS_OK;
}

/*
 * Start the listener on IP:PORT. The node is borrowed and must outlive the
 * listener. Returns NULL with error set when the address cannot be bound.
 */
struct operator_listener *
operator_listener_new(struct str address, struct node *node, GError **error)
{
	struct operator_listener *listener;
	char *port = str_dup_cstr(address);
	const char *options[] = {
		"listening_ports",
		port,
		"num_threads",
		"4",
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"5000",
		"request_timeout_ms",
		"5000",
		"tcp_nodelay",
		"1",
		NULL,
	};

	listener = g_new0(struct operator_listener, 1);
	listener->node = node;
	listener->server = mg_start(NULL, NULL, options);
	if (listener->server == NULL) {
		g_set_error(error, OPERATOR_ERROR, OPERATOR_ERROR_LISTEN,
		    "operator listener: cannot listen on %s", port);
		g_free(listener);
		listener = NULL;
		goto done;
	}
	mg_set_request_handler(listener->server, "/", handle_request, listener);
done:
	g_free(port);
	return listener;
}

/*
 * Stop listening and free the listener. NULL is allowed.
 */
void
operator_listener_free(struct operator_listener *listener)
{
	if (listener == NULL)
		return;
	mg_stop(listener->server);
	g_free(listener);
}
