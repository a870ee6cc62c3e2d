#include <stdatomic.h>
#include <string.h>

#include "trefoilhilld/call_service.h"
#include "trefoilhilld/service_call.h"
#include "trefoilhilld/service_ping.h"
#include "trefoilhilld/service_table.h"
#include "trefoilhilld/upstream_client.h"
#include "trefoilhilld/worker_pool.h"

struct call_service {
	struct str upstream_name;
	char *upstream_address;
	struct clock *clock;
	struct locked_guard *guard;
	struct worker_pool *pool;
	struct counter_set counters;
	atomic_bool ready;
	struct service_table table;
};

static const struct counter_desc counter_descs[SERVICE_COUNTER_COUNT] = {
	[SERVICE_OPENED] = { "trefoilhill_service_calls_total",
	    "Calls that came to this host's guard." },
	[SERVICE_DUPLICATE] = { "trefoilhill_service_doubled_total",
	    "Second copies of a running call, ignored." },
	[SERVICE_UNMATCHED] = { "trefoilhill_service_stray_frames_total",
	    "Frames of calls that this node doesn't have." },
	[SERVICE_ANSWERED] = { "trefoilhill_service_ended_total{how=\"answered\"}",
	    "Calls ended, by how." },
	[SERVICE_REFUSED] = { "trefoilhill_service_ended_total{how=\"refused\"}",
	    "Calls ended, by how." },
	[SERVICE_INCOMPLETE] = { "trefoilhill_service_ended_total{how=\"broken\"}",
	    "Calls ended, by how." },
	[SERVICE_CANCELLED] = { "trefoilhill_service_cancelled_total",
	    "Calls that their entry gave up." },
	[SERVICE_ENTRY_LOST] = { "trefoilhill_service_entry_lost_total",
	    "Calls cancelled because their entry fell silent." },
};

static void handle_dequeued(void *arg, uint64_t ticket,
    enum guard_decision decision, enum refusal_reason reason);
static void *open_worker(void *arg);
static void run_call(void *arg, void *worker, void *job);
static void close_worker(void *arg, void *worker);

static const struct worker_pool_ops pool_ops = {
	.open = open_worker,
	.run = run_call,
	.close = close_worker,
};

/*
 * Return a service in front of one upstream. It registers itself as the handler
 * of the guard.
 */
struct call_service *
call_service_new(const struct call_service_settings *settings,
    struct clock *clock, struct locked_guard *guard)
{
	struct call_service *service = g_new0(struct call_service, 1);
	struct locked_guard_handler handler = { handle_dequeued, service };

	service->upstream_name = str_dup(settings->upstream_name);
	service->upstream_address = str_dup_cstr(settings->upstream_address);
	service->clock = clock;
	service->guard = guard;
	service->pool =
	    worker_pool_new(&pool_ops, service, settings->connections);
	service_table_init(&service->table);
	atomic_init(&service->ready, false);
	counter_set_init(
	    &service->counters, counter_descs, SERVICE_COUNTER_COUNT);
	locked_guard_set_handler(guard, handler);
	return service;
}

/*
 * Cancel running calls and free the service. The guard's tick thread must have
 * been stopped.
 */
void
call_service_free(struct call_service *service)
{
	if (service == NULL)
		return;
	call_service_sweep(service, INT64_MIN);
	worker_pool_free(service->pool);
	service_table_release(&service->table);
	str_release(&service->upstream_name);
	g_free(service->upstream_address);
	g_free(service);
}

void
call_service_set_ready(struct call_service *service, bool ready)
{
	atomic_store(&service->ready, ready);
}

/*
 * Tell the entry that the call ends without a complete response. A call is
 * removed from the table only after its last frame was sent; otherwise a ping
 * could report it as gone first.
 */
