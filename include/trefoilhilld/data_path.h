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
 * The path of a caller's request through one node: the entry that callers
 * reach over HTTP, and the call service in front of this host's upstream.
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
	struct str caller_listen;      /* IP:PORT */
	uint32_t entry_workers;        /* calls at once at this entry */
	uint32_t default_timeout_ms;   /* when the service says nothing */
	struct str upstream_name;      /* empty: no upstream on this host */
	struct str upstream_address;   /* IP:PORT */
	uint32_t upstream_connections; /* kept and opened, at most */
	uint32_t tick_ms;              /* of the guard */
	uint64_t incarnation;          /* of this process, not 0 */
};

/* All borrowed; they outlive the data path. */
struct data_path_env {
	struct clock *clock;
	struct transport *transport; /* not yet started */
	struct live_config *live;
	struct guard *guard; /* NULL without an upstream on this host */
	struct chooser *chooser;
	struct retry_budget *retries;
	struct event_log *events; /* may be NULL */
};

GQuark data_path_error_quark(void);
/* Takes over the transport's FRAME_CALL; call before transport_start. */
struct data_path *data_path_new(const struct data_path_settings *settings,
    const struct data_path_env *env, GError **error);
int data_path_start(struct data_path *path, GError **error);
/* Until ready, callers are refused as not run. Takes no lock. */
void data_path_set_ready(struct data_path *path, bool ready);
/* Host and zone in service, by the snapshot in force. Takes no lock. */
void data_path_set_in_service(struct data_path *path, bool in_service);
/* Refuse new work, let running calls end. Takes no lock. */
void data_path_drain(struct data_path *path);
bool data_path_is_idle(struct data_path *path);
/* Call before transport_stop; calls still open are cut. */
void data_path_stop(struct data_path *path);
void data_path_free(struct data_path *path);

/* What the guard says of itself; false without an upstream. */
bool data_path_hint(struct data_path *path, struct guard_hint *hint);
const struct counter_set *data_path_entry_counters(
    const struct data_path *path);
const struct counter_set *data_path_service_counters(
    const struct data_path *path);

#endif
