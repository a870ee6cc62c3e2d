#ifndef TREFOILHILL_TREFOILHILLD_SETTINGS_H
#define TREFOILHILL_TREFOILHILLD_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "common/str.h"

#define SETTINGS_ERROR (settings_error_quark())

enum settings_error {
	SETTINGS_ERROR_READ,
	SETTINGS_ERROR_SYNTAX,
	SETTINGS_ERROR_UNKNOWN_SECTION,
	SETTINGS_ERROR_UNKNOWN_KEY,
	SETTINGS_ERROR_MISSING,
	SETTINGS_ERROR_VALUE,
};

enum {
	SETTINGS_SEEDS_MAX = 32,
};

enum log_threshold {
	LOG_THRESHOLD_WARNING,
	LOG_THRESHOLD_INFO,
	LOG_THRESHOLD_DEBUG,
};

struct node_settings {
	struct str host;
	struct str zone;
	struct str caller_listen;
	struct str mesh_listen;
	struct str operator_listen;
	struct str seeds[SETTINGS_SEEDS_MAX];
	size_t seed_count;
	uint32_t caller_threads;
	uint32_t grace_ms;         /* from a stop signal until it is killed */
	uint32_t link_kbps;        /* of the host's link; 0: not known */
	struct str metrics_listen; /* empty: metrics with readiness only */
};

struct platform_settings {
	struct str url;
	uint32_t timeout_ms;
	uint32_t watch_ms;
};

struct upstream_settings {
	struct str name;
	struct str service; /* of the upstream on this host */
	struct str address;
};

struct spread_settings {
	uint32_t policy; /* enum spread_policy */
	uint32_t heartbeat_ms;
	uint32_t readers_per_zone;
	uint32_t fanout;
};

struct admission_settings {
	uint32_t slots;
	uint32_t connections;
	uint32_t cold_limit;
	uint32_t cold_allowance;
	uint32_t queue_limit;
	uint32_t queue_wait_ms;
	uint32_t tick_ms;
	uint32_t tick_bound;
	uint32_t once_entries;
};

struct route_settings {
	uint32_t policy; /* enum choice_policy */
	uint32_t hint_fresh_ms;
	uint32_t retry_percent;
	uint32_t retry_window_ms; /* over which repeats are counted */
	uint32_t
	    retry_allowance; /* repeats in a window beyond the percentage */
	uint32_t timeout_ms;
};

struct log_settings {
	uint32_t level; /* enum log_threshold */
	uint32_t event_entries;
	uint32_t lines_per_s; /* of decisions about requests */
};

/* One process's settings: parsed, checked, then used as a whole. */
struct settings {
	struct node_settings node;
	struct platform_settings platform;
	struct upstream_settings upstream;
	struct spread_settings mesh;
	struct admission_settings guard;
	struct route_settings route;
	struct log_settings log;
};

GQuark settings_error_quark(void);
struct settings *settings_load(const char *path, GError **error);
void settings_free(struct settings *settings);

#endif
