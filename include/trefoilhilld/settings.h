#ifndef TREFOILHILL_TREFOILHILLD_SETTINGS_H
#define TREFOILHILL_TREFOILHILLD_SETTINGS_H

#include <glib.h>
#include <stdint.h>

#include "common/file_version.h"
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
	/* from the stop signal until the process is killed */
	uint32_t grace_ms;
	uint32_t link_kbps; /* rate of the host's link in kbit/s; 0: unknown */
	struct str metrics_listen; /* empty: metrics on operator_listen only */
};

struct platform_settings {
	struct str url;
	uint32_t timeout_ms;
	uint32_t watch_ms;
};

struct upstream_settings {
	struct str name;
	struct str service; /* service of the upstream on this host */
	struct str address;
};

struct dissemination_settings {
	uint32_t policy; /* enum spread_policy */
	uint32_t heartbeat_ms;
	uint32_t drain_ms; /* for which a stopping upstream takes requests */
	uint32_t readers_per_zone;
	uint32_t fanout;
};

struct admission_settings {
	uint32_t slots; /* concurrent requests of a warm upstream */
	uint32_t connections;
	uint32_t cold_limit; /* concurrent requests of a cold upstream */
	/* An upstream's cold rate is multiplied by this, and then added to. */
	uint32_t cold_burst_per_mille;
	uint32_t cold_allowance; /* requests/s */
	uint32_t queue_limit;
	uint32_t queue_wait_ms;
	uint32_t tick_ms;
	uint32_t tick_bound;   /* ticks until a call is too old to run */
	uint32_t once_entries; /* size of the at-most-once record */
};

struct route_settings {
	uint32_t policy;        /* enum choice_policy */
	uint32_t hint_fresh_ms; /* age at which a load hint is ignored */
	uint32_t retry_percent;
	/* retries for each thousand requests, of all nodes together */
	uint32_t retry_per_mille;
	uint32_t retry_window_ms; /* window over which retries are counted */
	/* retries in a window above the percentage, of all nodes together */
	uint32_t retry_allowance;
	uint32_t timeout_ms;
};

/* Limits of workspaces' requests, over all nodes. */
struct workspace_quota_settings {
	uint32_t window_ms; /* in which requests are counted */
	/* Requests of a window above the limit, of the limit and in all. */
	uint32_t overage_per_mille;
	uint32_t slack;
};

/* What all connections together may occupy. */
struct limit_settings {
	uint32_t memory_mb;   /* of the process; its connections get a part */
	uint32_t descriptors; /* of the process, as far as its own limit goes */
	uint32_t unread_ms;   /* for which a peer reads nothing */
	uint32_t operator_idle_ms; /* for which an operator asks nothing */
};

struct log_settings {
	uint32_t level; /* enum log_threshold */
	uint32_t event_entries;
	uint32_t lines_per_s; /* limit on structured log lines about requests */
};

/* Settings of one process; all are parsed and validated before any is used. */
struct settings {
	struct file_version file; /* that they were loaded from */
	struct node_settings node;
	struct platform_settings platform;
	struct upstream_settings upstream;
	struct dissemination_settings mesh;
	struct admission_settings guard;
	struct route_settings route;
	struct workspace_quota_settings quota;
	struct limit_settings limits;
	struct log_settings log;
};

GQuark settings_error_quark(void);
struct settings *settings_load(const char *path, GError **error);
void settings_free(struct settings *settings);

#endif
