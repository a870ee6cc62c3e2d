#ifndef TREFOILHILL_TESTS_TOOLS_FAKE_NODE_H
#define TREFOILHILL_TESTS_TOOLS_FAKE_NODE_H

#include <civetweb.h>
#include <glib.h>

enum {
	FAKE_ADDRESS_MAX = 32,
};

/* Response of a fake node to requests for one path. */
struct fake_response {
	const char *path;
	int status;
	const char *body;
};

/* An operator listener on loopback that responds from a table. */
struct fake_node {
	struct mg_context *server;
	char address[FAKE_ADDRESS_MAX];
	const struct fake_response *responses; /* terminated by a NULL path */
	int delay_ms;                          /* before each response */
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
