#ifndef TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H
#define TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Response of one node, or the error of the request. */
struct node_response {
	char *address; /* IP:PORT */
	GString *body;
	json_t *json;  /* NULL until parsed */
	GError *error; /* NULL on success */
};

/* A request sent to the operator listener of each of several nodes. */
struct node_request {
	const GPtrArray *nodes; /* char *, IP:PORT */
	const char *target;     /* path and query */
	const char *body;       /* sent with POST; NULL sends a GET */
	uint32_t timeout_ms;    /* for each node */
};

/* Returns struct node_response *, in the order of request->nodes. */
GPtrArray *node_client_query(const struct node_request *request);
/* Like node_client_query, but also parses each body as a JSON object. */
GPtrArray *node_client_query_json(const struct node_request *request);
struct node_response *node_response_new(const char *address);
void node_response_free(struct node_response *response);
bool node_response_parse(struct node_response *response);

#endif
