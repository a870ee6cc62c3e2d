#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "http/pool.h"

static const struct account_settings unlimited = {
	.limits = { ACCOUNT_UNLIMITED, ACCOUNT_UNLIMITED },
};

enum {
	WAIT_MAX_MS = 3000,
};

/* A client stream under test, and the socket of its peer. */
struct fixture {
	uv_loop_t loop;
	struct http_connections *connections;
	int listener;
	int raw;
	struct sockaddr_in address;
	struct http_stream *stream;
	GString *log; /* one word per callback */
	GString *body;
	enum http_end_reason end_reason;
	bool auto_next;
};

static void
handle_head(struct http_stream *stream)
{
	struct fixture *f = stream->owner;

	g_string_append_printf(f->log, "head:%u ", stream->head->status);
}

static void
handle_body(struct http_stream *stream, struct str bytes)
{
	struct fixture *f = stream->owner;

	g_string_append_len(f->body, bytes.ptr, (gssize)bytes.len);
}

static void
handle_message(struct http_stream *stream)
{
	struct fixture *f = stream->owner;

	g_string_append(f->log, "message ");
	if (f->auto_next)
		http_stream_next(stream);
}

static void
handle_end(struct http_stream *stream, enum http_end_reason reason)
{
	struct fixture *f = stream->owner;

	f->end_reason = reason;
	g_string_append(f->log, "end ");
	http_stream_abort(stream);
	f->stream = NULL;
}

static const struct http_stream_ops ops = {
	.handle_head = handle_head,
	.handle_body = handle_body,
	.handle_message = handle_message,
	.handle_end = handle_end,
};

/* Run the loop until the log contains a word; false after WAIT_MAX_MS. */
static bool
wait_for(struct fixture *f, const char *word)
{
	gint64 until = g_get_monotonic_time() + WAIT_MAX_MS * 1000L;

	while (strstr(f->log->str, word) == NULL) {
		if (g_get_monotonic_time() > until)
			return false;
		uv_run(&f->loop, UV_RUN_NOWAIT);
		g_usleep(500);
	}
	return true;
}

static void
fixture_init(struct fixture *f)
{
	socklen_t len = sizeof(f->address);

	*f = (struct fixture){ .raw = -1 };
	uv_loop_init(&f->loop);
	f->log = g_string_new(NULL);
	f->body = g_string_new(NULL);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	f->address.sin_family = AF_INET;
	f->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(f->listener, (void *)&f->address, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(f->listener, 8), 0);
	getsockname(f->listener, (void *)&f->address, &len);
	f->connections = http_connections_new(
	    &f->loop, &unlimited, (struct http_connections_ops){ 0 });
	f->stream = http_stream_new(
	    f->connections, CONNECTION_UPSTREAM, HTTP_SIDE_CLIENT, &ops, f);
	CU_ASSERT_TRUE_FATAL(http_stream_connect(f->stream, &f->address));
	f->raw = accept(f->listener, NULL, NULL);
	while (!f->stream->connected)
		uv_run(&f->loop, UV_RUN_ONCE);
}

static void
fixture_clear(struct fixture *f)
{
	if (f->stream != NULL)
		http_stream_abort(f->stream);
	close(f->listener);
	if (f->raw >= 0)
		close(f->raw);
	http_connections_free(f->connections);
	while (uv_run(&f->loop, UV_RUN_NOWAIT) != 0)
		;
	uv_loop_close(&f->loop);
	g_string_free(f->log, TRUE);
	g_string_free(f->body, TRUE);
}

static void
raw_send(struct fixture *f, const char *text)
{
	CU_ASSERT_EQUAL(
	    write(f->raw, text, strlen(text)), (ssize_t)strlen(text));
}

/* Close with a reset, as happens when the peer process crashes. */
static void
raw_reset(struct fixture *f)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(f->raw, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(f->raw);
	f->raw = -1;
}

static const char response_without_length[] =
    "HTTP/1.1 200 OK\r\n\r\nhalf a body";

static void
test_close_ends_a_body_without_length(void)
{
	struct fixture f;

	fixture_init(&f);
	raw_send(&f, response_without_length);
	shutdown(f.raw, SHUT_WR);
	CU_ASSERT_TRUE(wait_for(&f, "message"));
	CU_ASSERT_STRING_EQUAL(f.body->str, "half a body");
	CU_ASSERT_FALSE(f.stream->keep_alive);
	fixture_clear(&f);
}

