#ifndef TREFOILHILL_TREFOILHILL_PROXY_GATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_GATE_H

#include "guard/admission.h"
#include "guard/run_list.h"
#include "http/pool.h"
#include "quarantine/recent_runs.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Admission control, connection pool and registration state of the upstream on
 * this host. All requests to that upstream pass through it.
 */
struct gate;
struct crash_watch;

struct gate *gate_new(struct proxy *proxy, GError **error);
void gate_free(struct gate *gate);
struct admission *gate_admission(struct gate *gate);
struct http_pool *gate_pool(struct gate *gate);
struct recent_runs *gate_recent_runs(struct gate *gate);
struct crash_watch *gate_crash_watch(struct gate *gate);
/* The requests in progress at the upstream. */
struct run_list *gate_runs(struct gate *gate);
/* The upstream that is registered at this host's address, or NULL. */
struct upstream *gate_upstream(struct gate *gate);
/* Update which upstream is registered, and its state, from the catalog. */
void gate_refresh(struct gate *gate);
/* Start and expire queued requests, and set the timer for the next call. */
void gate_poll(struct gate *gate);
/* Record the size of a large response and the upstream's time for it. */
void gate_record_bulk(struct gate *gate, uint64_t bytes, int64_t run_ms);
/* Record the upstream's time for a response, for load reports. */
void gate_record_latency(struct gate *gate, uint32_t latency_us);
struct load_report gate_load_report(struct gate *gate);
/* Append the counts of refusals in the Prometheus text format. */
void gate_render_refusals(const struct gate *gate, GString *out);
/* Record what an upstream says of itself in a response to this node. */
void gate_record_notice(struct gate *gate, struct upstream *upstream,
    const struct upstream_notice *notice);
/*
 * A peer has been told of a limit by the upstream, in requests per 1,000 s; 0:
 * of none.
 */
void gate_adopt_rate_limit(struct gate *gate, uint32_t per_ks);
bool gate_accepts_instance(const struct gate *gate, struct str instance);
void gate_record_mismatch(struct gate *gate);

#endif
