#include <pthread.h>
#include <string.h>
#include <time.h>

#include "trefoilhilld/call_service.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/caller_entry.h"

enum {
	SWEEP_INTERVAL_MS = 200,   /* between sweeps of the calls in flight */
	PING_MIN_AGE_MS = 150,     /* age from which pings include a call */
	SILENCE_TIMEOUT_MS = 1200, /* after which a peer is considered lost */
	IDLE_QUIET_MS = 300,
};

struct data_path {
	struct data_path_env env;
	uint64_t incarnation;
	struct caller_entry *entry;
	struct locked_guard *locked_guard; /* NULL without an upstream */
	struct call_service *service;      /* NULL without an upstream */
	struct counter_set empty_counters;
	pthread_t sweeper;
	bool started;
	atomic_bool stopping;
	struct timespec last_busy;
};

GQuark
data_path_error_quark(void)
{
	return g_quark_from_static_string("data-path-error");
}

/*
 * Decode a frame. An invalid frame is counted as rejected and yields NULL.
 */
static struct call_frame *
decode_frame(struct data_path *path, struct str head)
{
	GError *error = NULL;
	struct call_frame *frame = call_frame_decode(head, &error);

	if (frame == NULL) {
		counter_add(&path->entry->counters, ENTRY_REJECTED_FRAMES, 1);
		g_error_free(error);
	}
	return frame;
}

static void
unref_body(GBytes *body)
{
	if (body != NULL)
		g_bytes_unref(body);
}

/*
 * Apply a guard node's report on calls of this entry.
 */
static void
handle_pong(struct data_path *path, struct call_frame *frame)
{
	for (size_t i = 0; i < frame->pong.running.count; i++)
		call_table_mark_alive(
		    path->entry->table, frame->pong.running.list[i]);
	for (size_t i = 0; i < frame->pong.gone.count; i++)
		call_table_fail(path->entry->table, frame->pong.gone.list[i],
		    CALL_FAILURE_UNKNOWN_CALL);
	call_frame_free(frame);
}

/*
 * Handle a frame for a call of this entry. Takes ownership of frame and body.
 */
static void
handle_entry_frame(
    struct data_path *path, struct call_frame *frame, GBytes *body)
{
	struct caller_entry *entry = path->entry;

	if (frame->kind == CALL_PONG) {
		handle_pong(path, frame);
		unref_body(body);
	} else if (frame->entry != entry->incarnation) {
		counter_add(&entry->counters, ENTRY_LATE_FRAMES, 1);
		call_frame_free(frame);
		unref_body(body);
	} else if (!call_table_deliver(entry->table, frame, body)) {
		counter_add(&entry->counters, ENTRY_LATE_FRAMES, 1);
	}
}

/*
 * Handle a frame from another node. Connections opened by this node carry
 * responses to its calls; connections accepted from other nodes carry their
 * calls.
 */
static void
handle_frame(void *arg, const struct frame_origin *origin, struct str head,
    struct str body)
{
	struct data_path *path = arg;
	struct call_frame *frame = decode_frame(path, head);
	GBytes *bytes;

	if (frame == NULL)
		return;
	bytes = body.len == 0 ? NULL : g_bytes_new(body.ptr, body.len);
	if (origin->len == 0) {
		handle_entry_frame(path, frame, bytes);
	} else if (path->service != NULL) {
		call_service_handle_frame(path->service, frame, bytes,
		    call_link_new_reply(path->env.transport, origin), true);
	} else {
		call_frame_free(frame);
		unref_body(bytes);
	}
}

/*
 * Handle a frame that the transport dropped before sending any byte of it. A
 * dropped OPEN has not run. If a later frame is dropped, the call is
 * incomplete.
 */
static void
handle_drop(void *arg, struct str address, struct str head)
{
	struct data_path *path = arg;
	struct call_frame *frame = decode_frame(path, head);

	if (frame == NULL)
		return;
	if (frame->entry == path->incarnation && frame->kind != CALL_PING)
		call_table_fail(path->entry->table, frame->call,
		    frame->kind == CALL_OPEN ? CALL_FAILURE_NOT_SENT
					     : CALL_FAILURE_PEER_LOST);
	call_frame_free(frame);
}

