#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "fake_upstream.h"
#include "harness.h"
#include "trefoilhilld/call_service.h"

enum {
	ENTRY = 77,
	INCARNATION = 5,
	TICK_MS = 20,
	FRAMES_MAX = 64,
	POLLS_MAX = 300,
	POLL_INTERVAL_US = 10000,
};

/* Frames that the service sent to the entry, in order. */
struct inbox {
	pthread_mutex_t lock;
	struct call_frame *frames[FRAMES_MAX];
	size_t count;
};

static struct {
	struct fake_upstream upstream;
	struct guard *guard;
	struct locked_guard *locked_guard;
	struct call_service *service;
	struct inbox inbox;
} fixture;

static void
handle_entry_frame(void *arg, struct str head, GBytes *body)
{
	struct inbox *inbox = &fixture.inbox;

	pthread_mutex_lock(&inbox->lock);
	if (inbox->count < FRAMES_MAX)
		inbox->frames[inbox->count++] = call_frame_decode(head, NULL);
	pthread_mutex_unlock(&inbox->lock);
	if (body != NULL)
		g_bytes_unref(body);
}

static void
set_up(uint32_t slots)
{
	char address[32];
	struct guard_settings guard = {
		.incarnation = INCARNATION,
		.slots = slots,
		.cold_limit = slots,
		.queue_limit = 4,
		.queue_wait_ms = 2000,
		.tick_ms = TICK_MS,
		.tick_bound = 1000,
		.dedup_entries = 1000,
		.dedup_lease_ms = 10000,
	};
	struct call_service_settings settings = {
		.upstream_name = str_from("u"),
		.connections = 4,
	};

	memset(&fixture, 0, sizeof(fixture));
	pthread_mutex_init(&fixture.inbox.lock, NULL);
	fake_upstream_open(&fixture.upstream);
	g_snprintf(
	    address, sizeof(address), "127.0.0.1:%d", fixture.upstream.port);
	settings.upstream_address = str_from(address);
	fixture.guard = guard_new(&guard, clock_system(), NULL);
	fixture.locked_guard = locked_guard_new(fixture.guard, TICK_MS);
	fixture.service =
	    call_service_new(&settings, clock_system(), fixture.locked_guard);
	locked_guard_set_in_service(fixture.locked_guard, true);
	call_service_set_ready(fixture.service, true);
	locked_guard_start(fixture.locked_guard, NULL);
}

static void
tear_down(void)
{
	locked_guard_stop(fixture.locked_guard);
	call_service_free(fixture.service);
	locked_guard_free(fixture.locked_guard);
	guard_free(fixture.guard);
	fake_upstream_close(&fixture.upstream);
	for (size_t i = 0; i < fixture.inbox.count; i++)
		call_frame_free(fixture.inbox.frames[i]);
	pthread_mutex_destroy(&fixture.inbox.lock);
}

/* Pass a frame to the service as if it had been received from the network. */
static void
send_frame(const struct call_frame *frame)
{
	struct frame_sink sink = { handle_entry_frame, NULL };
	GBytes *head = call_frame_encode(frame);
	gsize len;
	const void *bytes = g_bytes_get_data(head, &len);

	call_service_handle_frame(fixture.service,
	    call_frame_decode(str_make(bytes, len), NULL), NULL,
	    call_link_new_local(sink), true);
	g_bytes_unref(head);
}

static void
send_open(uint64_t call, const char *request, const char *target)
{
	struct call_frame frame = {
		.kind = CALL_OPEN,
		.entry = ENTRY,
		.call = call,
		.open = {
			.request = str_from(request),
			.upstream = str_from("u"),
			.method = str_from("POST"),
			.target = str_from(target),
			.timeout_ms = 5000,
			.guard_incarnation = INCARNATION,
			.guard_tick = locked_guard_hint(fixture.locked_guard).tick,
			.end = true,
			.credit = CALL_WINDOW_BYTES,
		},
	};

	send_frame(&frame);
}

static void
send_kind(enum call_kind kind, uint64_t call)
{
	struct call_frame frame = {
		.kind = kind, .entry = ENTRY, .call = call
	};

	send_frame(&frame);
}

/* The nth frame of a kind that came for a call, or NULL within 3 s. */
static const struct call_frame *
wait_frame(enum call_kind kind, uint64_t call)
{
	const struct call_frame *found = NULL;

	for (int polls = 0; polls < POLLS_MAX && found == NULL; polls++) {
		pthread_mutex_lock(&fixture.inbox.lock);
		for (size_t i = 0; i < fixture.inbox.count; i++)
			if (fixture.inbox.frames[i]->kind == kind &&
			    fixture.inbox.frames[i]->call == call)
				found = fixture.inbox.frames[i];
		pthread_mutex_unlock(&fixture.inbox.lock);
		if (found == NULL)
			usleep(POLL_INTERVAL_US);
	}
	return found;
}

static size_t
count_frames(enum call_kind kind, uint64_t call)
{
	size_t count = 0;

	pthread_mutex_lock(&fixture.inbox.lock);
	for (size_t i = 0; i < fixture.inbox.count; i++)
		count += fixture.inbox.frames[i]->kind == kind &&
		    fixture.inbox.frames[i]->call == call;
	pthread_mutex_unlock(&fixture.inbox.lock);
	return count;
}

