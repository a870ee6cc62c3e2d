#ifndef TREFOILHILL_TREFOILHILLD_SERVICE_TABLE_H
#define TREFOILHILL_TREFOILHILLD_SERVICE_TABLE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "guard/guard.h"
#include "trefoilhilld/service_call.h"

/*
 * The calls at a guard, indexed by entry and call number and by guard ticket.
 * Thread-safe. Lookups return a new reference.
 */
struct service_table {
	pthread_mutex_t lock; /* lock order: before the guard's mutex */
	GHashTable *calls;    /* struct service_call_key to call, owned */
	GHashTable *tickets;  /* ticket to call, borrowed */
};

/*
 * Asks the guard to admit a call and sets its ticket. Called with the table
 * locked.
 */
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
/*
 * Return a new array of references to the calls whose entry has been silent for
 * lost_ms milliseconds; a negative value returns all calls.
 */
GPtrArray *service_table_list_silent(
    struct service_table *table, int64_t lost_ms);
bool service_table_is_empty(struct service_table *table);

#endif
