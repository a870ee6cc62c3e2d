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
 * The control thread of a node: it owns the mesh, feeds it with frames and
 * the platform's answers, and puts accepted snapshots in force.
 */
struct control;

enum {
	CONTROL_PEERS_MAX = 32,
	CONTROL_HOST_MAX = 64,
};

struct control_peer {
	char host[CONTROL_HOST_MAX];
	uint64_t version;
	int64_t age_ms;
};

/* What operators see of the mesh; a copy. */
struct control_status {
	enum mesh_state state;
	bool reader;
	bool platform_up;
	size_t peer_count;
	struct control_peer peers[CONTROL_PEERS_MAX];
};

/* All borrowed; they outlive the control thread. */
struct control_env {
	const struct settings *settings;
	struct clock *clock;
	struct transport *transport; /* not yet started */
	struct live_config *live;
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
