#include "common/clock.h"
#include "harness.h"
#include "standin-upstream/work_gate.h"

enum {
	SLOTS = 3,
	QUEUE = 2,
};

static void
test_warm_queues_then_sheds(void)
{
	struct work_gate gate;
	struct timespec now = timespec_from_ms(1000);

	work_gate_init(&gate, SLOTS, QUEUE, false);
	for (int i = 0; i < SLOTS; i++)
		CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_BEGIN);
	for (int i = 0; i < QUEUE; i++)
		CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_WAIT);
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_SHED);
	CU_ASSERT_EQUAL(work_gate_retry_queued(&gate, now), ADMISSION_WAIT);
	CU_ASSERT_TRUE(work_gate_finish(&gate, gate.generation, true));
	CU_ASSERT_EQUAL(work_gate_retry_queued(&gate, now), ADMISSION_BEGIN);
	work_gate_cancel_queued(&gate);
	CU_ASSERT_EQUAL(gate.queued, 0);
	CU_ASSERT_EQUAL(gate.busy, SLOTS);
}

static void
test_cold_overload_fails(void)
{
	struct work_gate gate;
	struct timespec now = timespec_from_ms(1000);

	work_gate_init(&gate, SLOTS, QUEUE, true);
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_BEGIN);
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_FAILING);
	CU_ASSERT_EQUAL(gate.overloads, 1);
	CU_ASSERT_FALSE(work_gate_finish(&gate, 0, true));
	now = timespec_plus_ms(now, OVERLOAD_FAILURE_MS - 1);
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_FAILING);
	CU_ASSERT_EQUAL(gate.overloads, 1);
	now = timespec_plus_ms(now, 1);
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_BEGIN);
	CU_ASSERT_TRUE(gate.cold);
}

static void
test_cold_warms_by_answers(void)
{
	struct work_gate gate;
	struct timespec now = timespec_from_ms(1000);

	work_gate_init(&gate, SLOTS, QUEUE, true);
	for (int i = 1; i <= WARM_UP_ANSWERS_PER_SLOT * (SLOTS - 1); i++) {
		CU_ASSERT_TRUE(gate.cold);
		CU_ASSERT_EQUAL(work_gate_limit(&gate),
		    1 + (i - 1) / WARM_UP_ANSWERS_PER_SLOT);
		work_gate_admit(&gate, now);
		CU_ASSERT_TRUE(work_gate_finish(&gate, 0, true));
	}
	CU_ASSERT_FALSE(gate.cold);
	CU_ASSERT_EQUAL(work_gate_limit(&gate), SLOTS);
	work_gate_set_cold(&gate);
	CU_ASSERT_EQUAL(work_gate_limit(&gate), 1);
}

static void
test_unfinished_work_does_not_warm(void)
{
	struct work_gate gate;
	struct timespec now = timespec_from_ms(1000);

	work_gate_init(&gate, SLOTS, QUEUE, true);
	for (int i = 0; i < WARM_UP_ANSWERS_PER_SLOT; i++) {
		work_gate_admit(&gate, now);
		work_gate_finish(&gate, 0, false);
	}
	CU_ASSERT_EQUAL(work_gate_limit(&gate), 1);
}

static void
test_draining_sheds(void)
{
	struct work_gate gate;
	struct timespec now = timespec_from_ms(1000);

	work_gate_init(&gate, SLOTS, QUEUE, false);
	work_gate_admit(&gate, now);
	gate.draining = true;
	CU_ASSERT_EQUAL(work_gate_admit(&gate, now), ADMISSION_SHED);
	CU_ASSERT_TRUE(work_gate_finish(&gate, 0, true));
	CU_ASSERT_EQUAL(gate.busy, 0);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "warm: queue, then shed", test_warm_queues_then_sheds },
		{ "cold: a request over the limit fails all",
		    test_cold_overload_fails },
		{ "cold: warms by answers", test_cold_warms_by_answers },
		{ "cold: lost work does not warm",
		    test_unfinished_work_does_not_warm },
		{ "draining: shed", test_draining_sheds },
		{ NULL, NULL },
	};

	return harness_run("work_gate", cases);
}
