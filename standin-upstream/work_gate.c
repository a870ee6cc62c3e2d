#include <glib.h>

#include "common/clock.h"
#include "standin-upstream/work_gate.h"

/*
 * Set up an idle gate, warm unless cold is true.
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
 * Return how many requests at once it bears: one while cold and one more for
 * each WORK_ANSWERS_PER_SLOT completed answers, up to its slots.
 */
uint32_t
work_gate_limit(const struct work_gate *gate)
{
	if (!gate->cold)
		return gate->slots;
	return MIN(
	    gate->slots, 1 + gate->warming_answers / WORK_ANSWERS_PER_SLOT);
}

/*
 * Tell whether it fell over and has not come back yet.
 */
bool
work_gate_fallen(const struct work_gate *gate, struct timespec now)
{
	return timespec_before(now, gate->fallen_until);
}

static enum admission
shed(struct work_gate *gate)
{
	gate->shed++;
	return ADMISSION_SHED;
}

static enum admission
begin(struct work_gate *gate)
{
	gate->busy++;
	gate->admitted++;
	return ADMISSION_BEGIN;
}

/*
 * Fall over: work in progress is lost, and the generation tells so.
 */
static enum admission
fall_over(struct work_gate *gate, struct timespec now)
{
	gate->overloads++;
	gate->generation++;
	gate->busy = 0;
	gate->fallen_until = timespec_plus_ms(now, WORK_FALLEN_MS);
	work_gate_turn_cold(gate);
	return ADMISSION_FALLEN;
}

/*
 * Decide on a request that arrives. After ADMISSION_BEGIN the caller owes a
 * work_gate_finish, after ADMISSION_WAIT a work_gate_retry or
 * work_gate_give_up.
 */
enum admission
work_gate_arrive(struct work_gate *gate, struct timespec now)
{
	if (work_gate_fallen(gate, now))
		return ADMISSION_FALLEN;
	if (gate->draining)
		return shed(gate);
	if (gate->busy < work_gate_limit(gate))
		return begin(gate);
	if (gate->cold)
		return fall_over(gate, now);
	if (gate->queued >= gate->queue_limit)
		return shed(gate);
	gate->queued++;
	return ADMISSION_WAIT;
}

/*
 * Decide again on a request in the queue, which it leaves unless the result
 * is ADMISSION_WAIT.
 */
enum admission
work_gate_retry(struct work_gate *gate, struct timespec now)
{
	bool fallen = work_gate_fallen(gate, now);

	if (!fallen && !gate->cold && gate->busy >= gate->slots)
		return ADMISSION_WAIT;
	gate->queued--;
	if (fallen)
		return ADMISSION_FALLEN;
	if (gate->cold)
		return shed(gate);
	return begin(gate);
}

/*
 * Take a request out of the queue that was not begun.
 */
void
work_gate_give_up(struct work_gate *gate)
{
	gate->queued--;
	gate->shed++;
}

/*
 * End work that began in a generation. Return false when it was lost because
 * the upstream fell over since.
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
		gate->warming_answers++;
		gate->cold = work_gate_limit(gate) < gate->slots;
	}
	return true;
}

/*
 * Turn cold without warning; work in progress goes on.
 */
void
work_gate_turn_cold(struct work_gate *gate)
{
	gate->cold = true;
	gate->warming_answers = 0;
}
