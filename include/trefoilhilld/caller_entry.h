#ifndef TREFOILHILL_TREFOILHILLD_CALLER_ENTRY_H
#define TREFOILHILL_TREFOILHILLD_CALLER_ENTRY_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "trefoilhilld/response_error.h"
#include "trefoilhilld/call_link.h"
#include "trefoilhilld/call_table.h"
#include "trefoilhilld/data_path.h"
#include "trefoilhilld/entry_response.h"
#include "trefoilhilld/entry_request.h"

/* The HTTP server for callers. */

enum entry_counter {
	ENTRY_REQUESTS,
	ENTRY_KEEP_ALIVE_DENIED,
	ENTRY_ANSWERED,
	ENTRY_NOT_RUN,
	ENTRY_UNKNOWN,
	ENTRY_TRUNCATED,
	ENTRY_CALLER_GONE,
	ENTRY_RETRIES,
	ENTRY_FENCED,
	ENTRY_LOCAL_CALLS,
	ENTRY_REMOTE_CALLS,
	ENTRY_LATE_FRAMES,
	ENTRY_REJECTED_FRAMES,
	ENTRY_PEERS_LOST,
	ENTRY_COUNTER_COUNT,
};

/* Shared by all workers. Settings do not change after caller_entry_start. */
struct caller_entry {
	struct data_path_env env;
	char *host;
	char *listen;
	uint32_t workers;
	uint32_t default_timeout_ms;
	uint64_t incarnation;
	struct frame_sink local; /* delivers to this host's call service */
	bool has_local;
	struct call_table *table;
	struct rng **rngs; /* one per worker */
	atomic_uint next_worker;
	atomic_uint running;
	atomic_uint connections;
	atomic_bool ready;
	atomic_bool draining;
	struct counter_set counters;
	struct mg_context *server;
};

struct caller_entry *caller_entry_new(
    const struct data_path_settings *settings, const struct data_path_env *env);
void caller_entry_free(struct caller_entry *entry);
int caller_entry_start(struct caller_entry *entry, GError **error);
void caller_entry_stop(struct caller_entry *entry);

/* One request from routing to the end of its response; see entry_call.c. */
struct entry_call {
	struct caller_entry *entry;
	struct entry_request *request;
	struct entry_response *response;
	struct call_slot *slot;
	struct rng *rng;
	struct snapshot *snapshot;
	struct choice_request choice_request;
	struct timespec deadline;
	bool may_have_run;   /* an earlier attempt may have run */
	uint32_t fenced;     /* OPEN frames refused with REFUSAL_FENCED */
	uint32_t opens_sent; /* OPEN frames sent so far */
	uint32_t attempt;    /* number of upstreams tried before this one */
	uint32_t attempts_max;
};

void entry_call_run(struct entry_call *call);

/* One OPEN frame and the frames it leads to; see entry_exchange.c. */
enum exchange_status {
	EXCHANGE_DONE,   /* a response was sent, complete or truncated */
	EXCHANGE_FAILED, /* no response was started */
};

/* Filled in for EXCHANGE_FAILED. */
struct exchange_result {
	struct response_error error;
	enum attempt_result attempt_result;
	bool has_hint;
	struct guard_hint hint; /* the guard's most recent hint */
};

enum exchange_status entry_exchange_run(struct entry_call *call,
    const struct choice *choice, struct exchange_result *result);

#endif
