#include "admission_fixture.h"
#include "harness.h"

void
handle_dequeue(struct admission_waiter *waiter, enum admission_reason reason)
{
	struct offered_request *request = (struct offered_request *)waiter;

	request->notified = true;
	request->reason = reason;
}

void
fixture_init(struct fixture *f)
{
	struct admission_bounds bounds = {
		.queue_max = QUEUE_MAX,
		.pause_first_ms = 50,
		.pause_max_ms = 400,
	};

	*f = (struct fixture){ .admission = admission_new(&bounds) };
	admission_set_slots(f->admission, SLOTS);
	admission_set_open(f->admission, true);
}

enum admission_verdict
offer(struct fixture *f, uint32_t priority, int64_t latest_ms, int64_t now_ms,
    struct offered_request **out)
{
	struct offered_request *request = &f->requests[f->offered_count++];
	enum admission_reason reason;

	request->waiter.priority = priority;
	request->waiter.latest_start_ms = latest_ms;
	request->waiter.handle_dequeue = handle_dequeue;
	*out = request;
	return admission_offer(f->admission, &request->waiter, now_ms, &reason);
}

void
finish(struct fixture *f, enum admission_outcome outcome, uint32_t latency_us,
    int64_t now_ms)
{
	struct admission_waiter waiter = { 0 };

	admission_finish(f->admission, &waiter, outcome, latency_us, now_ms);
}

void
fill_slots(struct fixture *f, int64_t now_ms)
{
	struct offered_request *request;

	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL(
		    offer(f, 1, FOREVER_MS, now_ms, &request), ADMISSION_RUN);
}
