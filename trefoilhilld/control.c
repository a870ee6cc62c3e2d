#include <string.h>

#include "mesh/message.h"
#include "source/config_source.h"
#include "wire/mesh_codec.h"
#include "trefoilhilld/control.h"
#include "trefoilhilld/control_input.h"

enum {
	INPUT_QUEUE_MAX = 4096,
	STATUS_REFRESH_MS = 200,
	US_PER_MS = 1000,
};

enum control_counter {
	COUNTER_FRAMES_RECEIVED,
	COUNTER_BYTES_RECEIVED,
	COUNTER_FRAMES_SENT,
	COUNTER_BYTES_SENT,
	COUNTER_FRAMES_DROPPED,
	COUNTER_COUNT,
};

static const struct counter_desc counter_descs[COUNTER_COUNT] = {
	[COUNTER_FRAMES_RECEIVED] = { "trefoilhill_control_frames_received_total",
	    "Control frames received from other nodes." },
	[COUNTER_BYTES_RECEIVED] = { "trefoilhill_control_bytes_received_total",
	    "Bytes of control frames received." },
	[COUNTER_FRAMES_SENT] = { "trefoilhill_control_frames_sent_total",
	    "Control frames sent to other nodes." },
	[COUNTER_BYTES_SENT] = { "trefoilhill_control_bytes_sent_total",
	    "Bytes of control frames sent." },
	[COUNTER_FRAMES_DROPPED] = { "trefoilhill_control_frames_dropped_total",
	    "Control frames dropped because the queue was full." },
};

struct control {
	struct control_env env;
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	struct mesh *mesh;
	struct rng *rng;
	struct config_source *source;
	GAsyncQueue *inputs;
	pthread_t thread;
	bool started;
	struct counter_set counters;
	pthread_mutex_t status_lock;
	struct control_status status;
	struct timespec status_refreshed_at;
};

static void
handle_send(struct mesh_transport *transport, struct str address,
    const struct mesh_message *message)
{
	struct control *control = (struct control *)((char *)transport -
	    offsetof(struct control, transport));
	GBytes *head = mesh_message_encode(message);

	counter_add(&control->counters, COUNTER_FRAMES_SENT, 1);
	counter_add(
	    &control->counters, COUNTER_BYTES_SENT, g_bytes_get_size(head));
	transport_send(control->env.transport, address, FRAME_MESH, head, NULL);
}

static void
handle_platform_request(struct mesh_platform *platform,
    enum platform_request request, uint64_t after)
{
	struct control *control = (struct control *)((char *)platform -
	    offsetof(struct control, platform));

	config_source_request(control->source, request, after);
}

static void
handle_platform_cancel(
    struct mesh_platform *platform, enum platform_request request)
{
	struct control *control = (struct control *)((char *)platform -
	    offsetof(struct control, platform));

	config_source_cancel(control->source, request);
}

/* Return whether this host and its zone are in service. */
static bool
host_is_in_service(struct control *control, const struct snapshot *snapshot)
{
	const struct record *host = snapshot_find(
	    snapshot, RECORD_HOST, control->env.settings->node.host);

	return host != NULL && !snapshot_host_is_out(snapshot, host);
}

static void
handle_publish(struct mesh_observer *observer, struct snapshot *snapshot)
{
	struct control *control = (struct control *)((char *)observer -
	    offsetof(struct control, observer));

	live_config_publish(control->env.live_config, snapshot);
	data_path_set_in_service(
	    control->env.data_path, host_is_in_service(control, snapshot));
	chooser_prune(control->env.chooser, snapshot);
}

static const struct mesh_transport_ops transport_ops = {
	.send = handle_send,
};

static const struct mesh_platform_ops platform_ops = {
	.request = handle_platform_request,
	.cancel = handle_platform_cancel,
};

static const struct mesh_observer_ops observer_ops = {
	.publish = handle_publish,
};

