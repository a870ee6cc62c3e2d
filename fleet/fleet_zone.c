#include <glib.h>

#include "fleet/fleet_zone.h"

enum {
	/* A single host that fails is no evidence against its zone. */
	SUSPECT_FAILURES = 3,
	/* Then a request tries the zone again, besides heartbeats. */
	SUSPECT_MS = 1000,
	PROBE_MS = 300, /* until the outcome of that request is known */
};

/*
 * Return a zone that isn't suspected, with one reference.
 */
struct fleet_zone *
fleet_zone_new(const char *name)
{
	struct fleet_zone *zone = g_rc_box_new0(struct fleet_zone);

	zone->name = g_strdup(name);
	return zone;
}

/*
 * Take a reference.
 */
struct fleet_zone *
fleet_zone_ref(struct fleet_zone *zone)
{
	return g_rc_box_acquire(zone);
}

static void
zone_clear(void *data)
{
	struct fleet_zone *zone = data;

	g_free(zone->name);
}

/*
 * Drop a reference; the last one frees the zone.
 */
void
fleet_zone_unref(struct fleet_zone *zone)
{
	g_rc_box_release_full(zone, zone_clear);
}

/*
 * Record that a host did not respond. After a suspicion has ended by time, one
 * more failure renews it.
 */
bool
fleet_zone_mark_failed(struct fleet_zone *zone, int64_t now_ms)
{
	bool suspected = fleet_zone_is_suspected(zone, now_ms);

	zone->consecutive_failures++;
	if (zone->consecutive_failures < SUSPECT_FAILURES)
		return false;
	zone->suspected_until_ms = now_ms + SUSPECT_MS;
	return !suspected;
}

/*
 * Record that a host responded.
 */
bool
fleet_zone_mark_alive(struct fleet_zone *zone, int64_t now_ms)
{
	bool suspected = fleet_zone_is_suspected(zone, now_ms);

	zone->consecutive_failures = 0;
	zone->suspected_until_ms = 0;
	return suspected;
}

/*
 * Let one request probe a zone whose suspicion has ended by time.
 */
void
fleet_zone_begin_request(struct fleet_zone *zone, int64_t now_ms)
{
	if (zone->consecutive_failures >= SUSPECT_FAILURES &&
	    !fleet_zone_is_suspected(zone, now_ms))
		zone->suspected_until_ms = now_ms + PROBE_MS;
}

/*
 * Tell whether hosts of the zone are probably unreachable.
 */
bool
fleet_zone_is_suspected(const struct fleet_zone *zone, int64_t now_ms)
{
	return zone->suspected_until_ms > now_ms;
}
