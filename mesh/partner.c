#include "common/clock.h"
#include "mesh/partner.h"

enum {
	PARTNER_MIN_MS = 4000, /* minimum; the maximum is twice as long */
};

static bool
partner_is_due(const struct partner *partner, struct timespec now)
{
	return partner->address.len == 0 ||
	    !timespec_before(now, partner->expires);
}

static void
partner_set(struct partner *partner, const struct record *host, struct rng *rng,
    struct timespec now)
{
	partner_release(partner);
	if (host == NULL)
		return;
	partner->address = str_dup(host->host.node);
	partner->expires = timespec_plus_ms(
	    now, PARTNER_MIN_MS + (int64_t)rng_below(rng, PARTNER_MIN_MS));
}

/*
 * Return the address of a partner in this zone, replaced when it expires; empty
 * if the zone has no other host.
 */
struct str
partner_in_own_zone(struct partner *partner, const struct members *members,
    struct rng *rng, struct timespec now)
{
	if (partner_is_due(partner, now))
		partner_set(
		    partner, members_pick_own_zone(members, rng), rng, now);
	return partner->address;
}

/*
 * Return the address of a partner in another zone, replaced when it expires;
 * empty if there is none.
 */
struct str
partner_in_other_zone(struct partner *partner, const struct members *members,
    struct rng *rng, struct timespec now)
{
	if (partner_is_due(partner, now))
		partner_set(
		    partner, members_pick_other_zone(members, rng), rng, now);
	return partner->address;
}

/*
 * Free a partner.
 */
void
partner_release(struct partner *partner)
{
	str_release(&partner->address);
}