static void
test_reset_does_not_end_a_body(void)
{
	struct fixture f;

	fixture_init(&f);
	raw_send(&f, response_without_length);
	CU_ASSERT_TRUE(wait_for(&f, "head"));
	raw_reset(&f);
	CU_ASSERT_TRUE(wait_for(&f, "end"));
	CU_ASSERT_PTR_NULL(strstr(f.log->str, "message"));
	CU_ASSERT_EQUAL(f.end_reason, HTTP_END_RESET);
	fixture_clear(&f);
}

static void
test_short_body_is_not_a_message(void)
{
	struct fixture f;

	fixture_init(&f);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
	shutdown(f.raw, SHUT_WR);
	CU_ASSERT_TRUE(wait_for(&f, "end"));
	CU_ASSERT_PTR_NULL(strstr(f.log->str, "message"));
	fixture_clear(&f);
}

static void
test_two_responses_in_one_segment(void)
{
	struct fixture f;

	fixture_init(&f);
	f.auto_next = true;
	raw_send(&f,
	    "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nold"
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "3\r\nnew\r\n0\r\n\r\n");
	CU_ASSERT_TRUE(wait_for(&f, "head:500 message head:200 message "));
	CU_ASSERT_STRING_EQUAL(f.body->str, "oldnew");
	fixture_clear(&f);
}

static void
test_bytes_that_are_not_http(void)
{
	struct fixture f;

	fixture_init(&f);
	raw_send(&f, "\x01\x02 nonsense\r\n\r\n");
	CU_ASSERT_TRUE(wait_for(&f, "end"));
	CU_ASSERT_EQUAL(f.end_reason, HTTP_END_MALFORMED);
	fixture_clear(&f);
}

static void
test_large_head_is_refused(void)
{
	struct fixture f;
	char *filler = g_strnfill(2000, 'x');
	char *text =
	    g_strdup_printf("HTTP/1.1 200 OK\r\nA: %s\r\n\r\n", filler);

	fixture_init(&f);
	f.stream->head_max_bytes = 1000;
	raw_send(&f, text);
	CU_ASSERT_TRUE(wait_for(&f, "end"));
	CU_ASSERT_EQUAL(f.end_reason, HTTP_END_TOO_LARGE);
	fixture_clear(&f);
	g_free(text);
	g_free(filler);
}

/* Interim responses without end are no response. */
static void
test_interim_responses_are_bounded(void)
{
	GString *text = g_string_new(NULL);
	struct fixture f;

	for (int i = 0; i < HTTP_INTERIM_MAX; i++)
		g_string_append(text, "HTTP/1.1 103 Early Hints\r\n\r\n");
	fixture_init(&f);
	raw_send(&f, text->str);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	CU_ASSERT_TRUE(wait_for(&f, "message"));
	fixture_clear(&f);
	fixture_init(&f);
	raw_send(&f, text->str);
	raw_send(&f, "HTTP/1.1 100 Continue\r\n\r\n");
	CU_ASSERT_TRUE(wait_for(&f, "end"));
	CU_ASSERT_EQUAL(f.end_reason, HTTP_END_MALFORMED);
	fixture_clear(&f);
	g_string_free(text, TRUE);
}

/*
 * A peer that sends byte by byte what another doesn't read must not cost many
 * times those bytes.
 */
static void
test_small_writes_take_no_more_memory(void)
{
	enum {
		FILL_BYTES = 64 << 20, /* more than the socket's buffers hold */
		SMALL_WRITES = 50000,
		MEMORY_MAX = 16 * SMALL_WRITES,
	};
	struct fixture f;
	char *fill = g_malloc0(FILL_BYTES);
	size_t before, queued;

	fixture_init(&f);
	http_stream_write(f.stream, str_make(fill, FILL_BYTES));
	g_free(fill);
	queued = http_stream_queued_bytes(f.stream);
	CU_ASSERT_TRUE(queued > 0);
	before = mallinfo2().uordblks;
	for (int i = 0; i < SMALL_WRITES; i++)
		http_stream_write(f.stream, str_from("x"));
	CU_ASSERT_TRUE(mallinfo2().uordblks - before < MEMORY_MAX);
	CU_ASSERT_EQUAL(
	    http_stream_queued_bytes(f.stream), queued + SMALL_WRITES);
	fixture_clear(&f);
}

/* What is written small or large, and then closed, arrives whole and in order.
 */
