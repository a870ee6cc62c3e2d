#include <string.h>
#include <unistd.h>

#include "fixture.h"
#include "harness.h"
#include "raw_caller.h"

enum {
	CONNECTIONS = 40, /* more than the entry has workers */
	REPLY_TIMEOUT_MS = 2000,
	REPLY_BYTES_MAX = 8192,
	LONG_HEADER_BYTES = 70000,
};

#define GOOD_REQUEST "GET /size/5 HTTP/1.1\r\nHost: svc.test\r\n\r\n"

static struct fixture *shared;

static int
connect_entry(void)
{
	return raw_connect(shared->nodes[0].caller_address);
}

/*
 * Idle keep-alive connections must not use up all workers and block new
 * connections.
 */
static void
test_idle_connections_do_not_block_others(void)
{
	int fds[CONNECTIONS];
	char reply[REPLY_BYTES_MAX];
	size_t served = 0;

	for (int i = 0; i < CONNECTIONS; i++) {
		fds[i] = connect_entry();
		raw_send(fds[i], GOOD_REQUEST);
		served += (size_t)raw_expect(fds[i], "HTTP/1.1 200",
		    REPLY_TIMEOUT_MS, reply, sizeof(reply));
	}
	CU_ASSERT_EQUAL(served, CONNECTIONS);
	for (int i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
}

static void
test_connection_is_kept_for_the_next_request(void)
{
	char reply[REPLY_BYTES_MAX];
	int fd = connect_entry();

	for (int i = 0; i < 3; i++) {
		raw_send(fd, GOOD_REQUEST);
		CU_ASSERT_TRUE(raw_expect(
		    fd, "\r\n\r\n", REPLY_TIMEOUT_MS, reply, sizeof(reply)));
		CU_ASSERT_PTR_NOT_NULL(strstr(reply, "HTTP/1.1 200"));
		CU_ASSERT_PTR_NOT_NULL(strstr(reply, "X-Kept: yes"));
		CU_ASSERT_PTR_NULL(strstr(reply, "Keep-Alive:"));
	}
	close(fd);
}

static void
test_malformed_requests_are_refused(void)
{
	static const char *const requests[] = {
		"GET /size/5 HTTP/1.1\r\n\r\n",
		"GET /size/5 HTTP/1.1\r\nHost: svc.test\r\n"
		"Host: svc.test\r\n\r\n",
		"POST /size/5 HTTP/1.1\r\nHost: svc.test\r\n"
		"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		"0\r\n\r\n",
		"GET /size/5 HTTP/1.0\r\nHost: svc.test\r\n\r\n",
		"POST /size/5 HTTP/1.1\r\nHost: svc.test\r\n"
		"Content-Length: -5\r\n\r\n",
		"GET /size/5 SMTP/1.1\r\nHost: svc.test\r\n\r\n",
		"\x01\x02\x03 / HTTP/1.1\r\nHost: svc.test\r\n\r\n",
	};
	unsigned int runs = atomic_load(&shared->upstreams[0].runs);
	char reply[REPLY_BYTES_MAX];

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		int fd = connect_entry();

		raw_send(fd, requests[i]);
		CU_ASSERT_TRUE(raw_expect(
		    fd, "\"error\":", REPLY_TIMEOUT_MS, reply, sizeof(reply)));
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(reply, "Trefoilhill-Outcome: not-run"));
		close(fd);
	}
	CU_ASSERT_EQUAL(atomic_load(&shared->upstreams[0].runs), runs);
}

static void
test_long_head_is_refused(void)
{
	char *value = g_strnfill(LONG_HEADER_BYTES, 'x');
	char *request = g_strdup_printf(
	    "GET /size/5 HTTP/1.1\r\nHost: svc.test\r\nA: %s\r\n\r\n", value);
	char reply[REPLY_BYTES_MAX];
	int fd = connect_entry();

	raw_send(fd, request);
	raw_expect(fd, "HTTP/1.1 ", REPLY_TIMEOUT_MS, reply, sizeof(reply));
	CU_ASSERT_PTR_NULL(strstr(reply, "HTTP/1.1 200"));
	close(fd);
	fd = connect_entry();
	raw_send(fd, GOOD_REQUEST);
	CU_ASSERT_TRUE(raw_expect(
	    fd, "HTTP/1.1 200", REPLY_TIMEOUT_MS, reply, sizeof(reply)));
	close(fd);
	g_free(value);
	g_free(request);
}

/*
 * A request body that the caller did not finish must not reach the upstream as
 * complete.
 */
static void
test_truncated_request_body_does_not_run(void)
{
	unsigned int runs = atomic_load(&shared->upstreams[0].runs);
	int fd = connect_entry();

	raw_send(fd,
	    "POST /size/5 HTTP/1.1\r\nHost: svc.test\r\n"
	    "Content-Length: 100\r\n\r\nonly this");
	close(fd);
	usleep(300 * 1000);
	CU_ASSERT_EQUAL(atomic_load(&shared->upstreams[0].runs), runs);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "connection is kept for the next request",
		    test_connection_is_kept_for_the_next_request },
		{ "malformed requests are refused",
		    test_malformed_requests_are_refused },
		{ "long head is refused", test_long_head_is_refused },
		{ "truncated request body does not run",
		    test_truncated_request_body_does_not_run },
		{ "idle connections do not block others",
		    test_idle_connections_do_not_block_others },
		{ NULL, NULL },
	};
	int status;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	shared = fixture_open(1);
	status = harness_run("caller entry", cases);
	fixture_close(shared);
	fixtures_join();
	return status;
}
