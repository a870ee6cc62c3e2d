#ifndef TREFOILHILL_TESTS_CONFIG_FIXTURE_H
#define TREFOILHILL_TESTS_CONFIG_FIXTURE_H

#include "config/snapshot.h"

/*
 * A publication of two zones, two hosts, one service with two upstreams, and
 * one route.
 */
extern const char *const sample_publication;

struct publication *publication_from_string(uint64_t version, const char *json);
/* Apply as the next version and replace *state by the result. */
enum verdict_kind apply_json(struct snapshot **state, const char *json);
struct snapshot *sample_snapshot_new(void);
bool has_same_id(const struct snapshot *a, const struct snapshot *b);
/* Whether all references, service views and the digest are consistent. */
bool snapshot_is_consistent(const struct snapshot *snapshot);

#endif