/*
 * Handle a frame from the call service to the entry on this host.
 */
static void
handle_frame_to_entry(void *arg, struct str head, GBytes *body)
{
	struct data_path *path = arg;
	struct call_frame *frame = decode_frame(path, head);

	if (frame != NULL)
		handle_entry_frame(path, frame, body);
	else
		unref_body(body);
}

/*
 * Handle a frame from the entry on this host to the call service.
 */
static void
handle_frame_to_service(void *arg, struct str head, GBytes *body)
{
	struct data_path *path = arg;
	struct frame_sink reply_sink = { handle_frame_to_entry, path };
	struct call_frame *frame = decode_frame(path, head);

	if (frame != NULL)
		call_service_handle_frame(path->service, frame, body,
		    call_link_new_local(reply_sink), false);
	else
		unref_body(body);
}

static void
create_service(
    struct data_path *path, const struct data_path_settings *settings)
{
	struct call_service_settings service = {
		.upstream_name = settings->upstream_name,
		.upstream_address = settings->upstream_address,
		.connections = settings->upstream_connections,
	};
	struct frame_sink sink = { handle_frame_to_service, path };

	path->locked_guard =
	    locked_guard_new(path->env.guard, settings->tick_ms);
	path->service =
	    call_service_new(&service, path->env.clock, path->locked_guard);
	path->entry->local = sink;
	path->entry->has_local = true;
}

/*
 * Validate the settings.
 */
static bool
check_settings(const struct data_path_settings *settings,
    const struct data_path_env *env, GError **error)
{
	const char *problem = NULL;

	if (settings->incarnation == 0)
		problem = "the incarnation must not be 0";
	else if (settings->entry_workers == 0)
		problem = "the entry needs at least one worker";
	else if (settings->upstream_name.len > 0 &&
	    (env->guard == NULL || settings->upstream_address.len == 0 ||
		settings->upstream_connections == 0 || settings->tick_ms == 0))
		problem = "the upstream needs a guard, an address, "
			  "connections and a tick interval";
	if (problem == NULL)
		return true;
	g_set_error(
	    error, DATA_PATH_ERROR, DATA_PATH_ERROR_SETTINGS, "%s", problem);
	return false;
}

/*
 * See include/trefoilhilld/data_path.h.
 */
struct data_path *
data_path_new(const struct data_path_settings *settings,
    const struct data_path_env *env, GError **error)
{
	struct data_path *path;
	struct frame_handler frames = { .handle_frame = handle_frame };
	struct drop_handler drops = { .handle_drop = handle_drop };

	if (!check_settings(settings, env, error))
		return NULL;
	path = g_new0(struct data_path, 1);
	path->env = *env;
	path->incarnation = settings->incarnation;
	path->last_busy = clock_now(env->clock);
	path->entry = caller_entry_new(settings, env);
	counter_set_init(&path->empty_counters, NULL, 0);
	if (settings->upstream_name.len > 0)
		create_service(path, settings);
	frames.arg = path;
	drops.arg = path;
	transport_set_handler(env->transport, FRAME_CALL, frames);
	transport_set_drop_handler(env->transport, FRAME_CALL, drops);
	return path;
}

/*
 * Ask each node that should have calls of this entry whether it still has them.
 */
static void
ping_peers(struct data_path *path)
{
	GHashTable *by_peer = call_table_sweep(
	    path->entry->table, PING_MIN_AGE_MS, SILENCE_TIMEOUT_MS);
	GHashTableIter iter;
	void *peer;
	void *value;

	g_hash_table_iter_init(&iter, by_peer);
	while (g_hash_table_iter_next(&iter, &peer, &value)) {
		GArray *ids = value;
		struct call_frame frame;

		memset(&frame, 0, sizeof(frame));
		frame.kind = CALL_PING;
		frame.entry = path->incarnation;
		frame.ping.count = ids->len;
		frame.ping.list = (const uint64_t *)(void *)ids->data;
		transport_send(path->env.transport, str_from(peer), FRAME_CALL,
		    call_frame_encode(&frame), NULL);
	}
	g_hash_table_destroy(by_peer);
}

