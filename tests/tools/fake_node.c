#include <string.h>

#include "fake_node.h"

enum {
	BODY_MAX = 1024 * 1024,
	NOT_FOUND = 404,
	US_PER_MS = 1000,
};

static char *
read_body(struct mg_connection *connection)
{
	GString *body = g_string_new(NULL);
	char chunk[4096];
	int got;

	while (body->len < BODY_MAX &&
	    (got = mg_read(connection, chunk, sizeof(chunk))) > 0)
		g_string_append_len(body, chunk, got);
	return g_string_free(body, FALSE);
}

static int
handle_request(struct mg_connection *connection, void *arg)
{
	struct fake_node *node = arg;
	const struct mg_request_info *info = mg_get_request_info(connection);
	const struct fake_response *response = node->responses;

	g_mutex_lock(&node->lock);
	g_free(node->last_query);
	g_free(node->last_body);
	node->last_query = g_strdup(info->query_string);
	node->last_body = read_body(connection);
	node->requests++;
	g_mutex_unlock(&node->lock);
	g_usleep((gulong)node->delay_ms * US_PER_MS);
	while (response->path != NULL &&
	    strcmp(response->path, info->local_uri) != 0)
		response++;
	if (response->path == NULL) {
		mg_send_http_error(connection, NOT_FOUND, "%s", "no such path");
		return NOT_FOUND;
	}
	mg_printf(connection,
	    "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
	    "Connection: close\r\n\r\n%s",
	    response->status, strlen(response->body), response->body);
	return response->status;
}

/*
 * Starts the server on a free port. The response table is borrowed. Aborts the
 * test program on failure.
 */
void
fake_node_start(struct fake_node *node, const struct fake_response *responses)
{
	const char *options[] = { "listening_ports", "127.0.0.1:0",
		"num_threads", "2", NULL };
	struct mg_server_port port = { 0 };

	*node = (struct fake_node){ .responses = responses };
	g_mutex_init(&node->lock);
	node->server = mg_start(NULL, NULL, options);
	if (node->server == NULL ||
	    mg_get_server_ports(node->server, 1, &port) != 1)
		g_error("fake node cannot listen on 127.0.0.1");
	g_snprintf(
	    node->address, sizeof(node->address), "127.0.0.1:%d", port.port);
	mg_set_request_handler(node->server, "/", handle_request, node);
}

/*
 * Clears the recorded requests and the response delay.
 */
void
fake_node_reset(struct fake_node *node)
{
	g_mutex_lock(&node->lock);
	g_clear_pointer(&node->last_query, g_free);
	g_clear_pointer(&node->last_body, g_free);
	node->requests = 0;
	node->delay_ms = 0;
	g_mutex_unlock(&node->lock);
}

/*
 * Stops the server and releases the memory held by the node.
 */
void
fake_node_stop(struct fake_node *node)
{
	mg_stop(node->server);
	g_mutex_clear(&node->lock);
	g_free(node->last_query);
	g_free(node->last_body);
}
