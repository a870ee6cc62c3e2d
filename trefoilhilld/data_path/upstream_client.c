#include <curl/curl.h>
#include <string.h>

#include "trefoilhilld/upstream_client_state.h"

enum {
	POLL_MAX_MS = 1000,
	/* libcurl allocates a buffer of this size for each request. */
	RECEIVE_BYTES = 16 * 1024,
	/* More of a shed's body costs as much as a new connection. */
	SHED_BODY_MAX_BYTES = 64 * 1024,
	STATUS_SERVER_ERROR = 500,
	US_PER_MS = 1000,
};

/*
 * Close the connection and free the client.
 */
void
upstream_client_free(struct upstream_client *client)
{
	curl_easy_cleanup(client->easy);
	curl_multi_cleanup(client->multi);
	curl_slist_free_all(client->headers);
	response_parser_release(&client->parser);
	g_byte_array_unref(client->pending);
	g_free(client->url);
	g_free(client->target);
	g_free(client->method);
	g_free(client->address);
	g_free(client);
}

/*
 * Called when libcurl has a connection and is about to send the request: the
 * last point at which the guard can refuse the call. libcurl calls this again
 * when a persistent connection was closed and it is about to resend. The
 * upstream may have received the first transmission, so only idempotent
 * requests are resent.
 */
static int
handle_before_send(void *arg, char *primary_ip, char *local_ip,
    int primary_port, int local_port)
{
	struct upstream_client *client = arg;
	struct upstream_result *result = client->result;

	if (client->prereq_called)
		return client->call->open->open.idempotent && result->confirmed
		    ? CURL_PREREQFUNC_OK
		    : CURL_PREREQFUNC_ABORT;
	client->prereq_called = true;
	result->confirmed = locked_guard_confirm(
	    client->guard, client->call->ticket, &result->reason);
	client->send_started = clock_now(client->clock);
	return result->confirmed ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

static size_t
handle_header(char *line, size_t size, size_t count, void *arg)
{
	struct upstream_client *client = arg;
	bool was_complete = client->parser.complete;

	response_parser_add_line(&client->parser, str_make(line, size * count));
	if (client->parser.complete && !was_complete)
		client->result->latency_us = (uint32_t)timespec_us_between(
		    client->send_started, clock_now(client->clock));
	return client->parser.too_large || client->parser.malformed
	    ? 0
	    : size * count;
}

static void
fill_head(struct upstream_client *client, struct call_frame *frame)
{
	memset(frame, 0, sizeof(*frame));
	frame->kind = CALL_HEAD;
	frame->head.status = client->parser.status;
	frame->head.length = client->parser.length;
	response_parser_headers(&client->parser, &frame->head.headers);
}

/*
 * Forward the first len pending bytes, together with the head if it was not
 * sent yet.
 */
static void
send_pending(struct upstream_client *client, size_t len)
{
	GBytes *body =
	    len == 0 ? NULL : g_bytes_new(client->pending->data, len);
	struct call_frame frame;

	if (!client->head_sent) {
		fill_head(client, &frame);
	} else {
		memset(&frame, 0, sizeof(frame));
		frame.kind = CALL_BODY;
		frame.body.offset = client->sent;
	}
	service_call_send(client->call, frame.kind, &frame, body);
	client->head_sent = true;
	client->sent += len;
	if (len > 0)
		g_byte_array_remove_range(client->pending, 0, (guint)len);
}

/*
 * Forward pending bytes until at most keep_len are left, as the entry grants
 * credit. Returns false if the entry will accept no more.
 */
static bool
flush_pending(struct upstream_client *client, size_t keep_len)
{
	if (client->parser.shed)
		return true;
	while (client->pending->len > keep_len) {
		size_t len = MIN(client->pending->len, CALL_CHUNK_BYTES);

		if (!service_call_wait_credit(client->call, client->sent + len))
			return false;
		send_pending(client, len);
	}
	return true;
}

static size_t
handle_response_bytes(char *bytes, size_t size, size_t count, void *arg)
{
	struct upstream_client *client = arg;
	size_t len = size * count;

	if (client->parser.shed) {
		client->discarded += len;
		return client->discarded > SHED_BODY_MAX_BYTES ? 0 : len;
	}
	g_byte_array_append(client->pending, (const guint8 *)bytes, (guint)len);
	return flush_pending(client, CALL_CHUNK_BYTES) ? len : 0;
}

/*
 * Grant the entry more of the window for the request body.
 */
static void
grant_body_credit(struct upstream_client *client)
{
	struct call_frame frame = {
		.credit_upto = client->body_read + CALL_WINDOW_BYTES,
	};

	if (frame.credit_upto - client->body_credit_granted <
	    CALL_WINDOW_BYTES / 2)
		return;
	client->body_credit_granted = frame.credit_upto;
	service_call_send(client->call, CALL_CREDIT, &frame, NULL);
}

static size_t
handle_request_bytes(char *out, size_t size, size_t count, void *arg)
{
	struct upstream_client *client = arg;
	size_t len = 0;

	switch (service_call_read_body(client->call, out, size * count, &len)) {
	case BODY_READ_DATA:
		client->body_read += len;
		if (!client->call->open->open.end)
			grant_body_credit(client);
		return len;
	case BODY_READ_EOF:
		return 0;
	case BODY_READ_AGAIN:
		client->read_paused = true;
		return CURL_READFUNC_PAUSE;
	case BODY_READ_ERROR:
		break;
	}
	return CURL_READFUNC_ABORT;
}

/*
 * Set the options common to all requests once per client. Setting them for each
 * request took a considerable share of the time of a small call.
 */
static void
set_constant_options(struct upstream_client *client)
{
	CURL *easy = client->easy;

	curl_easy_setopt(easy, CURLOPT_URL, client->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BYTES);
	curl_easy_setopt(
	    easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)CALL_CHUNK_BYTES);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, handle_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, client);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, client);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, handle_request_bytes);
	curl_easy_setopt(easy, CURLOPT_READDATA, client);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_response_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, client);
}