static void
send_refusal(struct call_service *service, struct service_call *call,
    const struct call_refused *refused)
{
	struct call_frame frame;

	memset(&frame, 0, sizeof(frame));
	frame.has_hint = true;
	frame.hint = locked_guard_hint(service->guard);
	frame.refused = *refused;
	if (refused->retry_after_ms == 0 && refused->not_run)
		frame.refused.retry_after_ms = locked_guard_retry_after_ms(
		    service->guard, refused->reason);
	counter_add(&service->counters,
	    refused->not_run ? SERVICE_REFUSED : SERVICE_INCOMPLETE, 1);
	service_call_send(call, CALL_REFUSED, &frame, NULL);
}

static void
refuse_call(struct call_service *service, struct service_call *call,
    enum refusal_reason reason)
{
	struct call_refused refused = {
		.reason = reason,
		.not_run = refusal_is_not_run(reason),
	};

	send_refusal(service, call, &refused);
	service_table_remove(&service->table, call);
}

static void *
open_worker(void *arg)
{
	struct call_service *service = arg;

	return upstream_client_new(
	    service->upstream_address, service->guard, service->clock);
}

static void
close_worker(void *arg, void *worker)
{
	upstream_client_free(worker);
}

/*
 * Send the end of a complete response with the guard's current hint.
 */
static void
send_response_end(struct call_service *service, struct service_call *call,
    struct upstream_result *result)
{
	struct call_frame *frame = &result->last_frame;

	frame->has_hint = true;
	frame->hint = locked_guard_hint(service->guard);
	counter_add(&service->counters, SERVICE_ANSWERED, 1);
	service_call_send(
	    call, frame->kind, frame, g_steal_pointer(&result->last_body));
}

/*
 * Run one call on a worker. The guard is told of the end of the call before the
 * entry is, so that the hint sent with the last frame accounts for it.
 */
static void
run_call(void *arg, void *worker, void *job)
{
	struct call_service *service = arg;
	struct service_call *call = job;
	struct upstream_result result;
	struct call_refused refused;

	upstream_client_run(worker, call, &result);
	locked_guard_complete(
	    service->guard, call->ticket, result.outcome, result.latency_us);
	if (result.has_response) {
		send_response_end(service, call, &result);
	} else {
		refused = (struct call_refused){
			.reason = result.reason,
			.not_run = result.not_run,
			.retry_after_ms = result.retry_after_ms,
		};
		send_refusal(service, call, &refused);
	}
	service_table_remove(&service->table, call);
	if (result.last_body != NULL)
		g_bytes_unref(result.last_body);
	service_call_unref(call);
}

/*
 * Run or refuse a call that left the guard's queue.
 */
static void
handle_dequeued(void *arg, uint64_t ticket, enum guard_decision decision,
    enum refusal_reason reason)
{
	struct call_service *service = arg;
	struct service_call *call =
	    service_table_find_ticket(&service->table, ticket);

	if (call == NULL)
		return;
	if (decision == GUARD_RUN) {
		worker_pool_submit(service->pool, call);
		return;
	}
	refuse_call(service, call, reason);
	service_call_unref(call);
}

static void
fill_guard_call(const struct service_call *call, struct guard_call *to)
{
	const struct call_open *open = &call->open->open;

	to->incarnation = open->guard_incarnation;
	to->tick = open->guard_tick;
	to->request = open->request;
	to->key = open->key;
	to->attempt = open->attempt;
	to->idempotent = open->idempotent;
	to->deadline = call->deadline;
}

struct admission {
	struct call_service *service;
	enum refusal_reason reason;
};

/* Ask the guard to admit a call, provided that the node is ready. */
static enum guard_decision
handle_admission(void *arg, struct service_call *call)
{
	struct admission *admission = arg;
	struct call_service *service = admission->service;
	struct guard_call guard_call;

	admission->reason = REFUSAL_NOT_READY;
	if (!atomic_load(&service->ready))
		return GUARD_REFUSE;
	fill_guard_call(call, &guard_call);
	return locked_guard_admit(
	    service->guard, &guard_call, &call->ticket, &admission->reason);
}

