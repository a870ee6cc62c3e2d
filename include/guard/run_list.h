#ifndef TREFOILHILL_GUARD_RUN_LIST_H
#define TREFOILHILL_GUARD_RUN_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The requests in progress at one upstream. Answers the load pattern of repeats
 * that multiply along a call chain: a run makes calls of its own, which bear no
 * mark of the run, and those of a repeated run are load that would not exist
 * without the repeat. Times are milliseconds of a monotonic clock.
 */
struct run_list {
	GQueue runs; /* struct run */
};

/* Embedded in the user's own structure; zeroed before run_list_add. */
struct run {
	GList link;
	bool listed;
	int64_t deadline_ms;
	bool is_repeat; /* an earlier attempt reached an upstream */
};

/* Runs that a call may belong to. */
struct run_counts {
	uint32_t all;
	uint32_t repeats;
};

void run_list_add(
    struct run_list *list, struct run *run, int64_t deadline_ms, bool repeat);
/* Does nothing if the run isn't listed. */
void run_list_remove(struct run_list *list, struct run *run);
/* Count the runs that may have made a call with this deadline. */
struct run_counts run_list_count_callers(
    const struct run_list *list, int64_t call_deadline_ms);

#endif
