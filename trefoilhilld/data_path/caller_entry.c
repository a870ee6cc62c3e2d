#include <string.h>
#include <unistd.h>

#include "trefoilhilld/caller_entry.h"

enum {
	STOP_POLL_US = 10000,
	/* Keep-alive is offered below this share of the workers. */
	KEEP_ALIVE_NUMERATOR = 3,
	KEEP_ALIVE_DENOMINATOR = 4,
	STATUS_HEAD_TOO_LARGE = 413, /* as reported by CivetWeb */
};

static const struct counter_desc counter_descs[ENTRY_COUNTER_COUNT] = {
	[ENTRY_REQUESTS] = { "trefoilhill_entry_requests_total",
	    "Requests of callers." },
	[ENTRY_KEEP_ALIVE_DENIED] = { "trefoilhill_entry_crowded_total",
	    "Connections closed after an answer to make room." },
	[ENTRY_ANSWERED] = { "trefoilhill_entry_ended_total{how=\"answered\"}",
	    "Requests ended, by how." },
	[ENTRY_NOT_RUN] = { "trefoilhill_entry_ended_total{how=\"not_run\"}",
	    "Requests ended, by how." },
	[ENTRY_UNKNOWN] = { "trefoilhill_entry_ended_total{how=\"unknown\"}",
	    "Requests ended, by how." },
	[ENTRY_TRUNCATED] = { "trefoilhill_entry_ended_total{how=\"cut\"}",
	    "Requests ended, by how." },
	[ENTRY_CALLER_GONE] = { "trefoilhill_entry_ended_total{how=\"caller_gone\"}",
	    "Requests ended, by how." },
	[ENTRY_RETRIES] = { "trefoilhill_entry_retries_total",
	    "Requests sent to a further upstream." },
	[ENTRY_FENCED] = { "trefoilhill_entry_fenced_total",
	    "Calls opened again with a newer word of the guard." },
	[ENTRY_LOCAL_CALLS] = { "trefoilhill_entry_calls_total{to=\"local\"}",
	    "Calls opened." },
	[ENTRY_REMOTE_CALLS] = { "trefoilhill_entry_calls_total{to=\"remote\"}",
	    "Calls opened." },
	[ENTRY_LATE_FRAMES] = { "trefoilhill_entry_late_frames_total",
	    "Frames of calls that have ended, dropped." },
	[ENTRY_REJECTED_FRAMES] = { "trefoilhill_call_frames_rejected_total",
	    "Call frames that could not be decoded." },
	[ENTRY_PEERS_LOST] = { "trefoilhill_entry_peers_lost_total",
	    "Calls ended because the guard's node fell silent." },
};

/*
 * Return an entry that is not listening yet.
 */
struct caller_entry *
caller_entry_new(
    const struct data_path_settings *settings, const struct data_path_env *env)
{
	struct caller_entry *entry = g_new0(struct caller_entry, 1);

	entry->env = *env;
	entry->host = str_dup_cstr(settings->host);
	entry->listen = str_dup_cstr(settings->caller_listen);
	entry->workers = MAX(settings->entry_workers, 1);
	entry->default_timeout_ms = settings->default_timeout_ms;
	entry->incarnation = settings->incarnation;
	entry->table = call_table_new(env->clock, entry->workers);
	entry->rngs = g_new0(struct rng *, entry->workers);
	for (uint32_t i = 0; i < entry->workers; i++)
		entry->rngs[i] = rng_system_new();
	counter_set_init(&entry->counters, counter_descs, ENTRY_COUNTER_COUNT);
	return entry;
}

/*
 * Stop and free an entry. NULL is allowed.
 */
void
caller_entry_free(struct caller_entry *entry)
{
	if (entry == NULL)
		return;
	caller_entry_stop(entry);
	call_table_free(entry->table);
	for (uint32_t i = 0; i < entry->workers; i++)
		rng_free(entry->rngs[i]);
	g_free(entry->rngs);
	g_free(entry->host);
	g_free(entry->listen);
	g_free(entry);
}

/*
 * Number the worker threads from 1. Each worker uses its own slot of the call
 * table.
 */
static void *
handle_thread_start(const struct mg_context *server, int thread_type)
{
	struct caller_entry *entry = mg_get_user_data(server);

	if (thread_type != 1)
		return NULL;
	return GUINT_TO_POINTER(atomic_fetch_add(&entry->next_worker, 1) + 1);
}

static int
handle_connection_begin(const struct mg_connection *conn, void **conn_data)
{
	struct caller_entry *entry = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_add(&entry->connections, 1);
	return 0;
}

static void
handle_connection_end(const struct mg_connection *conn)
{
	struct caller_entry *entry = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_sub(&entry->connections, 1);
}

/*
 * Decide whether to close a connection after its response. A keep-alive
 * connection occupies a worker while it is idle; when few workers are left,
 * connections are closed after their response, so that waiting connections get
 * a worker.
 */
