#ifndef TREFOILHILL_TREFOILHILL_PROXY_CRASH_WATCH_H
#define TREFOILHILL_TREFOILHILL_PROXY_CRASH_WATCH_H

#include "trefoilhill-proxy/attempt.h"

/*
 * Tells a crash of the upstream on this host from a lost connection: after a
 * crash all connections are lost and new ones are refused. Attempts without any
 * response wait for that, a few milliseconds, so that the reason of their
 * failure is known.
 */
struct crash_watch;

struct crash_watch *crash_watch_new(struct proxy *proxy);
void crash_watch_free(struct crash_watch *watch);
/* The connection of an attempt was lost, with a part of its response. */
void crash_watch_add(struct crash_watch *watch, const struct attempt *attempt);
/*
 * Take an attempt whose connection to the upstream was lost before any
 * response; it fails later.
 */
void crash_watch_hold(struct crash_watch *watch, struct attempt *attempt);
/* The attempt has been cancelled. Does nothing if it isn't held. */
void crash_watch_release(struct crash_watch *watch, struct attempt *attempt);

#endif
