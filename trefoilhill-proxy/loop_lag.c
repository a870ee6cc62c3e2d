#include "guard/lag_policy.h"
#include "trefoilhill-proxy/loop_lag.h"

struct loop_lag {
	uv_prepare_t *prepare; /* runs before the loop polls */
	uv_check_t *check;     /* runs after the polled events were handled */
	struct proxy *proxy;
	struct lag_window window;
	bool polling; /* since prepare, and its return isn't noted yet */
	int64_t poll_begun_ms;
	int64_t poll_timeout_ms; /* -1: none */
	int64_t poll_ended_ms;
	int64_t poll_late_ms; /* by how much the last poll was late to return */
};

/*
 * Note when the poll has returned: the loop's time, until it is updated. A poll
 * that took longer than its timeout was kept from running.
 */
static void
note_poll_end(struct loop_lag *lag)
{
	if (!lag->polling)
		return;
	lag->polling = false;
	lag->poll_ended_ms = proxy_now_ms(lag->proxy);
	lag->poll_late_ms = lag->poll_timeout_ms < 0
	    ? 0
	    : MAX(lag->poll_ended_ms - lag->poll_begun_ms -
		      lag->poll_timeout_ms,
		  0);
}

static void
handle_check(uv_check_t *check)
{
	note_poll_end(check->data);
}

static void
handle_prepare(uv_prepare_t *prepare)
{
	struct loop_lag *lag = prepare->data;
	uv_loop_t *loop = lag->proxy->loop;
	int64_t lag_ms;

	uv_update_time(loop);
	lag->poll_begun_ms = proxy_now_ms(lag->proxy);
	lag->poll_timeout_ms = uv_backend_timeout(loop);
	lag_ms =
	    MAX(lag->poll_begun_ms - lag->poll_ended_ms, lag->poll_late_ms);
	lag_window_add(&lag->window, lag_ms, lag->poll_begun_ms);
	proxy_record_latency(&lag->proxy->stats, LATENCY_LOOP, lag_ms);
	lag->polling = true;
}

/*
 * Return a measurement of a node's event loop, which begins at once and doesn't
 * keep the loop running.
 */
struct loop_lag *
loop_lag_new(struct proxy *proxy)
{
	struct loop_lag *lag = g_new0(struct loop_lag, 1);

	lag->proxy = proxy;
	lag->poll_ended_ms = proxy_now_ms(proxy);
	lag->prepare = g_new0(uv_prepare_t, 1);
	uv_prepare_init(proxy->loop, lag->prepare);
	lag->prepare->data = lag;
	uv_prepare_start(lag->prepare, handle_prepare);
	uv_unref((uv_handle_t *)lag->prepare);
	lag->check = g_new0(uv_check_t, 1);
	uv_check_init(proxy->loop, lag->check);
	lag->check->data = lag;
	uv_check_start(lag->check, handle_check);
	uv_unref((uv_handle_t *)lag->check);
	return lag;
}

static void
handle_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * End a measurement. NULL is allowed.
 */
void
loop_lag_free(struct loop_lag *lag)
{
	if (lag == NULL)
		return;
	uv_close((uv_handle_t *)lag->prepare, handle_closed);
	uv_close((uv_handle_t *)lag->check, handle_closed);
	g_free(lag);
}

/*
 * Update the loop's time, and return for how long an event that is being
 * handled may have waited. It may have come right after the previous poll, or
 * before its connection was accepted some iterations ago.
 */
int64_t
loop_lag_update_ms(struct loop_lag *lag)
{
	note_poll_end(lag);
	uv_update_time(lag->proxy->loop);
	return MAX(lag_window_peak_ms(&lag->window, proxy_now_ms(lag->proxy)),
		   lag->poll_late_ms) +
	    proxy_now_ms(lag->proxy) - lag->poll_ended_ms;
}

/*
 * Return how long a request and its response are expected to wait for the loop.
 */
uint32_t
loop_lag_expected_ms(const struct loop_lag *lag)
{
	return lag_window_expected_ms(&lag->window, proxy_now_ms(lag->proxy));
}
