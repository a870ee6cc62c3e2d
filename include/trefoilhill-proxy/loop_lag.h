#ifndef TREFOILHILL_TREFOILHILL_PROXY_LOOP_LAG_H
#define TREFOILHILL_TREFOILHILL_PROXY_LOOP_LAG_H

#include "trefoilhill-proxy/proxy.h"

/*
 * Measures in each iteration how far the event loop is behind its sockets: the
 * time from a poll to the next one, and by how much a poll returned late.
 */
struct loop_lag;

struct loop_lag *loop_lag_new(struct proxy *proxy);
void loop_lag_free(struct loop_lag *lag);
/*
 * Update the loop's time, which is otherwise that of the last poll, and return
 * the longest time that an event being handled now may have waited.
 */
int64_t loop_lag_update_ms(struct loop_lag *lag);
/* How long a request and its response are expected to wait for the loop. */
uint32_t loop_lag_expected_ms(const struct loop_lag *lag);

#endif
