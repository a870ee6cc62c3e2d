#ifndef TREFOILHILL_ROUTE_RETRY_H
#define TREFOILHILL_ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

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
};

struct retry_question {
	enum attempt_end end;
	bool idempotent;
	bool body_replayable;
	uint32_t attempt; /* of this hop, from 0 */
	uint32_t attempts_max;
	uint32_t incoming_attempt; /* the caller's own, from its header */
	int64_t remaining_ms;
};

bool retry_allowed(
    const struct retry_question *question, struct retry_budget *budget);

#endif
