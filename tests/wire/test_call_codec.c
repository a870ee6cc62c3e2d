#include <string.h>

#include "common/rng.h"
#include "harness.h"
#include "wire/call.h"

enum {
	MUTATIONS = 20000,
	SEED = 20,
};

static struct call_frame
open_frame(void)
{
	struct call_frame frame = {
		.kind = CALL_OPEN,
		.entry = 7,
		.call = 9,
		.open = {
			.request = str_from("r-1"),
			.key = str_from("k"),
			.upstream = str_from("u0"),
			.method = str_from("POST"),
			.target = str_from("/a?b=c"),
			.headers = {
				.count = 2,
				.list = {
					{ str_from("A"), str_from("1") },
					{ str_from("B"), str_from("") },
				},
			},
			.timeout_ms = 1000,
			.attempt = 2,
			.retry = 1,
			.idempotent = true,
			.guard_incarnation = 5,
			.guard_tick = 6,
			.length = CALL_LENGTH_UNKNOWN,
			.credit = 77,
		},
	};

	return frame;
}

/* Encode and decode a frame; NULL with code set if the decoder rejects it. */
static struct call_frame *
encode_and_decode(const struct call_frame *frame, int *code)
{
	GBytes *bytes = call_frame_encode(frame);
	GError *error = NULL;
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);
	struct call_frame *decoded =
	    call_frame_decode(str_make(data, len), &error);

	*code = -1;
	if (error != NULL)
		*code = error->code;
	g_clear_error(&error);
	g_bytes_unref(bytes);
	return decoded;
}

static void
test_open_round_trip(void)
{
	struct call_frame frame = open_frame();
	int code;
	struct call_frame *got = encode_and_decode(&frame, &code);
	const struct call_open *open;

	CU_ASSERT_PTR_NOT_NULL(got);
	if (got == NULL)
		return;
	open = &got->open;
	CU_ASSERT_EQUAL(got->kind, CALL_OPEN);
	CU_ASSERT_EQUAL(got->entry, 7);
	CU_ASSERT_EQUAL(got->call, 9);
	CU_ASSERT_FALSE(got->has_hint);
	CU_ASSERT_TRUE(str_equal(open->request, frame.open.request));
	CU_ASSERT_TRUE(str_equal(open->key, frame.open.key));
	CU_ASSERT_TRUE(str_equal(open->upstream, frame.open.upstream));
	CU_ASSERT_TRUE(str_equal(open->method, frame.open.method));
	CU_ASSERT_TRUE(str_equal(open->target, frame.open.target));
	CU_ASSERT_EQUAL(open->headers.count, 2);
	CU_ASSERT_TRUE(str_equal(open->headers.list[0].value, str_from("1")));
	CU_ASSERT_EQUAL(open->timeout_ms, 1000);
	CU_ASSERT_EQUAL(open->attempt, 2);
	CU_ASSERT_EQUAL(open->retry, 1);
	CU_ASSERT_TRUE(open->idempotent);
	CU_ASSERT_EQUAL(open->guard_incarnation, 5);
	CU_ASSERT_EQUAL(open->guard_tick, 6);
	CU_ASSERT_EQUAL(open->length, CALL_LENGTH_UNKNOWN);
	CU_ASSERT_EQUAL(open->credit, 77);
	call_frame_free(got);
}

