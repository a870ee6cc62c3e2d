#include <string.h>

#include "trefoilhilld/caller_entry.h"

enum {
	RETRY_AFTER_UNREACHABLE_MS = 1000,
};

/* One OPEN frame and the frames that belong to it. */
struct exchange {
	struct entry_call *call;
	const struct choice *choice;
	struct exchange_result *result;
	struct call_link *link;
	uint64_t id;
	uint64_t upload_credit; /* request body bytes that may be sent */
	uint64_t uploaded;
	uint64_t received; /* response body bytes */
	uint64_t credit_granted;
};

enum step {
	STEP_CONTINUE,
	STEP_DONE,
	STEP_FAILED,
};

static void
send_frame(struct exchange *exchange, struct call_frame *frame, GBytes *body)
{
	frame->entry = exchange->call->entry->incarnation;
	frame->call = exchange->id;
	call_link_send(exchange->link, frame, body);
}

static void
send_cancel(struct exchange *exchange)
{
	struct call_frame frame;

	memset(&frame, 0, sizeof(frame));
	frame.kind = CALL_CANCEL;
	send_frame(exchange, &frame, NULL);
}

/*
 * Send OPEN with the first bytes of the body. The guard's incarnation and tick
 * in the frame were sampled before the remaining time is computed here, so that
 * an entry that was suspended in between cannot present an old request as a new
 * one.
 */
static void
send_open(struct exchange *exchange)
{
	struct entry_call *call = exchange->call;
	struct entry_request *request = call->request;
	struct call_frame frame;
	int64_t remaining_ms = timespec_ms_between(
	    clock_now(call->entry->env.clock), call->deadline);

	memset(&frame, 0, sizeof(frame));
	frame.kind = CALL_OPEN;
	frame.open.request = str_from(request->id);
	frame.open.key = request->key;
	frame.open.upstream = exchange->choice->upstream->name;
	frame.open.method = request->method;
	frame.open.target = str_from(request->target);
	frame.open.headers = request->headers;
	frame.open.timeout_ms = (uint32_t)MAX(remaining_ms, 0);
	frame.open.attempt = call->opens_sent++;
	frame.open.retry = request->attempt + call->attempt;
	frame.open.idempotent = request->idempotent;
	frame.open.guard_incarnation = exchange->choice->known.incarnation;
	frame.open.guard_tick = exchange->choice->known.tick;
	frame.open.length = request->length;
	frame.open.end =
	    request->body_ended && request->body_read <= CALL_CHUNK_BYTES;
	frame.open.credit = CALL_WINDOW_BYTES;
	exchange->credit_granted = CALL_WINDOW_BYTES;
	if (request->first_chunk != NULL)
		exchange->uploaded = g_bytes_get_size(request->first_chunk);
	send_frame(exchange, &frame,
	    request->first_chunk == NULL ? NULL
					 : g_bytes_ref(request->first_chunk));
}

static enum step
fail_exchange(
    struct exchange *exchange, enum response_error_kind kind, bool not_run)
{
	if (exchange->call->response->begun) {
		entry_response_abort(exchange->call->response);
		counter_add(
		    &exchange->call->entry->counters, ENTRY_TRUNCATED, 1);
		return STEP_DONE;
	}
	memset(&exchange->result->error, 0, sizeof(exchange->result->error));
	exchange->result->error.kind = kind;
	exchange->result->error.not_run = not_run;
	exchange->result->attempt_result =
	    not_run ? ATTEMPT_NOT_RUN : ATTEMPT_UNKNOWN;
	return STEP_FAILED;
}

/*
 * Send the next chunk of the request body.
 */
static enum step
upload_next(struct exchange *exchange)
{
	struct entry_request *request = exchange->call->request;
	GBytes *chunk = entry_request_read_next_chunk(request);
	struct call_frame frame;

	if (chunk == NULL && !request->body_ended) {
		send_cancel(exchange);
		return fail_exchange(
		    exchange, RESPONSE_ERROR_INCOMPLETE_BODY, false);
	}
	memset(&frame, 0, sizeof(frame));
	frame.kind = CALL_BODY;
	frame.body.offset = exchange->uploaded;
	frame.body.end = request->body_ended;
	if (chunk != NULL)
		exchange->uploaded += g_bytes_get_size(chunk);
	send_frame(exchange, &frame, chunk);
	return STEP_CONTINUE;
}

