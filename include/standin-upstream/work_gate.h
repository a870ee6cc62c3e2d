#ifndef TREFOILHILL_STANDIN_UPSTREAM_WORK_GATE_H
#define TREFOILHILL_STANDIN_UPSTREAM_WORK_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum {
	WARM_UP_ANSWERS_PER_SLOT = 10,
	OVERLOAD_FAILURE_MS = 2000,
};

enum admission {
	ADMISSION_BEGIN,
	ADMISSION_WAIT,
	ADMISSION_SHED,
	ADMISSION_FAILING,
};

/*
 * Admission control of the upstream. The caller locks and passes the time.
 */
struct work_gate {
	uint32_t slots;
	uint32_t queue_limit;
	bool cold;
	bool draining;
	uint32_t busy;
	uint32_t queued;
	uint32_t completed_since_cold; /* completed answers */
	uint64_t generation;           /* incremented by each overload */
	struct timespec failed_until;
	uint64_t admitted;
	uint64_t completed;
	uint64_t shed;
	uint64_t overloads;
};

void work_gate_init(
    struct work_gate *gate, uint32_t slots, uint32_t queue_limit, bool cold);
uint32_t work_gate_limit(const struct work_gate *gate);
bool work_gate_is_failed(const struct work_gate *gate, struct timespec now);
enum admission work_gate_admit(struct work_gate *gate, struct timespec now);
enum admission work_gate_retry_queued(
    struct work_gate *gate, struct timespec now);
void work_gate_cancel_queued(struct work_gate *gate);
bool work_gate_finish(
    struct work_gate *gate, uint64_t generation, bool completed);
void work_gate_set_cold(struct work_gate *gate);

#endif
