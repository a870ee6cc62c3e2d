#ifndef TREFOILHILL_TREFOILHILLD_DATA_PATH_H
#define TREFOILHILL_TREFOILHILLD_DATA_PATH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/event.h"
#include "common/str.h"
#include "config/live.h"
#include "guard/guard.h"
#include "route/choice.h"
#include "route/retry.h"
#include "trefoilhilld/locked_guard.h"
#include "wire/transport.h"

/*
 * The path of a caller's request through a node: the entry, which callers reach
 * over HTTP, and the call service in front of this host's upstream.
 */
struct data_path;

#define DATA_PATH_ERROR (data_path_error_quark())

enum data_path_error {
	DATA_PATH_ERROR_LISTEN,
	DATA_PATH_ERROR_THREAD,
	DATA_PATH_ERROR_SETTINGS,
};

/* Strings are copied. */
struct data_path_settings {
	struct str host;
	struct str zone;
	struct str caller_listen; /* IP:PORT */
	uint32_t entry_workers; /* maximum of concurrent calls at this entry */
	uint32_t default_timeout_ms;   /* for services without a timeout */
	struct str upstream_name;      /* empty: no upstream on this host */
	struct str upstream_address;   /* IP:PORT */
	uint32_t upstream_connections; /* maximum of concurrent connections */
	uint32_t tick_ms;              /* interval of guard ticks */
	uint64_t incarnation;          /* of this process; not 0 */
};

/* All pointers are borrowed and must outlive the data path. */
struct data_path_env {
	struct clock *clock;
	struct transport *transport; /* must not be started yet */
	struct live_config *live_config;
	struct guard *guard; /* NULL without an upstream on this host */
	struct chooser *chooser;
	struct retry_budget *retry_budget;
	struct event_log *events; /* may be NULL */
};

GQuark data_path_error_quark(void);
/*
 * Registers the transport's handlers for FRAME_CALL; call before
 * transport_start.
 */
struct data_path *data_path_new(const struct data_path_settings *settings,
    const struct data_path_env *env, GError **error);
int data_path_start(struct data_path *path, GError **error);
/* While not ready, the node refuses calls as not run. Lock-free. */
void data_path_set_ready(struct data_path *path, bool ready);
/*
 * Set whether host and zone are in service in the current snapshot. Lock-free.
 */
void data_path_set_in_service(struct data_path *path, bool in_service);
/* Refuse new calls and let running calls finish. Lock-free. */
void data_path_drain(struct data_path *path);
bool data_path_is_idle(struct data_path *path);
/* Call before transport_stop. Open calls are aborted. */
void data_path_stop(struct data_path *path);
void data_path_free(struct data_path *path);

/* Get the guard's current hint. Returns false without an upstream. */
bool data_path_hint(struct data_path *path, struct guard_hint *hint);
const struct counter_set *data_path_entry_counters(
    const struct data_path *path);
const struct counter_set *data_path_service_counters(
    const struct data_path *path);

#endif
