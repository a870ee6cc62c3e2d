#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_upstream.h"

enum {
	CHUNK_BYTES = 32 * 1024,
	SLOW_INTERVAL_US = 10000,
	SLOW_CHUNKS_MAX = 400,
};

/*
 * Return the byte at an offset of any test body. The pattern reveals lost and
 * duplicate parts.
 */
unsigned char
pattern_byte(size_t offset)
{
	return (unsigned char)((offset * 2654435761U) >> 13);
}

static bool
write_pattern(
    struct mg_connection *conn, size_t from, size_t upto, bool chunked)
{
	char chunk[CHUNK_BYTES];

	while (from < upto) {
		size_t len = MIN(upto - from, sizeof(chunk));
		int sent;

		for (size_t i = 0; i < len; i++)
			chunk[i] = (char)pattern_byte(from + i);
		sent = chunked ? mg_send_chunk(conn, chunk, (unsigned int)len)
			       : mg_write(conn, chunk, len);
		if (sent <= 0)
			return false;
		from += len;
	}
	return true;
}

static void
respond_size(struct mg_connection *conn, size_t size)
{
	mg_printf(conn,
	    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
	    "X-Kept: yes\r\nKeep-Alive: timeout=5\r\n\r\n",
	    size);
	write_pattern(conn, 0, size, false);
}

static void
respond_chunked(struct mg_connection *conn, size_t size)
{
	mg_printf(
	    conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	if (write_pattern(conn, 0, size, true))
		mg_send_chunk(conn, "", 0);
}

/* Announces size bytes and sends only the first half. */
static void
respond_truncated(struct mg_connection *conn, size_t size)
{
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", size);
	write_pattern(conn, 0, size / 2, false);
}

/* Sends half of a chunked body without the last chunk. */
static void
respond_truncated_chunked(struct mg_connection *conn, size_t size)
{
	mg_disable_connection_keep_alive(conn);
	mg_printf(
	    conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	write_pattern(conn, 0, size / 2, true);
}

/*
 * Sends small chunks until the client disconnects or SLOW_CHUNKS_MAX is
 * reached.
 */
static void
respond_slowly(struct fake_upstream *upstream, struct mg_connection *conn)
{
	mg_printf(
	    conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < SLOW_CHUNKS_MAX; i++) {
		if (mg_send_chunk(conn, "tick", 4) <= 0) {
			atomic_fetch_add(&upstream->aborted_responses, 1);
			return;
		}
		usleep(SLOW_INTERVAL_US);
	}
}

static void
respond_shed(struct mg_connection *conn)
{
	mg_printf(conn,
	    "HTTP/1.1 503 Busy\r\nX-Standin-Outcome: shed\r\n"
	    "Retry-After: 3\r\nContent-Length: 0\r\n\r\n");
}

/* Sends text without end, until the client disconnects. */
static void
respond_endlessly(struct fake_upstream *upstream, struct mg_connection *conn,
    const char *head, const char *text)
{
	GString *piece = g_string_new(NULL);

	while (piece->len < CHUNK_BYTES)
		g_string_append(piece, text);
	mg_disable_connection_keep_alive(conn);
	mg_write(conn, head, strlen(head));
	while (mg_write(conn, piece->str, piece->len) > 0)
		;
	atomic_fetch_add(&upstream->aborted_responses, 1);
	g_string_free(piece, TRUE);
}

static void
check_body(struct fake_upstream *upstream, struct mg_connection *conn)
{
	char chunk[CHUNK_BYTES];
	size_t offset = 0;
	int len;

	while ((len = mg_read(conn, chunk, sizeof(chunk))) > 0)
		for (int i = 0; i < len; i++, offset++)
			if ((unsigned char)chunk[i] != pattern_byte(offset))
				atomic_fetch_add(&upstream->body_mismatches, 1);
	atomic_fetch_add(&upstream->body_bytes, offset);
}

static int
handle_request(struct mg_connection *conn)
{
	struct fake_upstream *upstream = mg_get_user_data(mg_get_context(conn));
	const char *path = mg_get_request_info(conn)->local_uri;
	const char *number = strrchr(path, '/') + 1;
	size_t size = strtoul(number, NULL, 10);

	atomic_fetch_add(&upstream->runs, 1);
	check_body(upstream, conn);
	if (g_str_has_prefix(path, "/size/"))
		respond_size(conn, size);
	else if (g_str_has_prefix(path, "/chunked/"))
		respond_chunked(conn, size);
	else if (g_str_has_prefix(path, "/cut-chunked/"))
		respond_truncated_chunked(conn, size);
	else if (g_str_has_prefix(path, "/break/"))
		mg_disable_connection_keep_alive(conn);
	else if (g_str_has_prefix(path, "/cut/"))
		respond_truncated(conn, size);
	else if (g_str_has_prefix(path, "/slow/"))
		respond_slowly(upstream, conn);
	else if (g_str_has_prefix(path, "/shed-endless/"))
		respond_endlessly(upstream, conn,
		    "HTTP/1.1 503 Busy\r\nX-Standin-Outcome: shed\r\n"
		    "Retry-After: 3\r\n\r\n",
		    "x");
	else if (g_str_has_prefix(path, "/interim/"))
		respond_endlessly(upstream, conn, "",
		    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
	else if (g_str_has_prefix(path, "/wait/")) {
		usleep((useconds_t)size * 1000);
		respond_size(conn, 2);
	} else
		respond_shed(conn);
	return 200;
}

/*
 * Start an upstream on a free port.
 */
void
fake_upstream_open(struct fake_upstream *upstream)
{
	struct mg_callbacks callbacks = { .begin_request = handle_request };
	const char *options[] = { "listening_ports", "127.0.0.1:0",
		"num_threads", "16", "enable_keep_alive", "yes", "tcp_nodelay",
		"1", NULL };
	struct mg_server_port port;

	memset(upstream, 0, sizeof(*upstream));
	upstream->server = mg_start(&callbacks, upstream, options);
	g_assert_nonnull(upstream->server);
	mg_get_server_ports(upstream->server, 1, &port);
	upstream->port = port.port;
}

void
fake_upstream_close(struct fake_upstream *upstream)
{
	if (upstream->server != NULL)
		mg_stop(upstream->server);
	upstream->server = NULL;
}
