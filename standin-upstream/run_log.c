#include "standin-upstream/run_log.h"

/*
 * Return an empty log of at most capacity request ids; the caller frees it
 * with run_log_free.
 */
struct run_log *
run_log_new(size_t capacity)
{
	struct run_log *log = g_new0(struct run_log, 1);

	pthread_mutex_init(&log->lock, NULL);
	log->counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&log->order);
	log->capacity = MAX(capacity, 1);
	return log;
}

/*
 * Free a log. NULL is allowed.
 */
void
run_log_free(struct run_log *log)
{
	if (log == NULL)
		return;
	g_queue_clear(&log->order);
	g_hash_table_destroy(log->counts);
	pthread_mutex_destroy(&log->lock);
	g_free(log);
}

/*
 * Count one run of a request; safe from any thread.
 */
void
run_log_add(struct run_log *log, struct str request)
{
	char *id = str_dup_cstr(request);
	guint count;

	pthread_mutex_lock(&log->lock);
	count = GPOINTER_TO_UINT(g_hash_table_lookup(log->counts, id));
	if (count == 0) {
		if (g_queue_get_length(&log->order) >= log->capacity)
			g_hash_table_remove(
			    log->counts, g_queue_pop_head(&log->order));
		g_queue_push_tail(&log->order, id);
	}
	/* For a known id the table frees the new copy and keeps its own. */
	g_hash_table_insert(log->counts, id, GUINT_TO_POINTER(count + 1));
	pthread_mutex_unlock(&log->lock);
}

/*
 * Return {"runs":{REQUEST:COUNT,...}}.
 */
json_t *
run_log_to_json(struct run_log *log)
{
	json_t *runs = json_object();
	GHashTableIter iter;
	gpointer id, count;

	pthread_mutex_lock(&log->lock);
	g_hash_table_iter_init(&iter, log->counts);
	while (g_hash_table_iter_next(&iter, &id, &count))
		json_object_set_new(
		    runs, id, json_integer(GPOINTER_TO_UINT(count)));
	pthread_mutex_unlock(&log->lock);
	return json_pack("{s:o}", "runs", runs);
}
