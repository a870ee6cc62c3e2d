#ifndef TREFOILHILL_FLEET_STORE_OUTAGE_H
#define TREFOILHILL_FLEET_STORE_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether registrations that are missing may have expired in an outage of the
 * store, so that their upstreams get a grace period to register again, or have
 * been removed, so that nothing may be sent to them any more. Answers the load
 * of a node that was cut off while the store was up, and that comes back, or
 * tells its peers, while upstreams leave. Pure; times are milliseconds of a
 * monotonic clock.
 */
struct store_outage {
	uint32_t grace_ms;            /* of a registration after an outage */
	int64_t unreachable_since_ms; /* for this node; 0: it is reachable */
	/* When the store last confirmed the copy, to any node; 0: never. */
	int64_t confirmed_ms;
	int64_t gap_ms;       /* longest without a confirmation in an outage */
	int64_t gap_began_ms; /* of the last gap that was an outage; 0: none */
	int64_t gap_ended_ms;
	int64_t steady_since_ms; /* confirmed without such a gap since then */
	int64_t grace_until_ms;  /* of the outage; 0: none runs */
};

/* The store did not respond. True if it did before. */
bool store_outage_read_failed(struct store_outage *outage, int64_t now_ms);
/*
 * The store responded to this node. True if registrations that are missing now
 * have to be kept for the grace period.
 */
bool store_outage_read_succeeded(struct store_outage *outage, int64_t now_ms);
/* The store has responded to some node at confirmed_ms. */
void store_outage_confirmed(struct store_outage *outage, int64_t confirmed_ms);
/*
 * Return for how long to keep the registrations that a peer's items remove;
 * peer_grace_ms is what the peer says. 0: not at all.
 */
int64_t store_outage_peer_grace_ms(
    struct store_outage *outage, int64_t peer_grace_ms, int64_t now_ms);
/*
 * A peer's copy has been confirmed for steady_ms without an outage. True if
 * that ends the grace period: only this node was cut off.
 */
bool store_outage_peer_steady(
    struct store_outage *outage, int64_t steady_ms, int64_t now_ms);
/* A restored store: its missing registrations are no matter of an outage. */
void store_outage_restored(struct store_outage *outage);
/* How long this copy has been confirmed without an outage, for peers. */
int64_t store_outage_steady_ms(
    const struct store_outage *outage, int64_t now_ms);
/* Rest of the grace period. */
int64_t store_outage_grace_ms(
    const struct store_outage *outage, int64_t now_ms);

#endif
