#ifndef TREFOILHILL_STANDIN_UPSTREAM_RUN_LOG_H
#define TREFOILHILL_STANDIN_UPSTREAM_RUN_LOG_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stddef.h>

#include "common/str.h"

/* Counts runs by request id; evicts the oldest id when full. */
struct run_log {
	pthread_mutex_t lock;
	GHashTable *counts; /* id -> count */
	GQueue order;       /* ids, oldest first; owned by the table */
	size_t capacity;
};

struct run_log *run_log_new(size_t capacity);
void run_log_free(struct run_log *log);
void run_log_add(struct run_log *log, struct str request);
json_t *run_log_to_json(struct run_log *log);

#endif
