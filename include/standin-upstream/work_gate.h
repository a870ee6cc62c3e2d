#ifndef TREFOILHILL_STANDIN_UPSTREAM_WORK_GATE_H
#define TREFOILHILL_STANDIN_UPSTREAM_WORK_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

enum {
	WORK_ANSWERS_PER_SLOT = 10,
	WORK_FALLEN_MS = 2000,
};

enum admission {
	ADMISSION_BEGIN,
	ADMISSION_WAIT,
	ADMISSION_SHED,
	ADMISSION_FALLEN,
};

/* What the upstream can take; the caller locks and passes the time. */
struct work_gate {
	uint32_t slots;
	uint32_t queue_limit;
	bool cold;
	bool draining;
	uint32_t busy;
	uint32_t queued;
	uint32_t warming_answers; /* completed since it turned cold */
	uint64_t generation;      /* grows when it falls over */
	struct timespec fallen_until;
	uint64_t admitted;
	uint64_t completed;
	uint64_t shed;
	uint64_t overloads;
};

void work_gate_init(
    struct work_gate *gate, uint32_t slots, uint32_t queue_limit, bool cold);
uint32_t work_gate_limit(const struct work_gate *gate);
bool work_gate_fallen(const struct work_gate *gate, struct timespec now);
enum admission work_gate_arrive(struct work_gate *gate, struct timespec now);
enum admission work_gate_retry(struct work_gate *gate, struct timespec now);
void work_gate_give_up(struct work_gate *gate);
bool work_gate_finish(
    struct work_gate *gate, uint64_t generation, bool completed);
void work_gate_turn_cold(struct work_gate *gate);

#endif
