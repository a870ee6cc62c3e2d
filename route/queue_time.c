#include <glib.h>

#include "route/queue_time.h"

enum {
	/*
	 * A request may be queued as long as it can still meet its objective,
	 * but at least for this share of the objective, percent.
	 */
	QUEUE_MIN_PERCENT = 25,
	/*
	 * Run times vary: without a margin, half of the requests that are
	 * queued for their full time would miss the objective. The margin is
	 * one more expected run time, at most this share of the objective,
	 * percent.
	 */
	QUEUE_MARGIN_PERCENT = 25,
	/*
	 * A request that can't meet its objective may be queued for this
	 * share of the time until its deadline, percent.
	 */
	LATE_QUEUE_PERCENT = 40,
	/*
	 * The fastest upstreams of a service take little more than half of the
	 * usual run time.
	 */
	FASTEST_RUN_PERCENT = 50,
	PERCENT = 100,
};

/*
 * Return how long the request may be queued, whether it is late, and whether it
 * can be served at all.
 */
struct queue_time
queue_time_of(const struct queue_time_request *request)
{
	int64_t margin_ms = MIN(request->run_ms,
	    request->objective_ms * QUEUE_MARGIN_PERCENT / PERCENT);
	int64_t spare_ms = request->objective_ms - request->spent_ms -
	    margin_ms - request->run_ms;
	int64_t min_ms = request->objective_ms * QUEUE_MIN_PERCENT / PERCENT;
	struct queue_time time = {
		.late = spare_ms < 0,
		.hopeless = request->remaining_ms <
		    request->run_ms * FASTEST_RUN_PERCENT / PERCENT,
	};

	if (time.late)
		min_ms = request->remaining_ms * LATE_QUEUE_PERCENT / PERCENT;
	time.max_ms = MAX(0,
	    MIN(MAX(spare_ms, min_ms),
		request->remaining_ms - request->run_ms));
	return time;
}
