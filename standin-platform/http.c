#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "standin-platform/http.h"

enum {
	NS_PER_US = 1000,
	US_PER_S = 1000000,
	QUERY_VALUE_MAX = 128,
	DECIMAL = 10,
	SOCKETS_MAX = 4096,
	HEAD_MAX = 512,
	STATUS_DROPPED = 444,
};

G_DEFINE_QUARK(standin - error - quark, standin_error)

/*
 * CivetWeb does not expose the socket of a connection. Find it by the peer's
 * address, to detect when the peer closes it. Return -1 if there is none.
 */
static int
find_socket(const struct mg_request_info *info)
{
	for (int fd = STDERR_FILENO + 1; fd < SOCKETS_MAX; fd++) {
		struct sockaddr_in peer = { .sin_family = AF_UNSPEC };
		socklen_t len = sizeof(peer);
		char text[INET_ADDRSTRLEN];

		if (getpeername(fd, (struct sockaddr *)&peer, &len) != 0 ||
		    peer.sin_family != AF_INET ||
		    ntohs(peer.sin_port) != info->remote_port)
			continue;
		inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
		if (strcmp(text, info->remote_addr) == 0)
			return fd;
	}
	return -1;
}

/*
 * Return the socket of a connection, cached in the connection's user data.
 * Descriptors are above zero, so NULL means not looked up yet.
 */
static int
connection_socket(const struct mg_connection *conn)
{
	int fd = GPOINTER_TO_INT(mg_get_user_connection_data(conn));

	if (fd == 0) {
		fd = find_socket(mg_get_request_info(conn));
		mg_set_user_connection_data(conn, GINT_TO_POINTER(fd));
	}
	return fd;
}

static int
handle_connect(const struct mg_connection *conn, void **conn_data)
{
	const struct standin_http_settings *settings =
	    mg_get_user_data(mg_get_context(conn));
	struct timespec cost = {
		.tv_sec = settings->connect_cost_us / US_PER_S,
		.tv_nsec =
		    (long)(settings->connect_cost_us % US_PER_S) * NS_PER_US,
	};

	if (settings->connect_cost_us > 0)
		nanosleep(&cost, NULL);
	*conn_data = NULL;
	return 0;
}

static int
handle_message(const struct mg_connection *conn, const char *message)
{
	g_debug("civetweb: %s", message);
	return 1;
}

static void
raise_socket_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = MIN(limit.rlim_max, (rlim_t)SOCKETS_MAX);
	setrlimit(RLIMIT_NOFILE, &limit);
}

/*
 * Serve on settings->listen; settings->handler gets every request. The
 * settings must outlive the server. Stop it with mg_stop. Returns NULL and
 * sets error if it cannot listen. CivetWeb's threads have a stack of 100 KiB:
 * a handler must allocate large buffers on the heap.
 */
struct mg_context *
standin_http_start(const struct standin_http_settings *settings, GError **error)
{
	struct mg_callbacks callbacks = {
		.init_connection = handle_connect,
		.log_message = handle_message,
	};
	struct mg_context *context;
	char threads[QUERY_VALUE_MAX];

	g_snprintf(threads, sizeof(threads), "%u", settings->threads);
	const char *options[] = {
		"listening_ports",
		settings->listen,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"60000",
		"request_timeout_ms",
		"60000",
		"tcp_nodelay",
		"1",
		"listen_backlog",
		"1024",
		"connection_queue",
		"256",
		"linger_timeout_ms",
		"0",
		NULL,
	};

	raise_socket_limit();
	mg_init_library(0);
	context = mg_start(&callbacks, (void *)settings, options);
	if (context == NULL) {
		g_set_error(error, STANDIN_ERROR, STANDIN_ERROR_LISTEN,
		    "cannot listen on %s: %s", settings->listen,
		    g_strerror(errno));
		return NULL;
	}
	mg_set_request_handler(context, "**", settings->handler, settings->arg);
	return context;
}

static void
fill_stop_signals(sigset_t *signals)
{
	sigemptyset(signals);
	sigaddset(signals, SIGINT);
	sigaddset(signals, SIGTERM);
}

/*
 * Block SIGINT and SIGTERM in this thread and those it starts.
 */
void
standin_http_block_signals(void)
{
	sigset_t signals;

	fill_stop_signals(&signals);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
}

