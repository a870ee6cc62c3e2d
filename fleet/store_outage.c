#include <glib.h>

#include "fleet/store_outage.h"

enum {
	/* Shorter ones don't outlast a registration's lease. */
	UNREACHABLE_MIN_MS = 1000,
	/* Copies are confirmed about once in a second when all is well. */
	GAP_MIN_MS = 1500,
	/* A lease lasts for three reports of an upstream, over 4 s. */
	STEADY_GAP_MAX_MS = 2500,
};

/*
 * Record that the store did not respond. Returns true if it did before.
 */
bool
store_outage_read_failed(struct store_outage *outage, int64_t now_ms)
{
	if (outage->unreachable_since_ms != 0)
		return false;
	outage->unreachable_since_ms = now_ms;
	outage->gap_ms = 0;
	return true;
}

/*
 * Record that the store has responded to some node at a time.
 */
void
store_outage_confirmed(struct store_outage *outage, int64_t confirmed_ms)
{
	int64_t gap_ms = confirmed_ms - outage->confirmed_ms;

	if (gap_ms <= 0)
		return;
	if (outage->confirmed_ms == 0 || gap_ms > STEADY_GAP_MAX_MS)
		outage->steady_since_ms = confirmed_ms;
	if (outage->confirmed_ms != 0 && gap_ms >= GAP_MIN_MS) {
		outage->gap_began_ms = outage->confirmed_ms;
		outage->gap_ended_ms = confirmed_ms;
	}
	if (outage->confirmed_ms != 0)
		outage->gap_ms = MAX(outage->gap_ms, gap_ms);
	outage->confirmed_ms = confirmed_ms;
}

/*
 * Record that the store has responded to this node. It was out if no other node
 * got a response meanwhile either; else only this node was cut off, and what is
 * missing now has been removed. Returns true if missing registrations are kept.
 */
bool
store_outage_read_succeeded(struct store_outage *outage, int64_t now_ms)
{
	int64_t unreachable_ms = now_ms - outage->unreachable_since_ms;
	bool was_unreachable = outage->unreachable_since_ms != 0;

	store_outage_confirmed(outage, now_ms);
	outage->unreachable_since_ms = 0;
	if (!was_unreachable || unreachable_ms < UNREACHABLE_MIN_MS ||
	    outage->gap_ms < GAP_MIN_MS)
		return false;
	outage->grace_until_ms = now_ms + outage->grace_ms;
	return true;
}

/*
 * Return the grace period for the registrations that a peer's items remove. A
 * peer that was cut off takes that for an outage of the store; a node whose own
 * copy has been confirmed all the while knows better.
 */
int64_t
store_outage_peer_grace_ms(
    struct store_outage *outage, int64_t peer_grace_ms, int64_t now_ms)
{
	bool in_gap = outage->confirmed_ms == 0 ||
	    now_ms - outage->confirmed_ms >= GAP_MIN_MS;
	bool after_gap = outage->gap_began_ms != 0 &&
	    now_ms - outage->gap_ended_ms < outage->grace_ms;

	if (peer_grace_ms <= 0 || !(in_gap || after_gap))
		return 0;
	peer_grace_ms = MIN(peer_grace_ms, outage->grace_ms);
	outage->grace_until_ms =
	    MAX(outage->grace_until_ms, now_ms + peer_grace_ms);
	return peer_grace_ms;
}

/*
 * Record that a peer's copy has been confirmed for some time without an outage.
 * Returns true if that covers what this node took for an outage.
 */
bool
store_outage_peer_steady(
    struct store_outage *outage, int64_t steady_ms, int64_t now_ms)
{
	if (outage->grace_until_ms <= now_ms || outage->gap_began_ms == 0 ||
	    now_ms - steady_ms > outage->gap_began_ms)
		return false;
	outage->grace_until_ms = 0;
	return true;
}

/*
 * Record that the store came back from a copy: its missing registrations are
 * kept, whatever peers say of an outage.
 */
void
store_outage_restored(struct store_outage *outage)
{
	outage->gap_began_ms = 0;
}

/*
 * Return for how long the copy has been confirmed without an outage.
 */
int64_t
store_outage_steady_ms(const struct store_outage *outage, int64_t now_ms)
{
	if (outage->confirmed_ms == 0 ||
	    now_ms - outage->confirmed_ms > STEADY_GAP_MAX_MS)
		return 0;
	return now_ms - outage->steady_since_ms;
}

/*
 * Return the rest of the grace period.
 */
int64_t
store_outage_grace_ms(const struct store_outage *outage, int64_t now_ms)
{
	return MAX(outage->grace_until_ms - now_ms, 0);
}