/*
 * Begin a call. Takes ownership of frame, body and link.
 */
static void
open_call(struct call_service *service, struct call_frame *frame, GBytes *body,
    struct call_link *link, bool remote)
{
	struct service_call *call =
	    service_call_new(service->clock, frame, body, link, remote);
	struct admission admission = { service, REFUSAL_UNKNOWN_UPSTREAM };
	struct admission_callback callback = { handle_admission, &admission };
	enum guard_decision decision = GUARD_REFUSE;
	bool is_duplicate = false;

	if (str_equal(frame->open.upstream, service->upstream_name))
		decision = service_table_admit(
		    &service->table, call, &callback, &is_duplicate);
	if (is_duplicate) {
		counter_add(&service->counters, SERVICE_DUPLICATE, 1);
		service_call_unref(call);
		return;
	}
	counter_add(&service->counters, SERVICE_OPENED, 1);
	if (decision == GUARD_RUN) {
		worker_pool_submit(service->pool, call);
		return;
	}
	if (decision == GUARD_REFUSE)
		refuse_call(service, call, admission.reason);
	service_call_unref(call);
}

static struct service_call *
find_call(struct call_service *service, const struct call_frame *frame)
{
	struct service_call_key key = { frame->entry, frame->call };
	struct service_call *call = service_table_find(&service->table, &key);

	if (call == NULL)
		counter_add(&service->counters, SERVICE_UNMATCHED, 1);
	return call;
}

/*
 * Cancel a call. A queued call ends here, a running one in its worker.
 */
static void
cancel_call(struct call_service *service, struct service_call *call)
{
	counter_add(&service->counters, SERVICE_CANCELLED, 1);
	service_call_cancel(call);
	if (locked_guard_cancel(service->guard, call->ticket))
		refuse_call(service, call, REFUSAL_CANCELLED);
}

/*
 * Handle a frame of an existing call. Takes ownership of body.
 */
static void
handle_call_frame(
    struct call_service *service, struct call_frame *frame, GBytes *body)
{
	struct service_call *call = find_call(service, frame);

	if (call == NULL)
		goto out;
	if (frame->kind == CALL_BODY)
		service_call_add_body(
		    call, &frame->body, g_steal_pointer(&body));
	else if (frame->kind == CALL_CREDIT)
		service_call_grant(call, frame->credit_upto);
	else if (frame->kind == CALL_CANCEL)
		cancel_call(service, call);
	service_call_unref(call);
out:
	if (body != NULL)
		g_bytes_unref(body);
}

/*
 * See include/trefoilhilld/call_service.h.
 */
void
call_service_handle_frame(struct call_service *service,
    struct call_frame *frame, GBytes *body, struct call_link *link, bool remote)
{
	if (frame->kind == CALL_OPEN) {
		open_call(service, frame, body, link, remote);
		return;
	}
	if (frame->kind == CALL_PING) {
		service_ping_reply(
		    &service->table, service->guard, frame, link);
		if (body != NULL)
			g_bytes_unref(body);
	} else {
		handle_call_frame(service, frame, body);
	}
	call_link_free(link);
	call_frame_free(frame);
}

/*
 * See include/trefoilhilld/call_service.h.
 */
void
call_service_sweep(struct call_service *service, int64_t lost_ms)
{
	GPtrArray *lost = service_table_list_silent(&service->table, lost_ms);

	for (guint i = 0; i < lost->len; i++) {
		struct service_call *call = g_ptr_array_index(lost, i);

		if (service_call_is_cancelled(call))
			continue;
		counter_add(&service->counters, SERVICE_ENTRY_LOST, 1);
		cancel_call(service, call);
	}
	g_ptr_array_free(lost, TRUE);
}

bool
call_service_is_idle(struct call_service *service)
{
	return service_table_is_empty(&service->table);
}

const struct counter_set *
call_service_counters(const struct call_service *service)
{
	return &service->counters;
}
