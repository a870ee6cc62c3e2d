#include <glib.h>

#include "route/run_times.h"

enum {
	MEAN_WEIGHT = 16, /* a sample moves the mean by 1/16 of its distance */
	MEAN_SCALE = 16,  /* means are stored in 1/16 ms */
	/*
	 * A step down is nine times as long as a step up, so the reference
	 * converges to the tenth percentile of the deadlines.
	 */
	REFERENCE_STEP_UP_MS = 4,
	REFERENCE_STEP_DOWN_MS = 9 * REFERENCE_STEP_UP_MS,
	/*
	 * A step up is nineteen times as long as a step down, so the tail
	 * converges to the 95th percentile. Steps are in parts of the tail.
	 */
	TAIL_STEP_DOWN_DIVISOR = 160,
	TAIL_STEP_UP_FACTOR = 19,
	TAIL_SAMPLES_MIN = 20,   /* before that it says nothing */
	TAIL_AGE_MAX_MS = 60000, /* then it is measured anew */
};

struct tail {
	int64_t scaled; /* in 1/16 ms */
	int64_t updated_ms;
	uint32_t count;
};

struct run_times {
	GHashTable *means; /* route to mean run time in 1/16 ms, as integer */
	/* Route to reference deadline in ms, as integer. */
	GHashTable *reference_deadlines;
	GHashTable *tails; /* route to struct tail */
};

/*
 * Return an empty table.
 */
struct run_times *
run_times_new(void)
{
	struct run_times *times = g_new0(struct run_times, 1);

	times->means =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	times->reference_deadlines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	times->tails =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return times;
}

/*
 * Free a table. NULL is allowed.
 */
void
run_times_free(struct run_times *times)
{
	if (times == NULL)
		return;
	g_hash_table_destroy(times->means);
	g_hash_table_destroy(times->reference_deadlines);
	g_hash_table_destroy(times->tails);
	g_free(times);
}

/*
 * Add the run time of one response, in milliseconds, to the mean of its route.
 */
void
run_times_add(struct run_times *times, const char *route, int64_t run_ms)
{
	int64_t mean =
	    GPOINTER_TO_INT(g_hash_table_lookup(times->means, route));
	int64_t scaled = CLAMP(run_ms, 1, 1000000) * MEAN_SCALE;

	mean = mean == 0 ? scaled : mean + (scaled - mean) / MEAN_WEIGHT;
	g_hash_table_insert(
	    times->means, g_strdup(route), GINT_TO_POINTER((int)MAX(mean, 1)));
}

/*
 * Return for how many milliseconds at least a caller has been retrying, as
 * inferred from the deadline it sends. The deadlines of first attempts differ
 * between callers, so differences within the usual range of a route are no
 * evidence: the reference is the deadline that all but a few requests exceed.
 */
int64_t
run_times_retrying_ms(
    struct run_times *times, const char *route, int64_t deadline_ms)
{
	int64_t reference_ms = GPOINTER_TO_INT(
	    g_hash_table_lookup(times->reference_deadlines, route));

	if (deadline_ms < 0 || deadline_ms > G_MAXINT)
		return 0;
	if (reference_ms == 0)
		reference_ms = deadline_ms;
	else if (deadline_ms < reference_ms)
		reference_ms -=
		    MIN(reference_ms - deadline_ms, REFERENCE_STEP_DOWN_MS);
	else
		reference_ms +=
		    MIN(deadline_ms - reference_ms, REFERENCE_STEP_UP_MS);
	g_hash_table_insert(times->reference_deadlines, g_strdup(route),
	    GINT_TO_POINTER((int)reference_ms));
	return MAX(reference_ms - deadline_ms, 0);
}

/*
 * Return the mean run time of a route in milliseconds.
 */
uint32_t
run_times_mean_ms(
    struct run_times *times, const char *route, uint32_t fallback_ms)
{
	int mean = GPOINTER_TO_INT(g_hash_table_lookup(times->means, route));

	return mean == 0 ? fallback_ms : (uint32_t)(mean / MEAN_SCALE) + 1;
}

static void
move_tail(struct tail *tail, int64_t scaled)
{
	int64_t step = MAX(tail->scaled / TAIL_STEP_DOWN_DIVISOR, 1);

	if (tail->count++ < TAIL_SAMPLES_MIN)
		tail->scaled = MAX(tail->scaled, scaled);
	else if (scaled > tail->scaled)
		tail->scaled =
		    MIN(scaled, tail->scaled + step * TAIL_STEP_UP_FACTOR);
	else
		tail->scaled = MAX(scaled, tail->scaled - step);
}

/*
 * Add a run time to the tail of its route. Of a request whose first send was
 * given up on, this is the time that it had taken until then, which is above
 * the tail; without it the tail would fall with each hedge.
 */
void
run_times_add_tail(
    struct run_times *times, const char *route, int64_t run_ms, int64_t now_ms)
{
	struct tail *tail = g_hash_table_lookup(times->tails, route);

	if (tail == NULL) {
		tail = g_new0(struct tail, 1);
		g_hash_table_insert(times->tails, g_strdup(route), tail);
	}
	if (now_ms - tail->updated_ms > TAIL_AGE_MAX_MS)
		*tail = (struct tail){ 0 };
	move_tail(tail, CLAMP(run_ms, 1, 1000000) * MEAN_SCALE);
	tail->updated_ms = now_ms;
}

/*
 * Return the run time that 95 in 100 requests of a route don't exceed.
 */
uint32_t
run_times_tail_ms(struct run_times *times, const char *route, int64_t now_ms)
{
	const struct tail *tail = g_hash_table_lookup(times->tails, route);

	if (tail == NULL || tail->count < TAIL_SAMPLES_MIN ||
	    now_ms - tail->updated_ms > TAIL_AGE_MAX_MS)
		return 0;
	return (uint32_t)(tail->scaled / MEAN_SCALE) + 1;
}
