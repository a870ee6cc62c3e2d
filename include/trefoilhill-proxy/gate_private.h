#ifndef TREFOILHILL_TREFOILHILL_PROXY_GATE_PRIVATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_GATE_PRIVATE_H

#include "guard/bulk_limit.h"
#include "guard/cold_check.h"
#include "route/latency_mean.h"
#include "trefoilhill-proxy/gate.h"
#include "trefoilhill-proxy/instance_probe.h"

/* Private to the source files of the gate. */
struct gate {
	uv_timer_t *timer;
	struct proxy *proxy;
	struct admission *admission;
	struct run_list runs;
	struct recent_runs recent_runs;
	struct crash_watch *crash_watch;
	struct http_pool *pool;
	struct sockaddr_in address;
	struct instance_probe *probe;
	struct cold_check cold_check;
	struct upstream *upstream; /* a reference; NULL: none registered */
	char *upstream_id;
	char *service;
	char *replaced_id; /* previous instance of the same service */
	uint64_t started_ms;
	bool zone_out;
	struct bulk_limit bulk_limit;
	struct latency_mean latency;
	int64_t mismatch_until_ms;     /* another instance responded */
	int64_t assumed_cold_until_ms; /* assumed, not reported */
};

void gate_apply_rate_limit(struct gate *gate);
void gate_log_state(
    struct gate *gate, const char *event, bool open, int64_t cold_ms);
void gate_record_replaced_id(
    struct gate *gate, const struct upstream *upstream);
void gate_probe_start(struct gate *gate);
void gate_handle_instance(void *arg, const struct instance_info *info);

#endif
