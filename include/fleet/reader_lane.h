#ifndef TREFOILHILL_FLEET_READER_LANE_H
#define TREFOILHILL_FLEET_READER_LANE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Who reads the store in place of a reader that can't. The hosts of a zone, in
 * the order of their ranks, form as many lanes as the zone has readers; the
 * first of each lane reads. A reader whose reads fail or are overdue asks the
 * next of its lane, which reads for a while or, if the store turns it away as
 * well, asks the one after it. A few are asked at most, so that an outage of
 * the store costs it few calls, however many nodes there are. The hosts behind
 * a reader ping the one before them, and read when it is silent.
 *
 * Pure; times are milliseconds of a monotonic clock.
 */
struct reader_lane {
	uint32_t failures;    /* consecutive reads of this node */
	int64_t next_read_ms; /* after a failure */
	int64_t due_ms;       /* of the read in progress; 0: none */
	uint32_t ttl;         /* of the last request to read for another node */
	int64_t substitute_until_ms; /* by that request; 0: never asked */
	struct in_addr ahead;        /* the host that this node pings */
	int64_t silent_since_ms;     /* unanswered ping to it; 0: none */
};

enum reader_lane_action {
	READER_LANE_READ,
	READER_LANE_ASK_NEXT,
};

/* Rank of a host in its zone, the same on all nodes; the lowest ones read. */
uint32_t reader_lane_rank(struct in_addr host);
/*
 * Record a failed read of a reader that will read again at next_read_ms;
 * age_ms is the time since the copy was confirmed, -1 if it never was. Returns
 * how many more nodes may be asked, one after another; 0: none.
 */
uint32_t reader_lane_read_failed(struct reader_lane *lane, int64_t age_ms,
    int64_t next_read_ms, int64_t now_ms);
void reader_lane_read_succeeded(struct reader_lane *lane);
/*
 * Record the start of a read that is to be answered within wait_ms. Returns for
 * how long to ask the store to wait for a change: not at all if the copy has to
 * be confirmed.
 */
uint32_t reader_lane_read_began(
    struct reader_lane *lane, int64_t age_ms, uint32_t wait_ms, int64_t now_ms);
/*
 * Check the read in progress. Returns as reader_lane_read_failed, once for each
 * read, when its answer is overdue and nobody else has confirmed the copy.
 */
uint32_t reader_lane_check_overdue(
    struct reader_lane *lane, int64_t age_ms, int64_t now_ms);
/*
 * Another node asks this one, and up to ttl - 1 more after it, to read in its
 * place.
 */
enum reader_lane_action reader_lane_asked(
    struct reader_lane *lane, uint32_t ttl, int64_t now_ms);
/*
 * Find the host before this node's own in its lane, if this node is to ping it:
 * only the first few behind a reader do. others is sorted.
 */
bool reader_lane_find_ahead(struct in_addr own, struct in_addr *others,
    size_t count, size_t lanes, struct in_addr *found);
/* A ping to that host was sent. */
void reader_lane_pinged(
    struct reader_lane *lane, struct in_addr ahead, int64_t now_ms);
/* A host has responded. */
void reader_lane_responded(struct reader_lane *lane, struct in_addr host);
/*
 * Should this node read in place of the host that it pings, as that one is
 * silent, and nobody else has confirmed the copy?
 */
bool reader_lane_check_ahead(
    struct reader_lane *lane, int64_t age_ms, int64_t now_ms);
/* Does this node read for another one? */
bool reader_lane_is_substitute(const struct reader_lane *lane, int64_t now_ms);
/*
 * Find the host a number of places behind this node's own in its lane. others
 * are the usable hosts of the zone; they are sorted. Returns false if the lane
 * ends before.
 */
bool reader_lane_find(struct in_addr own, struct in_addr *others, size_t count,
    size_t lanes, size_t places, struct in_addr *found);

#endif