static void
test_response_round_trip(void)
{
	struct call_frame frame = {
		.kind = CALL_HEAD,
		.has_hint = true,
		.hint = { .incarnation = 3,
		    .tick = 4,
		    .limit = 5,
		    .latency_us = 6,
		    .accepting = true },
		.head = { .status = 200, .length = 0, .end = true },
	};
	int code;
	struct call_frame *got = encode_and_decode(&frame, &code);

	CU_ASSERT_PTR_NOT_NULL(got);
	if (got == NULL)
		return;
	CU_ASSERT_EQUAL(got->head.status, 200);
	CU_ASSERT_EQUAL(got->head.length, 0);
	CU_ASSERT_TRUE(got->head.end);
	CU_ASSERT_TRUE(got->has_hint);
	CU_ASSERT_EQUAL(got->hint.incarnation, 3);
	CU_ASSERT_EQUAL(got->hint.tick, 4);
	CU_ASSERT_EQUAL(got->hint.limit, 5);
	CU_ASSERT_EQUAL(got->hint.latency_us, 6);
	CU_ASSERT_TRUE(got->hint.accepting);
	call_frame_free(got);
	frame.kind = CALL_REFUSED;
	frame.refused = (struct call_refused){ REFUSAL_SHED, true, 500 };
	got = encode_and_decode(&frame, &code);
	CU_ASSERT_PTR_NOT_NULL(got);
	if (got == NULL)
		return;
	CU_ASSERT_EQUAL(got->refused.reason, REFUSAL_SHED);
	CU_ASSERT_TRUE(got->refused.not_run);
	CU_ASSERT_EQUAL(got->refused.retry_after_ms, 500);
	call_frame_free(got);
}

static void
test_call_lists_round_trip(void)
{
	static const uint64_t ids[] = { 1, 1ULL << 63, 3 };
	struct call_frame frame = {
		.kind = CALL_PONG,
		.pong = { .running = { 2, ids }, .gone = { 1, ids + 2 } },
	};
	int code;
	struct call_frame *got = encode_and_decode(&frame, &code);

	CU_ASSERT_PTR_NOT_NULL(got);
	if (got == NULL)
		return;
	CU_ASSERT_EQUAL(got->pong.running.count, 2);
	CU_ASSERT_EQUAL(got->pong.running.list[1], ids[1]);
	CU_ASSERT_EQUAL(got->pong.gone.count, 1);
	CU_ASSERT_EQUAL(got->pong.gone.list[0], 3);
	call_frame_free(got);
}

static void
check_refused(const struct call_frame *frame, int wanted)
{
	int code;
	struct call_frame *got = encode_and_decode(frame, &code);

	CU_ASSERT_PTR_NULL(got);
	CU_ASSERT_EQUAL(code, wanted);
	call_frame_free(got);
}

static void
test_hostile_open_is_refused(void)
{
	static const struct {
		const char *target;
		const char *method;
		const char *name;
		const char *value;
		const char *request;
		int code;
	} cases[] = {
		{ "*", "GET", "A", "1", "r", CALL_ERROR_FIELD },
		{ "", "GET", "A", "1", "r", CALL_ERROR_FIELD },
		{ "/a b", "GET", "A", "1", "r", CALL_ERROR_FIELD },
		{ "/\r\nX: y", "GET", "A", "1", "r", CALL_ERROR_FIELD },
		{ "/", "G T", "A", "1", "r", CALL_ERROR_FIELD },
		{ "/", "", "A", "1", "r", CALL_ERROR_FIELD },
		{ "/", "GET", "A:", "1", "r", CALL_ERROR_FIELD },
		{ "/", "GET", "", "1", "r", CALL_ERROR_FIELD },
		{ "/", "GET", "A", "1\r\nB: 2", "r", CALL_ERROR_FIELD },
		{ "/", "GET", "A", "1", "", CALL_ERROR_FIELD },
		{ "/", "GET", "A", "1", "r\nX: y", CALL_ERROR_FIELD },
		{ "/", "ABCDEFGHIJKLMNOPQRSTUVWXYZABCDEFG", "A", "1", "r",
		    CALL_ERROR_TOO_LARGE },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct call_frame frame = open_frame();

		frame.open.target = str_from(cases[i].target);
		frame.open.method = str_from(cases[i].method);
		frame.open.headers.list[0].name = str_from(cases[i].name);
		frame.open.headers.list[0].value = str_from(cases[i].value);
		frame.open.request = str_from(cases[i].request);
		check_refused(&frame, cases[i].code);
	}
}

