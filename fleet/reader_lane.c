#include <glib.h>
#include <stdlib.h>

#include "fleet/reader_lane.h"

enum {
	/* A single failed call may be chance. */
	FAILURES_MIN = 2,
	/* Unless nobody else has news from the store either. */
	AGE_MAX_MS = 1000,
	/* If four nodes in a row are turned away, most are. */
	TTL = 4,
	/* The way there and back, at a store that is slow but well. */
	OVERDUE_MS = 400,
	/* A busy host responds in less. */
	SILENT_MS = 250,
	/* Age of a copy that a silent reader is suspected for. */
	SUSPICIOUS_AGE_MS = 600,
	/* So many hosts of a lane ping the one before them. */
	CHECKING_PLACES = 2,
	/* A reader that fails asks again before this has passed. */
	SUBSTITUTE_MS = 5000,
};

/*
 * Return the rank of a host: pseudo-random, the same on all nodes.
 */
uint32_t
reader_lane_rank(struct in_addr host)
{
	uint64_t mixed = host.s_addr * UINT64_C(0x9e3779b97f4a7c15);

	return (uint32_t)(mixed >> 32);
}

static bool
is_old(int64_t age_ms)
{
	return age_ms < 0 || age_ms >= AGE_MAX_MS;
}

/* How many more nodes may be asked after this one. */
static uint32_t
ttl_left(const struct reader_lane *lane, int64_t now_ms)
{
	return reader_lane_is_substitute(lane, now_ms) ? lane->ttl - 1 : TTL;
}

/*
 * Record a failed read. Returns how many more nodes may be asked to read in
 * this node's place.
 */
uint32_t
reader_lane_read_failed(struct reader_lane *lane, int64_t age_ms,
    int64_t next_read_ms, int64_t now_ms)
{
	lane->failures++;
	lane->next_read_ms = next_read_ms;
	lane->due_ms = 0;
	if (lane->failures < FAILURES_MIN && !is_old(age_ms) &&
	    !reader_lane_is_substitute(lane, now_ms))
		return 0;
	return ttl_left(lane, now_ms);
}

/*
 * Record that the store has responded to this node.
 */
void
reader_lane_read_succeeded(struct reader_lane *lane)
{
	lane->failures = 0;
	lane->due_ms = 0;
}

/*
 * Record the start of a read. Returns for how long the store is to wait for a
 * change: the answer also confirms the copy, which can't wait if it is old.
 */
uint32_t
reader_lane_read_began(
    struct reader_lane *lane, int64_t age_ms, uint32_t wait_ms, int64_t now_ms)
{
	if (is_old(age_ms))
		wait_ms = 0;
	lane->due_ms = now_ms + wait_ms + OVERDUE_MS;
	return wait_ms;
}

/*
 * Return how many more nodes may be asked to read in this node's place, as its
 * read is overdue.
 */
uint32_t
reader_lane_check_overdue(
    struct reader_lane *lane, int64_t age_ms, int64_t now_ms)
{
	if (lane->due_ms == 0 || now_ms < lane->due_ms || !is_old(age_ms))
		return 0;
	lane->due_ms = 0;
	return ttl_left(lane, now_ms);
}

/*
 * Tell what to do when another node asks this one to read in its place. While
 * this node waits after a failed read itself, it passes the request on.
 */
enum reader_lane_action
reader_lane_asked(struct reader_lane *lane, uint32_t ttl, int64_t now_ms)
{
	lane->ttl = CLAMP(ttl, 1, TTL);
	lane->substitute_until_ms = now_ms + SUBSTITUTE_MS;
	if (lane->failures > 0 && now_ms < lane->next_read_ms)
		return READER_LANE_ASK_NEXT;
	return READER_LANE_READ;
}

/*
 * Tell whether this node reads in place of another one.
 */
bool
reader_lane_is_substitute(const struct reader_lane *lane, int64_t now_ms)
{
	return now_ms < lane->substitute_until_ms;
}

/*
 * Record that a ping was sent to the host before this one.
 */
void
reader_lane_pinged(
    struct reader_lane *lane, struct in_addr ahead, int64_t now_ms)
{
	if (lane->ahead.s_addr != ahead.s_addr || lane->silent_since_ms == 0)
		lane->silent_since_ms = now_ms;
	lane->ahead = ahead;
}

/*
 * Record that a host has responded.
 */
void
reader_lane_responded(struct reader_lane *lane, struct in_addr host)
{
	if (lane->ahead.s_addr == host.s_addr)
		lane->silent_since_ms = 0;
}

/*
 * Tell whether to read in place of the host that is pinged. This node reads for
 * a while then.
 */
bool
reader_lane_check_ahead(
    struct reader_lane *lane, int64_t age_ms, int64_t now_ms)
{
	if (lane->silent_since_ms == 0 ||
	    now_ms - lane->silent_since_ms < SILENT_MS ||
	    (age_ms >= 0 && age_ms < SUSPICIOUS_AGE_MS))
		return false;
	lane->ttl = TTL;
	lane->substitute_until_ms = now_ms + SUBSTITUTE_MS;
	return lane->failures == 0 || now_ms >= lane->next_read_ms;
}

static int
compare_ranks(const void *a, const void *b)
{
	uint32_t rank_a = reader_lane_rank(*(const struct in_addr *)a);
	uint32_t rank_b = reader_lane_rank(*(const struct in_addr *)b);

	return (rank_a > rank_b) - (rank_a < rank_b);
}

/*
 * Find the host before this node's own in its lane, if it is to be pinged.
 */
bool
reader_lane_find_ahead(struct in_addr own, struct in_addr *others, size_t count,
    size_t lanes, struct in_addr *found)
{
	uint32_t own_rank = reader_lane_rank(own);
	size_t ahead = 0;

	for (size_t i = 0; i < count; i++)
		ahead += reader_lane_rank(others[i]) < own_rank;
	if (ahead < lanes || ahead >= lanes * (CHECKING_PLACES + 1))
		return false;
	qsort(others, count, sizeof(*others), compare_ranks);
	*found = others[ahead - lanes];
	return true;
}

/*
 * Find the host a number of places behind this node's own in its lane.
 */
bool
reader_lane_find(struct in_addr own, struct in_addr *others, size_t count,
    size_t lanes, size_t places, struct in_addr *found)
{
	uint32_t own_rank = reader_lane_rank(own);
	size_t index = lanes * places;

	/* With this node itself left out, those behind it move up by one. */
	if (index == 0)
		return false;
	qsort(others, count, sizeof(*others), compare_ranks);
	for (size_t i = 0; i < count; i++) {
		if (reader_lane_rank(others[i]) > own_rank && --index == 0) {
			*found = others[i];
			return true;
		}
	}
	return false;
}
