#ifndef TREFOILHILL_GUARD_CLASS_SHARE_H
#define TREFOILHILL_GUARD_CLASS_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The share of recent requests of each priority that were served. Answers a
 * burst of 1.4 to 1.7 times the capacity, in which an order by priority alone
 * would serve nothing of the last priority. Pure; times are milliseconds of a
 * monotonic clock.
 */
enum {
	CLASS_SHARE_COUNT = 8, /* less urgent priorities share the last one */
};

struct class_share {
	double offered[CLASS_SHARE_COUNT]; /* decaying counts */
	double served[CLASS_SHARE_COUNT];  /* started, or promised to start */
	double work_us[CLASS_SHARE_COUNT]; /* expected, of those started */
	int64_t decayed_ms;
};

void class_share_add_offered(
    struct class_share *share, uint32_t priority, int64_t now_ms);
void class_share_add_served(struct class_share *share, uint32_t priority);
/* A request counted as offered has been withdrawn by its sender. */
void class_share_remove_offered(struct class_share *share, uint32_t priority);
void class_share_remove_served(struct class_share *share, uint32_t priority);
/* Is this priority served less than its guaranteed part of the mean share? */
bool class_share_is_deprived(
    const struct class_share *share, uint32_t priority);
/* A request has started that is expected to run for so long. */
void class_share_add_work(
    struct class_share *share, uint32_t priority, uint32_t run_us);
/* How many slots more urgent priorities have used on average. */
double class_share_slots_before(
    const struct class_share *share, uint32_t priority);
/* The index of a priority in tables by priority. */
uint32_t class_share_index(uint32_t priority);

#endif
