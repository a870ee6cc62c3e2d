#ifndef TREFOILHILL_LOAD_SENDER_H
#define TREFOILHILL_LOAD_SENDER_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#include "common/clock.h"
#include "trefoilhill-load/options.h"
#include "trefoilhill-load/plan.h"
#include "trefoilhill-load/result.h"

/* State of a thread that sends every stride-th request of the plan. */
struct sender {
	const struct load_options *options;
	struct plan *plan;
	struct clock *clock;
	struct timespec start;
	size_t next; /* index of the next request */
	size_t stride;
	size_t in_flight;
	CURLM *multi;
	int epoll;
	bool timer_set; /* libcurl must be called at timer_at */
	struct timespec timer_at;
	GPtrArray *idle; /* struct call */
	struct result *result;
};

struct sender *sender_new(const struct load_options *options, struct plan *plan,
    struct timespec start, size_t first, size_t stride);
void sender_free(struct sender *sender);
void sender_run(struct sender *sender);

#endif
