#ifndef TREFOILHILL_ROUTE_RETRY_H
#define TREFOILHILL_ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"

/*
 * Retry budget of one entry: limits retries to a share of the fresh requests.
 * Lock-free and thread-safe.
 */
struct retry_budget;

struct retry_budget *retry_budget_new(
    uint32_t percent, uint32_t minimum_tokens);
void retry_budget_free(struct retry_budget *budget);
void retry_budget_deposit(struct retry_budget *budget);
bool retry_budget_withdraw(struct retry_budget *budget);

enum attempt_result {
	ATTEMPT_NOT_RUN,
	ATTEMPT_UNKNOWN,
	ATTEMPT_FENCED, /* not run; resend immediately with the new hint */
};

/*
 * Classify a refusal of an OPEN. sent is the hint that the OPEN carried,
 * received the hint that came with the refusal. The result is unknown when an
 * incarnation other than the addressed one refused: the addressed one may have
 * run a copy of the OPEN before it was replaced. An OPEN that carried no
 * incarnation is never run.
 */
enum attempt_result attempt_classify(const struct guard_hint *sent,
    enum refusal_reason reason, const struct guard_hint *received);

struct retry_context {
	enum attempt_result result;
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
 * A fenced attempt is resent without using the budget, at most
 * FENCED_RESENDS_MAX times. A probe that did not run is retried without the
 * budget too: the entry itself chose to probe, and the next attempt is no probe
 * as long as other upstreams have capacity. The attempt number in the OPEN
 * increases with every attempt, including fenced ones.
 */
enum {
	FENCED_RESENDS_MAX = 3,
	NOT_RUN_ATTEMPTS_MAX = 3, /* of this hop, whatever attempts_max is */
};
bool retry_allowed(
    const struct retry_context *context, struct retry_budget *budget);

#endif
