#ifndef TREFOILHILL_CONFIG_RECORD_H
#define TREFOILHILL_CONFIG_RECORD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

enum record_kind {
	RECORD_ZONE,
	RECORD_HOST,
	RECORD_SERVICE,
	RECORD_UPSTREAM,
	RECORD_ROUTE,
	RECORD_KIND_COUNT,
};

struct zone_record {
	bool out;
	struct str region;
};

struct host_record {
	bool out;
	struct str zone;
	struct str node; /* IP:PORT */
};

struct service_record {
	uint32_t timeout_ms;
	uint32_t idempotent_retries;
};

struct upstream_record {
	struct str service;
	struct str host;
	struct str address; /* IP:PORT */
	uint32_t slots;
	uint32_t connections;
};

struct route_record {
	struct str service;
	struct str authority; /* empty: any */
	struct str prefix;    /* empty: any */
};

/* 128 bits, the low half first; see config/digest.c. */
struct digest {
	uint64_t low;
	uint64_t high;
};

/* Immutable, atomically reference-counted and shared between snapshots. */
struct record {
	int refs;
	enum record_kind kind;
	struct str name;
	uint64_t version; /* of the publication that set it */
	struct digest digest;
	union {
		struct zone_record zone;
		struct host_record host;
		struct service_record service;
		struct upstream_record upstream;
		struct route_record route;
	};
};

const char *record_kind_name(enum record_kind kind);
bool record_kind_parse(struct str name, enum record_kind *kind);
struct record *record_parse(
    const json_t *json, uint64_t version, GError **error);
void record_append_json(const struct record *record, GString *out);
json_t *record_to_json(const struct record *record);
struct record *record_ref(struct record *record);
void record_unref(struct record *record);

#endif
