#include <glib.h>

#include "guard/class_share.h"

enum {
	DECAY_STEP_MS = 500,
	DECAY_PERCENT = 85, /* for each step: a half-life of 2.1 s */
	/* Sum of the weights of the last steps, on average over a step. */
	WINDOW_US = 3083 * 1000,
	/*
	 * Each priority is guaranteed a quarter of the share served of all
	 * requests. The rest is a margin, as the counts are of one gate and of
	 * a few seconds. A higher guarantee takes requests from the priority
	 * before the last one.
	 */
	GUARANTEED_PERCENT = 30,
	PERCENT = 100,
};

/*
 * Return the index of a priority.
 */
uint32_t
class_share_index(uint32_t priority)
{
	return MIN(priority, CLASS_SHARE_COUNT - 1);
}

static void
decay(struct class_share *share, int64_t now_ms)
{
	int64_t steps = (now_ms - share->decayed_ms) / DECAY_STEP_MS;
	double factor = 1;

	if (steps <= 0)
		return;
	share->decayed_ms += steps * DECAY_STEP_MS;
	for (; steps > 0 && factor > 0.001; steps--)
		factor = factor * DECAY_PERCENT / PERCENT;
	for (size_t i = 0; i < CLASS_SHARE_COUNT; i++) {
		share->offered[i] *= factor;
		share->served[i] *= factor;
		share->work_us[i] *= factor;
	}
}

/*
 * Count a request that asks for admission.
 */
void
class_share_add_offered(
    struct class_share *share, uint32_t priority, int64_t now_ms)
{
	decay(share, now_ms);
	share->offered[class_share_index(priority)]++;
}

/*
 * Count an offered request that starts, or that is promised to start.
 */
void
class_share_add_served(struct class_share *share, uint32_t priority)
{
	share->served[class_share_index(priority)]++;
}

static void
remove_one(double *count)
{
	*count = MAX(*count - 1, 0);
}

/*
 * Undo class_share_add_offered.
 */
void
class_share_remove_offered(struct class_share *share, uint32_t priority)
{
	remove_one(&share->offered[class_share_index(priority)]);
}

/*
 * Undo class_share_add_served.
 */
void
class_share_remove_served(struct class_share *share, uint32_t priority)
{
	remove_one(&share->served[class_share_index(priority)]);
}

/*
 * Tell whether one more request of this priority may start before more urgent
 * ones without exceeding the guaranteed share.
 */
bool
class_share_is_deprived(const struct class_share *share, uint32_t priority)
{
	uint32_t index = class_share_index(priority);
	double offered = 0, served = 0;

	for (size_t i = 0; i < CLASS_SHARE_COUNT; i++) {
		offered += share->offered[i];
		served += share->served[i];
	}
	return offered > 0 &&
	    share->served[index] + 1 <= share->offered[index] * served /
		offered * GUARANTEED_PERCENT / PERCENT;
}

/*
 * Count the work of a request that starts.
 */
void
class_share_add_work(
    struct class_share *share, uint32_t priority, uint32_t run_us)
{
	share->work_us[class_share_index(priority)] += run_us;
}

/*
 * Return the mean number of slots that requests of more urgent priorities have
 * used of late.
 */
double
class_share_slots_before(const struct class_share *share, uint32_t priority)
{
	double work_us = 0;

	for (uint32_t i = 0; i < class_share_index(priority); i++)
		work_us += share->work_us[i];
	return work_us / WINDOW_US;
}
