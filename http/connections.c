#include "account/turns.h"
#include "http/connections.h"
#include "http/stream_private.h"

struct http_connections {
	uv_loop_t *loop;
	struct http_connections_ops ops;
	struct account *account;
	struct turns turns;
	uv_prepare_t begin; /* of an iteration's input */
	uv_check_t end;     /* of it */
	/* Bytes that connections of a class have asked for in vain. */
	size_t wanted[CONNECTION_CLASSES];
	uv_idle_t waiting; /* active while a connection waits for a turn */
	uint32_t refs;     /* of open handles and connections */
};

/* Only keeps the loop from blocking. */
static void
handle_waiting(uv_idle_t *idle)
{
}

/* Serve those that wait for a turn, before more input is read. */
static void
handle_begin(uv_prepare_t *prepare)
{
	struct http_connections *connections = prepare->data;
	struct turns *turns = &connections->turns;
	GList *link;

	turns_begin(turns);
	for (size_t i = 0; i < CONNECTION_CLASSES; i++) {
		while ((link = turns_next(turns, i)) != NULL) {
			struct http_turn *turn = link->data;

			turn->waits = false;
			turn->take(turn);
		}
	}
	if (!turns_any_waits(turns))
		uv_idle_stop(&connections->waiting);
}

static void
report_limit(struct http_connections *connections, enum connection_class class,
    enum account_resource resource, enum http_limit_event event)
{
	if (connections->ops.handle_limit != NULL)
		connections->ops.handle_limit(
		    connections->ops.arg, class, resource, event);
}

/* Close a connection of a class to make room; false if none gives way. */
static bool
make_room(struct http_connections *connections, enum connection_class class,
    enum account_resource resource)
{
	struct account_holder *holder = account_choose(connections->account,
	    class, resource, (int64_t)uv_now(connections->loop));

	if (holder == NULL)
		return false;
	account_revoke(holder);
	report_limit(connections, class, resource, HTTP_LIMIT_CLOSED);
	stream_revoke(holder->owner);
	return true;
}

/*
 * Make room for what connections occupy beyond the limits, or have asked for.
 * What closed connections occupied is freed at the end of this iteration.
 */
static void
handle_end(uv_check_t *check)
{
	struct http_connections *connections = check->data;
	const struct account *account = connections->account;

	for (size_t i = 0; i < CONNECTION_CLASSES; i++) {
		while (!account_may_take(account, i, ACCOUNT_MEMORY,
			   connections->wanted[i]) &&
		    make_room(connections, i, ACCOUNT_MEMORY))
			;
		connections->wanted[i] = 0;
	}
}

/*
 * Return a set without connections. The caller frees it with
 * http_connections_free.
 */
struct http_connections *
http_connections_new(uv_loop_t *loop, const struct account_settings *limits,
    struct http_connections_ops ops)
{
	struct http_connections *connections =
	    g_new0(struct http_connections, 1);

	connections->loop = loop;
	connections->ops = ops;
	connections->account = account_new(limits);
	turns_init(&connections->turns);
	uv_prepare_init(loop, &connections->begin);
	uv_idle_init(loop, &connections->waiting);
	uv_check_init(loop, &connections->end);
	connections->refs = 3;
	connections->begin.data = connections->waiting.data =
	    connections->end.data = connections;
	uv_prepare_start(&connections->begin, handle_begin);
	uv_unref((uv_handle_t *)&connections->begin);
	uv_check_start(&connections->end, handle_end);
	uv_unref((uv_handle_t *)&connections->end);
	return connections;
}

/*
 * A handle, or the stream of a connection, has been freed.
 */
void
http_connections_unref(struct http_connections *connections)
{
	if (--connections->refs > 0)
		return;
	account_free(connections->account);
	g_free(connections);
}

static void
handle_closed(uv_handle_t *handle)
{
	http_connections_unref(handle->data);
}

/*
 * Free a set, once the loop runs again and its connections are closed. NULL is
 * allowed.
 */
void
http_connections_free(struct http_connections *connections)
{
	if (connections == NULL)
		return;
	uv_close((uv_handle_t *)&connections->begin, handle_closed);
	uv_close((uv_handle_t *)&connections->waiting, handle_closed);
	uv_close((uv_handle_t *)&connections->end, handle_closed);
}

/*
 * Return the event loop of the connections.
 */
uv_loop_t *
http_connections_loop(const struct http_connections *connections)
{
	return connections->loop;
}

/*
 * Return the account of the connections.
 */
