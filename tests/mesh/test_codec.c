#include <string.h>

#include "harness.h"
#include "wire/mesh_codec.h"
#include "wire/transport.h"

static struct mesh_message
make_message(enum mesh_message_kind kind)
{
	struct mesh_message message = {
		.kind = kind,
		.sender = { str_from("h1"), str_from("za"),
		    str_from("127.0.0.1:1") },
		.incarnation = 7,
		.ready = true,
		.state = { .version = 9,
		    .base = 3,
		    .digest = { .low = 1, .high = 2 } },
	};

	return message;
}

static struct mesh_message *
round_trip(const struct mesh_message *message)
{
	GBytes *bytes = mesh_message_encode(message);
	GError *error = NULL;
	struct mesh_message *decoded;
	size_t len;
	const void *data = g_bytes_get_data(bytes, &len);

	decoded = mesh_message_decode(str_make(data, len), &error);
	g_assert_no_error(error);
	g_assert(decoded != NULL);
	g_bytes_unref(bytes);
	return decoded;
}

static int
decode_error(const void *data, size_t len)
{
	GError *error = NULL;
	struct mesh_message *message =
	    mesh_message_decode(str_make(data, len), &error);
	int code = -1;

	CU_ASSERT_PTR_NULL(message);
	CU_ASSERT_PTR_NOT_NULL(error);
	if (error == NULL)
		return code;
	CU_ASSERT_EQUAL(error->domain, MESH_CODEC_ERROR);
	code = error->code;
	g_error_free(error);
	return code;
}

static void
test_heartbeat_round_trip(void)
{
	struct reader_beat beat = { str_from("h2"), 5, 40 };
	struct mesh_message message = make_message(MESH_HEARTBEAT);
	struct mesh_message *out;

	message.heartbeat.readers = &beat;
	message.heartbeat.reader_count = 1;
	out = round_trip(&message);
	CU_ASSERT_EQUAL(out->kind, MESH_HEARTBEAT);
	CU_ASSERT(str_equal(out->sender.zone, str_from("za")));
	CU_ASSERT_EQUAL(state_id_compare(out->state, message.state), 0);
	CU_ASSERT_EQUAL(out->incarnation, 7);
	CU_ASSERT_EQUAL(out->heartbeat.readers[0].beat, 5);
	CU_ASSERT_EQUAL(out->heartbeat.readers[0].age_ms, 40);
	mesh_message_free(out);
}

static void
test_publications_round_trip(void)
{
	struct mesh_message message = make_message(MESH_PUBLICATIONS);
	struct publication *list[] = {
		publication_new(4, g_bytes_new_static("{}", 2)),
		publication_new(5, g_bytes_new_static("{\"set\":[]}", 10)),
	};
	struct mesh_message *out;

	message.publications.request = 11;
	message.publications.list = list;
	message.publications.count = 2;
	out = round_trip(&message);
	CU_ASSERT_EQUAL(out->publications.count, 2);
	CU_ASSERT_EQUAL(out->publications.list[1]->version, 5);
	CU_ASSERT(
	    g_bytes_equal(out->publications.list[1]->json, list[1]->json));
	mesh_message_free(out);
	publication_unref(list[0]);
	publication_unref(list[1]);
}

/*
 * Decode every prefix of a frame, and the frame with every single bit flipped,
 * without a crash.
 */
static void
test_damaged_frames(void)
{
	struct mesh_node peer = { str_from("h3"), str_from("zb"),
		str_from("127.0.0.1:3") };
	struct mesh_message message = make_message(MESH_WELCOME);
	GBytes *bytes;
	uint8_t *data;
	size_t len;

	message.welcome.peers = &peer;
	message.welcome.peer_count = 1;
	bytes = mesh_message_encode(&message);
	data = g_bytes_unref_to_data(bytes, &len);
	for (size_t i = 0; i < len; i++) {
		GError *error = NULL;

		mesh_message_free(
		    mesh_message_decode(str_make(data, i), &error));
		g_clear_error(&error);
		for (unsigned int flip = 1; flip < 256; flip <<= 1) {
			data[i] ^= (uint8_t)flip;
			mesh_message_free(
			    mesh_message_decode(str_make(data, len), &error));
			g_clear_error(&error);
			data[i] ^= (uint8_t)flip;
		}
	}
	CU_ASSERT_EQUAL(
	    decode_error(data, len - 1), MESH_CODEC_ERROR_MALFORMED);
	g_free(data);
}

