#include <stdlib.h>

#include "config/field_reader.h"
#include "gen/mesh.pb-c.h"
#include "wire/mesh_codec.h"
#include "wire/transport.h"

enum {
	/* Limit on the memory that decoding one frame may allocate. */
	DECODE_BYTES_MAX = 4 * FRAME_HEAD_MAX,
};

static const char *const error_names[MESH_CODEC_ERROR_COUNT] = {
	[MESH_CODEC_ERROR_TOO_LARGE] = "too_large",
	[MESH_CODEC_ERROR_MALFORMED] = "malformed",
	[MESH_CODEC_ERROR_PROTOCOL] = "protocol",
	[MESH_CODEC_ERROR_KIND] = "kind",
	[MESH_CODEC_ERROR_FIELD] = "field",
};

G_DEFINE_QUARK(mesh - codec - error - quark, mesh_codec_error)

/*
 * Return the name of a decoding error.
 */
const char *
mesh_codec_error_name(enum mesh_codec_error code)
{
	return code < MESH_CODEC_ERROR_COUNT ? error_names[code] : "unknown";
}

static void *
bounded_alloc(void *data, size_t size)
{
	size_t *remaining = data;

	if (size > *remaining)
		return NULL;
	*remaining -= size;
	return malloc(size);
}

static void
bounded_free(void *data, void *ptr)
{
	free(ptr);
}

static bool
field_error(GError **error, const char *field)
{
	g_set_error(error, MESH_CODEC_ERROR, MESH_CODEC_ERROR_FIELD,
	    "field %s is missing or out of bounds", field);
	return false;
}

static struct str
str_from_binary(ProtobufCBinaryData data)
{
	return str_make(data.data, data.len);
}

static struct str
dup_binary(ProtobufCBinaryData data)
{
	return str_dup(str_from_binary(data));
}

static bool
decode_node(
    struct mesh_node *out, const Trefoilhill__Mesh__Node *node, GError **error)
{
	if (node == NULL || !name_is_valid(str_from_binary(node->host)) ||
	    !name_is_valid(str_from_binary(node->zone)) ||
	    !address_is_valid(str_from_binary(node->address)))
		return field_error(error, "node");
	out->host = dup_binary(node->host);
	out->zone = dup_binary(node->zone);
	out->address = dup_binary(node->address);
	return true;
}

static struct state_id
decode_state_id(const Trefoilhill__Mesh__StateId *id)
{
	struct state_id out = { 0 };

	if (id == NULL)
		return out;
	out.version = id->version;
	out.base = id->base_revision;
	out.digest.low = id->digest_low;
	out.digest.high = id->digest_high;
	return out;
}

static bool
decode_heartbeat(struct mesh_heartbeat *out,
    const Trefoilhill__Mesh__Heartbeat *body, GError **error)
{
	if (body->n_readers > MESH_READERS_MAX)
		return field_error(error, "heartbeat.readers");
	out->readers = g_new0(struct reader_beat, body->n_readers);
	for (size_t i = 0; i < body->n_readers; i++) {
		ProtobufCBinaryData host = body->readers[i]->host;

		if (!name_is_valid(str_from_binary(host)))
			return field_error(error, "heartbeat.readers.host");
		out->readers[i].host = dup_binary(host);
		out->readers[i].beat = body->readers[i]->beat;
		out->readers[i].age_ms = body->readers[i]->age_ms;
		out->reader_count = i + 1;
	}
	return true;
}

static bool
decode_publications(struct mesh_publications *out,
    const Trefoilhill__Mesh__Publications *body, GError **error)
{
	uint64_t last = 0;

	if (body->n_list > MESH_PUBLICATIONS_MAX)
		return field_error(error, "publications.list");
	out->request = body->request;
	out->gap = body->gap;
	out->list = g_new0(struct publication *, body->n_list);
	for (size_t i = 0; i < body->n_list; i++) {
		const Trefoilhill__Mesh__Publication *item = body->list[i];
		GBytes *json;

		if (item->version <= last)
			return field_error(error, "publications.list.version");
		last = item->version;
		json = g_bytes_new(item->json.data, item->json.len);
		out->list[i] = publication_new(item->version, json);
		out->count = i + 1;
	}
	return true;
}

static bool
decode_state_part(struct mesh_state_part *out,
    const Trefoilhill__Mesh__StatePart *body, GError **error)
{
	if (body->id == NULL || body->total > MESH_STATE_BYTES_MAX ||
	    body->bytes.len > MESH_PART_BYTES || body->offset > body->total ||
	    body->bytes.len > body->total - body->offset)
		return field_error(error, "state_part");
	out->request = body->request;
	out->id = decode_state_id(body->id);
	out->total = body->total;
	out->offset = body->offset;
	out->bytes = g_bytes_new(body->bytes.data, body->bytes.len);
	return true;
}

