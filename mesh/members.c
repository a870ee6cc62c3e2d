#include <glib.h>

#include "mesh/members.h"
#include "common/rendezvous.h"

enum {
	PICK_TRIES = 4,
};

/*
 * Initialize an empty view of the fleet. host and zone are borrowed.
 */
void
members_init(struct members *members, struct str host, struct str zone)
{
	*members = (struct members){ .host = host, .zone = zone };
}

static void
members_refresh_zones(struct members *members)
{
	size_t count;
	struct record *const *zones =
	    snapshot_records(members->snapshot, RECORD_ZONE, &count);

	members->other_zone_count = 0;
	for (size_t i = 0; i < count; i++) {
		struct str name = zones[i]->name;

		if (members->other_zone_count == MEMBERS_ZONES_MAX)
			break;
		if (!str_equal(name, members->zone))
			members->other_zones[members->other_zone_count++] =
			    name;
	}
}

/* Rank 0 is first in the order, the preferred reader of the zone. */
static void
members_refresh_rank(struct members *members)
{
	struct rendezvous_score own =
	    rendezvous_score(members->zone, 0, members->host);

	members->rank = 0;
	members->is_listed = false;
	for (size_t i = 0; i < members->host_count; i++) {
		struct str host = members->hosts[i]->name;

		if (str_equal(host, members->host))
			members->is_listed = true;
		else if (rendezvous_before(
			     rendezvous_score(members->zone, 0, host), own))
			members->rank++;
	}
}

/*
 * Select the first hosts, other than this one, in the order salted by a name.
 */
static size_t
select_top_hosts(const struct members *members, struct str salt,
    struct record *const *hosts, size_t count, const struct record **out,
    size_t out_max)
{
	struct rendezvous_score best[MEMBERS_TRACKERS];
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		struct rendezvous_score score =
		    rendezvous_score(salt, 0, hosts[i]->name);
		size_t at = found;

		if (str_equal(hosts[i]->name, members->host))
			continue;
		while (at > 0 && rendezvous_before(score, best[at - 1]))
			at--;
		if (at == out_max)
			continue;
		found = found < out_max ? found + 1 : out_max;
		for (size_t j = found - 1; j > at; j--) {
			best[j] = best[j - 1];
			out[j] = out[j - 1];
		}
		best[at] = score;
		out[at] = hosts[i];
	}
	return found;
}

static struct record *const *
select_other_zone(const struct members *members, size_t *count)
{
	struct rendezvous_score best = { 0 };
	struct record *const *first = NULL;

	*count = 0;
	for (size_t i = 0; i < members->other_zone_count; i++) {
		struct rendezvous_score score =
		    rendezvous_score(members->host, 0, members->other_zones[i]);
		size_t host_count;
		struct record *const *hosts = snapshot_zone_hosts(
		    members->snapshot, members->other_zones[i], &host_count);

		if (host_count == 0 ||
		    (first != NULL && !rendezvous_before(score, best)))
			continue;
		best = score;
		first = hosts;
		*count = host_count;
	}
	return first;
}

/*
 * The trackers of a host are selected in an order salted by its name, so that
 * both the host and its successor find them. Some are in its zone, and one is
 * in another zone, which still remembers the version when the whole zone
 * restarts.
 */
static void
members_refresh_trackers(struct members *members)
{
	size_t count;
	struct record *const *elsewhere = select_other_zone(members, &count);

	members->tracker_count =
	    select_top_hosts(members, members->host, members->hosts,
		members->host_count, members->trackers, MEMBERS_TRACKERS - 1);
	members->tracker_count += select_top_hosts(members, members->host,
	    elsewhere, count, members->trackers + members->tracker_count, 1);
}

static void
members_refresh_readers(struct members *members)
{
	G_STATIC_ASSERT(MEMBERS_READERS <= MEMBERS_TRACKERS);
	members->reader_count =
	    select_top_hosts(members, members->zone, members->hosts,
		members->host_count, members->readers, MEMBERS_READERS);
}

/*
 * Rebuild the view for a snapshot, which must outlive it. Takes time
 * proportional to the number of hosts in two zones.
 */
void
members_refresh(struct members *members, const struct snapshot *snapshot)
{
	members->snapshot = snapshot;
	members->hosts =
	    snapshot_zone_hosts(snapshot, members->zone, &members->host_count);
	members->fleet_size = snapshot_count(snapshot, RECORD_HOST);
	members_refresh_zones(members);
	members_refresh_rank(members);
	members_refresh_trackers(members);
	members_refresh_readers(members);
}

/*
 * Pick a random host of this zone.
 */
const struct record *
members_pick_own_zone(const struct members *members, struct rng *rng)
{
	for (size_t i = 0; i < PICK_TRIES && members->host_count > 0; i++) {
		const struct record *host =
		    members->hosts[rng_below(rng, members->host_count)];

		if (!str_equal(host->name, members->host))
			return host;
	}
	return NULL;
}

/*
 * Pick a random host of another zone; all other zones are equally likely.
 */
const struct record *
members_pick_other_zone(const struct members *members, struct rng *rng)
{
	for (size_t i = 0; i < PICK_TRIES && members->other_zone_count > 0;
	     i++) {
		size_t zone = rng_below(rng, members->other_zone_count);
		size_t count;
		struct record *const *hosts = snapshot_zone_hosts(
		    members->snapshot, members->other_zones[zone], &count);

		if (count > 0)
			return hosts[rng_below(rng, count)];
	}
	return NULL;
}