const struct account *
http_connections_account(const struct http_connections *connections)
{
	return connections->account;
}

/*
 * Return the most memory that was occupied since the last call.
 */
uint64_t
http_connections_take_memory_peak(struct http_connections *connections)
{
	return account_take_memory_peak(connections->account);
}

/*
 * Replace the limits.
 */
void
http_connections_configure(
    struct http_connections *connections, const struct account_settings *limits)
{
	account_configure(connections->account, limits);
}

static bool
is_working(const struct account_holder *holder)
{
	return stream_is_working(holder->owner);
}

/*
 * Count a new connection, which its stream ends with account_close and
 * http_connections_unref.
 */
struct account_holder *
http_connections_add(struct http_stream *stream)
{
	static const struct account_holder_ops ops = {
		.is_working = is_working,
	};
	struct http_connections *connections = stream->connections;

	connections->refs++;
	return account_open(connections->account, stream->class, &ops, stream,
	    (int64_t)uv_now(connections->loop));
}

/*
 * Tell whether a connection may be opened, and make room for it if that is
 * possible.
 */
bool
http_connections_admit(
    struct http_connections *connections, enum connection_class class)
{
	if (account_may_take(
		connections->account, class, ACCOUNT_DESCRIPTORS, 1) ||
	    make_room(connections, class, ACCOUNT_DESCRIPTORS))
		return true;
	http_connections_refuse(connections, class);
	return false;
}

/*
 * Report that a connection was refused for want of a descriptor.
 */
void
http_connections_refuse(
    struct http_connections *connections, enum connection_class class)
{
	report_limit(
	    connections, class, ACCOUNT_DESCRIPTORS, HTTP_LIMIT_REFUSED);
}

/*
 * Tell whether a connection may read more.
 */
bool
http_connections_has_memory(const struct http_stream *stream, size_t bytes)
{
	struct http_connections *connections = stream->connections;
	enum connection_class class = stream->payer->class;

	if (class == CONNECTION_CONTROL ||
	    account_may_take(
		connections->account, class, ACCOUNT_MEMORY, bytes))
		return true;
	connections->wanted[class] = bytes;
	return false;
}

static void
tick_class(struct http_connections *connections, enum connection_class class)
{
	int64_t now_ms = (int64_t)uv_now(connections->loop);
	struct account_holder *holder, *next;

	for (holder = account_first(connections->account, class);
	     holder != NULL; holder = next) {
		struct http_stream *stream = holder->owner;

		next = account_next(holder);
		stream_sample(stream);
		if (!account_is_expired(
			holder, http_stream_queued_bytes(stream) > 0, now_ms))
			continue;
		account_revoke(holder);
		report_limit(connections, class, ACCOUNT_DESCRIPTORS,
		    HTTP_LIMIT_EXPIRED);
		stream_revoke(stream);
	}
}

/*
 * Count what is unread, and close connections that have expired. Closing one
 * frees it only later, so that the next one stays valid.
 */
void
http_connections_tick(struct http_connections *connections)
{
	tick_class(connections, CONNECTION_CALLER);
	tick_class(connections, CONNECTION_NODE);
	tick_class(connections, CONNECTION_OPERATOR);
	tick_class(connections, CONNECTION_METRICS);
}

/*
 * Tell whether input may be processed immediately.
 */
bool
http_connections_has_turn(
    const struct http_connections *connections, enum connection_class class)
{
	return turns_is_free(&connections->turns, class);
}

/*
 * Take a turn to process input; false if there is none.
 */
bool
http_connections_take_turn(
    struct http_connections *connections, enum connection_class class)
{
	return turns_take(&connections->turns, class);
}

/*
 * Count the input that was processed in a turn.
 */
void
http_connections_charge_turn(struct http_connections *connections,
    enum connection_class class, size_t bytes)
{
	turns_charge(&connections->turns, class, bytes);
}

/*
 * Wait for a turn.
 */
void
http_connections_wait(
    struct http_connections *connections, struct http_turn *turn)
{
	if (turn->waits)
		return;
	turn->waits = true;
	turn->link.data = turn;
	turns_wait(&connections->turns, turn->class, &turn->link);
	uv_idle_start(&connections->waiting, handle_waiting);
}

/*
 * Wait no more.
 */
void
http_connections_cancel(
    struct http_connections *connections, struct http_turn *turn)
{
	if (turn->waits)
		turns_cancel(&connections->turns, turn->class, &turn->link);
	turn->waits = false;
}
