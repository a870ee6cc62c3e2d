#include <string.h>

#include "gen/call.pb-c.h"
#include "wire/call.h"

enum {
	STATUS_MIN = 200,
	STATUS_MAX = 599,
};

static struct str
str_from_binary(ProtobufCBinaryData data)
{
	return str_make(data.data, data.len);
}

static bool
set_error(GError **error, enum call_error code, const char *what)
{
	g_set_error(error, CALL_ERROR, (gint)code, "%s", what);
	return false;
}

/*
 * Tell whether a string has no CR, LF or NUL, so that it can't inject a header
 * or a second request into an HTTP message.
 */
static bool
is_single_line(struct str s)
{
	return s.len == 0 ||
	    (memchr(s.ptr, '\r', s.len) == NULL &&
		memchr(s.ptr, '\n', s.len) == NULL &&
		memchr(s.ptr, '\0', s.len) == NULL);
}

/*
 * Tell whether a string is an RFC 9110 token: a method or a header name.
 */
static bool
is_token(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.ptr[i]) &&
		    (s.ptr[i] == '\0' ||
			strchr("!#$%&'*+-.^_`|~", s.ptr[i]) == NULL))
			return false;
	return s.len > 0;
}

static bool
is_target(struct str s)
{
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isgraph(s.ptr[i]))
			return false;
	return s.len > 0 && s.ptr[0] == '/';
}

static bool
decode_headers(struct call_headers *to, size_t count,
    Trefoilhill__Wire__CallHeader *const *list, GError **error)
{
	size_t bytes = 0;

	if (count > CALL_HEADERS_MAX)
		return set_error(
		    error, CALL_ERROR_TOO_LARGE, "too many headers");
	for (size_t i = 0; i < count; i++) {
		struct call_header *header = &to->list[i];

		header->name = str_from_binary(list[i]->name);
		header->value = str_from_binary(list[i]->value);
		bytes += header->name.len + header->value.len;
		if (!is_token(header->name) || !is_single_line(header->value))
			return set_error(error, CALL_ERROR_FIELD,
			    "invalid header name or value");
	}
	if (bytes > CALL_HEADER_BYTES_MAX)
		return set_error(
		    error, CALL_ERROR_TOO_LARGE, "headers too long");
	to->count = count;
	return true;
}

static bool
check_open(const struct call_open *open, GError **error)
{
	if (open->request.len > CALL_REQUEST_MAX ||
	    open->key.len > CALL_KEY_MAX ||
	    open->upstream.len > CALL_NAME_MAX ||
	    open->method.len > CALL_METHOD_MAX ||
	    open->target.len > CALL_TARGET_MAX)
		return set_error(error, CALL_ERROR_TOO_LARGE, "field too long");
	if (!is_token(open->method) || !is_target(open->target))
		return set_error(
		    error, CALL_ERROR_FIELD, "invalid method or target");
	if (open->request.len == 0 || !is_single_line(open->request) ||
	    !is_single_line(open->key))
		return set_error(error, CALL_ERROR_FIELD,
		    "invalid request id or idempotency key");
	if (open->timeout_ms > CALL_TIMEOUT_MAX_MS)
		return set_error(
		    error, CALL_ERROR_FIELD, "timeout exceeds the limit");
	return true;
}

static bool
decode_open(struct call_frame *to, const Trefoilhill__Wire__CallOpen *from,
    GError **error)
{
	struct call_open *open = &to->open;

	to->kind = CALL_OPEN;
	open->request = str_from_binary(from->request);
	open->key = str_from_binary(from->key);
	open->upstream = str_from_binary(from->upstream);
	open->method = str_from_binary(from->method);
	open->target = str_from_binary(from->target);
	open->timeout_ms = from->timeout_ms;
	open->attempt = from->attempt;
	open->retry = from->retry;
	open->idempotent = from->idempotent;
	open->guard_incarnation = from->guard_incarnation;
	open->guard_tick = from->guard_tick;
	open->length = from->length_plus_1 - 1;
	open->end = from->end;
	open->credit = from->credit;
	return decode_headers(
		   &open->headers, from->n_headers, from->headers, error) &&
	    check_open(open, error);
}

static bool
decode_head(struct call_frame *to, const Trefoilhill__Wire__CallHead *from,
    GError **error)
{
	to->kind = CALL_HEAD;
	to->head.status = from->status;
	to->head.length = from->length_plus_1 - 1;
	to->head.end = from->end;
	if (from->status < STATUS_MIN || from->status > STATUS_MAX)
		return set_error(
		    error, CALL_ERROR_FIELD, "status is out of range");
	return decode_headers(
	    &to->head.headers, from->n_headers, from->headers, error);
}

