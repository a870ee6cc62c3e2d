#include <stdatomic.h>
#include <urcu-bp.h>

#include "config/live.h"

struct live_config {
	/* atomic: ThreadSanitizer does not see rcu_assign_pointer */
	struct snapshot *_Atomic current;
};

/*
 * Return a live configuration without a snapshot.
 */
struct live_config *
live_config_new(void)
{
	return g_new0(struct live_config, 1);
}

/*
 * Free the live configuration and its reference to the snapshot. No thread may
 * still read it. NULL is allowed.
 */
void
live_config_free(struct live_config *live)
{
	if (live == NULL)
		return;
	if (atomic_load(&live->current) != NULL)
		snapshot_unref(atomic_load(&live->current));
	g_free(live);
}

/*
 * Return a new reference to the current snapshot, or NULL before the first. A
 * request keeps its reference from the first byte to the last, and so uses one
 * version. The RCU read-side critical section covers only the reference count,
 * so a long request never blocks the writer.
 */
struct snapshot *
live_config_get(struct live_config *live)
{
	struct snapshot *snapshot;

	rcu_read_lock();
	snapshot = atomic_load_explicit(&live->current, memory_order_acquire);
	if (snapshot != NULL)
		snapshot_ref(snapshot);
	rcu_read_unlock();
	return snapshot;
}

/*
 * Replace the current snapshot and release the previous one. Adds a reference
 * of its own. Only one thread may publish.
 */
void
live_config_publish(struct live_config *live, struct snapshot *snapshot)
{
	struct snapshot *previous = atomic_load(&live->current);

	atomic_store_explicit(
	    &live->current, snapshot_ref(snapshot), memory_order_release);
	if (previous == NULL)
		return;
	synchronize_rcu();
	snapshot_unref(previous);
}
