#ifndef TREFOILHILL_ROUTE_RUN_TIMES_H
#define TREFOILHILL_ROUTE_RUN_TIMES_H

#include <stdint.h>

/*
 * Mean and tail of the run times at the upstreams, and reference deadline of
 * the callers, for each route. All times are in milliseconds.
 */
struct run_times;

struct run_times *run_times_new(void);
void run_times_free(struct run_times *times);
void run_times_add(struct run_times *times, const char *route, int64_t run_ms);
/*
 * For how many milliseconds at least the caller has been retrying: by how much
 * its deadline is shorter than the reference of the route. 0 for a deadline
 * below 0 (none). Each call adjusts the reference.
 */
int64_t run_times_retrying_ms(
    struct run_times *times, const char *route, int64_t deadline_ms);
/* The recent mean, or fallback_ms before the first response. */
uint32_t run_times_mean_ms(
    struct run_times *times, const char *route, uint32_t fallback_ms);
/* Add a run time to the tail of its route. */
void run_times_add_tail(
    struct run_times *times, const char *route, int64_t run_ms, int64_t now_ms);
/* The recent 95th percentile; 0 if too little or nothing recent is known. */
uint32_t run_times_tail_ms(
    struct run_times *times, const char *route, int64_t now_ms);

#endif
