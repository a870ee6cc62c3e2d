#ifndef TREFOILHILL_TREFOILHILL_PROXY_SETTINGS_WATCH_H
#define TREFOILHILL_TREFOILHILL_PROXY_SETTINGS_WATCH_H

#include "trefoilhill-proxy/proxy.h"

/*
 * Reloads the settings when their file changes without a signal: the host's
 * upstream may be replaced by one of another service at any time.
 */
struct settings_watch;

struct settings_watch *settings_watch_new(
    struct proxy *proxy, const char *path);
void settings_watch_free(struct settings_watch *watch);

#endif
