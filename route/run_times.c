#include <glib.h>

#include "route/run_times.h"

enum {
	WEIGHT = 16, /* a new time counts one part in so many */
	SCALE = 16,  /* times are kept in sixteenths of a millisecond */
	/* Nine up for one down: a tenth of the deadlines is shorter. */
	DEADLINE_STEP_UP_MS = 4,
	DEADLINE_STEP_DOWN_MS = 9 * DEADLINE_STEP_UP_MS,
};

struct run_times {
	GHashTable *routes;    /* name to the mean, as a number */
	GHashTable *deadlines; /* name to the usual least, as a number */
};

/*
 * Return an empty table.
 */
struct run_times *
run_times_new(void)
{
	struct run_times *times = g_new0(struct run_times, 1);

	times->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	times->deadlines =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
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
	g_hash_table_destroy(times->routes);
	g_hash_table_destroy(times->deadlines);
	g_free(times);
}

/*
 * Take one answer's time into the mean of its route.
 */
void
run_times_learn(struct run_times *times, const char *route, int64_t run_ms)
{
	int64_t mean =
	    GPOINTER_TO_INT(g_hash_table_lookup(times->routes, route));
	int64_t scaled = CLAMP(run_ms, 1, 1000000) * SCALE;

	mean = mean == 0 ? scaled : mean + (scaled - mean) / WEIGHT;
	g_hash_table_insert(
	    times->routes, g_strdup(route), GINT_TO_POINTER((int)MAX(mean, 1)));
}

/*
 * Return how long a caller has been trying at least, by the deadline that it
 * gives. Callers differ in their first deadlines, so what is within the usual
 * spread of a route says nothing: the reference is the deadline that all but
 * a few requests exceed.
 */
int64_t
run_times_spent_ms(
    struct run_times *times, const char *route, int64_t deadline_ms)
{
	int64_t usual =
	    GPOINTER_TO_INT(g_hash_table_lookup(times->deadlines, route));

	if (deadline_ms < 0 || deadline_ms > G_MAXINT)
		return 0;
	if (usual == 0)
		usual = deadline_ms;
	else if (deadline_ms < usual)
		usual -= MIN(usual - deadline_ms, DEADLINE_STEP_DOWN_MS);
	else
		usual += MIN(deadline_ms - usual, DEADLINE_STEP_UP_MS);
	g_hash_table_insert(
	    times->deadlines, g_strdup(route), GINT_TO_POINTER((int)usual));
	return MAX(usual - deadline_ms, 0);
}

/*
 * Return the mean time of a route in milliseconds.
 */
uint32_t
run_times_ms(struct run_times *times, const char *route, uint32_t fallback_ms)
{
	int mean = GPOINTER_TO_INT(g_hash_table_lookup(times->routes, route));

	return mean == 0 ? fallback_ms : (uint32_t)(mean / SCALE) + 1;
}
