#include <pthread.h>
#include <string.h>

#include "harness.h"
#include "trefoilhilld/call_table.h"

enum {
	SLOTS = 4,
	LOST_MS = 1000,
};

struct fixture {
	struct fake_clock clock;
	struct call_table *table;
	struct call_slot *slot;
};

static void
fixture_open(struct fixture *fixture)
{
	fake_clock_init(&fixture->clock);
	fixture->table = call_table_new(&fixture->clock.base, SLOTS);
	fixture->slot = call_table_slot(fixture->table, 1);
}

static uint64_t
begin_call(struct fixture *fixture, const char *peer)
{
	return call_slot_begin(
	    fixture->slot, &fixture->clock.base, str_from(peer));
}

/*
 * Pass a frame of the given call to the table as if it had been received from
 * the network.
 */
static bool
deliver_frame(struct fixture *fixture, uint64_t id, uint64_t offset, size_t len)
{
	struct call_frame frame = {
		.kind = CALL_BODY, .call = id, .body.offset = offset
	};
	GBytes *head = call_frame_encode(&frame);
	gsize size;
	const void *bytes = g_bytes_get_data(head, &size);
	struct call_frame *copy =
	    call_frame_decode(str_make(bytes, size), NULL);

	g_bytes_unref(head);
	return call_table_deliver(fixture->table, copy,
	    len == 0 ? NULL : g_bytes_new_take(g_malloc0(len), len));
}

/* Take a queued event without waiting: the deadline is in the past. */
static struct call_event *
take_event(struct fixture *fixture, enum call_failure *failure)
{
	struct timespec past = { .tv_sec = 0 };

	return call_slot_wait(fixture->slot, past, failure);
}

static void
test_late_frame_for_reused_slot_is_dropped(void)
{
	struct fixture fixture;
	enum call_failure failure;
	uint64_t old, new;

	fixture_open(&fixture);
	old = begin_call(&fixture, "127.0.0.1:1");
	CU_ASSERT_TRUE(deliver_frame(&fixture, old, 0, 1));
	call_slot_end(fixture.slot);
	CU_ASSERT_FALSE(deliver_frame(&fixture, old, 1, 1));
	new = begin_call(&fixture, "127.0.0.1:1");
	CU_ASSERT_NOT_EQUAL(old, new);
	CU_ASSERT_FALSE(deliver_frame(&fixture, old, 2, 1));
	call_table_fail(fixture.table, old, CALL_FAILURE_PEER_LOST);
	CU_ASSERT_PTR_NULL(take_event(&fixture, &failure));
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_NONE);
	call_table_free(fixture.table);
}

static void
test_unknown_ids_are_dropped(void)
{
	static const uint64_t ids[] = { 0, 1, 3, SLOTS, 65535, UINT64_MAX };
	struct fixture fixture;

	fixture_open(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		CU_ASSERT_FALSE(deliver_frame(&fixture, ids[i], 0, 0));
	call_table_free(fixture.table);
}

/*
 * A response that arrived in time counts, even if the failure is noticed before
 * it is read.
 */
static void
test_queued_frames_precede_failure(void)
{
	struct fixture fixture;
	struct call_event *event;
	enum call_failure failure;
	uint64_t id;

	fixture_open(&fixture);
	id = begin_call(&fixture, "127.0.0.1:1");
	CU_ASSERT_TRUE(deliver_frame(&fixture, id, 0, 5));
	call_table_fail(fixture.table, id, CALL_FAILURE_UNKNOWN_CALL);
	event = take_event(&fixture, &failure);
	CU_ASSERT_PTR_NOT_NULL(event);
	call_event_free(event);
	CU_ASSERT_PTR_NULL(take_event(&fixture, &failure));
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_UNKNOWN_CALL);
	call_slot_end(fixture.slot);
	call_table_free(fixture.table);
}

static void
test_exceeding_the_window_fails_the_call(void)
{
	struct fixture fixture;
	enum call_failure failure = CALL_FAILURE_NONE;
	uint64_t id;

	fixture_open(&fixture);
	id = begin_call(&fixture, "127.0.0.1:1");
	for (size_t sent = 0; sent < 4UL * CALL_WINDOW_BYTES;
	     sent += CALL_CHUNK_BYTES)
		deliver_frame(&fixture, id, sent, CALL_CHUNK_BYTES);
	CU_ASSERT_TRUE(
	    fixture.slot->inbox_bytes <= CALL_WINDOW_BYTES + CALL_CHUNK_BYTES);
	for (int i = 0; i < 100 && failure == CALL_FAILURE_NONE; i++)
		call_event_free(take_event(&fixture, &failure));
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_PROTOCOL);
	call_slot_end(fixture.slot);
	call_table_free(fixture.table);
}

static void
test_silent_peer_is_lost_unless_marked_alive(void)
{
	struct fixture fixture;
	enum call_failure failure;
	GHashTable *by_peer;
	GArray *ids;
	uint64_t id;

	fixture_open(&fixture);
	id = begin_call(&fixture, "127.0.0.1:1");
	fake_clock_advance_ms(&fixture.clock, LOST_MS - 1);
	by_peer = call_table_sweep(fixture.table, 100, LOST_MS);
	ids = g_hash_table_lookup(by_peer, "127.0.0.1:1");
	CU_ASSERT_PTR_NOT_NULL(ids);
	if (ids == NULL)
		return;
	CU_ASSERT_EQUAL(g_array_index(ids, uint64_t, 0), id);
	g_hash_table_destroy(by_peer);
	call_table_mark_alive(fixture.table, id);
	fake_clock_advance_ms(&fixture.clock, LOST_MS - 1);
	g_hash_table_destroy(call_table_sweep(fixture.table, 100, LOST_MS));
	take_event(&fixture, &failure);
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_NONE);
	fake_clock_advance_ms(&fixture.clock, 1);
	g_hash_table_destroy(call_table_sweep(fixture.table, 100, LOST_MS));
	take_event(&fixture, &failure);
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_PEER_LOST);
	call_slot_end(fixture.slot);
	call_table_free(fixture.table);
}

static void
test_local_call_is_never_lost(void)
{
	struct fixture fixture;
	GHashTable *by_peer;
	enum call_failure failure;

	fixture_open(&fixture);
	begin_call(&fixture, "");
	fake_clock_advance_ms(&fixture.clock, 10L * LOST_MS);
	by_peer = call_table_sweep(fixture.table, 100, LOST_MS);
	CU_ASSERT_EQUAL(g_hash_table_size(by_peer), 0);
	g_hash_table_destroy(by_peer);
	take_event(&fixture, &failure);
	CU_ASSERT_EQUAL(failure, CALL_FAILURE_NONE);
	call_slot_end(fixture.slot);
	call_table_free(fixture.table);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "late frame for reused slot is dropped",
		    test_late_frame_for_reused_slot_is_dropped },
		{ "unknown ids are dropped", test_unknown_ids_are_dropped },
		{ "queued frames precede failure",
		    test_queued_frames_precede_failure },
		{ "exceeding the window fails the call",
		    test_exceeding_the_window_fails_the_call },
		{ "silent peer is lost unless marked alive",
		    test_silent_peer_is_lost_unless_marked_alive },
		{ "local call is never lost", test_local_call_is_never_lost },
		{ NULL, NULL },
	};

	return harness_run("call table", cases);
}
