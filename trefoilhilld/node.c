#include <stdatomic.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	TRANSPORT_HIGH_WATER_FRAMES = 1024,
	TRANSPORT_PEER_IDLE_MS = 60000,
	RETRY_TOKENS_INITIAL = 10,
};

struct node {
	const struct settings *settings;
	struct clock *clock;
	uint64_t incarnation;
	struct event_log *events;
	struct live_config *live_config;
	struct transport *transport;
	struct guard *guard;
	struct chooser *chooser;
	struct retry_budget *retry_budget;
	struct data_path *data_path;
	struct control *control;
	struct operator_listener *listener;
	atomic_bool draining;
	atomic_bool stopped;
};

static const char *const state_names[] = {
	[NODE_STARTING] = "starting",
	[NODE_READY] = "ready",
	[NODE_DRAINING] = "draining",
	[NODE_STOPPED] = "stopped",
};

/*
 * Return a number that identifies this run of the process on its host. A run
 * that starts later gets a higher number, as long as the wall clock does not
 * go back.
 */
static uint64_t
incarnation_make(struct clock *clock)
{
	struct timespec now = clock_wall(clock);

	return (uint64_t)now.tv_sec << 20 | ((uint64_t)now.tv_nsec >> 10);
}

static struct guard *
node_guard_new(struct node *node)
{
	const struct admission_settings *admission = &node->settings->guard;
	struct guard_settings settings = {
		.incarnation = node->incarnation,
		.slots = admission->slots,
		.cold_limit = admission->cold_limit,
		.queue_limit = admission->queue_limit,
		.queue_wait_ms = admission->queue_wait_ms,
		.tick_ms = admission->tick_ms,
		.tick_bound = admission->tick_bound,
		.dedup_entries = admission->once_entries,
	};

	return guard_new(&settings, node->clock, node->events);
}

static struct chooser *
node_chooser_new(struct node *node)
{
	struct choice_settings settings = {
		.host = node->settings->node.host,
		.zone = node->settings->node.zone,
		.policy = node->settings->route.policy,
		.hint_fresh_ms = node->settings->route.hint_fresh_ms,
	};

	return chooser_new(&settings, node->clock);
}

static struct transport *
node_transport_new(struct node *node, GError **error)
{
	struct transport_settings settings = {
		.address = node->settings->node.mesh_listen,
		.high_water_frames = TRANSPORT_HIGH_WATER_FRAMES,
		.peer_idle_ms = TRANSPORT_PEER_IDLE_MS,
	};

	return transport_new(&settings, error);
}

static struct data_path *
node_data_path_new(struct node *node, GError **error)
{
	const struct settings *settings = node->settings;
	struct data_path_settings path = {
		.host = settings->node.host,
		.zone = settings->node.zone,
		.caller_listen = settings->node.caller_listen,
		.entry_workers = settings->node.caller_threads,
		.default_timeout_ms = settings->route.timeout_ms,
		.upstream_name = settings->upstream.name,
		.upstream_address = settings->upstream.address,
		.upstream_connections = settings->guard.connections,
		.tick_ms = settings->guard.tick_ms,
		.incarnation = node->incarnation,
	};
	struct data_path_env env = {
		.clock = node->clock,
		.transport = node->transport,
		.live_config = node->live_config,
		.guard = node->guard,
		.chooser = node->chooser,
		.retry_budget = node->retry_budget,
		.events = node->events,
	};

	return data_path_new(&path, &env, error);
}

static struct control *
node_control_new(struct node *node, GError **error)
{
	struct control_env env = {
		.settings = node->settings,
		.clock = node->clock,
		.transport = node->transport,
		.live_config = node->live_config,
		.chooser = node->chooser,
		.data_path = node->data_path,
		.events = node->events,
		.incarnation = node->incarnation,
	};

	return control_new(&env, error);
}

/*
 * Create all components of a node without starting them. The settings are
 * borrowed and must outlive the node. Returns NULL with error set when a
 * component cannot be created.
 */
struct node *
node_new(const struct settings *settings, GError **error)
{
	struct node *node = g_new0(struct node, 1);
	bool complete = false;

	node->settings = settings;
	node->clock = clock_system();
	node->incarnation = incarnation_make(node->clock);
	node->events = event_log_new(node->clock, settings->log.event_entries);
	node->live_config = live_config_new();
	node->guard = node_guard_new(node);
	node->chooser = node_chooser_new(node);
	node->retry_budget = retry_budget_new(
	    settings->route.retry_percent, RETRY_TOKENS_INITIAL);
	node->transport = node_transport_new(node, error);
	if (node->transport == NULL)
		goto done;
	node->data_path = node_data_path_new(node, error);
	if (node->data_path == NULL)
		goto done;
	node->control = node_control_new(node, error);
	if (node->control == NULL)
		goto done;
	node->listener =
	    operator_listener_new(settings->node.operator_listen, node, error);
	complete = node->listener != NULL;
done:
	if (!complete) {
		node_free(node);
		node = NULL;
	}
	return node;
}

