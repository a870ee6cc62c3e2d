#ifndef TREFOILHILL_STANDIN_UPSTREAM_UPSTREAM_H
#define TREFOILHILL_STANDIN_UPSTREAM_UPSTREAM_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "common/clock.h"
#include "standin-upstream/options.h"
#include "standin-upstream/per_second_log.h"
#include "standin-upstream/run_log.h"
#include "standin-upstream/status_history.h"
#include "standin-upstream/work_gate.h"

/* A simulated upstream. */
struct upstream {
	const struct upstream_options *options;
	struct clock *clock;
	pthread_mutex_t lock;
	pthread_cond_t slot_free;
	struct work_gate gate;
	struct per_second_log seconds;
	struct status_history history;
	struct run_log *runs;
	pthread_t sampler;
	atomic_bool stopping;
	atomic_bool hung;
	atomic_bool reports_idle;
	atomic_uint report_lag_ms;
	atomic_uint cold_slowdown;
	atomic_uint_fast64_t cancelled;
	atomic_uint_fast64_t deadline_passed;
	atomic_uint_fast64_t next_request;
};

/* Whether a request was begun, or why not. */
enum begin_result {
	BEGIN_OK,
	BEGIN_SHED,
	BEGIN_FAILING,
	BEGIN_CANCELLED,
	BEGIN_DEADLINE,
};

struct upstream *upstream_new(const struct upstream_options *options);
void upstream_stop(struct upstream *upstream);
void upstream_free(struct upstream *upstream);
enum begin_result upstream_begin_work(struct upstream *upstream,
    const struct mg_connection *conn, struct timespec deadline,
    uint64_t *generation);
bool upstream_finish_work(
    struct upstream *upstream, uint64_t generation, bool completed);
bool upstream_has_failed_since(struct upstream *upstream, uint64_t generation);
bool upstream_is_cold(struct upstream *upstream);
struct status_report upstream_reported_status(struct upstream *upstream);
json_t *upstream_counts(struct upstream *upstream);
bool upstream_set_state(struct upstream *upstream, json_t *state);

#endif
