#ifndef TREFOILHILL_MESH_MESH_H
#define TREFOILHILL_MESH_MESH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/event.h"
#include "common/rng.h"
#include "common/str.h"
#include "config/publication.h"
#include "config/snapshot.h"

/*
 * Configuration dissemination and membership of one node, as a state machine
 * without I/O. It is owned by a single thread: the daemon's control thread, or
 * a test.
 */
struct mesh;
struct mesh_message; /* mesh/message.h */

/* Sends are best effort; the peer may be unreachable. */
struct mesh_transport;
struct mesh_transport_ops {
	/* address is the peer's node address, IP:PORT */
	void (*send)(struct mesh_transport *, struct str address,
	    const struct mesh_message *message);
};
struct mesh_transport {
	const struct mesh_transport_ops *ops;
};

/*
 * Requests to the platform. The result of each is reported later by one call of
 * mesh_handle_changes, _records, _hosts, _compacted or _platform_failed with
 * the same request. At most one request of each kind is pending at a time.
 */
enum platform_request {
	PLATFORM_READ_CHANGES,  /* responds at once */
	PLATFORM_WATCH_CHANGES, /* long poll */
	PLATFORM_READ_RECORDS,
	PLATFORM_READ_HOSTS,
};
struct mesh_platform;
struct mesh_platform_ops {
	void (*request)(struct mesh_platform *, enum platform_request request,
	    uint64_t after);
	void (*cancel)(struct mesh_platform *, enum platform_request request);
};
struct mesh_platform {
	const struct mesh_platform_ops *ops;
};

/* Receives each state that the node puts in force, in ascending order. */
struct mesh_observer;
struct mesh_observer_ops {
	void (*publish)(struct mesh_observer *, struct snapshot *snapshot);
};
struct mesh_observer {
	const struct mesh_observer_ops *ops;
};

struct mesh_host_entry {
	struct str name;
	struct str zone;
	struct str node;
	bool leaving;
};

enum spread_policy {
	SPREAD_TREE, /* one tree per version, repair by pulls */
	SPREAD_PUSH, /* push to random peers, repair by pulls */
	SPREAD_POLL, /* baseline: every node polls the platform */
};

struct mesh_settings {
	struct str host;
	struct str zone;
	struct str address;
	const struct str *seeds; /* node addresses to join through */
	size_t seed_count;
	enum spread_policy policy;
	uint32_t heartbeat_ms;
	uint32_t readers_per_zone;
	uint32_t fanout;
	uint64_t incarnation;
};

struct mesh_env {
	struct clock *clock;
	struct rng *rng;
	struct mesh_transport *transport;
	struct mesh_platform *platform;
	struct mesh_observer *observer;
	struct event_log *events; /* may be NULL */
};

enum mesh_state {
	MESH_JOINING, /* holds no state that it may serve */
	MESH_READY,
};

struct mesh *mesh_new(
    const struct mesh_settings *settings, const struct mesh_env *env);
void mesh_free(struct mesh *mesh);
/* Run all due work. Call it at least every MESH_TICK_MS. */
enum {
	MESH_TICK_MS = 20
};
void mesh_tick(struct mesh *mesh);
void mesh_handle_message(struct mesh *mesh, const struct mesh_message *message);
/* Count a frame that mesh_message_decode rejected. */
void mesh_handle_bad_frame(struct mesh *mesh, const GError *error);
void mesh_handle_changes(struct mesh *mesh, enum platform_request request,
    GPtrArray *publications, uint64_t head);
void mesh_handle_records(struct mesh *mesh, const struct raw_record *records,
    size_t count, uint64_t revision);
void mesh_handle_hosts(
    struct mesh *mesh, const struct mesh_host_entry *hosts, size_t count);
void mesh_handle_compacted(
    struct mesh *mesh, enum platform_request request, uint64_t oldest);
void mesh_handle_platform_failed(
    struct mesh *mesh, enum platform_request request);

enum mesh_state mesh_state(const struct mesh *mesh);
struct snapshot *mesh_snapshot(const struct mesh *mesh); /* borrowed */
bool mesh_is_reader(const struct mesh *mesh);
bool mesh_is_platform_up(const struct mesh *mesh);
const struct counter_set *mesh_counters(const struct mesh *mesh);

struct mesh_peer_view {
	struct str host;
	uint64_t version;
	int64_t age_ms;
};
size_t mesh_list_peers(
    const struct mesh *mesh, struct mesh_peer_view *out, size_t out_max);

#endif
