#include "gen/call.pb-c.h"
#include "wire/call.h"

GQuark
call_error_quark(void)
{
	return g_quark_from_static_string("call-error");
}

/*
 * Return the name of a kind of frame, for counters and the time line.
 */
const char *
call_kind_name(enum call_kind kind)
{
	static const char *const names[] = {
		[CALL_OPEN] = "open",
		[CALL_BODY] = "body",
		[CALL_CREDIT] = "credit",
		[CALL_CANCEL] = "cancel",
		[CALL_HEAD] = "head",
		[CALL_REFUSED] = "refused",
		[CALL_PING] = "ping",
		[CALL_PONG] = "pong",
	};

	return (size_t)kind < G_N_ELEMENTS(names) ? names[kind] : "unknown";
}

static ProtobufCBinaryData
bytes_of(struct str s)
{
	ProtobufCBinaryData data = { .len = s.len,
		.data = (uint8_t *)(uintptr_t)s.ptr };

	return data;
}

/* The messages that one encoding needs besides the frame itself. */
struct encoding {
	Trefoilhill__Wire__CallFrame frame;
	Trefoilhill__Wire__CallHint hint;
	Trefoilhill__Wire__CallHeader headers[CALL_HEADERS_MAX];
	Trefoilhill__Wire__CallHeader *header_list[CALL_HEADERS_MAX];
	union {
		Trefoilhill__Wire__CallOpen open;
		Trefoilhill__Wire__CallBody body;
		Trefoilhill__Wire__CallCredit credit;
		Trefoilhill__Wire__CallCancel cancel;
		Trefoilhill__Wire__CallHead head;
		Trefoilhill__Wire__CallRefused refused;
		Trefoilhill__Wire__CallPing ping;
		Trefoilhill__Wire__CallPong pong;
	};
};

static void
encode_headers(struct encoding *to, const struct call_headers *headers)
{
	for (size_t i = 0; i < headers->count; i++) {
		trefoilhill__wire__call_header__init(&to->headers[i]);
		to->headers[i].name = bytes_of(headers->list[i].name);
		to->headers[i].value = bytes_of(headers->list[i].value);
		to->header_list[i] = &to->headers[i];
	}
}

/* CALL_LENGTH_UNKNOWN becomes 0, which the wire leaves out. */
static uint64_t
length_to_wire(uint64_t length)
{
	return length + 1;
}

static void
encode_open(struct encoding *to, const struct call_open *open)
{
	trefoilhill__wire__call_open__init(&to->open);
	encode_headers(to, &open->headers);
	to->open.request = bytes_of(open->request);
	to->open.key = bytes_of(open->key);
	to->open.upstream = bytes_of(open->upstream);
	to->open.method = bytes_of(open->method);
	to->open.target = bytes_of(open->target);
	to->open.n_headers = open->headers.count;
	to->open.headers = to->header_list;
	to->open.timeout_ms = open->timeout_ms;
	to->open.attempt = open->attempt;
	to->open.retry = open->retry;
	to->open.idempotent = open->idempotent;
	to->open.guard_incarnation = open->guard_incarnation;
	to->open.guard_tick = open->guard_tick;
	to->open.length_plus_1 = length_to_wire(open->length);
	to->open.end = open->end;
	to->open.credit = open->credit;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_OPEN;
	to->frame.open = &to->open;
}

static void
encode_head(struct encoding *to, const struct call_head *head)
{
	trefoilhill__wire__call_head__init(&to->head);
	encode_headers(to, &head->headers);
	to->head.status = head->status;
	to->head.n_headers = head->headers.count;
	to->head.headers = to->header_list;
	to->head.length_plus_1 = length_to_wire(head->length);
	to->head.end = head->end;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_HEAD;
	to->frame.head = &to->head;
}

static void
encode_refused(struct encoding *to, const struct call_refused *refused)
{
	trefoilhill__wire__call_refused__init(&to->refused);
	to->refused.reason = refused->reason;
	to->refused.not_run = refused->not_run;
	to->refused.retry_after_ms = refused->retry_after_ms;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_REFUSED;
	to->frame.refused = &to->refused;
}

static void
encode_body(struct encoding *to, const struct call_body *body)
{
	trefoilhill__wire__call_body__init(&to->body);
	to->body.offset = body->offset;
	to->body.end = body->end;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_BODY;
	to->frame.body = &to->body;
}

static void
encode_credit(struct encoding *to, uint64_t upto)
{
	trefoilhill__wire__call_credit__init(&to->credit);
	to->credit.upto = upto;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_CREDIT;
	to->frame.credit = &to->credit;
}

static void
encode_cancel(struct encoding *to)
{
	trefoilhill__wire__call_cancel__init(&to->cancel);
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_CANCEL;
	to->frame.cancel = &to->cancel;
}

static void
encode_ping(struct encoding *to, const struct call_ids *ids)
{
	trefoilhill__wire__call_ping__init(&to->ping);
	to->ping.n_calls = ids->count;
	to->ping.calls = (uint64_t *)(uintptr_t)ids->list;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_PING;
	to->frame.ping = &to->ping;
}

static void
encode_pong(struct encoding *to, const struct call_pong *pong)
{
	trefoilhill__wire__call_pong__init(&to->pong);
	to->pong.n_running = pong->running.count;
	to->pong.running = (uint64_t *)(uintptr_t)pong->running.list;
	to->pong.n_gone = pong->gone.count;
	to->pong.gone = (uint64_t *)(uintptr_t)pong->gone.list;
	to->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_PONG;
	to->frame.pong = &to->pong;
}

static void
encode_kind(struct encoding *to, const struct call_frame *frame)
{
	switch (frame->kind) {
	case CALL_OPEN:
		encode_open(to, &frame->open);
		break;
	case CALL_BODY:
		encode_body(to, &frame->body);
		break;
	case CALL_CREDIT:
		encode_credit(to, frame->credit_upto);
		break;
	case CALL_CANCEL:
		encode_cancel(to);
		break;
	case CALL_HEAD:
		encode_head(to, &frame->head);
		break;
	case CALL_REFUSED:
		encode_refused(to, &frame->refused);
		break;
	case CALL_PING:
		encode_ping(to, &frame->ping);
		break;
	case CALL_PONG:
		encode_pong(to, &frame->pong);
		break;
	}
}

static void
encode_hint(struct encoding *to, const struct guard_hint *hint)
{
	trefoilhill__wire__call_hint__init(&to->hint);
	to->hint.incarnation = hint->incarnation;
	to->hint.tick = hint->tick;
	to->hint.limit = hint->limit;
	to->hint.in_flight = hint->in_flight;
	to->hint.queued = hint->queued;
	to->hint.latency_us = hint->latency_us;
	to->hint.accepting = hint->accepting;
	to->frame.hint = &to->hint;
}

/*
 * Encode a frame. Its lists must be within the bounds of wire/call.h.
 */
GBytes *
call_frame_encode(const struct call_frame *frame)
{
	struct encoding to;
	size_t len;
	uint8_t *packed;

	trefoilhill__wire__call_frame__init(&to.frame);
	to.frame.entry = frame->entry;
	to.frame.call = frame->call;
	if (frame->has_hint)
		encode_hint(&to, &frame->hint);
	encode_kind(&to, frame);
	len = trefoilhill__wire__call_frame__get_packed_size(&to.frame);
	packed = g_malloc(len);
	trefoilhill__wire__call_frame__pack(&to.frame, packed);
	return g_bytes_new_take(packed, len);
}
