#include "standin-platform/read_counts.h"

/*
 * Initialize counts to zero.
 */
void
read_counts_init(struct read_counts *counts)
{
	*counts = (struct read_counts){ 0 };
	counts->by_node =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Free the members of counts.
 */
void
read_counts_clear(struct read_counts *counts)
{
	g_hash_table_destroy(counts->by_node);
}

/*
 * Count one read by a node in a second of the wall clock. A waiting watch
 * counts as one read per second.
 */
void
read_counts_add(struct read_counts *counts, const char *node, int64_t second)
{
	size_t row = (size_t)second % READ_SECONDS_MAX;
	guint count =
	    GPOINTER_TO_UINT(g_hash_table_lookup(counts->by_node, node));

	counts->reads++;
	if (count > 0 || g_hash_table_size(counts->by_node) < READ_NODES_MAX)
		g_hash_table_insert(counts->by_node, g_strdup(node),
		    GUINT_TO_POINTER(count + 1));
	if (counts->seconds[row].second != second) {
		counts->seconds[row].second = second;
		counts->seconds[row].reads = 0;
	}
	counts->seconds[row].reads++;
}

/*
 * Return the counts as JSON, omitting seconds without a read.
 */
json_t *
read_counts_to_json(const struct read_counts *counts, int64_t now)
{
	json_t *by_node = json_object();
	json_t *seconds = json_array();
	GHashTableIter iter;
	gpointer node, count;

	g_hash_table_iter_init(&iter, counts->by_node);
	while (g_hash_table_iter_next(&iter, &node, &count))
		json_object_set_new(
		    by_node, node, json_integer(GPOINTER_TO_UINT(count)));
	for (int64_t s = now - READ_SECONDS_MAX + 1; s <= now; s++) {
		size_t row = (size_t)s % READ_SECONDS_MAX;

		if (counts->seconds[row].second != s)
			continue;
		json_array_append_new(seconds,
		    json_pack("[II]", (json_int_t)s,
			(json_int_t)counts->seconds[row].reads));
	}
	return json_pack("{s:I,s:I,s:I,s:o,s:o}", "reads",
	    (json_int_t)counts->reads, "watches", (json_int_t)counts->watches,
	    "waiting", (json_int_t)counts->waiting, "by_node", by_node,
	    "per_second", seconds);
}
