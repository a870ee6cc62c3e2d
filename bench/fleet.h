#ifndef TREFOILHILL_BENCH_FLEET_H
#define TREFOILHILL_BENCH_FLEET_H

#include <glib.h>
#include <stddef.h>

enum {
	FLEET_SERVICES = 840,
	FLEET_UPSTREAMS_PER_SERVICE = 17,
};

/*
 * A synthetic fleet with one upstream per host: zones, services with two routes
 * each, hosts and upstreams.
 */
struct fleet {
	size_t zones;
	size_t upstreams;
	size_t services;
};

void fleet_init(struct fleet *fleet, size_t upstreams, size_t zones);
/* Publications start at version 1, each of at most PUBLICATION_BYTES_MAX. */
GPtrArray *fleet_publications(const struct fleet *fleet);

/* Records of the fleet as JSON; the variant selects different field values. */
char *fleet_zone(size_t zone, unsigned int variant);
char *fleet_service(size_t service, unsigned int variant);
char *fleet_host(const struct fleet *fleet, size_t host, unsigned int variant);
char *fleet_upstream(
    const struct fleet *fleet, size_t upstream, unsigned int variant);
char *fleet_route(const struct fleet *fleet, size_t route);

#endif
