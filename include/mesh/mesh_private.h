#ifndef TREFOILHILL_MESH_MESH_PRIVATE_H
#define TREFOILHILL_MESH_MESH_PRIVATE_H

#include "mesh/contacts.h"
#include "mesh/election.h"
#include "mesh/handover.h"
#include "mesh/members.h"
#include "mesh/mesh.h"
#include "mesh/message.h"
#include "mesh/partner.h"
#include "mesh/peer_table.h"
#include "mesh/read_budget.h"
#include "mesh/ring.h"

/* Internal to mesh/. */

enum {
	MESH_RING_CAPACITY = 256,
	MESH_RING_BYTES_MAX = 4 * 1024 * 1024,
	MESH_NEWER_PEERS_MAX = 4,
	MESH_ZONE_PARTNERS = 2,
	MESH_PULL_TIMEOUT_MS = 300,
	MESH_PULL_CONSECUTIVE_GAPS_MAX = 2,
	MESH_PULL_DELAY_MS = 30, /* a push of the version may be in flight */
	MESH_PULL_BACK_OFF_MS = 100,
	MESH_TICK_GAP_MAX_MS = 1000,
	MESH_SILENCE_TIMEOUT_MS = 5000,
};

enum mesh_counter {
	MESH_COUNTER_ACCEPTED,
	MESH_COUNTER_REFUSED,
	MESH_COUNTER_IGNORED,
	MESH_COUNTER_ADOPTED,
	MESH_COUNTER_ADOPT_FAILED,
	MESH_COUNTER_DIVERGED,
	MESH_COUNTER_SENT_HEARTBEAT,
	MESH_COUNTER_SENT_ANNOUNCE,
	MESH_COUNTER_SENT_PULL,
	MESH_COUNTER_SENT_PUBLICATIONS,
	MESH_COUNTER_SENT_STATE_PULL,
	MESH_COUNTER_SENT_STATE_PART,
	MESH_COUNTER_SENT_JOIN,
	MESH_COUNTER_SENT_WELCOME,
	MESH_COUNTER_RECEIVED,
	MESH_COUNTER_PULL_TIMEOUT,
	MESH_COUNTER_PULL_GAP,
	MESH_COUNTER_HANDOVER_BUSY,
	MESH_COUNTER_PLATFORM_READ,
	MESH_COUNTER_PLATFORM_WATCH,
	MESH_COUNTER_PLATFORM_FAILED,
	MESH_COUNTER_PLATFORM_STALE,
	MESH_COUNTER_READER_CHANGE,
	MESH_COUNTER_FLOOR_WAIT,
	MESH_COUNTER_LATE_TICK,
	MESH_COUNTER_BAD_TOO_LARGE,
	MESH_COUNTER_BAD_MALFORMED,
	MESH_COUNTER_BAD_PROTOCOL,
	MESH_COUNTER_BAD_KIND,
	MESH_COUNTER_BAD_FIELD,
	MESH_COUNTER_BAD_SENDER,
	MESH_COUNTER_COUNT,
};
extern const struct counter_desc mesh_counter_descs[MESH_COUNTER_COUNT];

/* A peer known to hold a state that wins over this node's. */
struct newer_peer {
	struct str address; /* owned */
	struct state_id state;
};

/* Fetching newer states from peers, one request at a time. */
struct catch_up {
	struct newer_peer newer_peers[MESH_NEWER_PEERS_MAX];
	size_t newer_peer_count;
	bool request_pending;
	bool full_state;
	uint64_t request;
	struct str address; /* owned; peer of the pending request */
	struct state_id target;
	struct timespec deadline;
	struct timespec not_before;    /* earliest time of the next request */
	unsigned int consecutive_gaps; /* gap responses in a row */
	struct handover_receiver receiver;
};

enum read_mode {
	READ_NONE,
	READ_POLL,  /* single reads at random times within the fleet's budget */
	READ_WATCH, /* long poll */
};

enum {
	READ_REQUEST_KINDS = PLATFORM_READ_HOSTS + 1,
};

