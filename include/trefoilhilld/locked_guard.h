#ifndef TREFOILHILL_TREFOILHILLD_LOCKED_GUARD_H
#define TREFOILHILL_TREFOILHILLD_LOCKED_GUARD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"

/*
 * The guard of this host's upstream, protected by a mutex. The control thread
 * only sets flags, so that it never waits for the mutex; the next thread that
 * locks the guard applies them.
 */
struct locked_guard;

/*
 * Called for each call that leaves the guard's queue, without the mutex held.
 */
struct locked_guard_handler {
	void (*handle_dequeued)(void *arg, uint64_t ticket,
	    enum guard_decision decision, enum refusal_reason reason);
	void *arg;
};

struct locked_guard *locked_guard_new(struct guard *guard, uint32_t tick_ms);
void locked_guard_free(struct locked_guard *locked);
void locked_guard_set_handler(
    struct locked_guard *locked, struct locked_guard_handler handler);
int locked_guard_start(struct locked_guard *locked, GError **error);
void locked_guard_stop(struct locked_guard *locked);
/* Lock-free. */
void locked_guard_set_in_service(struct locked_guard *locked, bool in_service);
void locked_guard_drain(struct locked_guard *locked);

enum guard_decision locked_guard_admit(struct locked_guard *locked,
    const struct guard_call *call, uint64_t *ticket,
    enum refusal_reason *reason);
bool locked_guard_confirm(
    struct locked_guard *locked, uint64_t ticket, enum refusal_reason *reason);
bool locked_guard_cancel(struct locked_guard *locked, uint64_t ticket);
void locked_guard_complete(struct locked_guard *locked, uint64_t ticket,
    enum guard_outcome outcome, uint32_t latency_us);
bool locked_guard_is_idle(struct locked_guard *locked);
struct guard_hint locked_guard_hint(struct locked_guard *locked);
uint32_t locked_guard_retry_after_ms(
    struct locked_guard *locked, enum refusal_reason reason);

#endif
