#ifndef TREFOILHILL_ROUTE_RETRY_H
#define TREFOILHILL_ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"

/*
 * Retry budget of one entry: retries may be a share of fresh requests only.
 * Lock-free; safe from several threads.
 */
struct retry_budget;

struct retry_budget *retry_budget_new(
    uint32_t percent, uint32_t minimum_tokens);
void retry_budget_free(struct retry_budget *budget);
void retry_budget_deposit(struct retry_budget *budget);
bool retry_budget_withdraw(struct retry_budget *budget);

enum attempt_end {
	ATTEMPT_NOT_RUN,
	ATTEMPT_UNKNOWN,
	ATTEMPT_FENCED, /* not run; send again at once with the new hint */
};

/*
 * What a refusal means to the sender of the OPEN. sent is the hint that the
 * OPEN bore, answer the hint that came with the refusal. A refusal by another
 * incarnation than the OPEN was addressed to is unknown: that one may have
 * run a copy of it before it was replaced. An OPEN that bore no incarnation
 * runs nowhere.
 */
enum attempt_end attempt_classify(const struct guard_hint *sent,
    enum refusal_reason reason, const struct guard_hint *answer);

struct retry_question {
	enum attempt_end end;
	bool idempotent;
	bool body_replayable;
	bool probe;       /* the attempt went to an upstream without a hint */
	uint32_t attempt; /* of this hop, from 0; fenced ones don't count */
	uint32_t attempts_max; /* when an attempt may have run */
	uint32_t fenced;       /* fenced attempts of this hop before this one */
	uint32_t incoming_attempt; /* the caller's own, from its header */
	int64_t remaining_ms;
};

/*
 * A fenced attempt is sent again without the budget, FENCED_RESENDS_MAX times
 * at most. So is a probe that did not run: the entry itself chose to risk it,
 * and the next attempt is none as long as other upstreams have room. The number
 * in OPEN rises with every attempt, fenced ones included.
 */
enum {
	FENCED_RESENDS_MAX = 3,
	NOT_RUN_ATTEMPTS_MAX = 3, /* of this hop, whatever attempts_max is */
};
bool retry_allowed(
    const struct retry_question *question, struct retry_budget *budget);

#endif
