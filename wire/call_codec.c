#include "gen/call.pb-c.h"
#include "wire/call.h"

GQuark
call_error_quark(void)
{
	return g_quark_from_static_string("call-error");
}

/*
 * Return the name of a frame kind.
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
binary_from_str(struct str s)
{
	ProtobufCBinaryData data = { .len = s.len,
		.data = (uint8_t *)(uintptr_t)s.ptr };

	return data;
}

/* Storage for the protobuf messages that make up one frame. */
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
encode_headers(struct encoding *enc, const struct call_headers *headers)
{
	for (size_t i = 0; i < headers->count; i++) {
		trefoilhill__wire__call_header__init(&enc->headers[i]);
		enc->headers[i].name = binary_from_str(headers->list[i].name);
		enc->headers[i].value = binary_from_str(headers->list[i].value);
		enc->header_list[i] = &enc->headers[i];
	}
}

/* CALL_LENGTH_UNKNOWN becomes 0, the default that protobuf omits. */
static uint64_t
encode_length(uint64_t length)
{
	return length + 1;
}

static void
encode_open(struct encoding *enc, const struct call_open *open)
{
	trefoilhill__wire__call_open__init(&enc->open);
	encode_headers(enc, &open->headers);
	enc->open.request = binary_from_str(open->request);
	enc->open.key = binary_from_str(open->key);
	enc->open.upstream = binary_from_str(open->upstream);
	enc->open.method = binary_from_str(open->method);
	enc->open.target = binary_from_str(open->target);
	enc->open.n_headers = open->headers.count;
	enc->open.headers = enc->header_list;
	enc->open.timeout_ms = open->timeout_ms;
	enc->open.attempt = open->attempt;
	enc->open.retry = open->retry;
	enc->open.idempotent = open->idempotent;
	enc->open.guard_incarnation = open->guard_incarnation;
	enc->open.guard_tick = open->guard_tick;
	enc->open.length_plus_1 = encode_length(open->length);
	enc->open.end = open->end;
	enc->open.credit = open->credit;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_OPEN;
	enc->frame.open = &enc->open;
}

static void
encode_head(struct encoding *enc, const struct call_head *head)
{
	trefoilhill__wire__call_head__init(&enc->head);
	encode_headers(enc, &head->headers);
	enc->head.status = head->status;
	enc->head.n_headers = head->headers.count;
	enc->head.headers = enc->header_list;
	enc->head.length_plus_1 = encode_length(head->length);
	enc->head.end = head->end;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_HEAD;
	enc->frame.head = &enc->head;
}

static void
encode_refused(struct encoding *enc, const struct call_refused *refused)
{
	trefoilhill__wire__call_refused__init(&enc->refused);
	enc->refused.reason = refused->reason;
	enc->refused.not_run = refused->not_run;
	enc->refused.retry_after_ms = refused->retry_after_ms;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_REFUSED;
	enc->frame.refused = &enc->refused;
}

static void
encode_body(struct encoding *enc, const struct call_body *body)
{
	trefoilhill__wire__call_body__init(&enc->body);
	enc->body.offset = body->offset;
	enc->body.end = body->end;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_BODY;
	enc->frame.body = &enc->body;
}

static void
encode_credit(struct encoding *enc, uint64_t upto)
{
	trefoilhill__wire__call_credit__init(&enc->credit);
	enc->credit.upto = upto;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_CREDIT;
	enc->frame.credit = &enc->credit;
}

static void
encode_cancel(struct encoding *enc)
{
	trefoilhill__wire__call_cancel__init(&enc->cancel);
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_CANCEL;
	enc->frame.cancel = &enc->cancel;
}

static void
encode_ping(struct encoding *enc, const struct call_ids *ids)
{
	trefoilhill__wire__call_ping__init(&enc->ping);
	enc->ping.n_calls = ids->count;
	enc->ping.calls = (uint64_t *)(uintptr_t)ids->list;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_PING;
	enc->frame.ping = &enc->ping;
}

static void
encode_pong(struct encoding *enc, const struct call_pong *pong)
{
	trefoilhill__wire__call_pong__init(&enc->pong);
	enc->pong.n_running = pong->running.count;
	enc->pong.running = (uint64_t *)(uintptr_t)pong->running.list;
	enc->pong.n_gone = pong->gone.count;
	enc->pong.gone = (uint64_t *)(uintptr_t)pong->gone.list;
	enc->frame.kind_case = TREFOILHILL__WIRE__CALL_FRAME__KIND_PONG;
	enc->frame.pong = &enc->pong;
}

static void
encode_kind(struct encoding *enc, const struct call_frame *frame)
{
	switch (frame->kind) {
	case CALL_OPEN:
		encode_open(enc, &frame->open);
		break;
	case CALL_BODY:
		encode_body(enc, &frame->body);
		break;
	case CALL_CREDIT:
		encode_credit(enc, frame->credit_upto);
		break;
	case CALL_CANCEL:
		encode_cancel(enc);
		break;
	case CALL_HEAD:
		encode_head(enc, &frame->head);
		break;
	case CALL_REFUSED:
		encode_refused(enc, &frame->refused);
		break;
	case CALL_PING:
		encode_ping(enc, &frame->ping);
		break;
	case CALL_PONG:
		encode_pong(enc, &frame->pong);
		break;
	}
}

static void
encode_hint(struct encoding *enc, const struct guard_hint *hint)
{
	trefoilhill__wire__call_hint__init(&enc->hint);
	enc->hint.incarnation = hint->incarnation;
	enc->hint.tick = hint->tick;
	enc->hint.limit = hint->limit;
	enc->hint.in_flight = hint->in_flight;
	enc->hint.queued = hint->queued;
	enc->hint.latency_us = hint->latency_us;
	enc->hint.accepting = hint->accepting;
	enc->frame.hint = &enc->hint;
}

/*
 * Encode a frame. Its lists must not exceed the limits of wire/call.h. The
 * caller owns the result.
 */
GBytes *
call_frame_encode(const struct call_frame *frame)
{
	struct encoding enc;
	size_t len;
	uint8_t *packed;

	trefoilhill__wire__call_frame__init(&enc.frame);
	enc.frame.entry = frame->entry;
	enc.frame.call = frame->call;
	if (frame->has_hint)
		encode_hint(&enc, &frame->hint);
	encode_kind(&enc, frame);
	len = trefoilhill__wire__call_frame__get_packed_size(&enc.frame);
	packed = g_malloc(len);
	trefoilhill__wire__call_frame__pack(&enc.frame, packed);
	return g_bytes_new_take(packed, len);
}
