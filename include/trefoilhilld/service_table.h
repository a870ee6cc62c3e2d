#ifndef TREFOILHILL_TREFOILHILLD_SERVICE_TABLE_H
#define TREFOILHILL_TREFOILHILLD_SERVICE_TABLE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"
#include "trefoilhilld/service_call.h"

/*
 * The calls that are at a guard, by their entry's number and by the guard's
 * ticket. Safe from several threads; what it returns is a reference.
 */
struct service_table {
	pthread_mutex_t lock; /* the gate may be entered inside of it */
	GHashTable *calls;    /* struct service_call_key to call, a reference */
	GHashTable *tickets;  /* ticket to call, borrowed */
};

/* Asks the guard about a call and sets its ticket; under the table's lock. */
struct admission_callback {
	enum guard_decision (*admit)(void *arg, struct service_call *call);
	void *arg;
};

void service_table_init(struct service_table *table);
void service_table_release(struct service_table *table);
enum guard_decision service_table_admit(struct service_table *table,
    struct service_call *call, const struct admission_callback *admission,
    bool *is_duplicate);
struct service_call *service_table_find(
    struct service_table *table, const struct service_call_key *key);
struct service_call *service_table_find_ticket(
    struct service_table *table, uint64_t ticket);
void service_table_remove(
    struct service_table *table, struct service_call *call);
/* A new array of references to calls whose entry is silent; below 0: all. */
GPtrArray *service_table_list_silent(
    struct service_table *table, int64_t lost_ms);
bool service_table_is_empty(struct service_table *table);

#endif
