#ifndef TREFOILHILL_TESTS_DAEMON_FIXTURE_H
#define TREFOILHILL_TESTS_DAEMON_FIXTURE_H

#include <civetweb.h>
#include <curl/curl.h>
#include <stdatomic.h>

#include "trefoilhilld/data_path.h"

enum {
	FIXTURE_NODES = 2,
};

/*
 * An HTTP server in place of an upstream. The path of a request selects the
 * behaviour.
 */
struct fake_upstream {
	struct mg_context *server;
	int port;
	atomic_uint runs;
	atomic_uint aborted_responses; /* responses whose client disconnected */
	atomic_size_t body_bytes;
	atomic_uint body_mismatches; /* unexpected bytes in request bodies */
};

/* A node without its control thread. */
struct node {
	char name[16];
	char node_address[32];
	char caller_address[32];
	struct transport *transport;
	struct live_config *live_config;
	struct guard *guard;
	struct chooser *chooser;
	struct retry_budget *retry_budget;
	struct data_path *path;
};

/* Two nodes in two zones, each with an upstream of the service "svc". */
struct fixture {
	struct fake_upstream upstreams[FIXTURE_NODES];
	struct node nodes[FIXTURE_NODES];
};

/*
 * services is a bit mask of the upstreams that the service has: 1, 2 or both.
 */
struct fixture *fixture_open(unsigned int services);
/* Runs in the background, because CivetWeb takes two seconds to stop. */
void fixture_close(struct fixture *fixture);
void fixtures_join(void);
void node_stop(struct node *node);

struct reply {
	CURLcode code;
	long status;
	char outcome[32];
	char retry_after[16];
	char error[512]; /* start of the body */
	size_t bytes;
	bool mismatch; /* the body differs from the pattern */
	double seconds;
};

struct caller_request {
	const char *method;
	const char *path;
	size_t upload; /* size of the request body in bytes */
	bool chunked;  /* send without a Content-Length */
	const char *headers[4];
};

void node_request(const struct node *node, const struct caller_request *request,
    struct reply *reply);
unsigned char pattern_byte(size_t offset);

#endif