/*
 * Start the threads. Returns 0, or -1 with error set; the caller must call
 * node_stop in both cases.
 */
int
node_start(struct node *node, GError **error)
{
	event_record(node->events, EVENT_NODE_STARTED, 0, 0,
	    (int64_t)node->incarnation, node->settings->node.host);
	if (data_path_start(node->data_path, error) != 0 ||
	    transport_start(node->transport, error) != 0 ||
	    control_start(node->control, error) != 0)
		return -1;
	return 0;
}

/*
 * Begin a graceful shutdown: refuse new requests and let those in flight
 * finish.
 */
void
node_drain(struct node *node)
{
	if (atomic_exchange(&node->draining, true))
		return;
	event_record(node->events, EVENT_NODE_DRAINING, 0, 0, 0,
	    node->settings->node.host);
	data_path_drain(node->data_path);
}

/*
 * Return whether a graceful shutdown has begun.
 */
bool
node_is_draining(const struct node *node)
{
	return atomic_load(&node->draining);
}

/*
 * Return whether no request is in flight.
 */
bool
node_is_idle(struct node *node)
{
	return data_path_is_idle(node->data_path);
}

/*
 * Stop every thread; requests in flight are aborted. The data path and the
 * control thread stop before the transport, which sends their frames.
 */
void
node_stop(struct node *node)
{
	event_record(node->events, EVENT_NODE_STOPPED, 0, 0, 0,
	    node->settings->node.host);
	atomic_store(&node->stopped, true);
	data_path_stop(node->data_path);
	control_stop(node->control);
	transport_stop(node->transport);
}

/*
 * Free a stopped node. NULL is allowed.
 */
void
node_free(struct node *node)
{
	if (node == NULL)
		return;
	operator_listener_free(node->listener);
	control_free(node->control);
	if (node->data_path != NULL)
		data_path_free(node->data_path);
	if (node->transport != NULL)
		transport_free(node->transport);
	retry_budget_free(node->retry_budget);
	chooser_free(node->chooser);
	guard_free(node->guard);
	live_config_free(node->live_config);
	event_log_free(node->events);
	g_free(node);
}

/*
 * Return the name of a state as /v1/status and /v1/drain report it.
 */
const char *
node_state_name(enum node_state state)
{
	return state_names[state];
}

/*
 * Return the current state of the node.
 */
enum node_state
node_state(struct node *node)
{
	struct control_status status;

	if (atomic_load(&node->stopped))
		return NODE_STOPPED;
	if (atomic_load(&node->draining))
		return NODE_DRAINING;
	control_status(node->control, &status);
	return status.state == MESH_READY ? NODE_READY : NODE_STARTING;
}

/*
 * Return the settings that the node was created with; borrowed.
 */
const struct settings *
node_settings(const struct node *node)
{
	return node->settings;
}

/*
 * Return the number that identifies this run of the process on its host.
 */
uint64_t
node_incarnation(const struct node *node)
{
	return node->incarnation;
}

/*
 * Return a new reference to the current configuration snapshot, NULL before
 * the first one.
 */
struct snapshot *
node_snapshot(struct node *node)
{
	return live_config_get(node->live_config);
}

/*
 * Copy the status last published by the control thread.
 */
void
node_control_status(struct node *node, struct control_status *out)
{
	control_status(node->control, out);
}

/*
 * Copy the guard's current load hint. Returns false when there is no upstream
 * on this host.
 */
bool
node_guard_hint(struct node *node, struct guard_hint *hint)
{
	return data_path_hint(node->data_path, hint);
}

/*
 * Return the node's event log; borrowed.
 */
struct event_log *
node_events(struct node *node)
{
	return node->events;
}

/*
 * Append all metrics of the node in the Prometheus text format.
 */
void
node_render_metrics(struct node *node, GString *out)
{
	const struct counter_set *sets[] = {
		control_counters(node->control),
		control_mesh_counters(node->control),
		transport_counters(node->transport),
		data_path_entry_counters(node->data_path),
		data_path_service_counters(node->data_path),
		guard_counters(node->guard),
		chooser_counters(node->chooser),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		if (sets[i] != NULL)
			counter_set_render(sets[i], out);
}
