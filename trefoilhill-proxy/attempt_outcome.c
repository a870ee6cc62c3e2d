#include "trefoilhill-proxy/attempt.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/gate.h"

/*
 * Return the outcome of an attempt that is cancelled: overdue requests tell of
 * an upstream or connection that hangs, so that others get new connections.
 */
enum admission_outcome
attempt_cancelled_outcome(const struct attempt *attempt, int64_t run_ms)
{
	struct gate *gate = attempt->proxy->gate;

	if (!attempt->admitted || attempt->sent_ms == 0 ||
	    attempt->response_started ||
	    !admission_is_overdue(gate_admission(gate), run_ms))
		return ADMISSION_CANCELLED;
	http_pool_close_idle(gate_pool(gate));
	return ADMISSION_TIMED_OUT;
}

/*
 * Return what a failed attempt tells the admission control about the upstream.
 */
enum admission_outcome
attempt_failure_outcome(const struct attempt *attempt,
    enum attempt_failure failure, const char *reason)
{
	if (attempt->awaits_confirmation || attempt->blocked)
		return ADMISSION_CANCELLED;
	if (attempt->sent_ms == 0)
		return ADMISSION_CONNECTION_REFUSED;
	if (failure == ATTEMPT_FAILURE_NOT_RUN)
		return ADMISSION_SHED;
	if (attempt->local && attempt->admitted && !attempt->response_started &&
	    g_strcmp0(reason, ATTEMPT_REASON_CONNECTION_LOST) == 0 &&
	    admission_is_full(gate_admission(attempt->proxy->gate),
		proxy_now_ms(attempt->proxy))) {
		proxy_count(&attempt->proxy->stats, STAT_RESETS_FULL);
		return ADMISSION_RESET_FULL;
	}
	return ADMISSION_CONNECTION_LOST;
}
