#ifndef TREFOILHILL_TESTS_CONFIG_FIXTURE_H
#define TREFOILHILL_TESTS_CONFIG_FIXTURE_H

#include "config/snapshot.h"

/* A small mesh of two zones, two hosts, one service and one route. */
extern const char *const small_mesh;

struct publication *publication_of(uint64_t version, const char *json);
/* Apply to *state and replace it. */
enum verdict_kind apply(struct snapshot **state, const char *json);
struct snapshot *small_mesh_new(void);
bool same_id(const struct snapshot *a, const struct snapshot *b);
/* Whether every reference and every view of the snapshot is right. */
bool is_whole(const struct snapshot *snapshot);

#endif
