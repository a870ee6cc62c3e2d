#include "trefoilhill-proxy/caller.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/pipeline.h"

/* The ordered queue of a connection's requests. */

/*
 * Return the bytes that are buffered since other requests come first.
 */
size_t
caller_buffered_bytes(const struct caller *caller)
{
	size_t bytes = 0;

	for (GList *link = caller->exchanges.head; link != NULL;
	     link = link->next) {
		const struct exchange *exchange = link->data;

		if (!exchange->has_turn)
			bytes += account_buffer_len(&exchange->response_head) +
			    account_buffer_len(&exchange->buffered_body);
		if (exchange->waiting)
			bytes += account_buffer_len(&exchange->body);
	}
	return bytes;
}

/* Is the response sent before it is complete, or probably will be? */
static bool
is_streamed(const struct exchange *exchange)
{
	return exchange->large ||
	    (exchange->route != NULL &&
		large_share_expects_large(
		    exchange->proxy->large_share, exchange->route->name));
}

static void
describe_pipeline(const struct caller *caller, struct pipeline *pipeline)
{
	*pipeline = (struct pipeline){
		.buffered_bytes = caller_buffered_bytes(caller),
		.unsent = caller->stream->above_high_mark,
		.closing = caller->close_after_response ||
		    caller->final_status != NULL,
		.stopping = caller->proxy->stopping,
		.from_peer = caller->origin == CALLER_PEER,
	};
	for (GList *link = caller->exchanges.head; link != NULL;
	     link = link->next) {
		const struct exchange *exchange = link->data;

		pipeline->requests[pipeline->count++] =
		    (struct pipeline_request){
			    .runs_once = !exchange->idempotent,
			    .forwarded = exchange->attempt_count > 0,
			    .complete = exchange->response_complete,
			    .streams = is_streamed(exchange),
			    .keep_alive = exchange->keep_alive,
			    .http_1_0 = exchange->http_1_0,
		    };
	}
}

/*
 * Tell whether a request may be sent to an upstream.
 */
bool
caller_may_forward(const struct caller *caller, const struct exchange *exchange)
{
	struct pipeline pipeline;

	describe_pipeline(caller, &pipeline);
	/* The requests before one that can't be parsed are answered. */
	pipeline.closing = caller->close_after_response;
	return pipeline_may_forward(&pipeline,
	    (size_t)g_queue_index((GQueue *)&caller->exchanges, exchange));
}

/*
 * Tell whether a shutdown may close the connection after a response.
 */
bool
caller_may_close(const struct caller *caller, const struct exchange *exchange)
{
	struct pipeline pipeline;

	describe_pipeline(caller, &pipeline);
	return pipeline_may_close(&pipeline,
	    (size_t)g_queue_index((GQueue *)&caller->exchanges, exchange));
}

/*
 * Return how many bytes of a response are buffered until it is complete.
 */
size_t
caller_response_buffer(
    const struct caller *caller, const struct exchange *exchange)
{
	struct pipeline pipeline;

	describe_pipeline(caller, &pipeline);
	return pipeline_response_buffer(&pipeline,
	    (size_t)g_queue_index((GQueue *)&caller->exchanges, exchange));
}

/*
 * Tell whether bytes of a response may be held until its turn.
 */
bool
caller_may_buffer(const struct caller *caller, size_t bytes)
{
	return pipeline_may_buffer(caller_buffered_bytes(caller), bytes);
}

/*
 * Add a request that begins. It is the last one.
 */
void
caller_add_exchange(struct caller *caller, struct exchange *exchange)
{
	exchange->has_turn = g_queue_is_empty(&caller->exchanges);
	g_queue_push_tail(&caller->exchanges, exchange);
	caller->receiving = exchange;
	if (exchange->has_turn)
		return;
	caller->pipelined = true;
	proxy_count(&caller->proxy->stats, STAT_PIPELINED_REQUESTS);
}

/*
 * Remove a request that has ended.
 */
void
caller_remove_exchange(struct caller *caller, struct exchange *exchange)
{
	g_queue_remove(&caller->exchanges, exchange);
	if (caller->receiving == exchange)
		caller->receiving = NULL;
}

/*
 * End all requests, since the connection is closed.
 */
void
caller_abandon_exchanges(struct caller *caller)
{
	GQueue exchanges = caller->exchanges;
	struct exchange *exchange;

	g_queue_init(&caller->exchanges);
	caller->receiving = NULL;
	/*
	 * Ending one may let the gate start another: none of them may use the
	 * connection any more.
	 */
	for (GList *link = exchanges.head; link != NULL; link = link->next) {
		exchange = link->data;
		exchange->caller = NULL;
	}
	while ((exchange = g_queue_pop_head(&exchanges)) != NULL)
		exchange_abandon(exchange);
}

