#ifndef TREFOILHILL_TREFOILHILL_PROXY_GATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_GATE_H

#include "guard/admission.h"
#include "http/pool.h"
#include "trefoilhill-proxy/proxy.h"

/* The one way to the upstream on this host. */
struct gate;

struct gate *gate_new(struct proxy *proxy, GError **error);
void gate_free(struct gate *gate);
struct admission *gate_admission(struct gate *gate);
struct http_pool *gate_pool(struct gate *gate);
/* The upstream that is registered at this host's address, or NULL. */
struct upstream *gate_upstream(struct gate *gate);
/* Look again which upstream is there, and what state it is in. */
void gate_refresh(struct gate *gate);
/* Let queued requests have their turn, and set the timer for the next. */
void gate_poll(struct gate *gate);
/* A large answer went out: its size, and how long the upstream took. */
void gate_record_bulk(struct gate *gate, uint64_t bytes, int64_t run_ms);
struct load_report gate_load_report(struct gate *gate);
bool gate_accepts_instance(const struct gate *gate, struct str instance);
void gate_record_mismatch(struct gate *gate);

#endif
