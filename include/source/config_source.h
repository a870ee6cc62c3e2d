#ifndef TREFOILHILL_SOURCE_CONFIG_SOURCE_H
#define TREFOILHILL_SOURCE_CONFIG_SOURCE_H

#include <glib.h>
#include <stdint.h>

#include "common/str.h"
#include "config/snapshot.h"
#include "mesh/mesh.h"

/*
 * Read-only access to the platform: reads and long polls. Responses are
 * delivered on the source's own thread.
 */
struct config_source;

struct config_response {
	enum platform_request request;
	enum {
		CONFIG_RESPONSE_CHANGES,
		CONFIG_RESPONSE_RECORDS,
		CONFIG_RESPONSE_HOSTS,
		CONFIG_RESPONSE_COMPACTED,
		CONFIG_RESPONSE_FAILED,
	} kind;
	GPtrArray *publications; /* CHANGES */
	/* CHANGES, RECORDS: their revision; COMPACTED: the oldest kept one */
	uint64_t head;
	struct raw_record *records;
	size_t record_count;
	struct mesh_host_entry *hosts;
	size_t host_count;
	GError *error; /* FAILED */
};

struct config_source_ops {
	void (*request)(struct config_source *, enum platform_request request,
	    uint64_t after);
	void (*cancel)(struct config_source *, enum platform_request request);
	void (*free)(struct config_source *);
};
struct config_source {
	const struct config_source_ops *ops;
};

struct http_config_source_settings {
	struct str url; /* http://IP:PORT */
	struct str node;
	uint32_t timeout_ms;
	uint32_t watch_ms;
	/* Takes ownership of the response; runs on the source's thread. */
	void (*handle_response)(void *arg, struct config_response *response);
	void *arg;
};

struct config_source *http_config_source_new(
    const struct http_config_source_settings *settings, GError **error);
void config_source_request(struct config_source *source,
    enum platform_request request, uint64_t after);
void config_source_cancel(
    struct config_source *source, enum platform_request request);
void config_source_free(struct config_source *source);
void config_response_free(struct config_response *response);

#endif
