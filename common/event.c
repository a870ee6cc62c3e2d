#include <sched.h>
#include <string.h>

#include "common/event.h"

enum {
	EVENT_WORDS =
	    (sizeof(struct event) + sizeof(uint64_t) - 1) / sizeof(uint64_t),
};

/*
 * A slot is a sequence lock. The stamp is 2 * the sequence of the event in the
 * slot, 1 less while that event is being written, and 0 before the first event.
 * Readers compare it before and after copying. Each word is stored with release
 * and loaded with acquire order, so that a new word is never seen with an old
 * stamp.
 */
struct event_slot {
	atomic_uint_fast64_t stamp;
	atomic_uint_fast64_t words[EVENT_WORDS];
};

static const char *const kind_names[EVENT_KIND_COUNT] = {
	[EVENT_NODE_STARTED] = "node_started",
	[EVENT_NODE_READY] = "node_ready",
	[EVENT_NODE_DRAINING] = "node_draining",
	[EVENT_NODE_STOPPED] = "node_stopped",
	[EVENT_VERSION_ACCEPTED] = "version_accepted",
	[EVENT_VERSION_REFUSED] = "version_refused",
	[EVENT_VERSION_IGNORED] = "version_ignored",
	[EVENT_STATE_ADOPTED] = "state_adopted",
	[EVENT_READER_BEGAN] = "reader_began",
	[EVENT_READER_ENDED] = "reader_ended",
	[EVENT_PLATFORM_LOST] = "platform_lost",
	[EVENT_PLATFORM_BACK] = "platform_back",
	[EVENT_PEER_LOST] = "peer_lost",
	[EVENT_PEER_BACK] = "peer_back",
	[EVENT_CALL_REFUSED] = "call_refused",
	[EVENT_CALL_UNKNOWN] = "call_unknown",
	[EVENT_CALL_RETRIED] = "call_retried",
	[EVENT_UPSTREAM_COLD] = "upstream_cold",
	[EVENT_UPSTREAM_WARM] = "upstream_warm",
	[EVENT_GUARD_CLOSED] = "guard_closed",
	[EVENT_GUARD_OPENED] = "guard_opened",
};

/*
 * Return the name of an event kind, as shown on the timeline.
 */
const char *
event_kind_name(enum event_kind kind)
{
	return kind < EVENT_KIND_COUNT ? kind_names[kind] : "unknown";
}

/*
 * Return an empty ring buffer for capacity events, at least 1.
 */
struct event_log *
event_log_new(struct clock *clock, size_t capacity)
{
	struct event_log *log = g_new0(struct event_log, 1);

	log->clock = clock;
	log->capacity = MAX(capacity, 1);
	log->slots = g_new0(struct event_slot, log->capacity);
	atomic_init(&log->next_sequence, 1);
	return log;
}

/*
 * Free an event log. NULL is allowed.
 */
void
event_log_free(struct event_log *log)
{
	if (log == NULL)
		return;
	g_free(log->slots);
	g_free(log);
}

/*
 * Claim a slot for writing. It is busy only while a writer that is a full ring
 * behind is still copying. False when a newer event has claimed the slot.
 */
static bool
slot_claim(struct event_slot *slot, uint64_t sequence)
{
	uint64_t stamp = atomic_load(&slot->stamp);

	while (stamp < sequence * 2) {
		if (stamp % 2 != 0) {
			sched_yield();
			stamp = atomic_load(&slot->stamp);
			continue;
		}
		if (atomic_compare_exchange_weak(
			&slot->stamp, &stamp, sequence * 2 - 1))
			return true;
	}
	return false;
}

static void
slot_store(struct event_slot *slot, const struct event *event)
{
	uint64_t words[EVENT_WORDS] = { 0 };

	memcpy(words, event, sizeof(*event));
	for (size_t i = 0; i < EVENT_WORDS; i++)
		atomic_store_explicit(
		    &slot->words[i], words[i], memory_order_release);
	atomic_store_explicit(
	    &slot->stamp, event->sequence * 2, memory_order_release);
}

/*
 * Append one event; safe from any thread, without a lock. A NULL log drops
 * it, so that tests don't need one. A subject over EVENT_SUBJECT_MAX - 1 bytes
 * is truncated.
 */
void
event_record(struct event_log *log, enum event_kind kind, uint64_t version,
    uint64_t request, int64_t value, struct str subject)
{
	struct event event = { .kind = kind };
	struct event_slot *slot;
	size_t len = MIN(subject.len, (size_t)EVENT_SUBJECT_MAX - 1);

	if (log == NULL)
		return;
	event.sequence = atomic_fetch_add(&log->next_sequence, 1);
	event.wall = clock_wall(log->clock);
	event.version = version;
	event.request = request;
	event.value = value;
	if (len > 0)
		memcpy(event.subject, subject.ptr, len);
	slot = &log->slots[event.sequence % log->capacity];
	if (slot_claim(slot, event.sequence))
		slot_store(slot, &event);
}

enum slot_state {
	SLOT_NOT_WRITTEN, /* the event is still being written */
	SLOT_VALID,
	SLOT_OVERWRITTEN, /* by a newer event */
};

static enum slot_state
slot_load(struct event_slot *slot, uint64_t sequence, struct event *out)
{
	uint64_t words[EVENT_WORDS];
	uint64_t stamp =
	    atomic_load_explicit(&slot->stamp, memory_order_acquire);

	if (stamp < sequence * 2)
		return SLOT_NOT_WRITTEN;
	if (stamp > sequence * 2)
		return SLOT_OVERWRITTEN;
	for (size_t i = 0; i < EVENT_WORDS; i++)
		words[i] =
		    atomic_load_explicit(&slot->words[i], memory_order_acquire);
	if (atomic_load_explicit(&slot->stamp, memory_order_relaxed) != stamp)
		return SLOT_OVERWRITTEN;
	memcpy(out, words, sizeof(*out));
	return SLOT_VALID;
}

/*
 * Copy up to out_max events with a sequence above after, oldest first, and
 * return their number. Stops at an event that is still being written, so that a
 * reader that continues after the last copied event misses none.
 */
size_t
event_log_copy(
    struct event_log *log, uint64_t after, struct event *out, size_t out_max)
{
	uint64_t next = atomic_load(&log->next_sequence);
	uint64_t oldest = next > log->capacity ? next - log->capacity : 1;
	size_t copied = 0;

	for (uint64_t s = MAX(after + 1, oldest); s < next && copied < out_max;
	     s++) {
		enum slot_state state =
		    slot_load(&log->slots[s % log->capacity], s, &out[copied]);

		if (state == SLOT_NOT_WRITTEN)
			break;
		copied += state == SLOT_VALID;
	}
	return copied;
}