/* State of this node's requests to the platform. */
struct platform_reader {
	enum read_mode mode;
	bool pending[READ_REQUEST_KINDS];
	struct timespec requested_at[READ_REQUEST_KINDS];
	struct timespec next_request;
	bool is_scheduled;
	struct timespec started_at; /* when the mode last left READ_NONE */
	bool reachable;
	bool has_responded; /* to anything but PLATFORM_READ_HOSTS */
	struct timespec last_success;
	uint64_t head;  /* highest revision reported by the platform */
	bool compacted; /* the platform's log starts after our version */
	struct timespec compacted_since;
	bool is_raw_read_scheduled;
	struct timespec next_raw_read;
	bool hosts_requested; /* since the last read of changes */
	unsigned int consecutive_failures;
};

/* Progress of a node towards MESH_READY. */
struct joining {
	struct timespec started_at;
	struct timespec next_ask;
	int64_t ask_interval_ms;
	bool seeds_asked;
	struct timespec last_ready_response;
	bool peer_responded;
	bool ready_peer_responded;
	bool state_from_peer; /* the current state came from a peer */
	uint64_t floor;       /* lowest version that may be served */
	bool confirming_floor;
	struct timespec floor_deadline;
	uint32_t floor_sources_responded; /* one bit each */
};

struct mesh {
	struct mesh_settings settings; /* strings owned; without the seeds */
	struct mesh_env env;
	struct counter_set counters;
	enum mesh_state state;
	struct timespec now;
	struct timespec last_tick;
	bool has_ticked;
	struct timespec last_message; /* received from any peer */
	struct snapshot *snapshot;
	bool published;
	struct publication_ring ring;
	struct members members;
	struct peer_table peers;
	struct contacts contacts;
	struct election election;
	struct handover handover;
	struct catch_up catch_up;
	struct platform_reader reader;
	struct joining joining;
	struct timespec next_heartbeat;
	size_t heartbeat_round;
	struct partner partners[MESH_ZONE_PARTNERS];
	struct partner other_zone_partner;
	uint64_t next_request_id;
	size_t listed_host_count; /* in the platform's list of hosts */
};

/* mesh.c */
void mesh_become_ready(struct mesh *mesh);
size_t mesh_fleet_size(const struct mesh *mesh);

/* apply.c */
enum apply_source {
	APPLY_PUSHED,
	APPLY_PULLED,
	APPLY_PLATFORM,
};
void mesh_apply_publications(struct mesh *mesh, struct publication **list,
    size_t count, enum apply_source source, bool from_other_zone);
bool mesh_adopt_state(struct mesh *mesh, struct snapshot *snapshot);
void mesh_notify_observer(struct mesh *mesh);

/* send.c */
struct mesh_message mesh_message_begin(
    const struct mesh *mesh, enum mesh_message_kind kind);
void mesh_send(
    struct mesh *mesh, struct str address, const struct mesh_message *message);
void mesh_send_announce(struct mesh *mesh, struct str address);

/* spread.c */
void mesh_spread_publications(struct mesh *mesh, struct publication **list,
    size_t count, bool from_outside);
void mesh_announce_state(struct mesh *mesh);

/* heartbeat.c */
void mesh_heartbeat_tick(struct mesh *mesh);

/* pull.c */
void mesh_pull_consider_peer(
    struct mesh *mesh, struct str address, struct state_id state);
void mesh_pull_tick(struct mesh *mesh);
void mesh_pull_reset(struct mesh *mesh);
void mesh_handle_publications(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_handle_state_part(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_handle_pull_busy(
    struct mesh *mesh, const struct mesh_message *message);

/* peer_request.c */
void mesh_handle_pull(struct mesh *mesh, const struct mesh_message *message);
void mesh_handle_state_pull(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_handle_join(struct mesh *mesh, const struct mesh_message *message);

/* join.c */
void mesh_join_tick(struct mesh *mesh);
void mesh_handle_welcome(struct mesh *mesh, const struct mesh_message *message);

/* platform_reader.c */
void mesh_platform_reader_tick(struct mesh *mesh);
void mesh_platform_reader_reset(struct mesh *mesh);
bool mesh_is_active_reader(const struct mesh *mesh);

#endif
