#ifndef TREFOILHILL_CONFIG_SNAPSHOT_H
#define TREFOILHILL_CONFIG_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/publication.h"
#include "config/record.h"
#include "config/refusal.h"

struct snapshot;

/*
 * Identity of an accepted state. base is the revision of the raw read that
 * the state is derived from, 0 when every publication was seen. Of two states
 * of one version the one with the lower base wins, then the one with the lower
 * digest, so that all nodes converge on the same one.
 */
struct state_id {
	uint64_t version;
	uint64_t base;
	struct digest digest;
};

enum verdict_kind {
	VERDICT_ACCEPTED, /* the new snapshot contains the publication */
	VERDICT_REFUSED, /* the new snapshot has its version, not its content */
	VERDICT_IGNORED, /* not newer than the state: nothing changes */
	VERDICT_GAP,     /* newer than the next version: nothing changes */
};

/* Owns its members; freed by verdict_clear. */
struct verdict {
	enum verdict_kind kind;
	GPtrArray *refusals; /* struct refusal *; NULL when none */
};

struct service_view {
	struct record *service;
	struct record **upstreams; /* sorted by name */
	struct record **hosts;     /* hosts[i] runs upstreams[i] */
	size_t upstream_count;
};

struct snapshot *snapshot_empty_new(void);
struct snapshot *snapshot_ref(struct snapshot *snapshot);
void snapshot_unref(struct snapshot *snapshot);
struct state_id snapshot_id(const struct snapshot *snapshot);
int state_id_compare(struct state_id a, struct state_id b);

/*
 * A pure function of state and publication. Returns a new reference: to base
 * itself when the verdict changes nothing.
 */
struct snapshot *snapshot_apply(struct snapshot *base,
    const struct publication *publication, struct verdict *verdict);
void verdict_clear(struct verdict *verdict);

/*
 * One record of a full read of the platform, not yet validated; see
 * docs/DESIGN.md, "coalesced reads".
 */
struct raw_record {
	uint64_t revision;
	json_t *record;
};
struct snapshot *snapshot_from_raw(
    const struct raw_record *raw, size_t count, uint64_t revision);

/* Handover of an accepted state between nodes. */
GBytes *snapshot_serialize(const struct snapshot *snapshot);
struct snapshot *snapshot_deserialize(
    struct state_id expected, GBytes *bytes, GError **error);

/* Lookups; the results are valid as long as the snapshot. */
const struct record *snapshot_find(
    const struct snapshot *snapshot, enum record_kind kind, struct str name);
size_t snapshot_count(const struct snapshot *snapshot, enum record_kind kind);
struct record *const *snapshot_records(
    const struct snapshot *snapshot, enum record_kind kind, size_t *count);
const struct record *snapshot_match_route(
    const struct snapshot *snapshot, struct str authority, struct str path);
const struct service_view *snapshot_service(
    const struct snapshot *snapshot, struct str service);
bool snapshot_host_is_out(
    const struct snapshot *snapshot, const struct record *host);
/* Hosts of a zone, sorted by name. */
struct record *const *snapshot_zone_hosts(
    const struct snapshot *snapshot, struct str zone, size_t *count);

#endif