static void *
run_sweeper(void *arg)
{
	struct data_path *path = arg;
	struct timespec interval = timespec_from_ms(SWEEP_INTERVAL_MS);

	while (!atomic_load(&path->stopping)) {
		ping_peers(path);
		if (path->service != NULL)
			call_service_sweep(path->service, SILENCE_TIMEOUT_MS);
		nanosleep(&interval, NULL);
	}
	return NULL;
}

static int
start_sweeper(struct data_path *path, GError **error)
{
	int status = pthread_create(&path->sweeper, NULL, run_sweeper, path);

	if (status != 0) {
		g_set_error(error, DATA_PATH_ERROR, DATA_PATH_ERROR_THREAD,
		    "cannot start the call sweep thread: %s",
		    g_strerror(status));
		return -1;
	}
	path->started = true;
	return 0;
}

/*
 * Start all threads and listen for callers. Returns 0, or -1 with error set.
 */
int
data_path_start(struct data_path *path, GError **error)
{
	if (path->locked_guard != NULL &&
	    locked_guard_start(path->locked_guard, error) != 0)
		return -1;
	if (start_sweeper(path, error) != 0)
		return -1;
	return caller_entry_start(path->entry, error);
}

void
data_path_set_ready(struct data_path *path, bool ready)
{
	atomic_store(&path->entry->ready, ready);
	if (path->service != NULL)
		call_service_set_ready(path->service, ready);
}

void
data_path_set_in_service(struct data_path *path, bool in_service)
{
	if (path->locked_guard != NULL)
		locked_guard_set_in_service(path->locked_guard, in_service);
}

void
data_path_drain(struct data_path *path)
{
	atomic_store(&path->entry->draining, true);
	if (path->locked_guard != NULL)
		locked_guard_drain(path->locked_guard);
}

/*
 * Tell whether no call has been running for IDLE_QUIET_MS. The delay lets the
 * last frames of the last calls leave this host. Only one thread may call this.
 */
bool
data_path_is_idle(struct data_path *path)
{
	struct timespec now = clock_now(path->env.clock);

	if (atomic_load(&path->entry->running) > 0 ||
	    (path->service != NULL && !call_service_is_idle(path->service)))
		path->last_busy = now;
	return timespec_ms_between(path->last_busy, now) >= IDLE_QUIET_MS;
}

/*
 * Stop listening and stop all threads except the transport's. Calls that are
 * still running end with an unknown outcome.
 */
void
data_path_stop(struct data_path *path)
{
	caller_entry_stop(path->entry);
	if (path->started) {
		atomic_store(&path->stopping, true);
		pthread_join(path->sweeper, NULL);
		path->started = false;
	}
	if (path->locked_guard != NULL)
		locked_guard_stop(path->locked_guard);
	if (path->service != NULL)
		call_service_sweep(path->service, -1);
}

/*
 * Free a stopped data path, after the transport has been stopped. NULL is
 * allowed.
 */
void
data_path_free(struct data_path *path)
{
	if (path == NULL)
		return;
	call_service_free(path->service);
	locked_guard_free(path->locked_guard);
	caller_entry_free(path->entry);
	g_free(path);
}

bool
data_path_hint(struct data_path *path, struct guard_hint *hint)
{
	if (path->locked_guard == NULL)
		return false;
	*hint = locked_guard_hint(path->locked_guard);
	return true;
}

const struct counter_set *
data_path_entry_counters(const struct data_path *path)
{
	return &path->entry->counters;
}

/*
 * Return an empty set on a host without an upstream.
 */
const struct counter_set *
data_path_service_counters(const struct data_path *path)
{
	return path->service == NULL ? &path->empty_counters
				     : call_service_counters(path->service);
}
