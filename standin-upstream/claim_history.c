#include "common/clock.h"
#include "standin-upstream/claim_history.h"

/*
 * Append one state; the oldest makes room.
 */
void
claim_history_add(struct claim_history *history, const struct claim *claim)
{
	history->ring[history->count % CLAIM_HISTORY_CAPACITY] = *claim;
	history->count++;
}

/*
 * Return the newest state that is not after then, or the oldest held.
 */
struct claim
claim_history_at(const struct claim_history *history, struct timespec then)
{
	size_t oldest = history->count > CLAIM_HISTORY_CAPACITY
	    ? history->count - CLAIM_HISTORY_CAPACITY
	    : 0;
	struct claim found = history->ring[oldest % CLAIM_HISTORY_CAPACITY];

	for (size_t i = oldest + 1; i < history->count; i++) {
		const struct claim *claim =
		    &history->ring[i % CLAIM_HISTORY_CAPACITY];

		if (timespec_before(then, claim->at))
			break;
		found = *claim;
	}
	return found;
}
