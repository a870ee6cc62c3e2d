#ifndef TREFOILHILL_FLEET_FLEET_ZONE_H
#define TREFOILHILL_FLEET_FLEET_ZONE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Reachability of a zone, as seen from this node. Answers the load pattern of a
 * zone that is cut off or without power: without it, each of its hosts has to
 * be tried by some request that then waits for a connection in vain. A zone is
 * suspected after several failures in a row at its hosts, until one of them
 * responds or a time has passed. Times are milliseconds of a monotonic clock.
 */
struct fleet_zone {
	char *name;
	uint32_t consecutive_failures; /* at any of its hosts */
	int64_t suspected_until_ms;
};

/* Reference counted; the last unref frees it. */
struct fleet_zone *fleet_zone_new(const char *name);
struct fleet_zone *fleet_zone_ref(struct fleet_zone *zone);
void fleet_zone_unref(struct fleet_zone *zone);
/* A host of the zone did not respond. Returns true if that starts a suspicion.
 */
bool fleet_zone_mark_failed(struct fleet_zone *zone, int64_t now_ms);
/* A host of the zone responded. Returns true if that ends a suspicion. */
bool fleet_zone_mark_alive(struct fleet_zone *zone, int64_t now_ms);
/*
 * A request is sent to a host of the zone. After a suspicion has ended by time,
 * it is renewed until the outcome is known, so that one request probes the zone
 * while others avoid it.
 */
void fleet_zone_begin_request(struct fleet_zone *zone, int64_t now_ms);
bool fleet_zone_is_suspected(const struct fleet_zone *zone, int64_t now_ms);

#endif
