#ifndef TREFOILHILL_ROUTE_QUEUE_TIME_H
#define TREFOILHILL_ROUTE_QUEUE_TIME_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How long a request may be queued at the gate of an upstream. Answers a burst
 * above what the upstreams can run: requests that wait longer than they can
 * afford are late themselves, and make those behind them late. After an outage
 * many requests come back with little of their time left; running them takes
 * capacity from those that can be served. Times are in milliseconds.
 */
struct queue_time_request {
	int64_t objective_ms; /* for the response, from the first attempt */
	int64_t spent_ms;     /* of that, by earlier attempts and until now */
	int64_t remaining_ms; /* until the deadline */
	int64_t run_ms;       /* usual run time of such a request */
};

struct queue_time {
	int64_t max_ms;
	bool late; /* the objective can't be met any more */
	/* Even the fastest upstream would not respond before the deadline. */
	bool hopeless;
};

struct queue_time queue_time_of(const struct queue_time_request *request);

#endif