/* Runs on the transport's thread: decodes the frame and queues the message. */
static void
handle_frame(void *arg, const struct frame_origin *origin, struct str head,
    struct str body)
{
	struct control *control = arg;
	struct mesh_message *message;
	GError *error = NULL;

	counter_add(&control->counters, COUNTER_FRAMES_RECEIVED, 1);
	counter_add(&control->counters, COUNTER_BYTES_RECEIVED, head.len);
	if (g_async_queue_length(control->inputs) >= INPUT_QUEUE_MAX) {
		counter_add(&control->counters, COUNTER_FRAMES_DROPPED, 1);
		return;
	}
	message = mesh_message_decode(head, &error);
	g_async_queue_push(control->inputs,
	    message == NULL ? control_input_new_bad_frame(error)
			    : control_input_new_message(message));
}

/* Runs on the platform client's thread. */
static void
handle_platform_response(void *arg, struct config_response *response)
{
	struct control *control = arg;

	g_async_queue_push(
	    control->inputs, control_input_new_platform_response(response));
}

static void
status_refresh(struct control *control)
{
	struct mesh_peer_view peers[CONTROL_PEERS_MAX];
	struct control_status status = {
		.state = mesh_state(control->mesh),
		.reader = mesh_is_reader(control->mesh),
		.platform_up = mesh_is_platform_up(control->mesh),
	};

	status.peer_count =
	    mesh_list_peers(control->mesh, peers, CONTROL_PEERS_MAX);
	for (size_t i = 0; i < status.peer_count; i++) {
		struct control_peer *peer = &status.peers[i];
		size_t len = MIN(peers[i].host.len, sizeof(peer->host) - 1);

		memcpy(peer->host, peers[i].host.ptr, len);
		peer->version = peers[i].version;
		peer->age_ms = peers[i].age_ms;
	}
	pthread_mutex_lock(&control->status_lock);
	control->status = status;
	pthread_mutex_unlock(&control->status_lock);
	control->status_refreshed_at = clock_now(control->env.clock);
}

/*
 * Process the queued inputs, at most INPUT_QUEUE_MAX in one call so that a
 * steady flow of inputs does not delay ticks. Waits for an input for up to one
 * tick. Returns false when the thread must end.
 */
static bool
inputs_process(struct control *control)
{
	struct control_input *input = g_async_queue_timeout_pop(
	    control->inputs, (guint64)MESH_TICK_MS * US_PER_MS);

	for (int i = 0; input != NULL && i < INPUT_QUEUE_MAX; i++) {
		bool stop = input->kind == CONTROL_INPUT_STOP;

		control_input_dispatch(input, control->mesh);
		control_input_free(input);
		if (stop)
			return false;
		input = g_async_queue_try_pop(control->inputs);
	}
	if (input != NULL)
		g_async_queue_push_front(control->inputs, input);
	return true;
}

static void *
control_run(void *arg)
{
	struct control *control = arg;
	enum mesh_state previous_state = MESH_JOINING;
	struct timespec last_tick = clock_now(control->env.clock);

	while (inputs_process(control)) {
		struct timespec now = clock_now(control->env.clock);
		enum mesh_state state;

		if (timespec_ms_between(last_tick, now) >= MESH_TICK_MS) {
			mesh_tick(control->mesh);
			last_tick = now;
		}
		state = mesh_state(control->mesh);
		if (state != previous_state)
			data_path_set_ready(
			    control->env.data_path, state == MESH_READY);
		if (state != previous_state ||
		    timespec_ms_between(control->status_refreshed_at, now) >=
			STATUS_REFRESH_MS)
			status_refresh(control);
		previous_state = state;
	}
	return NULL;
}

