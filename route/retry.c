#include <glib.h>
#include <stdatomic.h>

#include "route/retry.h"

enum {
	TOKEN_SCALE = 100,    /* so that a deposit can be a percentage */
	CAP_MULTIPLIER = 10,  /* cap, as a multiple of the initial tokens */
	MIN_REMAINING_MS = 5, /* below this an attempt can't succeed */
};

struct retry_budget {
	uint32_t percent;
	int64_t scaled_cap;
	atomic_int_fast64_t scaled_tokens;
};

/*
 * Return a budget that limits retries to percent of the fresh requests. It
 * starts with minimum_tokens retries, so that an entry with few requests can
 * retry at all, and accumulates at most ten times as many.
 */
struct retry_budget *
retry_budget_new(uint32_t percent, uint32_t minimum_tokens)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);
	int64_t start = (int64_t)minimum_tokens * TOKEN_SCALE;

	budget->percent = percent;
	budget->scaled_cap = MAX(start, TOKEN_SCALE) * CAP_MULTIPLIER;
	atomic_init(&budget->scaled_tokens, start);
	return budget;
}

/*
 * Free a budget. NULL is allowed.
 */
void
retry_budget_free(struct retry_budget *budget)
{
	g_free(budget);
}

/*
 * Count one fresh request.
 */
void
retry_budget_deposit(struct retry_budget *budget)
{
	int_fast64_t current = atomic_load(&budget->scaled_tokens);
	int_fast64_t next;

	do
		next = MIN(current + budget->percent, budget->scaled_cap);
	while (!atomic_compare_exchange_weak(
	    &budget->scaled_tokens, &current, next));
}

/*
 * Take one retry out of the budget; false when it holds none.
 */
bool
retry_budget_withdraw(struct retry_budget *budget)
{
	int_fast64_t current = atomic_load(&budget->scaled_tokens);

	do {
		if (current < TOKEN_SCALE)
			return false;
	} while (!atomic_compare_exchange_weak(
	    &budget->scaled_tokens, &current, current - TOKEN_SCALE));
	return true;
}

/*
 * Classify a refused attempt by whether it is certain that it did not run.
 */
enum attempt_result
attempt_classify(const struct guard_hint *sent, enum refusal_reason reason,
    const struct guard_hint *received)
{
	if (!refusal_is_not_run(reason))
		return ATTEMPT_UNKNOWN;
	if (sent->incarnation != 0 &&
	    sent->incarnation != received->incarnation)
		return ATTEMPT_UNKNOWN;
	return reason == REFUSAL_FENCED ? ATTEMPT_FENCED : ATTEMPT_NOT_RUN;
}

/*
 * An attempt that did not run put no load on the upstream, so more of those
 * are allowed than the service configures for attempts that may have run.
 */
static uint32_t
attempt_limit(const struct retry_context *context)
{
	if (context->result == ATTEMPT_NOT_RUN)
		return MAX(context->attempts_max, NOT_RUN_ATTEMPTS_MAX);
	return context->attempts_max;
}

/*
 * Return whether an attempt may be followed by another. A request that may
 * have run is retried only when it is idempotent. A request that already is a
 * caller's retry gets no retries from this hop: along a chain of calls they
 * would multiply. Withdraws from the budget when it returns true, except for a
 * fenced attempt and a probe that did not run.
 */
bool
retry_allowed(const struct retry_context *context, struct retry_budget *budget)
{
	if (!context->body_replayable ||
	    context->remaining_ms < MIN_REMAINING_MS)
		return false;
	if (context->result == ATTEMPT_FENCED)
		return context->fenced < FENCED_RESENDS_MAX;
	if (context->result == ATTEMPT_UNKNOWN && !context->idempotent)
		return false;
	if (context->incoming_attempt > 0)
		return false;
	if (context->attempt + 1 >= attempt_limit(context))
		return false;
	if (context->probe && context->result == ATTEMPT_NOT_RUN)
		return true;
	return retry_budget_withdraw(budget);
}