static bool
decode_refused(struct call_frame *to,
    const Trefoilhill__Wire__CallRefused *from, GError **error)
{
	to->kind = CALL_REFUSED;
	if (from->reason >= REFUSAL_COUNT)
		return set_error(
		    error, CALL_ERROR_FIELD, "unknown refusal reason");
	to->refused.reason = (enum refusal_reason)from->reason;
	to->refused.not_run = from->not_run;
	to->refused.retry_after_ms = from->retry_after_ms;
	return true;
}

static bool
decode_pong(struct call_frame *to, const Trefoilhill__Wire__CallPong *from,
    GError **error)
{
	to->kind = CALL_PONG;
	if (from->n_running > CALL_PING_MAX || from->n_gone > CALL_PING_MAX)
		return set_error(error, CALL_ERROR_TOO_LARGE, "too many calls");
	to->pong.running.count = from->n_running;
	to->pong.running.list = from->running;
	to->pong.gone.count = from->n_gone;
	to->pong.gone.list = from->gone;
	return true;
}

static bool
decode_ping(struct call_frame *to, const Trefoilhill__Wire__CallPing *from,
    GError **error)
{
	to->kind = CALL_PING;
	if (from->n_calls > CALL_PING_MAX)
		return set_error(error, CALL_ERROR_TOO_LARGE, "too many calls");
	to->ping.count = from->n_calls;
	to->ping.list = from->calls;
	return true;
}

static bool
decode_kind(struct call_frame *to, const Trefoilhill__Wire__CallFrame *from,
    GError **error)
{
	switch (from->kind_case) {
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_OPEN:
		return decode_open(to, from->open, error);
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_BODY:
		to->kind = CALL_BODY;
		to->body.offset = from->body->offset;
		to->body.end = from->body->end;
		return true;
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_CREDIT:
		to->kind = CALL_CREDIT;
		to->credit_upto = from->credit->upto;
		return true;
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_CANCEL:
		to->kind = CALL_CANCEL;
		return true;
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_HEAD:
		return decode_head(to, from->head, error);
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_REFUSED:
		return decode_refused(to, from->refused, error);
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_PING:
		return decode_ping(to, from->ping, error);
	case TREFOILHILL__WIRE__CALL_FRAME__KIND_PONG:
		return decode_pong(to, from->pong, error);
	default:
		return set_error(
		    error, CALL_ERROR_UNKNOWN_KIND, "unknown frame kind");
	}
}

static void
decode_hint(struct guard_hint *to, const Trefoilhill__Wire__CallHint *from)
{
	to->incarnation = from->incarnation;
	to->tick = from->tick;
	to->limit = from->limit;
	to->in_flight = from->in_flight;
	to->queued = from->queued;
	to->latency_us = from->latency_us;
	to->accepting = from->accepting;
}

/*
 * Decode and validate a frame from an untrusted peer. The size is checked
 * before the decoder allocates memory. Returns a new frame that the caller
 * frees, or NULL with error set. Its views are valid until call_frame_free.
 */
struct call_frame *
call_frame_decode(struct str head, GError **error)
{
	Trefoilhill__Wire__CallFrame *message;
	struct call_frame *frame;

	if (head.len > CALL_HEAD_MAX) {
		set_error(error, CALL_ERROR_TOO_LARGE, "frame too long");
		return NULL;
	}
	message = trefoilhill__wire__call_frame__unpack(
	    NULL, head.len, (const uint8_t *)head.ptr);
	if (message == NULL) {
		set_error(error, CALL_ERROR_MALFORMED, "not a call frame");
		return NULL;
	}
	frame = g_new0(struct call_frame, 1);
	frame->storage = message;
	frame->entry = message->entry;
	frame->call = message->call;
	frame->has_hint = message->hint != NULL;
	if (frame->has_hint)
		decode_hint(&frame->hint, message->hint);
	if (decode_kind(frame, message, error))
		return frame;
	call_frame_free(frame);
	return NULL;
}

/*
 * Free a decoded frame. NULL is allowed.
 */
void
call_frame_free(struct call_frame *frame)
{
	if (frame == NULL)
		return;
	trefoilhill__wire__call_frame__free_unpacked(frame->storage, NULL);
	g_free(frame);
}
