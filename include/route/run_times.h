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
 * How many milliseconds the caller has been trying at least: its deadline is
 * that much shorter than usual on the route; 0 for a deadline below 0, which
 * says nothing. Learns from each call.
 */
int64_t run_times_spent_ms(
    struct run_times *times, const char *route, int64_t deadline_ms);
/* The recent mean, or the fallback before the first. */
uint32_t run_times_ms(
    struct run_times *times, const char *route, uint32_t fallback_ms);

#endif
