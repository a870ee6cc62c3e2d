#ifndef TREFOILHILL_MESH_ELECTION_H
#define TREFOILHILL_MESH_ELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "common/str.h"
#include "mesh/message.h"
#include "common/rendezvous.h"

enum {
	ELECTION_READERS_MAX = 16,
	/* Heartbeat periods after which a beat that has not risen is stale. */
	ELECTION_FRESH_HEARTBEATS = 10,
	/* Cap on the ranks past the wanted readers that add to the wait. */
	ELECTION_RANK_MAX = 20,
};

struct election_reader {
	struct rendezvous_score score; /* host is owned */
	uint64_t beat;
	struct timespec beat_raised_at;
};

/*
 * Election of the hosts of a zone that read the platform. There is no lease:
 * too many readers are harmless, and a zone without a reader stays so only
 * until the wait of the next rank ends.
 */
struct election {
	struct str host;
	struct str zone;
	struct rendezvous_score own_score;
	uint64_t own_beat;
	uint32_t heartbeat_ms;
	size_t wanted_readers;
	struct election_reader known_readers[ELECTION_READERS_MAX];
	size_t known_reader_count;
	bool has_shortage; /* fewer fresh preferred readers than wanted */
	struct timespec shortage_since;
	bool is_reader;
};

void election_init(struct election *election, struct str host, struct str zone,
    uint32_t heartbeat_ms, size_t readers);
void election_release(struct election *election);
void election_learn(struct election *election, const struct reader_beat *beat,
    struct timespec now);
bool election_update(
    struct election *election, size_t rank, struct timespec now);
void election_increment_beat(struct election *election);
void election_shift_times(struct election *election, int64_t ms);
/* Best fresh readers, this host first when it beats; hosts are borrowed. */
size_t election_list_readers(const struct election *election, bool is_active,
    struct timespec now, struct reader_beat *out, size_t out_max);

#endif
