#ifndef TREFOILHILL_STANDIN_PLATFORM_PLATFORM_H
#define TREFOILHILL_STANDIN_PLATFORM_PLATFORM_H

#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "standin-platform/change_log.h"
#include "standin-platform/faults.h"
#include "standin-platform/read_counts.h"

/* A simulated platform: its records and hosts, faults and read counts. */
struct platform {
	struct clock *clock;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct change_log *log;
	struct faults faults;
	struct read_counts counts;
	json_t *hosts;
	bool stopping;
};

struct platform *platform_new(void);
void platform_stop(struct platform *platform);
void platform_free(struct platform *platform);
uint64_t platform_visible_revision(const struct platform *platform);
bool platform_wait_for_change(struct platform *platform,
    const struct mg_connection *conn, const char *node, uint64_t after,
    uint32_t wait_ms);

#endif