/* Forward the next request that no longer waits; false if there is none. */
static bool
forward_next(struct caller *caller)
{
	for (GList *link = caller->exchanges.head; link != NULL;
	     link = link->next) {
		struct exchange *exchange = link->data;

		if (!exchange->waiting || exchange->response_complete ||
		    !caller_may_forward(caller, exchange))
			continue;
		exchange_forward_waiting(exchange);
		return true;
	}
	return false;
}

static void
read_next(struct caller *caller)
{
	struct pipeline pipeline;

	describe_pipeline(caller, &pipeline);
	if (!caller->request_complete || !pipeline_may_read(&pipeline))
		return;
	caller->request_complete = false;
	http_stream_next(caller->stream);
}

/* Take one step; see caller_advance. */
static void
advance_once(struct caller *caller)
{
	struct exchange *first = g_queue_peek_head(&caller->exchanges);

	if (first != NULL && !first->has_turn) {
		exchange_take_turn(first);
		caller->advance_again = true;
		return;
	}
	if (forward_next(caller)) {
		caller->advance_again = true;
		return;
	}
	if (first == NULL && caller->final_status != NULL) {
		caller_respond_unparsed(caller, caller->final_status);
		return;
	}
	read_next(caller);
}

/*
 * Go on after a change of the queue. Each step may end requests, read others or
 * close the connection, and so call this again: the steps are taken in a loop,
 * not in a recursion.
 */
void
caller_advance(struct caller *caller)
{
	caller->advance_again = true;
	if (caller->advancing)
		return;
	caller->advancing = true;
	while (caller->advance_again && caller->stream != NULL &&
	    !caller->lingering && !caller->close_after_response) {
		caller->advance_again = false;
		advance_once(caller);
	}
	caller->advancing = false;
	caller_wait(caller);
}

/*
 * Reject what is being received, once the requests before it are answered.
 */
void
caller_reject_message(struct caller *caller, const char *status_line)
{
	struct exchange *receiving = caller->receiving;

	if (g_queue_is_empty(&caller->exchanges)) {
		caller_respond_unparsed(caller, status_line);
		return;
	}
	uv_timer_stop(&caller->timer);
	http_stream_discard(caller->stream);
	/* A response before the end of a request closes the connection. */
	if (receiving != NULL && receiving->response_complete)
		return;
	caller->final_status = status_line;
	if (receiving == NULL)
		return;
	caller_remove_exchange(caller, receiving);
	exchange_abandon(receiving);
}

/* Notice a close by a caller that has sent more than is read from it. */
static void
check_gone(struct caller *caller)
{
	if (caller->exchanges.length > 0 && !caller->stream->reading &&
	    http_stream_is_peer_gone(caller->stream))
		caller_abort(caller);
}

/*
 * Notice callers that have closed their connection while reading from them is
 * paused.
 */
void
callers_check_gone(struct proxy *proxy)
{
	GList *callers = g_hash_table_get_keys(proxy->callers);

	for (GList *link = callers; link != NULL; link = link->next)
		check_gone(link->data);
	g_list_free(callers);
}

/*
 * End all requests, as the process ends: each gets a response, unless its
 * connection is cut in the middle of one.
 */
void
callers_end_by_stop(struct proxy *proxy)
{
	GList *callers = g_hash_table_get_keys(proxy->callers);

	/* Those that end make room for others at the upstream. */
	proxy->ending = true;
	for (GList *link = callers; link != NULL; link = link->next) {
		struct caller *caller = link->data;
		struct exchange *first;

		while (caller->stream != NULL &&
		    (first = g_queue_peek_head(&caller->exchanges)) != NULL) {
			exchange_end_by_stop(first);
			if (g_queue_peek_head(&caller->exchanges) == first)
				break;
		}
	}
	g_list_free(callers);
}

/*
 * Return the bytes that wait for their turn, on all connections.
 */
uint64_t
callers_buffered_bytes(const struct proxy *proxy)
{
	GHashTableIter iter;
	void *caller;
	uint64_t bytes = 0;

	g_hash_table_iter_init(&iter, proxy->callers);
	while (g_hash_table_iter_next(&iter, &caller, NULL))
		bytes += caller_buffered_bytes(caller);
	return bytes;
}
