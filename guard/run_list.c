#include "guard/run_list.h"

enum {
	/*
	 * A call's deadline is known only as time left when it was written, so
	 * it seems later by the time until this process has read the call.
	 */
	READ_DELAY_MAX_MS = 50,
};

/*
 * Add a request that has been sent to the upstream.
 */
void
run_list_add(
    struct run_list *list, struct run *run, int64_t deadline_ms, bool repeat)
{
	run->deadline_ms = deadline_ms;
	run->is_repeat = repeat;
	run->listed = true;
	run->link.data = run;
	g_queue_push_tail_link(&list->runs, &run->link);
}

/*
 * Remove a request that has ended.
 */
void
run_list_remove(struct run_list *list, struct run *run)
{
	if (!run->listed)
		return;
	g_queue_unlink(&list->runs, &run->link);
	run->listed = false;
}

/*
 * Count the runs that may have made a call: a call has at most the time that
 * its run has left.
 */
struct run_counts
run_list_count_callers(const struct run_list *list, int64_t call_deadline_ms)
{
	struct run_counts counts = { 0 };

	for (GList *link = list->runs.head; link != NULL; link = link->next) {
		const struct run *run = link->data;

		if (run->deadline_ms + READ_DELAY_MAX_MS < call_deadline_ms)
			continue;
		counts.all++;
		counts.repeats += run->is_repeat;
	}
	return counts;
}
