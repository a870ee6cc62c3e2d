#ifndef TREFOILHILL_CONFIG_LIVE_H
#define TREFOILHILL_CONFIG_LIVE_H

#include "config/snapshot.h"

/* The current snapshot: one writer replaces it, any thread reads it. */
struct live_config;

struct live_config *live_config_new(void);
void live_config_free(struct live_config *live);
/* Returns a new reference to the current snapshot; NULL before the first. */
struct snapshot *live_config_get(struct live_config *live);
void live_config_publish(struct live_config *live, struct snapshot *snapshot);

#endif
