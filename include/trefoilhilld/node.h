#ifndef TREFOILHILL_TREFOILHILLD_NODE_H
#define TREFOILHILL_TREFOILHILLD_NODE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "trefoilhilld/control.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/settings.h"

enum node_state {
	NODE_STARTING,
	NODE_READY,
	NODE_DRAINING,
	NODE_STOPPED,
};

/* All components of one trefoilhilld process. */
struct node;

struct node *node_new(const struct settings *settings, GError **error);
int node_start(struct node *node, GError **error);
/* Begin a graceful shutdown; thread-safe, may be called more than once. */
void node_drain(struct node *node);
bool node_is_draining(const struct node *node);
/* Whether no request is in flight. */
bool node_is_idle(struct node *node);
void node_stop(struct node *node);
void node_free(struct node *node);

/* For the operator listener. */
const char *node_state_name(enum node_state state);
enum node_state node_state(struct node *node);
const struct settings *node_settings(const struct node *node);
uint64_t node_incarnation(const struct node *node);
/* Returns a new reference; NULL before the first snapshot. */
struct snapshot *node_snapshot(struct node *node);
void node_control_status(struct node *node, struct control_status *out);
bool node_guard_hint(struct node *node, struct guard_hint *hint);
struct event_log *node_events(struct node *node);
void node_render_metrics(struct node *node, GString *out);

#endif
