#ifndef TREFOILHILL_ROUTE_RUN_TIMES_H
#define TREFOILHILL_ROUTE_RUN_TIMES_H

#include <stdint.h>

/*
 * How long upstreams usually take for the requests of each route, and how long
 * its callers usually wait.
 */
struct run_times;

struct run_times *run_times_new(void);
void run_times_free(struct run_times *times);
void run_times_learn(
    struct run_times *times, const char *route, int64_t run_ms);
/*
 * How long the caller has been trying: its deadline is that much shorter than
 * the longest that was seen on the route. Learns from each call.
 */
int64_t run_times_spent_ms(
    struct run_times *times, const char *route, int64_t deadline_ms);
/* The recent mean, or the fallback before the first. */
uint32_t run_times_ms(
    struct run_times *times, const char *route, uint32_t fallback_ms);

#endif
