#ifndef TREFOILHILL_TESTS_TOOLS_FAKE_NODE_H
#define TREFOILHILL_TESTS_TOOLS_FAKE_NODE_H

#include <civetweb.h>
#include <glib.h>

enum {
	FAKE_ADDRESS_MAX = 32,
};

/* One path of a fake node and what it answers. */
struct fake_response {
	const char *path;
	int status;
	const char *body;
};

/* An operator listener on loopback that answers from a table. */
struct fake_node {
	struct mg_context *server;
	char address[FAKE_ADDRESS_MAX];
	const struct fake_response *responses; /* ends with a NULL path */
	int delay_ms;                          /* before each answer */
	GMutex lock;
	char *last_query;
	char *last_body;
	int requests;
};

void fake_node_start(
    struct fake_node *node, const struct fake_response *responses);
void fake_node_reset(struct fake_node *node);
void fake_node_stop(struct fake_node *node);

#endif
