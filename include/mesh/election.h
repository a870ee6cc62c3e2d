#ifndef TREFOILHILL_MESH_ELECTION_H
#define TREFOILHILL_MESH_ELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "common/str.h"
#include "mesh/message.h"
#include "mesh/rendezvous.h"

enum {
	ELECTION_SEEN_MAX = 16,
	/* Heartbeats after which a beat that did not rise is not fresh. */
	ELECTION_FRESH_BEATS = 10,
	/* Ranks beyond this one wait no longer than it does. */
	ELECTION_RANK_MAX = 20,
};

struct election_seen {
	struct rendezvous_score score; /* host is owned */
	uint64_t beat;
	struct timespec risen;
};

/*
 * Who of a zone reads the platform. No lease: two readers too many are
 * harmless, and none at all lasts only until the next rank's wait is over.
 */
struct election {
	struct str host;
	struct str zone;
	struct rendezvous_score own;
	uint64_t own_beat;
	uint32_t heartbeat_ms;
	size_t readers;
	struct election_seen seen[ELECTION_SEEN_MAX];
	size_t seen_count;
	bool lacking; /* fewer fresh better readers than wanted */
	struct timespec lacking_since;
	bool reading;
};

void election_init(struct election *election, struct str host, struct str zone,
    uint32_t heartbeat_ms, size_t readers);
void election_release(struct election *election);
void election_learn(struct election *election, const struct reader_beat *beat,
    struct timespec now);
bool election_update(
    struct election *election, size_t rank, struct timespec now);
void election_beat(struct election *election);
void election_shift(struct election *election, int64_t ms);
/* Best fresh readers, this host first when it beats; hosts are borrowed. */
size_t election_report(const struct election *election, bool beating,
    struct timespec now, struct reader_beat *out, size_t out_max);

#endif
