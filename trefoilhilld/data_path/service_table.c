#include "trefoilhilld/service_table.h"

static void
unref_call(void *call)
{
	service_call_unref(call);
}

/*
 * Initialize an empty table.
 */
void
service_table_init(struct service_table *table)
{
	table->calls = g_hash_table_new_full(
	    service_call_key_hash, service_call_key_equal, NULL, unref_call);
	table->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	pthread_mutex_init(&table->lock, NULL);
}

/*
 * Drop the table's references. No other thread may still use the table.
 */
void
service_table_release(struct service_table *table)
{
	g_hash_table_destroy(table->tickets);
	g_hash_table_destroy(table->calls);
	pthread_mutex_destroy(&table->lock);
}

/*
 * Insert a new call and ask for its admission in one step, so that the guard
 * cannot dequeue it before it is in the table. If the table already has the
 * call, the frame is a duplicate: *is_duplicate is set and the guard is not
 * asked.
 */
enum guard_decision
service_table_admit(struct service_table *table, struct service_call *call,
    const struct admission_callback *admission, bool *is_duplicate)
{
	enum guard_decision decision = GUARD_REFUSE;

	pthread_mutex_lock(&table->lock);
	*is_duplicate = g_hash_table_contains(table->calls, &call->key);
	if (!*is_duplicate)
		decision = admission->admit(admission->arg, call);
	if (decision != GUARD_REFUSE) {
		g_hash_table_insert(
		    table->calls, &call->key, service_call_ref(call));
		g_hash_table_insert(table->tickets, &call->ticket, call);
	}
	pthread_mutex_unlock(&table->lock);
	return decision;
}

static struct service_call *
find_call(struct service_table *table, GHashTable *index, const void *key)
{
	struct service_call *call;

	pthread_mutex_lock(&table->lock);
	call = g_hash_table_lookup(index, key);
	if (call != NULL)
		service_call_ref(call);
	pthread_mutex_unlock(&table->lock);
	return call;
}

/*
 * Return a call by its entry and call number, or NULL.
 */
struct service_call *
service_table_find(
    struct service_table *table, const struct service_call_key *key)
{
	return find_call(table, table->calls, key);
}

/*
 * Return a call by the guard's ticket, or NULL.
 */
struct service_call *
service_table_find_ticket(struct service_table *table, uint64_t ticket)
{
	return find_call(table, table->tickets, &ticket);
}

/*
 * Remove a call. The caller's own reference keeps it alive.
 */
void
service_table_remove(struct service_table *table, struct service_call *call)
{
	pthread_mutex_lock(&table->lock);
	if (g_hash_table_lookup(table->calls, &call->key) == call) {
		g_hash_table_remove(table->tickets, &call->ticket);
		g_hash_table_remove(table->calls, &call->key);
	}
	pthread_mutex_unlock(&table->lock);
}

/*
 * See include/trefoilhilld/service_table.h.
 */
GPtrArray *
service_table_list_silent(struct service_table *table, int64_t lost_ms)
{
	GPtrArray *silent = g_ptr_array_new_with_free_func(unref_call);
	GHashTableIter iter;
	void *value;

	pthread_mutex_lock(&table->lock);
	g_hash_table_iter_init(&iter, table->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (lost_ms < 0 || service_call_is_silent(value, lost_ms))
			g_ptr_array_add(silent, service_call_ref(value));
	pthread_mutex_unlock(&table->lock);
	return silent;
}

/*
 * Tell whether the table has no calls.
 */
bool
service_table_is_empty(struct service_table *table)
{
	bool empty;

	pthread_mutex_lock(&table->lock);
	empty = g_hash_table_size(table->calls) == 0;
	pthread_mutex_unlock(&table->lock);
	return empty;
}