static void
test_sizes_are_bounded(void)
{
	struct call_frame frame = open_frame();
	char *big = g_strnfill(CALL_HEAD_MAX, 'x');

	frame.open.headers.list[0].value = str_make(big, CALL_HEADER_BYTES_MAX);
	check_refused(&frame, CALL_ERROR_TOO_LARGE);
	frame = open_frame();
	frame.open.key = str_make(big, CALL_KEY_MAX + 1);
	check_refused(&frame, CALL_ERROR_TOO_LARGE);
	frame.open.key = str_make(big, CALL_HEAD_MAX);
	check_refused(&frame, CALL_ERROR_TOO_LARGE);
	frame = open_frame();
	frame.open.timeout_ms = CALL_TIMEOUT_MAX_MS + 1;
	check_refused(&frame, CALL_ERROR_FIELD);
	g_free(big);
}

static void
test_hostile_responses_are_refused(void)
{
	static uint64_t ids[CALL_PING_MAX + 1];
	struct call_frame frame = { .kind = CALL_HEAD };

	frame.head.status = 199;
	check_refused(&frame, CALL_ERROR_FIELD);
	frame.head.status = 600;
	check_refused(&frame, CALL_ERROR_FIELD);
	frame.kind = CALL_REFUSED;
	frame.refused.reason = REFUSAL_COUNT;
	check_refused(&frame, CALL_ERROR_FIELD);
	frame.kind = CALL_PING;
	frame.ping = (struct call_ids){ CALL_PING_MAX + 1, ids };
	check_refused(&frame, CALL_ERROR_TOO_LARGE);
}

static void
test_frame_without_kind_is_refused(void)
{
	GError *error = NULL;
	struct call_frame *frame = call_frame_decode(str_make(NULL, 0), &error);

	CU_ASSERT_PTR_NULL(frame);
	CU_ASSERT_TRUE(
	    g_error_matches(error, CALL_ERROR, CALL_ERROR_UNKNOWN_KIND));
	g_clear_error(&error);
}

/*
 * Every truncation and 20,000 mutations of a valid frame are either decoded or
 * rejected with an error set; sanitizers report memory faults.
 */
static void
test_cut_and_mutated_frames(void)
{
	struct call_frame frame = open_frame();
	GBytes *bytes = call_frame_encode(&frame);
	struct rng *rng = rng_seeded_new(SEED);
	gsize len;
	const char *good = g_bytes_get_data(bytes, &len);
	char *bad = g_malloc(len);
	size_t untyped = 0;

	for (size_t i = 0; i < len + MUTATIONS; i++) {
		GError *error = NULL;
		struct call_frame *got;
		size_t cut = i < len ? i : len;

		memcpy(bad, good, len);
		for (size_t n = i < len ? 0 : 1 + i % 4; n > 0; n--)
			bad[rng_below(rng, len)] = (char)rng_next(rng);
		got = call_frame_decode(str_make(bad, cut), &error);
		untyped += got == NULL && error == NULL;
		g_clear_error(&error);
		call_frame_free(got);
	}
	CU_ASSERT_EQUAL(untyped, 0);
	g_free(bad);
	rng_free(rng);
	g_bytes_unref(bytes);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "OPEN frame round trip", test_open_round_trip },
		{ "response frames round trip", test_response_round_trip },
		{ "call lists round trip", test_call_lists_round_trip },
		{ "hostile open is refused", test_hostile_open_is_refused },
		{ "sizes are bounded", test_sizes_are_bounded },
		{ "hostile responses are refused",
		    test_hostile_responses_are_refused },
		{ "frame without kind is refused",
		    test_frame_without_kind_is_refused },
		{ "cut and mutated frames", test_cut_and_mutated_frames },
		{ NULL, NULL },
	};

	return harness_run("call codec", cases);
}
