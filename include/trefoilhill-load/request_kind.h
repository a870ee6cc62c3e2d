#ifndef TREFOILHILL_LOAD_REQUEST_KIND_H
#define TREFOILHILL_LOAD_REQUEST_KIND_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A kind of request in the mix: METHOD,AUTHORITY,TARGET,WEIGHT[,TIMEOUT_MS]. */
struct request_kind {
	char *text; /* as given on the command line */
	char *method;
	char *authority; /* Host header, may be empty */
	char *target;    /* path and query */
	uint32_t weight;
	uint32_t timeout_ms; /* 0: use the timeout of the run */
	uint64_t size;       /* response bytes requested by the target */
	bool idempotent;
};

struct request_kind *request_kind_parse(const char *text, GError **error);
void request_kind_free(struct request_kind *kind);

#endif
