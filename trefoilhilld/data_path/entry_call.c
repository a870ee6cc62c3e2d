#include <string.h>

#include "trefoilhilld/caller_entry.h"

enum {
	RETRY_AFTER_MS = 1000,
};

static uint64_t
snapshot_version(const struct entry_call *call)
{
	return call->snapshot == NULL ? 0 : snapshot_id(call->snapshot).version;
}

static void
record_event(struct entry_call *call, enum event_kind kind, const char *subject)
{
	event_record(call->entry->env.events, kind, snapshot_version(call),
	    request_id_to_number(call->request->id), call->attempt,
	    str_from(subject));
}

/*
 * Send an error to the caller and count it by its promised outcome.
 */
static void
send_error(struct entry_call *call, const struct response_error *error)
{
	counter_add(&call->entry->counters,
	    error->not_run ? ENTRY_NOT_RUN : ENTRY_UNKNOWN, 1);
	record_event(call,
	    error->not_run ? EVENT_CALL_REFUSED : EVENT_CALL_UNKNOWN,
	    response_error_name(error));
	entry_response_send_error(call->response, error, call->rng);
}

static void
respond_not_run(struct entry_call *call, enum response_error_kind kind,
    uint32_t retry_after_ms)
{
	struct response_error error = {
		.kind = kind,
		.not_run = true,
		.retry_after_ms = retry_after_ms,
	};

	send_error(call, &error);
}

/*
 * Tell whether no more of the body was read than the retained first chunk.
 */
static bool
is_body_replayable(const struct entry_request *request)
{
	size_t first_len = request->first_chunk == NULL
	    ? 0
	    : g_bytes_get_size(request->first_chunk);

	return request->body_read == first_len;
}

static int64_t
remaining_ms(const struct entry_call *call)
{
	return timespec_ms_between(
	    clock_now(call->entry->env.clock), call->deadline);
}

static bool
is_retry_allowed(struct entry_call *call, const struct choice *choice,
    const struct exchange_result *result)
{
	struct retry_context context = {
		.result = result->attempt_result,
		.idempotent = call->request->idempotent,
		.probe = choice->probe,
		.body_replayable = is_body_replayable(call->request),
		.attempt = call->attempt,
		.attempts_max = call->attempts_max,
		.fenced = call->fenced,
		.incoming_attempt = call->request->attempt,
		.remaining_ms = remaining_ms(call),
	};

	if (call->choice_request.tried_count == CHOICE_TRIED_MAX)
		return false;
	return retry_allowed(&context, call->entry->env.retry_budget);
}

/*
 * Pick another upstream for the next attempt.
 */
static bool
pick_next_upstream(struct entry_call *call, struct choice *choice,
    const struct response_error *error)
{
	struct choice_request *request = &call->choice_request;
	uint32_t retry_after_ms;

	request->tried[request->tried_count++] = choice->upstream;
	if (!chooser_pick(call->entry->env.chooser, request, call->rng, choice,
		&retry_after_ms))
		return false;
	call->attempt++;
	counter_add(&call->entry->counters, ENTRY_RETRIES, 1);
	record_event(call, EVENT_CALL_RETRIED, response_error_name(error));
	return true;
}

/*
 * Try upstreams in turn for as long as the retry rules allow. If a guard
 * refused only because the entry's hint was stale, the same upstream is tried
 * again at once with the hint from the refusal.
 */
static void
try_upstreams(struct entry_call *call)
{
	struct exchange_result result;
	struct choice choice;
	uint32_t retry_after_ms = RETRY_AFTER_MS;

	if (!chooser_pick(call->entry->env.chooser, &call->choice_request,
		call->rng, &choice, &retry_after_ms)) {
		respond_not_run(
		    call, RESPONSE_ERROR_NO_UPSTREAM, retry_after_ms);
		return;
	}
	while (entry_exchange_run(call, &choice, &result) == EXCHANGE_FAILED) {
		if (result.attempt_result == ATTEMPT_UNKNOWN)
			call->may_have_run = true;
		if (!is_retry_allowed(call, &choice, &result))
			goto refuse;
		if (result.attempt_result == ATTEMPT_FENCED) {
			choice.known = result.hint;
			call->fenced++;
			counter_add(&call->entry->counters, ENTRY_FENCED, 1);
		} else if (!pick_next_upstream(call, &choice, &result.error)) {
			goto refuse;
		}
	}
	return;
refuse:
	result.error.not_run = !call->may_have_run;
	send_error(call, &result.error);
}

/*
 * Set the deadline from the caller's or the service's timeout, whichever is
 * shorter.
 */
static void
set_deadline(struct entry_call *call, const struct service_record *service)
{
	uint32_t ms = service->timeout_ms == 0 ? call->entry->default_timeout_ms
					       : service->timeout_ms;

	if (call->request->timeout_ms != 0)
		ms = MIN(ms, call->request->timeout_ms);
	call->deadline =
	    timespec_plus_ms(clock_now(call->entry->env.clock), ms);
}

/*
 * Return the service that the request is routed to, or NULL.
 */
static const struct service_view *
match_service(struct entry_call *call)
{
	struct entry_request *request = call->request;
	const struct record *route = snapshot_match_route(
	    call->snapshot, request->authority, request->path);

	if (route == NULL)
		return NULL;
	return snapshot_service(call->snapshot, route->route.service);
}

/*
 * Serve one valid request. The same snapshot is used from routing to the last
 * byte of the response.
 */
void
entry_call_run(struct entry_call *call)
{
	const struct service_view *service;
	struct response_error error;

	if (atomic_load(&call->entry->draining)) {
		respond_not_run(call, RESPONSE_ERROR_STOPPING, RETRY_AFTER_MS);
		return;
	}
	if (atomic_load(&call->entry->ready))
		call->snapshot = live_config_get(call->entry->env.live_config);
	if (call->snapshot == NULL) {
		respond_not_run(call, RESPONSE_ERROR_NOT_READY, RETRY_AFTER_MS);
		return;
	}
	service = match_service(call);
	if (service == NULL) {
		respond_not_run(call, RESPONSE_ERROR_NO_ROUTE, 0);
		goto out;
	}
	set_deadline(call, &service->service->service);
	call->attempts_max = service->service->service.idempotent_retries + 1;
	call->choice_request.snapshot = call->snapshot;
	call->choice_request.service = service->service->name;
	retry_budget_deposit(call->entry->env.retry_budget);
	if (!entry_request_read_first_chunk(call->request, &error))
		send_error(call, &error);
	else
		try_upstreams(call);
out:
	snapshot_unref(call->snapshot);
}
