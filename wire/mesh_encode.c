#include "gen/mesh.pb-c.h"
#include "wire/mesh_codec.h"
#include "wire/transport.h"

/* Storage for the protobuf messages that make up one frame. */
struct encoding {
	Trefoilhill__Mesh__Frame frame;
	Trefoilhill__Mesh__Node sender;
	Trefoilhill__Mesh__StateId state;
	Trefoilhill__Mesh__StateId body_state;
	union {
		Trefoilhill__Mesh__Heartbeat heartbeat;
		Trefoilhill__Mesh__Announce announce;
		Trefoilhill__Mesh__Pull pull;
		Trefoilhill__Mesh__Publications publications;
		Trefoilhill__Mesh__StatePull state_pull;
		Trefoilhill__Mesh__StatePart state_part;
		Trefoilhill__Mesh__Join join;
		Trefoilhill__Mesh__Welcome welcome;
	} body;
	void *items;     /* array of repeated structs */
	void **pointers; /* to each item, as protobuf-c requires */
};

static ProtobufCBinaryData
binary(const void *ptr, size_t len)
{
	ProtobufCBinaryData data = { .len = len, .data = (uint8_t *)ptr };

	return data;
}

static ProtobufCBinaryData
binary_str(struct str s)
{
	return binary(s.ptr, s.len);
}

static void
encode_node(Trefoilhill__Mesh__Node *out, const struct mesh_node *node)
{
	trefoilhill__mesh__node__init(out);
	out->host = binary_str(node->host);
	out->zone = binary_str(node->zone);
	out->address = binary_str(node->address);
}

static void
encode_state_id(Trefoilhill__Mesh__StateId *out, struct state_id id)
{
	trefoilhill__mesh__state_id__init(out);
	out->version = id.version;
	out->base_revision = id.base;
	out->digest_low = id.digest.low;
	out->digest_high = id.digest.high;
}

static void
encode_heartbeat(struct encoding *enc, const struct mesh_heartbeat *heartbeat)
{
	Trefoilhill__Mesh__Heartbeat *out = &enc->body.heartbeat;
	size_t count = MIN(heartbeat->reader_count, MESH_READERS_MAX);
	Trefoilhill__Mesh__ReaderBeat *beats =
	    g_new(Trefoilhill__Mesh__ReaderBeat, count);

	enc->items = beats;
	enc->pointers = g_new(void *, count);
	for (size_t i = 0; i < count; i++) {
		trefoilhill__mesh__reader_beat__init(&beats[i]);
		beats[i].host = binary_str(heartbeat->readers[i].host);
		beats[i].beat = heartbeat->readers[i].beat;
		beats[i].age_ms = heartbeat->readers[i].age_ms;
		enc->pointers[i] = &beats[i];
	}
	trefoilhill__mesh__heartbeat__init(out);
	out->readers = (Trefoilhill__Mesh__ReaderBeat **)enc->pointers;
	out->n_readers = count;
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_HEARTBEAT;
	enc->frame.heartbeat = out;
}

static void
encode_pull(struct encoding *enc, const struct mesh_pull *pull)
{
	Trefoilhill__Mesh__Pull *out = &enc->body.pull;

	trefoilhill__mesh__pull__init(out);
	out->request = pull->request;
	out->after = pull->after;
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_PULL;
	enc->frame.pull = out;
}

static void
encode_publications(
    struct encoding *enc, const struct mesh_publications *publications)
{
	Trefoilhill__Mesh__Publications *out = &enc->body.publications;
	size_t count = MIN(publications->count, MESH_PUBLICATIONS_MAX);
	Trefoilhill__Mesh__Publication *list =
	    g_new(Trefoilhill__Mesh__Publication, count);

	enc->items = list;
	enc->pointers = g_new(void *, count);
	for (size_t i = 0; i < count; i++) {
		const struct publication *publication = publications->list[i];
		size_t len;
		const void *json = g_bytes_get_data(publication->json, &len);

		trefoilhill__mesh__publication__init(&list[i]);
		list[i].version = publication->version;
		list[i].json = binary(json, len);
		enc->pointers[i] = &list[i];
	}
	trefoilhill__mesh__publications__init(out);
	out->request = publications->request;
	out->gap = publications->gap;
	out->list = (Trefoilhill__Mesh__Publication **)enc->pointers;
	out->n_list = count;
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_PUBLICATIONS;
	enc->frame.publications = out;
}

