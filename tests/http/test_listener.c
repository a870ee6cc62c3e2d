#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "http/listener.h"

/*
 * Guards against a crowd of connections that keeps an iteration of the loop
 * from ending, or that takes all descriptors.
 */
enum {
	CROWD = 200,
	ITERATIONS_MAX = 100,
	ACCEPTED_MAX = 64,      /* in an iteration */
	SENT_BYTES = 16 * 1024, /* on each connection, that are dropped */
	DROPPED_MAX_BYTES = 1024 * 1024, /* in an iteration */
	DESCRIPTORS = 100,               /* of the limit: 50 for a class */
	CLASS_MAX = 50,
};

struct fixture {
	uv_loop_t loop;
	struct http_connections *connections;
	struct http_listener *listener;
	struct sockaddr_in address;
	int callers[CROWD];
	GPtrArray *streams; /* accepted and not closed */
	size_t accepted;
	size_t closed;  /* by a limit */
	size_t refused; /* by a limit */
	bool working;   /* the process works for all connections */
};

/* That of the test that runs: is_working has no other way to it. */
static struct fixture *current;

static void
handle_nothing(struct http_stream *stream)
{
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
}

static void
handle_end(struct http_stream *stream, enum http_end_reason reason)
{
	g_ptr_array_remove(current->streams, stream);
	http_stream_abort(stream);
}

static bool
is_working(const struct http_stream *stream)
{
	return current->working;
}

static const struct http_stream_ops ops = {
	.handle_head = handle_nothing,
	.handle_body = handle_body,
	.handle_message = handle_nothing,
	.handle_end = handle_end,
	.is_working = is_working,
};

static void
handle_accept(void *arg, struct http_stream *stream)
{
	struct fixture *f = arg;

	f->accepted++;
	g_ptr_array_add(f->streams, stream);
	stream->ops = &ops;
	stream->owner = f;
	http_stream_start(stream);
}

static void
handle_limit(void *arg, enum connection_class class,
    enum account_resource resource, enum http_limit_event event)
{
	struct fixture *f = arg;

	CU_ASSERT_EQUAL(class, CONNECTION_CALLER);
	CU_ASSERT_EQUAL(resource, ACCOUNT_DESCRIPTORS);
	f->closed += event == HTTP_LIMIT_CLOSED;
	f->refused += event == HTTP_LIMIT_REFUSED;
}

/* A free port: another process may take it before it is used again. */
static void
find_address(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (void *)address, len), 0);
	getsockname(fd, (void *)address, &len);
	close(fd);
}

static void
fixture_init(struct fixture *f, uint64_t descriptors)
{
	struct account_settings limits = {
		.limits = { ACCOUNT_UNLIMITED, descriptors },
	};
	struct http_connections_ops limit_ops = {
		.handle_limit = handle_limit,
		.arg = f,
	};
	char text[64];

	*f = (struct fixture){ .streams = g_ptr_array_new() };
	current = f;
	uv_loop_init(&f->loop);
	f->connections = http_connections_new(&f->loop, &limits, limit_ops);
	find_address(&f->address);
	g_snprintf(
	    text, sizeof(text), "127.0.0.1:%u", ntohs(f->address.sin_port));
	f->listener = http_listener_new(f->connections, CONNECTION_CALLER,
	    str_from(text), handle_accept, f, NULL);
	g_assert_nonnull(f->listener);
	for (size_t i = 0; i < CROWD; i++) {
		f->callers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		CU_ASSERT_TRUE_FATAL(connect(f->callers[i], (void *)&f->address,
					 sizeof(f->address)) == 0 ||
		    errno == EINPROGRESS);
	}
}

static void
fixture_clear(struct fixture *f)
{
	while (f->streams->len > 0)
		http_stream_abort(g_ptr_array_remove_index(f->streams, 0));
	for (size_t i = 0; i < CROWD; i++)
		close(f->callers[i]);
	http_listener_close(f->listener);
	http_connections_free(f->connections);
	while (uv_run(&f->loop, UV_RUN_NOWAIT) != 0)
		;
	uv_loop_close(&f->loop);
	g_ptr_array_free(f->streams, TRUE);
}

