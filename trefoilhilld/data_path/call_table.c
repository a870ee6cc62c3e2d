#include "trefoilhilld/call_table.h"

enum {
	INDEX_BITS = 16,
	/* One response frame may exceed the window by less than a chunk. */
	INBOX_BYTES_MAX = CALL_WINDOW_BYTES + CALL_CHUNK_BYTES,
};

struct call_table {
	struct clock *clock;
	size_t count;
	struct call_slot *slots;
};

static void
call_slot_init(struct call_slot *slot, size_t index)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&slot->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_init(&slot->lock, NULL);
	g_queue_init(&slot->inbox);
	slot->index = index;
}

/*
 * Return a table of free slots. The number of slots is limited to 65536.
 */
struct call_table *
call_table_new(struct clock *clock, size_t slots)
{
	struct call_table *table = g_new0(struct call_table, 1);

	table->clock = clock;
	table->count = MIN(slots, (size_t)1 << INDEX_BITS);
	table->slots = g_new0(struct call_slot, table->count);
	for (size_t i = 0; i < table->count; i++)
		call_slot_init(&table->slots[i], i);
	return table;
}

/*
 * Free the table; no call may be open. NULL is allowed.
 */
void
call_table_free(struct call_table *table)
{
	if (table == NULL)
		return;
	for (size_t i = 0; i < table->count; i++) {
		call_slot_end(&table->slots[i]);
		pthread_mutex_destroy(&table->slots[i].lock);
		pthread_cond_destroy(&table->slots[i].changed);
	}
	g_free(table->slots);
	g_free(table);
}

/*
 * Return one slot, owned by the table, or NULL if the index is out of range.
 */
struct call_slot *
call_table_slot(struct call_table *table, size_t index)
{
	return index < table->count ? &table->slots[index] : NULL;
}

/*
 * Free an event with its frame and body. NULL is allowed.
 */
void
call_event_free(struct call_event *event)
{
	if (event == NULL)
		return;
	call_frame_free(event->frame);
	if (event->body != NULL)
		g_bytes_unref(event->body);
	g_free(event);
}

/*
 * Return the slot of a call, locked, or NULL if the id is unknown or of an
 * earlier call.
 */
static struct call_slot *
lock_slot(struct call_table *table, uint64_t id)
{
	size_t index = id & (((uint64_t)1 << INDEX_BITS) - 1);
	struct call_slot *slot = call_table_slot(table, index);

	if (slot == NULL || id == 0)
		return NULL;
	pthread_mutex_lock(&slot->lock);
	if (slot->id == id)
		return slot;
	pthread_mutex_unlock(&slot->lock);
	return NULL;
}

/*
 * Hand a frame to the worker that waits for it. The generation in the call id
 * identifies frames of ended calls, including the previous call of the same
 * slot; these are dropped.
 */
bool
call_table_deliver(
    struct call_table *table, struct call_frame *frame, GBytes *body)
{
	struct call_event *event = g_new0(struct call_event, 1);
	struct call_slot *slot = lock_slot(table, frame->call);
	size_t size = body == NULL ? 0 : g_bytes_get_size(body);

	event->frame = frame;
	event->body = body;
	if (slot == NULL) {
		call_event_free(event);
		return false;
	}
	slot->last_heard = clock_now(table->clock);
	if (slot->inbox_bytes + size > INBOX_BYTES_MAX) {
		slot->failure = CALL_FAILURE_PROTOCOL;
		call_event_free(event);
	} else {
		slot->inbox_bytes += size;
		g_queue_push_tail(&slot->inbox, event);
	}
	pthread_cond_signal(&slot->changed);
	pthread_mutex_unlock(&slot->lock);
	return true;
}

static void
fail_locked(struct call_slot *slot, enum call_failure failure)
{
	if (slot->failure == CALL_FAILURE_NONE)
		slot->failure = failure;
	pthread_cond_signal(&slot->changed);
}

/*
 * Fail a call. Frames that arrived earlier are still delivered.
 */
void
call_table_fail(
    struct call_table *table, uint64_t id, enum call_failure failure)
{
	struct call_slot *slot = lock_slot(table, id);