static struct mesh *
control_mesh_new(struct control *control)
{
	const struct settings *settings = control->env.settings;
	struct mesh_settings mesh_settings = {
		.host = settings->node.host,
		.zone = settings->node.zone,
		.address = settings->node.mesh_listen,
		.seeds = settings->node.seeds,
		.seed_count = settings->node.seed_count,
		.policy = settings->mesh.policy,
		.heartbeat_ms = settings->mesh.heartbeat_ms,
		.readers_per_zone = settings->mesh.readers_per_zone,
		.fanout = settings->mesh.fanout,
		.incarnation = control->env.incarnation,
	};
	struct mesh_env env = {
		.clock = control->env.clock,
		.rng = control->rng,
		.transport = &control->transport,
		.platform = &control->platform,
		.observer = &control->observer,
		.events = control->env.events,
	};

	return mesh_new(&mesh_settings, &env);
}

/*
 * Create the control state and register as the transport's handler of mesh
 * frames. Returns NULL with error set when the platform client cannot be
 * created.
 */
struct control *
control_new(const struct control_env *env, GError **error)
{
	struct control *control = g_new0(struct control, 1);
	struct http_config_source_settings source = {
		.url = env->settings->platform.url,
		.node = env->settings->node.host,
		.timeout_ms = env->settings->platform.timeout_ms,
		.watch_ms = env->settings->platform.watch_ms,
		.handle_response = handle_platform_response,
		.arg = control,
	};
	struct frame_handler handler = {
		.handle_frame = handle_frame,
		.arg = control,
	};

	control->env = *env;
	control->transport.ops = &transport_ops;
	control->platform.ops = &platform_ops;
	control->observer.ops = &observer_ops;
	counter_set_init(&control->counters, counter_descs, COUNTER_COUNT);
	pthread_mutex_init(&control->status_lock, NULL);
	control->inputs =
	    g_async_queue_new_full((GDestroyNotify)control_input_free);
	control->rng = rng_system_new();
	control->source = http_config_source_new(&source, error);
	if (control->source == NULL) {
		control_free(control);
		return NULL;
	}
	control->mesh = control_mesh_new(control);
	transport_set_handler(env->transport, FRAME_MESH, handler);
	return control;
}

/*
 * Start the control thread. Returns 0, or -1 with error set.
 */
int
control_start(struct control *control, GError **error)
{
	int code = pthread_create(&control->thread, NULL, control_run, control);

	if (code != 0) {
		g_set_error(error, G_FILE_ERROR,
		    (gint)g_file_error_from_errno(code),
		    "cannot create the control thread: %s", g_strerror(code));
		return -1;
	}
	control->started = true;
	return 0;
}

/*
 * Stop the control thread and wait until it has ended. Does nothing when the
 * thread has not been started.
 */
void
control_stop(struct control *control)
{
	if (!control->started)
		return;
	g_async_queue_push_front(control->inputs, control_input_new_stop());
	pthread_join(control->thread, NULL);
	control->started = false;
}

/*
 * Free the control state. The thread must have been stopped, and the transport
 * must no longer deliver frames. NULL is allowed.
 */
void
control_free(struct control *control)
{
	if (control == NULL)
		return;
	if (control->source != NULL)
		config_source_free(control->source);
	if (control->mesh != NULL)
		mesh_free(control->mesh);
	g_async_queue_unref(control->inputs);
	rng_free(control->rng);
	pthread_mutex_destroy(&control->status_lock);
	g_free(control);
}

/*
 * Copy the status last published by the control thread, which is at most
 * STATUS_REFRESH_MS and one tick old.
 */
void
control_status(struct control *control, struct control_status *out)
{
	pthread_mutex_lock(&control->status_lock);
	*out = control->status;
	pthread_mutex_unlock(&control->status_lock);
}

/*
 * Return the counters of frames and platform requests.
 */
const struct counter_set *
control_counters(const struct control *control)
{
	return &control->counters;
}

/*
 * Return the counters of the mesh; borrowed.
 */
const struct counter_set *
control_mesh_counters(const struct control *control)
{
	return mesh_counters(control->mesh);
}