static bool
should_close(struct caller_entry *entry, struct mg_connection *conn)
{
	const char *connection_header = mg_get_header(conn, "Connection");

	if (connection_header != NULL &&
	    g_ascii_strcasecmp(connection_header, "close") == 0)
		return true;
	if (atomic_load(&entry->connections) * KEEP_ALIVE_DENOMINATOR <
	    entry->workers * KEEP_ALIVE_NUMERATOR)
		return false;
	counter_add(&entry->counters, ENTRY_KEEP_ALIVE_DENIED, 1);
	mg_disable_connection_keep_alive(conn);
	return true;
}

static void
serve_request(struct caller_entry *entry, uint32_t worker,
    struct mg_connection *conn, struct entry_request *request,
    struct entry_response *response)
{
	struct entry_call call = {
		.entry = entry,
		.request = request,
		.response = response,
		.slot = call_table_slot(entry->table, worker),
		.rng = entry->rngs[worker],
	};
	struct response_error error;

	if (entry_request_parse(request, conn, call.rng, &error)) {
		entry_call_run(&call);
	} else {
		counter_add(&entry->counters, ENTRY_NOT_RUN, 1);
		entry_response_send_error(response, &error, call.rng);
	}
}

/*
 * Handle a request whose head CivetWeb has read. If part of the body is still
 * unread when the response ends, CivetWeb would parse it as the next request,
 * so the connection is closed.
 */
static int
handle_request(struct mg_connection *conn)
{
	struct caller_entry *entry = mg_get_user_data(mg_get_context(conn));
	uint32_t worker = GPOINTER_TO_UINT(mg_get_thread_pointer(conn)) - 1;
	struct entry_request request;
	struct entry_response response;

	g_assert(worker < entry->workers);
	atomic_fetch_add(&entry->running, 1);
	counter_add(&entry->counters, ENTRY_REQUESTS, 1);
	entry_response_init(&response, &request, should_close(entry, conn));
	serve_request(entry, worker, conn, &request, &response);
	if (!request.body_ended && request.length != 0)
		mg_disable_connection_keep_alive(conn);
	entry_request_clear(&request);
	atomic_fetch_sub(&entry->running, 1);
	return response.status;
}

/*
 * CivetWeb rejects malformed requests before a handler sees them. Send a typed
 * error as for any other failure and close the connection, because the rest of
 * its data cannot be parsed either.
 */
static int
handle_http_error(struct mg_connection *conn, int status, const char *message)
{
	struct caller_entry *entry = mg_get_user_data(mg_get_context(conn));
	struct response_error error = {
		.kind = status == STATUS_HEAD_TOO_LARGE
		    ? RESPONSE_ERROR_TOO_LARGE
		    : RESPONSE_ERROR_BAD_REQUEST,
		.not_run = true,
	};

	counter_add(&entry->counters, ENTRY_REQUESTS, 1);
	counter_add(&entry->counters, ENTRY_NOT_RUN, 1);
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nConnection: close\r\n"
	    "Trefoilhill-Outcome: not-run\r\n"
	    "Content-Type: application/json\r\n\r\n"
	    "{\"error\":\"%s\",\"detail\":\"%s\"}\n",
	    response_error_status(&error),
	    mg_get_response_code_text(conn, response_error_status(&error)),
	    response_error_name(&error), response_error_detail(&error));
	return 0;
}

/*
 * Start listening for callers. Returns 0, or -1 with error set.
 */
int
caller_entry_start(struct caller_entry *entry, GError **error)
{
	struct mg_callbacks callbacks = {
		.begin_request = handle_request,
		.init_thread = handle_thread_start,
		.http_error = handle_http_error,
		.init_connection = handle_connection_begin,
		.connection_closed = handle_connection_end,
	};
	char *threads = g_strdup_printf("%u", entry->workers);
	const char *options[] = {
		"listening_ports",
		entry->listen,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"5000",
		"request_timeout_ms",
		"30000",
		"tcp_nodelay",
		"1",
		"decode_url",
		"no",
		"decode_query_string",
		"no",
		"max_request_size",
		"65536",
		"access_control_allow_methods",
		"",
		NULL,
	};

	entry->server = mg_start(&callbacks, entry, options);
	g_free(threads);
	if (entry->server != NULL)
		return 0;
	g_set_error(error, DATA_PATH_ERROR, DATA_PATH_ERROR_LISTEN,
	    "cannot listen for callers on %s", entry->listen);
	return -1;
}

/*
 * Stop listening. Requests that are still running are answered with an unknown
 * outcome.
 */
void
caller_entry_stop(struct caller_entry *entry)
{
	if (entry->server == NULL)
		return;
	atomic_store(&entry->draining, true);
	while (atomic_load(&entry->running) > 0) {
		call_table_fail_all(entry->table, CALL_FAILURE_STOPPING);
		usleep(STOP_POLL_US);
	}
	mg_stop(entry->server);
	entry->server = NULL;
}
