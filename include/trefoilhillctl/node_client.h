#ifndef TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H
#define TREFOILHILL_TREFOILHILLCTL_NODE_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* What one node answered, or why it did not. */
struct node_answer {
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

/* Answers in the order of the nodes: struct node_answer *. */
GPtrArray *node_client_ask(const struct node_request *request);
/* As above, with the bodies parsed as JSON objects. */
GPtrArray *node_client_ask_json(const struct node_request *request);
struct node_answer *node_answer_new(const char *address);
void node_answer_free(struct node_answer *answer);
bool node_answer_parse(struct node_answer *answer);

#endif
