#ifndef TREFOILHILL_TREFOILHILLD_CALL_SERVICE_H
#define TREFOILHILL_TREFOILHILLD_CALL_SERVICE_H

#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/str.h"
#include "trefoilhilld/call_link.h"
#include "trefoilhilld/locked_guard.h"

/* Runs calls from the entries of all nodes on this host's upstream. */
struct call_service;

enum service_counter {
	SERVICE_OPENED,
	SERVICE_DUPLICATE,
	SERVICE_UNMATCHED,
	SERVICE_ANSWERED,
	SERVICE_REFUSED,
	SERVICE_INCOMPLETE,
	SERVICE_CANCELLED,
	SERVICE_ENTRY_LOST,
	SERVICE_COUNTER_COUNT,
};

struct call_service_settings {
	struct str upstream_name;
	struct str upstream_address;
	uint32_t connections;
};

struct call_service *call_service_new(
    const struct call_service_settings *settings, struct clock *clock,
    struct locked_guard *guard);
void call_service_free(struct call_service *service);
void call_service_set_ready(struct call_service *service, bool ready);
/* Takes ownership of frame, body (may be NULL) and link. */
void call_service_handle_frame(struct call_service *service,
    struct call_frame *frame, GBytes *body, struct call_link *link,
    bool remote);
/*
 * Cancel calls whose entry has been silent for lost_ms milliseconds; a negative
 * value cancels all calls.
 */
void call_service_sweep(struct call_service *service, int64_t lost_ms);
bool call_service_is_idle(struct call_service *service);
const struct counter_set *call_service_counters(
    const struct call_service *service);

#endif