static bool
can_upload(const struct exchange *exchange)
{
	return !exchange->call->request->body_ended &&
	    exchange->uploaded + CALL_CHUNK_BYTES <= exchange->upload_credit;
}

/*
 * The caller has disconnected: cancel the call.
 */
static enum step
handle_caller_gone(struct exchange *exchange)
{
	send_cancel(exchange);
	entry_response_abort(exchange->call->response);
	counter_add(&exchange->call->entry->counters, ENTRY_CALLER_GONE, 1);
	return STEP_DONE;
}

/*
 * Grant the guard more of the window as the caller reads the response.
 */
static void
grant_credit(struct exchange *exchange)
{
	uint64_t upto = exchange->received + CALL_WINDOW_BYTES;
	struct call_frame frame;

	if (upto - exchange->credit_granted < CALL_WINDOW_BYTES / 2)
		return;
	memset(&frame, 0, sizeof(frame));
	frame.kind = CALL_CREDIT;
	frame.credit_upto = upto;
	exchange->credit_granted = upto;
	send_frame(exchange, &frame, NULL);
}

/*
 * Continue after a write of response bytes, which may have failed.
 */
static enum step
handle_written(struct exchange *exchange, bool written, size_t len, bool end)
{
	struct entry_call *call = exchange->call;

	exchange->received += len;
	if (!written)
		return handle_caller_gone(exchange);
	if (!end) {
		grant_credit(exchange);
		return STEP_CONTINUE;
	}
	counter_add(&call->entry->counters,
	    entry_response_end(call->response) ? ENTRY_ANSWERED
					       : ENTRY_TRUNCATED,
	    1);
	return STEP_DONE;
}

static enum step
handle_head(
    struct exchange *exchange, const struct call_head *head, struct str body)
{
	struct entry_response *response = exchange->call->response;

	if (response->begun)
		return STEP_CONTINUE; /* duplicate */
	return handle_written(exchange,
	    entry_response_begin(response, head, body), body.len, head->end);
}

/*
 * Handle a body frame. Frames arrive in order, so a gap means that one was
 * lost.
 */
static enum step
handle_body(
    struct exchange *exchange, const struct call_body *body, struct str bytes)
{
	struct entry_response *response = exchange->call->response;

	if (body->offset + bytes.len <= exchange->received && !body->end)
		return STEP_CONTINUE; /* duplicate */
	if (!response->begun || body->offset != exchange->received) {
		send_cancel(exchange);
		return fail_exchange(
		    exchange, RESPONSE_ERROR_INCOMPLETE_RESPONSE, false);
	}
	return handle_written(exchange, entry_response_write(response, bytes),
	    bytes.len, body->end);
}

/*
 * The guard refused the call or ended it early. Whether the call may be
 * reported as not run depends on which incarnation of the guard refused it.
 */
static enum step
handle_refused(struct exchange *exchange, const struct call_refused *refused)
{
	struct exchange_result *result = exchange->result;
	enum attempt_result attempt_result = ATTEMPT_UNKNOWN;
	enum step step;

	if (refused->not_run && result->has_hint)
		attempt_result = attempt_classify(
		    &exchange->choice->known, refused->reason, &result->hint);
	step = fail_exchange(exchange,
	    refused->reason == REFUSAL_NONE ? RESPONSE_ERROR_INCOMPLETE_RESPONSE
					    : RESPONSE_ERROR_REFUSED,
	    attempt_result != ATTEMPT_UNKNOWN);
	if (step == STEP_DONE)
		return step;
	result->attempt_result = attempt_result;
	result->error.reason = refused->reason;
	result->error.retry_after_ms = refused->retry_after_ms;
	return step;
}

