#ifndef TREFOILHILL_TREFOILHILLD_CONTROL_H
#define TREFOILHILL_TREFOILHILLD_CONTROL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/event.h"
#include "config/live.h"
#include "mesh/mesh.h"
#include "route/choice.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/settings.h"
#include "wire/transport.h"

/*
 * The control thread of a node. It owns the mesh, passes received frames and
 * platform responses to it, and makes accepted snapshots the live
 * configuration.
 */
struct control;

enum {
	CONTROL_PEERS_MAX = 32,
	CONTROL_HOST_BYTES = 64, /* including the terminating NUL */
};

struct control_peer {
	char host[CONTROL_HOST_BYTES];
	uint64_t version;
	int64_t age_ms; /* since the peer was last heard from */
};

/* Copy of the state of the mesh, for the operator listener. */
struct control_status {
	enum mesh_state state;
	bool reader; /* this node reads the platform for its zone */
	bool platform_up;
	size_t peer_count;
	struct control_peer peers[CONTROL_PEERS_MAX];
};

/* All pointers are borrowed and must outlive the control thread. */
struct control_env {
	const struct settings *settings;
	struct clock *clock;
	struct transport *transport; /* must not be started yet */
	struct live_config *live_config;
	struct chooser *chooser;
	struct data_path *data_path;
	struct event_log *events;
	uint64_t incarnation;
};

struct control *control_new(const struct control_env *env, GError **error);
int control_start(struct control *control, GError **error);
void control_stop(struct control *control);
void control_free(struct control *control);
void control_status(struct control *control, struct control_status *out);
const struct counter_set *control_counters(const struct control *control);
const struct counter_set *control_mesh_counters(const struct control *control);

#endif
