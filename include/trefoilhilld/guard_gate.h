#ifndef TREFOILHILL_TREFOILHILLD_GUARD_GATE_H
#define TREFOILHILL_TREFOILHILLD_GUARD_GATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"

/*
 * The guard of this host's upstream behind a lock of its own. The control
 * thread only sets flags; a thread that enters the gate applies them.
 */
struct guard_gate;

/* Told of each queued call whose turn has come, outside of the lock. */
struct guard_gate_handler {
	void (*handle_turn)(void *arg, uint64_t ticket,
	    enum guard_decision decision, enum refusal_reason reason);
	void *arg;
};

struct guard_gate *guard_gate_new(struct guard *guard, uint32_t tick_ms);
void guard_gate_free(struct guard_gate *gate);
void guard_gate_set_handler(
    struct guard_gate *gate, struct guard_gate_handler handler);
int guard_gate_start(struct guard_gate *gate, GError **error);
void guard_gate_stop(struct guard_gate *gate);
/* Take no lock. */
void guard_gate_set_in_service(struct guard_gate *gate, bool in_service);
void guard_gate_drain(struct guard_gate *gate);

enum guard_decision guard_gate_admit(struct guard_gate *gate,
    const struct guard_call *call, uint64_t *ticket,
    enum refusal_reason *reason);
bool guard_gate_confirm(
    struct guard_gate *gate, uint64_t ticket, enum refusal_reason *reason);
bool guard_gate_cancel(struct guard_gate *gate, uint64_t ticket);
void guard_gate_complete(struct guard_gate *gate, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us);
bool guard_gate_is_idle(struct guard_gate *gate);
struct guard_hint guard_gate_hint(struct guard_gate *gate);
uint32_t guard_gate_retry_after_ms(
    struct guard_gate *gate, enum refusal_reason reason);

#endif