static enum step
handle_event(struct exchange *exchange, const struct call_event *event)
{
	const struct call_frame *frame = event->frame;
	struct str bytes = { .len = 0 };

	if (event->body != NULL)
		bytes = str_make(g_bytes_get_data(event->body, NULL),
		    g_bytes_get_size(event->body));
	if (frame->has_hint) {
		exchange->result->hint = frame->hint;
		exchange->result->has_hint = true;
		chooser_update_hint(exchange->call->entry->env.chooser,
		    exchange->choice->upstream->name, &frame->hint);
	}
	switch (frame->kind) {
	case CALL_HEAD:
		return handle_head(exchange, &frame->head, bytes);
	case CALL_BODY:
		return handle_body(exchange, &frame->body, bytes);
	case CALL_REFUSED:
		return handle_refused(exchange, &frame->refused);
	case CALL_CREDIT:
		exchange->upload_credit =
		    MAX(exchange->upload_credit, frame->credit_upto);
		return STEP_CONTINUE;
	default:
		return STEP_CONTINUE;
	}
}

/*
 * No frame arrived: the call failed or its deadline passed. The caller gets an
 * error at once. A cancellation is sent in case the guard still has the call.
 */
static enum step
handle_no_frame(struct exchange *exchange, enum call_failure failure)
{
	struct entry_call *call = exchange->call;
	enum step step;

	if (failure == CALL_FAILURE_NONE) {
		send_cancel(exchange);
		return fail_exchange(exchange, RESPONSE_ERROR_DEADLINE, false);
	}
	if (failure == CALL_FAILURE_NOT_SENT) {
		chooser_mark_lost(
		    call->entry->env.chooser, exchange->choice->upstream->name);
		step =
		    fail_exchange(exchange, RESPONSE_ERROR_UNREACHABLE, true);
		exchange->result->error.retry_after_ms =
		    RETRY_AFTER_UNREACHABLE_MS;
		return step;
	}
	if (failure == CALL_FAILURE_PEER_LOST) {
		chooser_mark_lost(
		    call->entry->env.chooser, exchange->choice->upstream->name);
		counter_add(&call->entry->counters, ENTRY_PEERS_LOST, 1);
	}
	send_cancel(exchange);
	return fail_exchange(exchange, RESPONSE_ERROR_LOST, false);
}

/*
 * Handle a waiting frame; otherwise send a chunk of the body if credit allows,
 * or wait for a frame.
 */
static enum step
run_step(struct exchange *exchange)
{
	struct entry_call *call = exchange->call;
	struct timespec no_wait = { .tv_sec = 0 };
	bool upload = can_upload(exchange);
	enum call_failure failure;
	struct call_event *event = call_slot_wait(
	    call->slot, upload ? no_wait : call->deadline, &failure);
	enum step step;

	if (event == NULL && failure == CALL_FAILURE_NONE && upload)
		return upload_next(exchange);
	if (event == NULL)
		return handle_no_frame(exchange, failure);
	step = handle_event(exchange, event);
	call_event_free(event);
	return step;
}

/*
 * Open a link to the upstream's node and begin a call on it.
 */
static void
open_link(struct exchange *exchange)
{
	struct entry_call *call = exchange->call;
	struct caller_entry *entry = call->entry;
	const struct record *host = exchange->choice->host;
	bool local =
	    entry->has_local && str_equal(host->name, str_from(entry->host));
	struct str peer = local ? str_make(NULL, 0) : host->host.node;

	counter_add(&entry->counters,
	    local ? ENTRY_LOCAL_CALLS : ENTRY_REMOTE_CALLS, 1);
	exchange->link = local ? call_link_new_local(entry->local)
			       : call_link_new_peer(entry->env.transport, peer);
	exchange->id = call_slot_begin(call->slot, entry->env.clock, peer);
}

/*
 * Send one OPEN to the guard of the chosen upstream and handle the call until
 * it ends.
 */
enum exchange_status
entry_exchange_run(struct entry_call *call, const struct choice *choice,
    struct exchange_result *result)
{
	struct exchange exchange = {
		.call = call,
		.choice = choice,
		.result = result,
	};
	struct chooser *chooser = call->entry->env.chooser;
	enum step step = STEP_CONTINUE;

	memset(result, 0, sizeof(*result));
	open_link(&exchange);
	chooser_begin_call(chooser, choice->upstream->name);
	send_open(&exchange);
	while (step == STEP_CONTINUE)
		step = run_step(&exchange);
	chooser_end_call(chooser, choice->upstream->name);
	call_slot_end(call->slot);
	call_link_free(exchange.link);
	return step == STEP_DONE ? EXCHANGE_DONE : EXCHANGE_FAILED;
}
