#ifndef TREFOILHILL_MESH_MESSAGE_H
#define TREFOILHILL_MESH_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "config/publication.h"
#include "config/snapshot.h"

enum mesh_message_kind {
	MESH_HEARTBEAT, /* state of the sender, and the readers it knows of */
	MESH_ANNOUNCE,  /* state of the sender */
	MESH_PULL,      /* request for the publications after a version */
	MESH_PUBLICATIONS, /* pushed, or the response to a pull */
	MESH_STATE_PULL,   /* request for a part of a full accepted state */
	MESH_STATE_PART,
	MESH_JOIN, /* request of a joining node for its floor and for peers */
	MESH_WELCOME, /* response to a join, or to a deferred state pull */
	MESH_MESSAGE_KIND_COUNT,
};

enum {
	MESH_READERS_MAX = 8,       /* per heartbeat */
	MESH_PUBLICATIONS_MAX = 64, /* per message */
	MESH_PUBLICATIONS_BYTES_MAX = 1536 * 1024,
	MESH_PART_BYTES = 256 * 1024,
	MESH_STATE_BYTES_MAX = 64 * 1024 * 1024,
	MESH_WELCOME_PEERS_MAX = 16,
	MESH_NAME_MAX = 63,
	MESH_ADDRESS_MAX = 63,
};

struct mesh_node {
	struct str host;
	struct str zone;
	struct str address; /* IP:PORT */
};

struct reader_beat {
	struct str host;
	uint64_t beat;   /* increases while the host reads the platform */
	uint32_t age_ms; /* since the sender saw the beat increase */
};

struct mesh_heartbeat {
	struct reader_beat *readers; /* of the sender's zone */
	size_t reader_count;
};

struct mesh_pull {
	uint64_t request;
	uint64_t after;
};

struct mesh_publications {
	uint64_t request; /* 0: pushed */
	bool gap; /* the sender no longer holds the requested versions */
	struct publication **list; /* in ascending order */
	size_t count;
};

struct mesh_state_pull {
	uint64_t request;
	struct state_id want; /* at offset 0: this state or a newer one */
	uint64_t offset;
};

struct mesh_state_part {
	uint64_t request;
	struct state_id id;
	uint64_t total;
	uint64_t offset;
	GBytes *bytes;
};

struct mesh_welcome {
	uint64_t request; /* of the deferred state pull; 0: of a join */
	uint64_t floor;   /* highest version that the joining host announced */
	struct mesh_node *peers;
	size_t peer_count;
};

/*
 * A message between nodes. Each carries the identity and the state of its
 * sender. A message built for sending borrows everything it points to; a
 * decoded one owns it and is freed with mesh_message_free.
 */
struct mesh_message {
	enum mesh_message_kind kind;
	struct mesh_node sender;
	uint64_t incarnation;
	bool ready; /* the sender is MESH_READY */
	struct state_id state;
	union {
		struct mesh_heartbeat heartbeat;
		struct mesh_pull pull;
		struct mesh_publications publications;
		struct mesh_state_pull state_pull;
		struct mesh_state_part state_part;
		struct mesh_welcome welcome;
	};
};

const char *mesh_message_kind_name(enum mesh_message_kind kind);
void mesh_message_free(struct mesh_message *message);

#endif
