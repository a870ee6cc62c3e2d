#include <glib.h>
#include <stdatomic.h>

#include "route/retry.h"

enum {
	TOKEN_PARTS = 100,    /* so that a deposit can be a percentage */
	CAP_FACTOR = 10,      /* the most saved up, over the minimum */
	MIN_REMAINING_MS = 5, /* below this an attempt can't succeed */
};

struct retry_budget {
	uint32_t percent;
	int64_t cap;
	atomic_int_fast64_t parts;
};

/*
 * Return a budget that lets retries be percent of the fresh requests. It
 * starts with minimum_tokens retries, so that an entry with few requests has
 * some, and saves up ten times as many at most.
 */
struct retry_budget *
retry_budget_new(uint32_t percent, uint32_t minimum_tokens)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);
	int64_t start = (int64_t)minimum_tokens * TOKEN_PARTS;

	budget->percent = percent;
	budget->cap = MAX(start, TOKEN_PARTS) * CAP_FACTOR;
	atomic_init(&budget->parts, start);
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
	int_fast64_t held = atomic_load(&budget->parts);
	int_fast64_t next;

	do
		next = MIN(held + budget->percent, budget->cap);
	while (!atomic_compare_exchange_weak(&budget->parts, &held, next));
}

/*
 * Take one retry out of the budget; false when it holds none.
 */
bool
retry_budget_withdraw(struct retry_budget *budget)
{
	int_fast64_t held = atomic_load(&budget->parts);

	do {
		if (held < TOKEN_PARTS)
			return false;
	} while (!atomic_compare_exchange_weak(
	    &budget->parts, &held, held - TOKEN_PARTS));
	return true;
}

/*
 * Say whether a refused attempt surely did not run anywhere.
 */
enum attempt_end
attempt_classify(const struct guard_hint *sent, enum refusal_reason reason,
    const struct guard_hint *answer)
{
	if (!refusal_is_not_run(reason))
		return ATTEMPT_UNKNOWN;
	if (sent->incarnation != 0 && sent->incarnation != answer->incarnation)
		return ATTEMPT_UNKNOWN;
	return reason == REFUSAL_FENCED ? ATTEMPT_FENCED : ATTEMPT_NOT_RUN;
}

/*
 * An attempt that did not run cost the upstream nothing, so more of those are
 * allowed than the service sets for attempts that may have run.
 */
static uint32_t
attempts_max(const struct retry_question *question)
{
	if (question->end == ATTEMPT_NOT_RUN)
		return MAX(question->attempts_max, NOT_RUN_ATTEMPTS_MAX);
	return question->attempts_max;
}

/*
 * Decide whether an attempt may be followed by another. A request that may
 * have run is tried again only when that is harmless, and one that already is
 * a caller's retry gets no retries of this hop on top: over a chain of calls
 * they would multiply. Takes from the budget when the answer is true, except
 * for a fenced attempt and a probe that did not run.
 */
bool
retry_allowed(
    const struct retry_question *question, struct retry_budget *budget)
{
	if (!question->body_replayable ||
	    question->remaining_ms < MIN_REMAINING_MS)
		return false;
	if (question->end == ATTEMPT_FENCED)
		return question->fenced < FENCED_RESENDS_MAX;
	if (question->end == ATTEMPT_UNKNOWN && !question->idempotent)
		return false;
	if (question->incoming_attempt > 0)
		return false;
	if (question->attempt + 1 >= attempts_max(question))
		return false;
	if (question->probe && question->end == ATTEMPT_NOT_RUN)
		return true;
	return retry_budget_withdraw(budget);
}