static void
test_iteration_is_bounded(void)
{
	struct fixture f;

	fixture_init(&f, ACCOUNT_UNLIMITED);
	for (size_t i = 0; i < ITERATIONS_MAX && f.accepted < CROWD; i++) {
		size_t before = f.accepted;

		uv_run(&f.loop, UV_RUN_NOWAIT);
		CU_ASSERT_TRUE(f.accepted - before <= ACCEPTED_MAX);
	}
	CU_ASSERT_EQUAL(f.accepted, CROWD);
	fixture_clear(&f);
}

static void
test_idle_give_way(void)
{
	struct fixture f;

	fixture_init(&f, DESCRIPTORS);
	for (size_t i = 0; i < ITERATIONS_MAX; i++) {
		uv_run(&f.loop, UV_RUN_NOWAIT);
		CU_ASSERT_TRUE(f.streams->len <= CLASS_MAX);
	}
	CU_ASSERT_EQUAL(f.accepted, CROWD);
	CU_ASSERT_EQUAL(f.closed, CROWD - CLASS_MAX);
	CU_ASSERT_EQUAL(f.refused, 0);
	CU_ASSERT_EQUAL(f.streams->len, CLASS_MAX);
	fixture_clear(&f);
}

/* A new connection costs none that has a request in progress. */
static void
test_working_stay(void)
{
	struct fixture f;

	fixture_init(&f, DESCRIPTORS);
	f.working = true;
	for (size_t i = 0; i < ITERATIONS_MAX; i++)
		uv_run(&f.loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(f.accepted, CLASS_MAX);
	CU_ASSERT_EQUAL(f.closed, 0);
	CU_ASSERT_EQUAL(f.refused, CROWD - CLASS_MAX);
	CU_ASSERT_EQUAL(f.streams->len, CLASS_MAX);
	fixture_clear(&f);
}

/* Bytes that the accepted connections have not read. */
static size_t
unread_bytes(const struct fixture *f)
{
	size_t sum = 0;

	for (guint i = 0; i < f->streams->len; i++) {
		const struct http_stream *stream =
		    g_ptr_array_index(f->streams, i);
		int fd, bytes;

		uv_fileno((const uv_handle_t *)&stream->tcp, &fd);
		CU_ASSERT_EQUAL_FATAL(ioctl(fd, FIONREAD, &bytes), 0);
		sum += (size_t)bytes;
	}
	return sum;
}

/* Bytes that are only dropped, behind a response that closes, cost turns. */
static void
test_dropped_input_is_bounded(void)
{
	struct fixture f;
	char *bytes = g_malloc0(SENT_BYTES);
	size_t before, after;

	fixture_init(&f, ACCOUNT_UNLIMITED);
	for (size_t i = 0; i < ITERATIONS_MAX && f.accepted < CROWD; i++)
		uv_run(&f.loop, UV_RUN_NOWAIT);
	for (guint i = 0; i < f.streams->len; i++)
		http_stream_discard(g_ptr_array_index(f.streams, i));
	for (size_t i = 0; i < CROWD; i++)
		CU_ASSERT_EQUAL_FATAL(
		    send(f.callers[i], bytes, SENT_BYTES, 0), SENT_BYTES);
	before = unread_bytes(&f);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	after = unread_bytes(&f);
	CU_ASSERT_TRUE(before >= 2 * (size_t)DROPPED_MAX_BYTES);
	CU_ASSERT_TRUE(before - after <= DROPPED_MAX_BYTES);
	for (size_t i = 0; i < ITERATIONS_MAX && unread_bytes(&f) > 0; i++)
		uv_run(&f.loop, UV_RUN_NOWAIT);
	CU_ASSERT_EQUAL(unread_bytes(&f), 0);
	fixture_clear(&f);
	g_free(bytes);
}

static const struct test_case cases[] = {
	{ "an iteration accepts a bounded number", test_iteration_is_bounded },
	{ "dropped input is bounded", test_dropped_input_is_bounded },
	{ "idle connections give way", test_idle_give_way },
	{ "those with a request stay", test_working_stay },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("listener", cases);
}
