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

/* For the files under mesh/ only. */

enum {
	MESH_RING_CAPACITY = 256,
	MESH_RING_BYTES = 4 * 1024 * 1024,
	MESH_AHEAD_MAX = 4,
	MESH_ZONE_PARTNERS = 2,
	MESH_PULL_TIMEOUT_MS = 300,
	MESH_PULL_GAPS_MAX = 2,
	MESH_PULL_GRACE_MS = 30, /* a push may be under way */
	MESH_PULL_BACK_OFF_MS = 100,
	MESH_LATE_TICK_MS = 1000,
	MESH_NEWS_TIMEOUT_MS = 5000,
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

/* A peer that is known to hold a better state. */
struct ahead {
	struct str address; /* owned */
	struct state_id state;
};

/* Catching up from peers: one request at a time. */
struct pulling {
	struct ahead ahead[MESH_AHEAD_MAX];
	size_t ahead_count;
	bool open;
	bool whole;
	uint64_t request;
	struct str address; /* owned; asked now */
	struct state_id target;
	struct timespec deadline;
	struct timespec due; /* of the next request while none is open */
	unsigned int gaps;   /* answers in a row that could not cover */
	struct intake intake;
};

enum read_mode {
	READ_NONE,
	READ_DRAW,  /* single reads, at times drawn from the fleet's budget */
	READ_WATCH, /* a standing watch */
};

enum {
	READ_REQUEST_KINDS = PLATFORM_READ_HOSTS + 1,
};

/* Reading the platform. */
struct reading {
	enum read_mode mode;
	bool open[READ_REQUEST_KINDS];
	struct timespec opened[READ_REQUEST_KINDS];
	struct timespec next; /* read due */
	bool scheduled;
	struct timespec began; /* of being a reader */
	bool up;
	bool answered; /* this process had an answer */
	struct timespec last_ok;
	uint64_t head;  /* highest that the platform told of */
	bool compacted; /* the log no longer reaches back to our version */
	struct timespec compacted_since;
	bool raw_scheduled;
	struct timespec raw_next;
	bool hosts_asked; /* since the last read of changes */
	unsigned int failures;
};

/* Becoming ready. */
struct joining {
	struct timespec began;
	struct timespec ask_next;
	int64_t ask_wait_ms;
	bool first_asked;
	struct timespec last_ready_answer;
	bool peer_answered;
	bool ready_peer; /* a ready peer answered */
	bool given;      /* the state held came from a peer */
	uint64_t floor;  /* no lower version may be served */
	bool settling;
	struct timespec settle_until;
	uint32_t witnesses_answered; /* bit for each */
};

struct mesh {
	struct mesh_settings settings; /* strings owned, no seeds */
	struct mesh_env env;
	struct counter_set counters;
	enum mesh_state state;
	struct timespec now;
	struct timespec last_tick;
	bool ticked;
	struct timespec last_news; /* last message of any peer */
	struct snapshot *snapshot;
	bool published;
	struct publication_ring ring;
	struct members members;
	struct peer_table peers;
	struct contacts contacts;
	struct election election;
	struct handover handover;
	struct pulling pulling;
	struct reading reading;
	struct joining joining;
	struct timespec heartbeat_next;
	size_t heartbeat_round;
	struct partner partners[MESH_ZONE_PARTNERS];
	struct partner partner_elsewhere;
	uint64_t next_request;
	size_t listed_hosts; /* fleet's size by the platform's list */
};

/* mesh.c */
void mesh_become_ready(struct mesh *mesh);
size_t mesh_fleet_size(const struct mesh *mesh);

/* apply.c */
enum take_source {
	TAKE_PUSHED,
	TAKE_PULLED,
	TAKE_PLATFORM,
};
void mesh_take_publications(struct mesh *mesh, struct publication **list,
    size_t count, enum take_source source, bool from_elsewhere);
bool mesh_adopt(struct mesh *mesh, struct snapshot *snapshot);
void mesh_publish(struct mesh *mesh);

/* send.c */
struct mesh_message mesh_message_begin(
    const struct mesh *mesh, enum mesh_message_kind kind);
void mesh_send(
    struct mesh *mesh, struct str address, const struct mesh_message *message);
void mesh_send_announce(struct mesh *mesh, struct str address);

/* spread.c */
void mesh_spread(struct mesh *mesh, struct publication **list, size_t count,
    bool from_outside);
void mesh_announce_some(struct mesh *mesh);

/* heartbeat.c */
void mesh_heartbeat_tick(struct mesh *mesh);

/* pull.c */
void mesh_pull_consider(
    struct mesh *mesh, struct str address, struct state_id state);
void mesh_pull_tick(struct mesh *mesh);
void mesh_pull_stop(struct mesh *mesh);
void mesh_handle_publications(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_handle_state_part(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_pull_busy(struct mesh *mesh, const struct mesh_message *message);

/* answer.c */
void mesh_answer_pull(struct mesh *mesh, const struct mesh_message *message);
void mesh_answer_state_pull(
    struct mesh *mesh, const struct mesh_message *message);
void mesh_answer_join(struct mesh *mesh, const struct mesh_message *message);

/* join.c */
void mesh_join_tick(struct mesh *mesh);
void mesh_handle_welcome(struct mesh *mesh, const struct mesh_message *message);

/* reading.c */
void mesh_reading_tick(struct mesh *mesh);
void mesh_reading_restart(struct mesh *mesh);
bool mesh_reading_beats(const struct mesh *mesh);

#endif