/*
 * Return a client that is not connected yet.
 */
struct upstream_client *
upstream_client_new(
    const char *address, struct locked_guard *guard, struct clock *clock)
{
	struct upstream_client *client = g_new0(struct upstream_client, 1);

	client->guard = guard;
	client->clock = clock;
	client->address = g_strdup(address);
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, 1L);
	client->url = g_strdup_printf("http://%s/", address);
	client->easy = curl_easy_init();
	set_constant_options(client);
	client->pending = g_byte_array_sized_new(CALL_CHUNK_BYTES);
	response_parser_init(&client->parser);
	return client;
}

/* How a transfer ended. */
enum transfer_outcome {
	TRANSFER_COMPLETE,
	TRANSFER_FAILED,
	TRANSFER_DEADLINE,
	TRANSFER_CANCELLED,
};

static enum transfer_outcome
read_transfer_outcome(struct upstream_client *client)
{
	int left = 0;
	CURLMsg *message = curl_multi_info_read(client->multi, &left);

	if (message != NULL && message->data.result == CURLE_OK)
		return TRANSFER_COMPLETE;
	if (service_call_is_cancelled(client->call))
		return TRANSFER_CANCELLED;
	if (!timespec_before(clock_now(client->clock), client->call->deadline))
		return TRANSFER_DEADLINE;
	return TRANSFER_FAILED;
}

/*
 * Forward the part of the response received so far while the transfer
 * continues.
 */
static bool
forward_response(struct upstream_client *client)
{
	if (!client->parser.complete || client->parser.shed)
		return true;
	if (!client->head_sent && client->pending->len == 0)
		send_pending(client, 0);
	return flush_pending(client, 0);
}

/*
 * Run the transfer until it ends, the deadline passes or the entry cancels the
 * call. Frames for the call wake the poll.
 */