static bool
decode_welcome(struct mesh_welcome *out, const Trefoilhill__Mesh__Welcome *body,
    GError **error)
{
	if (body->n_peers > MESH_WELCOME_PEERS_MAX)
		return field_error(error, "welcome.peers");
	out->floor = body->floor;
	out->request = body->request;
	out->peers = g_new0(struct mesh_node, body->n_peers);
	for (size_t i = 0; i < body->n_peers; i++) {
		if (!decode_node(&out->peers[i], body->peers[i], error))
			return false;
		out->peer_count = i + 1;
	}
	return true;
}

static bool
decode_body(struct mesh_message *out, const Trefoilhill__Mesh__Frame *frame,
    GError **error)
{
	switch (frame->body_case) {
	case TREFOILHILL__MESH__FRAME__BODY_HEARTBEAT:
		out->kind = MESH_HEARTBEAT;
		return decode_heartbeat(
		    &out->heartbeat, frame->heartbeat, error);
	case TREFOILHILL__MESH__FRAME__BODY_ANNOUNCE:
		out->kind = MESH_ANNOUNCE;
		return true;
	case TREFOILHILL__MESH__FRAME__BODY_PULL:
		out->kind = MESH_PULL;
		out->pull.request = frame->pull->request;
		out->pull.after = frame->pull->after;
		return true;
	case TREFOILHILL__MESH__FRAME__BODY_PUBLICATIONS:
		out->kind = MESH_PUBLICATIONS;
		return decode_publications(
		    &out->publications, frame->publications, error);
	case TREFOILHILL__MESH__FRAME__BODY_STATE_PULL:
		out->kind = MESH_STATE_PULL;
		out->state_pull.request = frame->state_pull->request;
		out->state_pull.want = decode_state_id(frame->state_pull->want);
		out->state_pull.offset = frame->state_pull->offset;
		return true;
	case TREFOILHILL__MESH__FRAME__BODY_STATE_PART:
		out->kind = MESH_STATE_PART;
		return decode_state_part(
		    &out->state_part, frame->state_part, error);
	case TREFOILHILL__MESH__FRAME__BODY_JOIN:
		out->kind = MESH_JOIN;
		return true;
	case TREFOILHILL__MESH__FRAME__BODY_WELCOME:
		out->kind = MESH_WELCOME;
		return decode_welcome(&out->welcome, frame->welcome, error);
	default:
		g_set_error(error, MESH_CODEC_ERROR, MESH_CODEC_ERROR_KIND,
		    "unknown kind of message");
		return false;
	}
}

static bool
decode_frame(struct mesh_message *out, const Trefoilhill__Mesh__Frame *frame,
    GError **error)
{
	/* A kind without pointers: mesh_message_free is safe on failure. */
	out->kind = MESH_ANNOUNCE;
	if (frame->protocol == 0 || frame->protocol > FRAME_PROTOCOL) {
		g_set_error(error, MESH_CODEC_ERROR, MESH_CODEC_ERROR_PROTOCOL,
		    "protocol %u, this node understands 1 to %d",
		    frame->protocol, FRAME_PROTOCOL);
		return false;
	}
	if (!decode_node(&out->sender, frame->sender, error))
		return false;
	out->incarnation = frame->incarnation;
	out->ready = frame->ready;
	out->state = decode_state_id(frame->state);
	return decode_body(out, frame, error);
}

/*
 * Decode and validate the head of a frame. The memory that decoding may
 * allocate is limited to DECODE_BYTES_MAX. Returns a new message, or NULL with
 * an error of the domain MESH_CODEC_ERROR.
 */
struct mesh_message *
mesh_message_decode(struct str head, GError **error)
{
	size_t remaining = DECODE_BYTES_MAX;
	ProtobufCAllocator allocator = {
		.alloc = bounded_alloc,
		.free = bounded_free,
		.allocator_data = &remaining,
	};
	Trefoilhill__Mesh__Frame *frame = NULL;
	struct mesh_message *message = NULL;

	if (head.len > FRAME_HEAD_MAX) {
		g_set_error(error, MESH_CODEC_ERROR, MESH_CODEC_ERROR_TOO_LARGE,
		    "%zu bytes", head.len);
		return NULL;
	}
	frame = trefoilhill__mesh__frame__unpack(
	    &allocator, head.len, (const uint8_t *)head.ptr);
	if (frame == NULL) {
		g_set_error(error, MESH_CODEC_ERROR, MESH_CODEC_ERROR_MALFORMED,
		    "not a frame of this protocol");
		return NULL;
	}
	message = g_new0(struct mesh_message, 1);
	if (!decode_frame(message, frame, error)) {
		mesh_message_free(message);
		message = NULL;
	}
	trefoilhill__mesh__frame__free_unpacked(frame, &allocator);
	return message;
}