static void
encode_state_pull(struct encoding *enc, const struct mesh_state_pull *pull)
{
	Trefoilhill__Mesh__StatePull *out = &enc->body.state_pull;

	encode_state_id(&enc->body_state, pull->want);
	trefoilhill__mesh__state_pull__init(out);
	out->request = pull->request;
	out->want = &enc->body_state;
	out->offset = pull->offset;
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_STATE_PULL;
	enc->frame.state_pull = out;
}

static void
encode_state_part(struct encoding *enc, const struct mesh_state_part *part)
{
	Trefoilhill__Mesh__StatePart *out = &enc->body.state_part;
	size_t len;
	const void *bytes = g_bytes_get_data(part->bytes, &len);

	encode_state_id(&enc->body_state, part->id);
	trefoilhill__mesh__state_part__init(out);
	out->request = part->request;
	out->id = &enc->body_state;
	out->total = part->total;
	out->offset = part->offset;
	out->bytes = binary(bytes, len);
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_STATE_PART;
	enc->frame.state_part = out;
}

static void
encode_welcome(struct encoding *enc, const struct mesh_welcome *welcome)
{
	Trefoilhill__Mesh__Welcome *out = &enc->body.welcome;
	size_t count = MIN(welcome->peer_count, MESH_WELCOME_PEERS_MAX);
	Trefoilhill__Mesh__Node *peers = g_new(Trefoilhill__Mesh__Node, count);

	enc->items = peers;
	enc->pointers = g_new(void *, count);
	for (size_t i = 0; i < count; i++) {
		encode_node(&peers[i], &welcome->peers[i]);
		enc->pointers[i] = &peers[i];
	}
	trefoilhill__mesh__welcome__init(out);
	out->floor = welcome->floor;
	out->request = welcome->request;
	out->peers = (Trefoilhill__Mesh__Node **)enc->pointers;
	out->n_peers = count;
	enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_WELCOME;
	enc->frame.welcome = out;
}

static void
encode_body(struct encoding *enc, const struct mesh_message *message)
{
	switch (message->kind) {
	case MESH_HEARTBEAT:
		encode_heartbeat(enc, &message->heartbeat);
		break;
	case MESH_ANNOUNCE:
		trefoilhill__mesh__announce__init(&enc->body.announce);
		enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_ANNOUNCE;
		enc->frame.announce = &enc->body.announce;
		break;
	case MESH_PULL:
		encode_pull(enc, &message->pull);
		break;
	case MESH_PUBLICATIONS:
		encode_publications(enc, &message->publications);
		break;
	case MESH_STATE_PULL:
		encode_state_pull(enc, &message->state_pull);
		break;
	case MESH_STATE_PART:
		encode_state_part(enc, &message->state_part);
		break;
	case MESH_JOIN:
		trefoilhill__mesh__join__init(&enc->body.join);
		enc->frame.body_case = TREFOILHILL__MESH__FRAME__BODY_JOIN;
		enc->frame.join = &enc->body.join;
		break;
	case MESH_WELCOME:
		encode_welcome(enc, &message->welcome);
		break;
	case MESH_MESSAGE_KIND_COUNT:
		break;
	}
}

/*
 * Encode a message as the head of a frame. Lists are truncated to their limits,
 * so the result doesn't exceed FRAME_HEAD_MAX bytes if the sender respects
 * MESH_PUBLICATIONS_BYTES_MAX and MESH_PART_BYTES. The caller owns the result.
 */
GBytes *
mesh_message_encode(const struct mesh_message *message)
{
	struct encoding enc = { 0 };
	uint8_t *bytes;
	size_t len;

	trefoilhill__mesh__frame__init(&enc.frame);
	encode_node(&enc.sender, &message->sender);
	encode_state_id(&enc.state, message->state);
	enc.frame.protocol = FRAME_PROTOCOL;
	enc.frame.sender = &enc.sender;
	enc.frame.incarnation = message->incarnation;
	enc.frame.ready = message->ready;
	enc.frame.state = &enc.state;
	encode_body(&enc, message);
	len = trefoilhill__mesh__frame__get_packed_size(&enc.frame);
	bytes = g_malloc(len);
	trefoilhill__mesh__frame__pack(&enc.frame, bytes);
	g_free(enc.items);
	g_free(enc.pointers);
	return g_bytes_new_take(bytes, len);
}
