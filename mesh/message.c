#include "mesh/message.h"

static const char *const kind_names[MESH_MESSAGE_KIND_COUNT] = {
	[MESH_HEARTBEAT] = "heartbeat",
	[MESH_ANNOUNCE] = "announce",
	[MESH_PULL] = "pull",
	[MESH_PUBLICATIONS] = "publications",
	[MESH_STATE_PULL] = "state_pull",
	[MESH_STATE_PART] = "state_part",
	[MESH_JOIN] = "join",
	[MESH_WELCOME] = "welcome",
};

/*
 * Return the name of a message kind as it appears in counter labels.
 */
const char *
mesh_message_kind_name(enum mesh_message_kind kind)
{
	return kind < MESH_MESSAGE_KIND_COUNT ? kind_names[kind] : "unknown";
}

static void
node_release(struct mesh_node *node)
{
	str_release(&node->host);
	str_release(&node->zone);
	str_release(&node->address);
}

static void
heartbeat_clear(struct mesh_heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->reader_count; i++)
		str_release(&heartbeat->readers[i].host);
	g_free(heartbeat->readers);
}

static void
publications_clear(struct mesh_publications *publications)
{
	for (size_t i = 0; i < publications->count; i++)
		publication_unref(publications->list[i]);
	g_free(publications->list);
}

static void
welcome_clear(struct mesh_welcome *welcome)
{
	for (size_t i = 0; i < welcome->peer_count; i++)
		node_release(&welcome->peers[i]);
	g_free(welcome->peers);
}

/*
 * Free a decoded message and everything it owns. NULL is allowed.
 */
void
mesh_message_free(struct mesh_message *message)
{
	if (message == NULL)
		return;
	node_release(&message->sender);
	switch (message->kind) {
	case MESH_HEARTBEAT:
		heartbeat_clear(&message->heartbeat);
		break;
	case MESH_PUBLICATIONS:
		publications_clear(&message->publications);
		break;
	case MESH_STATE_PART:
		if (message->state_part.bytes != NULL)
			g_bytes_unref(message->state_part.bytes);
		break;
	case MESH_WELCOME:
		welcome_clear(&message->welcome);
		break;
	default:
		break;
	}
	g_free(message);
}
