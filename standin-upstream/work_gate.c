#include <glib.h>

#include "common/clock.h"
#include "standin-upstream/work_gate.h"

/*
 * Initialize an idle gate, warm unless cold is true.
 */
void
work_gate_init(
    struct work_gate *gate, uint32_t slots, uint32_t queue_limit, bool cold)
{
	*gate = (struct work_gate){
		.slots = slots,
		.queue_limit = queue_limit,
		.cold = cold,
	};
}

/*
 * Return the concurrency limit in requests: all slots when warm; when cold,
 * one, and one more for each WARM_UP_ANSWERS_PER_SLOT completed answers, up to
 * all slots.
 */
uint32_t
work_gate_limit(const struct work_gate *gate)
{
	if (!gate->cold)
		return gate->slots;
	return MIN(gate->slots,
	    1 + gate->completed_since_cold / WARM_UP_ANSWERS_PER_SLOT);
}

/*
 * Return whether an overload makes every request fail at this time.
 */
bool
work_gate_is_failed(const struct work_gate *gate, struct timespec now)
{
	return timespec_before(now, gate->failed_until);
}

static enum admission
shed_request(struct work_gate *gate)
{
	gate->shed++;
	return ADMISSION_SHED;
}

static enum admission
begin_request(struct work_gate *gate)
{
	gate->busy++;
	gate->admitted++;
	return ADMISSION_BEGIN;
}

/*
 * Fail because of an overload. The new generation invalidates work in
 * progress.
 */
static enum admission
fail_from_overload(struct work_gate *gate, struct timespec now)
{
	gate->overloads++;
	gate->generation++;
	gate->busy = 0;
	gate->failed_until = timespec_plus_ms(now, OVERLOAD_FAILURE_MS);
	work_gate_set_cold(gate);
	return ADMISSION_FAILING;
}

/*
 * Decide on a request that arrives. After ADMISSION_BEGIN the caller must call
 * work_gate_finish, after ADMISSION_WAIT work_gate_retry_queued or
 * work_gate_cancel_queued.
 */
enum admission
work_gate_admit(struct work_gate *gate, struct timespec now)
{
	if (work_gate_is_failed(gate, now))
		return ADMISSION_FAILING;
	if (gate->draining)
		return shed_request(gate);
	if (gate->busy < work_gate_limit(gate))
		return begin_request(gate);
	if (gate->cold)
		return fail_from_overload(gate, now);
	if (gate->queued >= gate->queue_limit)
		return shed_request(gate);
	gate->queued++;
	return ADMISSION_WAIT;
}

/*
 * Decide again on a queued request. It leaves the queue unless the result is
 * ADMISSION_WAIT.
 */
enum admission
work_gate_retry_queued(struct work_gate *gate, struct timespec now)
{
	bool failed = work_gate_is_failed(gate, now);

	if (!failed && !gate->cold && gate->busy >= gate->slots)
		return ADMISSION_WAIT;
	gate->queued--;
	if (failed)
		return ADMISSION_FAILING;
	if (gate->cold)
		return shed_request(gate);
	return begin_request(gate);
}

/*
 * Remove a request from the queue and count it as shed.
 */
void
work_gate_cancel_queued(struct work_gate *gate)
{
	gate->queued--;
	gate->shed++;
}

/*
 * End work that began in a generation. Return false if an overload has
 * discarded it since.
 */
bool
work_gate_finish(struct work_gate *gate, uint64_t generation, bool completed)
{
	if (generation != gate->generation)
		return false;
	gate->busy--;
	if (!completed)
		return true;
	gate->completed++;
	if (gate->cold) {
		gate->completed_since_cold++;
		gate->cold = work_gate_limit(gate) < gate->slots;
	}
	return true;
}

/*
 * Make the upstream cold; work in progress continues.
 */
void
work_gate_set_cold(struct work_gate *gate)
{
	gate->cold = true;
	gate->completed_since_cold = 0;
}