static void
test_writes_arrive_in_order(void)
{
	enum {
		LARGE_BYTES = 12 << 20,
		WRITES = 300,
	};
	struct fixture f;
	GString *sent = g_string_new(NULL);
	GString *received = g_string_new(NULL);
	char *large = g_strnfill(LARGE_BYTES, 'l');
	char buffer[65536];
	ssize_t count = 1;

	fixture_init(&f);
	http_stream_write(f.stream, str_make(large, LARGE_BYTES));
	g_string_append_len(sent, large, LARGE_BYTES);
	for (int i = 0; i < WRITES; i++) {
		char *text = g_strdup_printf("%d,", i);

		http_stream_write_pair(f.stream, str_from(text), str_from(";"));
		g_string_append_printf(sent, "%s;", text);
		g_free(text);
		if (i == WRITES / 2 && read(f.raw, buffer, 4096) > 0)
			g_string_append_len(received, buffer, 4096);
		uv_run(&f.loop, UV_RUN_NOWAIT);
	}
	http_stream_close(f.stream);
	f.stream = NULL;
	while (count > 0) {
		uv_run(&f.loop, UV_RUN_NOWAIT);
		count = recv(f.raw, buffer, sizeof(buffer), MSG_DONTWAIT);
		if (count > 0)
			g_string_append_len(received, buffer, count);
		else if (count < 0 && errno == EAGAIN)
			count = 1;
	}
	CU_ASSERT_EQUAL(received->len, sent->len);
	CU_ASSERT_TRUE(g_string_equal(received, sent));
	g_string_free(sent, TRUE);
	g_string_free(received, TRUE);
	g_free(large);
	fixture_clear(&f);
}

/* Replace the fixture's stream by one of a pool, which is returned. */
static struct http_pool *
fixture_use_pool(struct fixture *f)
{
	struct http_pool_settings settings = {
		.class = CONNECTION_UPSTREAM,
		.address = f->address,
		.idle_max = 4,
		.idle_default_ms = 10000,
		.idle_max_ms = 10000,
	};
	struct http_pool *pool = http_pool_new(f->connections, &settings);

	http_stream_abort(f->stream);
	close(f->raw);
	f->stream = http_pool_connect(pool, &ops, f);
	g_assert_nonnull(f->stream);
	f->raw = accept(f->listener, NULL, NULL);
	while (!f->stream->connected)
		uv_run(&f->loop, UV_RUN_ONCE);
	return pool;
}

/*
 * An upstream that moves to another host takes the pool of the former one with
 * it, while requests are in progress there.
 */
static void
test_a_connection_outlives_its_pool(void)
{
	struct http_pool *pool;
	struct fixture f;

	fixture_init(&f);
	pool = fixture_use_pool(&f);
	http_pool_free(pool);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	CU_ASSERT_TRUE(wait_for(&f, "message"));
	http_pool_release(f.stream);
	f.stream = NULL;
	fixture_clear(&f);
	fixture_init(&f);
	pool = fixture_use_pool(&f);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1");
	CU_ASSERT_TRUE(wait_for(&f, "head"));
	http_pool_free(pool);
	uv_run(&f.loop, UV_RUN_NOWAIT);
	http_pool_drain(f.stream);
	f.stream = NULL;
	fixture_clear(&f);
}

/* Bytes received on an idle connection must not answer the next request. */
static void
test_pool_drops_a_connection_with_late_bytes(void)
{
	struct http_pool *pool;
	struct fixture f;

	fixture_init(&f);
	pool = fixture_use_pool(&f);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1");
	CU_ASSERT_TRUE(wait_for(&f, "message"));
	http_pool_release(f.stream);
	f.stream = NULL;
	CU_ASSERT_EQUAL(http_pool_idle_count(pool), 1);
	raw_send(&f, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2");
	for (int i = 0; i < 200 && http_pool_idle_count(pool) > 0; i++) {
		uv_run(&f.loop, UV_RUN_NOWAIT);
		g_usleep(1000);
	}
	CU_ASSERT_EQUAL(http_pool_idle_count(pool), 0);
	CU_ASSERT_PTR_NULL(http_pool_acquire(pool, &ops, &f, UINT32_MAX));
	http_pool_free(pool);
	fixture_clear(&f);
}

static const struct test_case cases[] = {
	{ "a close ends a body without a length",
	    test_close_ends_a_body_without_length },
	{ "a reset does not end a body", test_reset_does_not_end_a_body },
	{ "a short body is not a message", test_short_body_is_not_a_message },
	{ "two responses in one segment", test_two_responses_in_one_segment },
	{ "bytes that are not HTTP", test_bytes_that_are_not_http },
	{ "a large head is refused", test_large_head_is_refused },
	{ "interim responses are bounded", test_interim_responses_are_bounded },
	{ "small writes take no more memory",
	    test_small_writes_take_no_more_memory },
	{ "writes arrive in order", test_writes_arrive_in_order },
	{ "a connection outlives its pool",
	    test_a_connection_outlives_its_pool },
	{ "the pool drops a connection with late bytes",
	    test_pool_drops_a_connection_with_late_bytes },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("http stream", cases);
}
