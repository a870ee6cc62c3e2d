#ifndef TREFOILHILL_TREFOILHILL_PROXY_CONNECTION_LIMITS_H
#define TREFOILHILL_TREFOILHILL_PROXY_CONNECTION_LIMITS_H

#include "http/connections.h"
#include "trefoilhilld/settings.h"

struct proxy;

/*
 * The limits of what connections occupy: from the settings, counted, and logged
 * when they act.
 */
struct connection_limits;

/*
 * Limits for the connections of a process that may have so many descriptors;
 * without I/O.
 */
struct account_settings connection_limits_derive(
    const struct limit_settings *settings, uint64_t process_descriptors);

/* Creates the proxy's connections, too. */
struct connection_limits *connection_limits_new(struct proxy *proxy);
/* The settings have changed. */
void connection_limits_reload(struct connection_limits *limits);
/*
 * To be called regularly: logs what the limits have done, at most once a
 * second, and returns free memory to the system.
 */
void connection_limits_tick(struct connection_limits *limits);
/* Append the metrics in the Prometheus text format. */
void connection_limits_render(
    const struct connection_limits *limits, GString *out);

#endif
