#include <stdatomic.h>
#include <urcu-bp.h>

#include "config/live.h"

struct live_config {
	/* atomic, as the thread sanitizer cannot see rcu_assign_pointer */
	struct snapshot *_Atomic current;
};

/*
 * Return a holder without a snapshot.
 */
struct live_config *
live_config_new(void)
{
	return g_new0(struct live_config, 1);
}

/*
 * Free the holder and its reference. No reader may be left.
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
 * Pin the snapshot in force: a request works on one version from its first
 * byte to its last. The read section spans only the taking of the reference,
 * so a long request never holds up the writer.
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
 * Put a snapshot in force and drop the one before it. Takes a reference of
 * its own. Only one thread may publish.
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