	if (slot == NULL)
		return;
	fail_locked(slot, failure);
	pthread_mutex_unlock(&slot->lock);
}

/*
 * Fail all calls.
 */
void
call_table_fail_all(struct call_table *table, enum call_failure failure)
{
	for (size_t i = 0; i < table->count; i++) {
		struct call_slot *slot = &table->slots[i];

		pthread_mutex_lock(&slot->lock);
		if (slot->id != 0)
			fail_locked(slot, failure);
		pthread_mutex_unlock(&slot->lock);
	}
}

/*
 * Record that the guard's node still has the call.
 */
void
call_table_mark_alive(struct call_table *table, uint64_t id)
{
	struct call_slot *slot = lock_slot(table, id);

	if (slot == NULL)
		return;
	slot->last_heard = clock_now(table->clock);
	pthread_mutex_unlock(&slot->lock);
}

static void
add_call_id(GHashTable *by_peer, const char *peer, uint64_t id)
{
	GArray *ids = g_hash_table_lookup(by_peer, peer);

	if (ids == NULL) {
		ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_insert(by_peer, g_strdup(peer), ids);
	}
	if (ids->len < CALL_PING_MAX)
		g_array_append_val(ids, id);
}

/*
 * See include/trefoilhilld/call_table.h.
 */
GHashTable *
call_table_sweep(struct call_table *table, int64_t min_age_ms, int64_t lost_ms)
{
	struct timespec now = clock_now(table->clock);
	GHashTable *by_peer = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);

	for (size_t i = 0; i < table->count; i++) {
		struct call_slot *slot = &table->slots[i];

		pthread_mutex_lock(&slot->lock);
		if (slot->id == 0 || slot->peer == NULL)
			; /* free slot or local call */
		else if (timespec_ms_between(slot->last_heard, now) >= lost_ms)
			fail_locked(slot, CALL_FAILURE_PEER_LOST);
		else if (timespec_ms_between(slot->started, now) >= min_age_ms)
			add_call_id(by_peer, slot->peer, slot->id);
		pthread_mutex_unlock(&slot->lock);
	}
	return by_peer;
}

/*
 * Begin a call in a free slot and return its id. An empty peer means this host,
 * whose calls cannot be lost in transit.
 */
uint64_t
call_slot_begin(struct call_slot *slot, struct clock *clock, struct str peer)
{
	uint64_t id;

	pthread_mutex_lock(&slot->lock);
	slot->generation++;
	slot->id = slot->generation << INDEX_BITS | slot->index;
	slot->peer = peer.len == 0 ? NULL : str_dup_cstr(peer);
	slot->failure = CALL_FAILURE_NONE;
	slot->started = clock_now(clock);
	slot->last_heard = slot->started;
	id = slot->id;
	pthread_mutex_unlock(&slot->lock);
	return id;
}

/*
 * Wait for the next frame of the slot's call.
 */
struct call_event *
call_slot_wait(struct call_slot *slot, struct timespec deadline,
    enum call_failure *failure)
{
	struct call_event *event;
	int status = 0;

	*failure = CALL_FAILURE_NONE;
	pthread_mutex_lock(&slot->lock);
	while (g_queue_is_empty(&slot->inbox) &&
	    slot->failure == CALL_FAILURE_NONE && status == 0)
		status = pthread_cond_timedwait(
		    &slot->changed, &slot->lock, &deadline);
	event = g_queue_pop_head(&slot->inbox);
	if (event == NULL)
		*failure = slot->failure;
	else if (event->body != NULL)
		slot->inbox_bytes -= g_bytes_get_size(event->body);
	pthread_mutex_unlock(&slot->lock);
	return event;
}

/*
 * End the slot's call. Frames that arrive for it afterwards are dropped as
 * late.
 */
void
call_slot_end(struct call_slot *slot)
{
	struct call_event *event;

	pthread_mutex_lock(&slot->lock);
	slot->id = 0;
	g_clear_pointer(&slot->peer, g_free);
	while ((event = g_queue_pop_head(&slot->inbox)) != NULL)
		call_event_free(event);
	slot->inbox_bytes = 0;
	pthread_mutex_unlock(&slot->lock);
}
