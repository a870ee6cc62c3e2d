#include "trefoilhill-proxy/shaper.h"

enum {
	WRITE_MAX_BYTES = 8 * 1024,
	BURST_MS = 24, /* of sending, in the link's queue at most */
	SEND_INTERVAL_MS = 3,
	RATE_PERCENT = 97, /* of the link; packet headers take the rest */
	/* A flow whose receiver is slower is skipped. */
	SOCKET_QUEUE_MAX_BYTES = 64 * 1024,
	BITS_PER_BYTE = 8,
};

struct shaper {
	uv_timer_t *timer;
	uv_loop_t *loop;
	int64_t rate;   /* bytes per millisecond; 0: unlimited */
	int64_t tokens; /* bytes that may be sent now */
	uint64_t filled_ms;
	GQueue flows;           /* struct shaper_flow, next first */
	uint64_t next_sequence; /* for the next flow to start */
};

/*
 * Return a shaper for a link rate in kbit/s.
 */
struct shaper *
shaper_new(uv_loop_t *loop, uint32_t kbps)
{
	struct shaper *shaper = g_new0(struct shaper, 1);

	shaper->loop = loop;
	shaper->rate = (int64_t)kbps * RATE_PERCENT / 100 / BITS_PER_BYTE;
	shaper->filled_ms = uv_now(loop);
	g_queue_init(&shaper->flows);
	shaper->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(loop, shaper->timer);
	shaper->timer->data = shaper;
	return shaper;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free a shaper. Its flows must have ended. NULL is allowed.
 */
void
shaper_free(struct shaper *shaper)
{
	if (shaper == NULL)
		return;
	uv_close((uv_handle_t *)shaper->timer, handle_timer_closed);
	g_free(shaper);
}

static void
refill_tokens(struct shaper *shaper)
{
	uint64_t now = uv_now(shaper->loop);
	int64_t max_tokens =
	    MAX(shaper->rate * BURST_MS, (int64_t)WRITE_MAX_BYTES);

	shaper->tokens += (int64_t)(now - shaper->filled_ms) * shaper->rate;
	shaper->tokens = MIN(shaper->tokens, max_tokens);
	shaper->filled_ms = now;
}

/*
 * Account for bytes sent without shaping. They take precedence over large
 * responses.
 */
void
shaper_charge(struct shaper *shaper, size_t bytes)
{
	if (shaper->rate == 0)
		return;
	refill_tokens(shaper);
	shaper->tokens -= (int64_t)bytes;
}

/*
 * Return the number of unsent bytes of a flow.
 */
size_t
shaper_flow_pending(const struct shaper_flow *flow)
{
	return account_buffer_len(&flow->bytes);
}

/*
 * Drop unsent bytes. The flow can be freed afterwards.
 */
void
shaper_flow_end(struct shaper *shaper, struct shaper_flow *flow)
{
	if (flow->queued)
		g_queue_unlink(&shaper->flows, &flow->link);
	flow->queued = false;
	account_buffer_release(&flow->bytes);
	flow->started = false;
}

/* Send one piece of a flow; false if its receiver is behind. */
static bool
send_from_flow(struct shaper *shaper, struct shaper_flow *flow)
{
	struct str bytes = account_buffer_view(&flow->bytes);

	bytes.len = MIN(bytes.len, (size_t)WRITE_MAX_BYTES);

	if (http_stream_queued_bytes(flow->to) > SOCKET_QUEUE_MAX_BYTES)
		return false;
	http_stream_write(flow->to, bytes);
	shaper->tokens -= (int64_t)bytes.len;
	account_buffer_consume(&flow->bytes, bytes.len);
	return true;
}

static int
flow_compare(const struct shaper_flow *left, const struct shaper_flow *right)
{
	if (left->late != right->late)
		return left->late ? 1 : -1;
	return (left->sequence > right->sequence) -
	    (left->sequence < right->sequence);
}

static void
enqueue_flow(struct shaper *shaper, struct shaper_flow *flow)
{
	GList *next = shaper->flows.head;

	while (next != NULL && flow_compare(next->data, flow) < 0)
		next = next->next;
	flow->link.data = flow;
	g_queue_insert_before_link(&shaper->flows, next, &flow->link);
	flow->queued = true;
}

/* Send the next piece of any flow; false if all receivers are behind. */
static bool
send_next(struct shaper *shaper)
{
	for (GList *link = shaper->flows.head; link != NULL;
	     link = link->next) {
		struct shaper_flow *flow = link->data;

		if (!send_from_flow(shaper, flow))
			continue;
		if (shaper_flow_pending(flow) == 0) {
			g_queue_unlink(&shaper->flows, &flow->link);
			flow->queued = false;
		}
		flow->handle_sent(flow);
		return true;
	}
	return false;
}

static void
send_queued(struct shaper *shaper)
{
	refill_tokens(shaper);
	while (shaper->tokens > 0 && send_next(shaper))
		;
	if (g_queue_is_empty(&shaper->flows))
		uv_timer_stop(shaper->timer);
}

static void
handle_timer(uv_timer_t *timer)
{
	send_queued(timer->data);
}

/*
 * Queue bytes of a large response; without shaping, send them. handle_sent may
 * be called before this returns.
 */
void
shaper_write(struct shaper *shaper, struct shaper_flow *flow, struct str bytes)
{
	if (shaper->rate == 0) {
		http_stream_write(flow->to, bytes);
		return;
	}
	if (!flow->started) {
		account_buffer_init(&flow->bytes, flow->to->holder);
		flow->sequence = shaper->next_sequence++;
		flow->started = true;
	}
	account_buffer_append(&flow->bytes, bytes);
	if (!flow->queued && bytes.len > 0)
		enqueue_flow(shaper, flow);
	if (!uv_is_active((uv_handle_t *)shaper->timer))
		uv_timer_start(
		    shaper->timer, handle_timer, 0, SEND_INTERVAL_MS);
}
