#include "common/clock.h"
#include "standin-upstream/status_history.h"

/*
 * Append one state; overwrites the oldest when full.
 */
void
status_history_add(
    struct status_history *history, const struct status_report *report)
{
	history->ring[history->count % STATUS_HISTORY_CAPACITY] = *report;
	history->count++;
}

/*
 * Return the newest state that is not after then, or the oldest retained.
 */
struct status_report
status_history_at(const struct status_history *history, struct timespec then)
{
	size_t oldest = history->count > STATUS_HISTORY_CAPACITY
	    ? history->count - STATUS_HISTORY_CAPACITY
	    : 0;
	struct status_report found =
	    history->ring[oldest % STATUS_HISTORY_CAPACITY];

	for (size_t i = oldest + 1; i < history->count; i++) {
		const struct status_report *report =
		    &history->ring[i % STATUS_HISTORY_CAPACITY];

		if (timespec_before(then, report->at))
			break;
		found = *report;
	}
	return found;
}