/*
 * Sleep until SIGINT or SIGTERM arrives.
 */
void
standin_http_wait_for_signal(void)
{
	sigset_t signals;
	int received;

	fill_stop_signals(&signals);
	while (sigwait(&signals, &received) != 0)
		continue;
}

/*
 * Send a complete response in one write. headers holds additional lines, each
 * terminated by CR LF, or is empty. Return the status, as CivetWeb's handlers
 * do.
 */
int
standin_http_reply(struct mg_connection *conn, int status, const char *headers,
    const char *body, size_t len)
{
	GString *out = g_string_sized_new(len + HEAD_MAX);

	g_string_append_printf(out,
	    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n", status,
	    mg_get_response_code_text(conn, status), len, headers);
	g_string_append_len(out, body, (gssize)len);
	mg_write(conn, out->str, out->len);
	g_string_free(out, TRUE);
	return status;
}

/*
 * Answer with a JSON value. Takes ownership of json.
 */
int
standin_http_reply_json(struct mg_connection *conn, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (text == NULL)
		return standin_http_reply_error(conn, 500, "not_encodable");
	standin_http_reply(conn, status, "Content-Type: application/json\r\n",
	    text, strlen(text));
	free(text);
	return status;
}

/*
 * Answer with {"error":TYPE}.
 */
int
standin_http_reply_error(
    struct mg_connection *conn, int status, const char *type)
{
	return standin_http_reply_json(
	    conn, status, json_pack("{s:s}", "error", type));
}

/*
 * Read the request's body, at most max bytes. Return NULL if it is longer,
 * has no Content-Length or ends early; otherwise the caller frees it with
 * g_free.
 */
char *
standin_http_read_body(struct mg_connection *conn, size_t max, size_t *len)
{
	long long length = mg_get_request_info(conn)->content_length;
	size_t received_len = 0;
	char *body;

	if (length < 0 || (unsigned long long)length > max)
		return NULL;
	body = g_malloc((size_t)length + 1);
	while (received_len < (size_t)length) {
		int read_len = mg_read(
		    conn, body + received_len, (size_t)length - received_len);

		if (read_len <= 0) {
			g_free(body);
			return NULL;
		}
		received_len += (size_t)read_len;
	}
	body[received_len] = '\0';
	*len = received_len;
	return body;
}

/*
 * Read the request's body, at most max bytes, as a JSON object. Return NULL if
 * it is none; otherwise the caller releases it with json_decref.
 */
json_t *
standin_http_read_json(struct mg_connection *conn, size_t max)
{
	size_t len = 0;
	char *body = standin_http_read_body(conn, max, &len);
	json_t *json = NULL;

	if (body != NULL)
		json = json_loadb(body, len, 0, NULL);
	g_free(body);
	if (json != NULL && !json_is_object(json)) {
		json_decref(json);
		return NULL;
	}
	return json;
}

/*
 * Return a numeric query parameter, or fallback if it is missing.
 */
uint64_t
standin_http_query_number(
    const struct mg_connection *conn, const char *name, uint64_t fallback)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char value[QUERY_VALUE_MAX];

	if (query == NULL ||
	    mg_get_var(query, strlen(query), name, value, sizeof(value)) <= 0)
		return fallback;
	return g_ascii_strtoull(value, NULL, DECIMAL);
}

/*
 * Wait up to wait_ms milliseconds for the peer to close its connection, and
 * return whether it has.
 */
bool
standin_http_is_peer_closed(const struct mg_connection *conn, int wait_ms)
{
	struct pollfd entry = {
		.fd = connection_socket(conn),
		.events = POLLRDHUP,
	};

	return poll(&entry, 1, wait_ms) > 0;
}

/*
 * Close a connection without a response. Return the status for the handler.
 */
int
standin_http_close(struct mg_connection *conn)
{
	shutdown(connection_socket(conn), SHUT_RDWR);
	return STATUS_DROPPED;
}

/*
 * Return whether the request has this method and path.
 */
bool
standin_http_is_request(
    const struct mg_connection *conn, const char *method, const char *uri)
{
	const struct mg_request_info *info = mg_get_request_info(conn);

	return strcmp(info->request_method, method) == 0 &&
	    strcmp(info->local_uri, uri) == 0;
}