static void
wait_idle(void)
{
	for (int polls = 0; polls < POLLS_MAX; polls++) {
		if (call_service_is_idle(fixture.service))
			return;
		usleep(POLL_INTERVAL_US);
	}
	CU_FAIL("the service did not become idle");
}

/*
 * A duplicate OPEN frame must not run the call again, neither while the first
 * one is running nor after it has ended.
 */
static void
test_duplicate_open_runs_once(void)
{
	const struct call_frame *refused;

	set_up(4);
	send_open(1, "r1", "/wait/1000");
	send_open(1, "r1", "/wait/1000");
	CU_ASSERT_PTR_NOT_NULL(wait_frame(CALL_HEAD, 1));
	wait_idle();
	CU_ASSERT_EQUAL(count_frames(CALL_HEAD, 1), 1);
	CU_ASSERT_EQUAL(count_frames(CALL_REFUSED, 1), 0);
	send_open(1, "r1", "/wait/100");
	refused = wait_frame(CALL_REFUSED, 1);
	CU_ASSERT_PTR_NOT_NULL(refused);
	CU_ASSERT_EQUAL(refused == NULL ? -1 : (int)refused->refused.reason,
	    (int)REFUSAL_DUPLICATE);
	CU_ASSERT_FALSE(refused != NULL && refused->refused.not_run);
	CU_ASSERT_EQUAL(atomic_load(&fixture.upstream.runs), 1);
	tear_down();
}

static void
test_queued_call_can_be_cancelled(void)
{
	const struct call_frame *refused;

	set_up(1);
	send_open(1, "r1", "/wait/300");
	send_open(2, "r2", "/wait/1");
	send_kind(CALL_CANCEL, 2);
	refused = wait_frame(CALL_REFUSED, 2);
	CU_ASSERT_PTR_NOT_NULL(refused);
	CU_ASSERT_TRUE(refused != NULL && refused->refused.not_run);
	CU_ASSERT_PTR_NOT_NULL(wait_frame(CALL_HEAD, 1));
	wait_idle();
	CU_ASSERT_EQUAL(atomic_load(&fixture.upstream.runs), 1);
	tear_down();
}

static void
test_queued_call_runs_after_dequeue(void)
{
	set_up(1);
	send_open(1, "r1", "/wait/100");
	send_open(2, "r2", "/wait/1");
	CU_ASSERT_PTR_NOT_NULL(wait_frame(CALL_HEAD, 2));
	CU_ASSERT_PTR_NOT_NULL(wait_frame(CALL_HEAD, 1));
	CU_ASSERT_EQUAL(atomic_load(&fixture.upstream.runs), 2);
	tear_down();
}

/*
 * If the entry disappears, its running call must be cancelled at the upstream.
 */
static void
test_call_of_silent_entry_is_cancelled(void)
{
	unsigned int aborted = 0;

	set_up(1);
	send_open(1, "r1", "/slow/1");
	CU_ASSERT_PTR_NOT_NULL(wait_frame(CALL_HEAD, 1));
	call_service_sweep(fixture.service, 10000);
	CU_ASSERT_FALSE(call_service_is_idle(fixture.service));
	usleep(20000);
	call_service_sweep(fixture.service, 10);
	wait_idle();
	for (int i = 0; i < POLLS_MAX && aborted == 0; i++) {
		usleep(POLL_INTERVAL_US);
		aborted = atomic_load(&fixture.upstream.aborted_responses);
	}
	CU_ASSERT_EQUAL(aborted, 1);
	tear_down();
}

static void
test_ping_reports_running_and_unknown_calls(void)
{
	static const uint64_t ids[] = { 1, 2 };
	struct call_frame ping = {
		.kind = CALL_PING, .entry = ENTRY, .ping = { 2, ids }
	};
	const struct call_frame *pong;

	set_up(1);
	send_open(1, "r1", "/wait/300");
	send_frame(&ping);
	pong = wait_frame(CALL_PONG, 0);
	CU_ASSERT_PTR_NOT_NULL(pong);
	if (pong != NULL) {
		CU_ASSERT_EQUAL(pong->pong.running.count, 1);
		CU_ASSERT_EQUAL(pong->pong.running.list[0], 1);
		CU_ASSERT_EQUAL(pong->pong.gone.count, 1);
		CU_ASSERT_EQUAL(pong->pong.gone.list[0], 2);
	}
	wait_idle();
	tear_down();
}

static void
test_stray_frames_are_ignored(void)
{
	static const enum call_kind kinds[] = { CALL_BODY, CALL_CREDIT,
		CALL_CANCEL, CALL_REFUSED, CALL_PONG };

	set_up(1);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		send_kind(kinds[i], 9);
	CU_ASSERT_EQUAL(counter_get(call_service_counters(fixture.service),
			    SERVICE_UNMATCHED),
	    G_N_ELEMENTS(kinds));
	CU_ASSERT_TRUE(call_service_is_idle(fixture.service));
	tear_down();
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "duplicate open runs once", test_duplicate_open_runs_once },
		{ "queued call can be cancelled",
		    test_queued_call_can_be_cancelled },
		{ "queued call runs after dequeue",
		    test_queued_call_runs_after_dequeue },
		{ "call of silent entry is cancelled",
		    test_call_of_silent_entry_is_cancelled },
		{ "ping reports running and unknown calls",
		    test_ping_reports_running_and_unknown_calls },
		{ "stray frames are ignored", test_stray_frames_are_ignored },
		{ NULL, NULL },
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return harness_run("call service", cases);
}
