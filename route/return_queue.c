#include <glib.h>

#include "route/return_queue.h"

enum {
	STEPS = 256,        /* 6.4 s; callers honour no longer times */
	PRIORITIES = 4,     /* less urgent ones share the last one */
	SERVICES_MAX = 256, /* with promises; beyond it all are forgotten */
};

/* Promises of one service, in a ring of steps. */
struct promises {
	int64_t first_step; /* of the ring; earlier ones are over */
	uint16_t count[STEPS][PRIORITIES];
};

struct return_queue {
	GHashTable *services; /* name to struct promises */
};

/*
 * Return an empty queue.
 */
struct return_queue *
return_queue_new(void)
{
	struct return_queue *queue = g_new0(struct return_queue, 1);

	queue->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return queue;
}

/*
 * Free a queue. NULL is allowed.
 */
void
return_queue_free(struct return_queue *queue)
{
	if (queue == NULL)
		return;
	g_hash_table_destroy(queue->services);
	g_free(queue);
}

static struct promises *
find_promises(struct return_queue *queue, const char *service)
{
	struct promises *promises =
	    g_hash_table_lookup(queue->services, service);

	if (promises != NULL)
		return promises;
	if (g_hash_table_size(queue->services) >= SERVICES_MAX)
		g_hash_table_remove_all(queue->services);
	promises = g_new0(struct promises, 1);
	g_hash_table_insert(queue->services, g_strdup(service), promises);
	return promises;
}

/* Forget the promises of steps that are over. */
static void
advance(struct promises *promises, int64_t step)
{
	int64_t over = MIN(step - promises->first_step, STEPS);

	for (int64_t i = 0; i < over; i++)
		for (size_t j = 0; j < PRIORITIES; j++)
			promises->count[(promises->first_step + i) % STEPS][j] =
			    0;
	promises->first_step = MAX(step, promises->first_step);
}

/* Promises of a step to requests of this priority and more urgent ones. */
static unsigned
count_before(const struct promises *promises, int64_t step, uint32_t priority)
{
	unsigned count = 0;

	for (uint32_t i = 0; i <= priority; i++)
		count += promises->count[step % STEPS][i];
	return count;
}

/*
 * Promise a return. Room that is not used adds up to one request at most, so
 * that rates below one in a step are kept as well; what was promised beyond the
 * room, as it was larger then, takes that of later steps.
 */
int64_t
return_queue_promise(struct return_queue *queue, const char *service,
    uint32_t priority, const struct return_room *room, int64_t min_ms,
    int64_t max_ms, int64_t now_ms)
{
	struct promises *promises = find_promises(queue, service);
	double each = room->per_s * RETURN_STEP_MS / 1000;
	int64_t now_step = now_ms / RETURN_STEP_MS;
	int64_t first =
	    (MAX(min_ms, room->opens_ms) + RETURN_STEP_MS - 1) / RETURN_STEP_MS;
	int64_t opens = room->opens_ms / RETURN_STEP_MS;
	int64_t last = MIN(max_ms / RETURN_STEP_MS, STEPS - 1);
	double credit = 0;

	priority = MIN(priority, PRIORITIES - 1);
	advance(promises, now_step);
	for (int64_t i = 0; i <= last; i++) {
		if (i >= opens)
			credit = MIN(credit + each, MAX(each, 1));
		credit -= count_before(promises, now_step + i, priority);
		if (i < first || credit < 1)
			continue;
		promises->count[(now_step + i) % STEPS][priority]++;
		return i * RETURN_STEP_MS;
	}
	return -1;
}