static enum transfer_outcome
run_transfer(struct upstream_client *client)
{
	struct service_call *call = client->call;
	int running = 0;

	for (;;) {
		int64_t left_ms = timespec_ms_between(
		    clock_now(client->clock), call->deadline);

		if (service_call_is_cancelled(call))
			return TRANSFER_CANCELLED;
		if (left_ms <= 0)
			return TRANSFER_DEADLINE;
		if (client->read_paused) {
			client->read_paused = false;
			curl_easy_pause(client->easy, CURLPAUSE_CONT);
		}
		curl_multi_perform(client->multi, &running);
		if (running == 0)
			return read_transfer_outcome(client);
		if (!forward_response(client))
			return read_transfer_outcome(client);
		curl_multi_poll(client->multi, NULL, 0,
		    (int)MIN(left_ms, POLL_MAX_MS), NULL);
	}
}

/*
 * Handle a complete response: prepare its last frame, or a refusal if the
 * upstream reported that it did not start the request.
 */
static void
finish_complete(struct upstream_client *client, struct upstream_result *result)
{
	const struct response_parser *parser = &client->parser;
	size_t left = client->pending->len;

	if (parser->shed) {
		result->outcome = OUTCOME_SHED;
		result->not_run = true;
		result->reason = REFUSAL_SHED;
		result->retry_after_ms = parser->retry_after_ms;
		return;
	}
	result->outcome = OUTCOME_FAILED;
	if (!parser->framed &&
	    !str_equal(client->call->open->open.method, str_from("HEAD")))
		return; /* without a length, truncation cannot be detected */
	if (!service_call_wait_credit(client->call, client->sent + left))
		return;
	if (!client->head_sent) {
		fill_head(client, &result->last_frame);
		result->last_frame.head.end = true;
	} else {
		result->last_frame.kind = CALL_BODY;
		result->last_frame.body.offset = client->sent;
		result->last_frame.body.end = true;
	}
	if (left > 0)
		result->last_body = g_bytes_new(client->pending->data, left);
	result->has_response = true;
	if (parser->status < STATUS_SERVER_ERROR)
		result->outcome = OUTCOME_OK;
}

/*
 * Handle a transfer that ended early. Nothing was sent before the guard
 * confirmed the call.
 */
static void
finish_incomplete(struct upstream_client *client,
    struct upstream_result *result, enum transfer_outcome outcome)
{
	bool refused = client->prereq_called && !result->confirmed;

	result->not_run = !result->confirmed;
	switch (outcome) {
	case TRANSFER_DEADLINE:
		result->outcome = OUTCOME_TIMEOUT;
		if (!refused)
			result->reason = REFUSAL_DEADLINE;
		break;
	case TRANSFER_CANCELLED:
		result->outcome = OUTCOME_CANCELLED;
		if (!refused)
			result->reason = REFUSAL_CANCELLED;
		break;
	default:
		result->outcome = result->confirmed
		    ? OUTCOME_FAILED
		    : OUTCOME_CONNECTION_REFUSED;
		if (!client->prereq_called)
			result->reason = REFUSAL_UNREACHABLE;
		break;
	}
}

/*
 * See include/trefoilhilld/upstream_client.h.
 */
void
upstream_client_run(struct upstream_client *client, struct service_call *call,
    struct upstream_result *result)
{
	enum transfer_outcome outcome;
	int64_t remaining_ms =
	    timespec_ms_between(clock_now(client->clock), call->deadline);

	memset(result, 0, sizeof(*result));
	client->call = call;
	client->result = result;
	client->prereq_called = false;
	client->read_paused = false;
	client->head_sent = false;
	client->sent = 0;
	client->discarded = 0;
	client->body_read = 0;
	client->body_credit_granted = 0;
	response_parser_reset(&client->parser);
	g_byte_array_set_size(client->pending, 0);
	upstream_request_set(client, &call->open->open, remaining_ms);
	service_call_set_multi(call, client->multi);
	curl_multi_add_handle(client->multi, client->easy);
	outcome = run_transfer(client);
	curl_multi_remove_handle(client->multi, client->easy);
	service_call_set_multi(call, NULL);
	/* A shed is known by its head, also when its body never ends. */
	if (outcome == TRANSFER_COMPLETE || client->parser.shed)
		finish_complete(client, result);
	else
		finish_incomplete(client, result, outcome);
	client->call = NULL;
	client->result = NULL;
}