static void
test_rejected_frames(void)
{
	static const uint8_t newer[] = { 0x08, FRAME_PROTOCOL + 1 };
	static const uint8_t no_sender[] = { 0x08, 0x01 };
	/* a sender, then field 99 in place of a known body */
	static const uint8_t unknown[] = { 0x08, 0x01, 0x12, 17, 0x0a, 1, 'h',
		0x12, 1, 'z', 0x1a, 9, '1', '.', '2', '.', '3', '.', '4', ':',
		'5', 0x9a, 0x06, 0 };
	static const uint8_t bad_address[] = { 0x08, 0x01, 0x12, 9, 0x0a, 1,
		'h', 0x12, 1, 'z', 0x1a, 1, 'a', 0x9a, 0x06, 0 };
	static const uint8_t bad_name[] = { 0x08, 0x01, 0x12, 17, 0x0a, 1, '"',
		0x12, 1, 'z', 0x1a, 9, '1', '.', '2', '.', '3', '.', '4', ':',
		'5', 0x9a, 0x06, 0 };
	char *large = g_malloc0(FRAME_HEAD_MAX + 1);
	struct mesh_message message = make_message(MESH_STATE_PART);
	GBytes *bytes;
	size_t len;
	const void *data;

	CU_ASSERT_EQUAL(
	    decode_error(newer, sizeof(newer)), MESH_CODEC_ERROR_PROTOCOL);
	CU_ASSERT_EQUAL(
	    decode_error(no_sender, sizeof(no_sender)), MESH_CODEC_ERROR_FIELD);
	CU_ASSERT_EQUAL(
	    decode_error(unknown, sizeof(unknown)), MESH_CODEC_ERROR_KIND);
	CU_ASSERT_EQUAL(decode_error(bad_address, sizeof(bad_address)),
	    MESH_CODEC_ERROR_FIELD);
	CU_ASSERT_EQUAL(
	    decode_error(bad_name, sizeof(bad_name)), MESH_CODEC_ERROR_FIELD);
	CU_ASSERT_EQUAL(decode_error(large, FRAME_HEAD_MAX + 1),
	    MESH_CODEC_ERROR_TOO_LARGE);
	g_free(large);
	/* a part that exceeds the announced size of the state */
	message.state_part.total = 1;
	message.state_part.bytes = g_bytes_new_static("ab", 2);
	bytes = mesh_message_encode(&message);
	data = g_bytes_get_data(bytes, &len);
	CU_ASSERT_EQUAL(decode_error(data, len), MESH_CODEC_ERROR_FIELD);
	g_bytes_unref(bytes);
	g_bytes_unref(message.state_part.bytes);
}

/* Two million empty peers must not make the decoder allocate for them. */
static void
test_allocation_is_bounded(void)
{
	size_t len = FRAME_HEAD_MAX;
	uint8_t *frame = g_malloc(len);

	/* field 17, welcome, over the rest; in it field 2, peers, all empty */
	memcpy(frame, "\x8a\x01", 2);
	frame[2] = (uint8_t)(((len - 6) & 0x7f) | 0x80);
	frame[3] = (uint8_t)(((len - 6) >> 7 & 0x7f) | 0x80);
	frame[4] = (uint8_t)(((len - 6) >> 14 & 0x7f) | 0x80);
	frame[5] = 0;
	for (size_t i = 6; i + 1 < len; i += 2) {
		frame[i] = 0x12;
		frame[i + 1] = 0;
	}
	CU_ASSERT_EQUAL(decode_error(frame, len), MESH_CODEC_ERROR_MALFORMED);
	g_free(frame);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "a heartbeat survives a round trip",
		    test_heartbeat_round_trip },
		{ "publications survive a round trip",
		    test_publications_round_trip },
		{ "damaged frames do not crash the decoder",
		    test_damaged_frames },
		{ "invalid frames are rejected with the right error",
		    test_rejected_frames },
		{ "a frame cannot make the decoder allocate without bound",
		    test_allocation_is_bounded },
		{ NULL, NULL },
	};

	return harness_run("mesh-codec", cases);
}
