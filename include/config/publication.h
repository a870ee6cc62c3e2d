#ifndef TREFOILHILL_CONFIG_PUBLICATION_H
#define TREFOILHILL_CONFIG_PUBLICATION_H

#include <glib.h>
#include <stdint.h>

/*
 * One publication as the platform holds it: immutable, reference-counted, not
 * yet parsed. Nodes forward the raw bytes, so that each reaches the verdict by
 * itself.
 */
struct publication {
	int refs;
	uint64_t version;
	GBytes *json;
};

struct publication *publication_new(uint64_t version, GBytes *json);
struct publication *publication_ref(struct publication *publication);
void publication_unref(struct publication *publication);

/* Parses the platform's response to /v1/changes: a list of publications. */
GPtrArray *publication_list_parse(
    const char *json, size_t len, uint64_t *head, GError **error);

#endif
