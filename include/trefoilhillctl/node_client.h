#ifndef TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H
#define TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* What one node answered, or why it did not. */
struct node_response {
	char *address; /* IP:PORT */
	GString *body;
	json_t *json;  /* NULL until parsed */
	GError *error; /* NULL when the node answered as it should */
};

/* One request to the operator listeners of some nodes. */
struct node_request {
	const GPtrArray *nodes; /* char *, IP:PORT */
	const char *target;     /* path and query */
	const char *body;       /* NULL: GET, else POST */
	uint32_t timeout_ms;    /* of each node */
};

/* Answers in the order of the nodes: struct node_response *. */
GPtrArray *node_client_query(const struct node_request *request);
/* As above, with the bodies parsed as JSON objects. */
GPtrArray *node_client_query_json(const struct node_request *request);
struct node_response *node_response_new(const char *address);
void node_response_free(struct node_response *response);
bool node_response_parse(struct node_response *response);

#endif
