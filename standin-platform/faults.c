#include "standin-platform/faults.h"

enum {
	DELAY_MS_MAX = 600000,
};

/*
 * Initialize without faults.
 */
void
faults_init(struct faults *faults)
{
	*faults = (struct faults){ 0 };
	faults->cut =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/*
 * Free the members of faults.
 */
void
faults_clear(struct faults *faults)
{
	g_hash_table_destroy(faults->cut);
}

static bool
is_number_or_missing(json_t *value, json_int_t max)
{
	return value == NULL ||
	    (json_is_integer(value) && json_integer_value(value) >= 0 &&
		json_integer_value(value) <= max);
}

static bool
is_valid_change(json_t *change)
{
	json_t *down = json_object_get(change, "down");
	json_t *cut = json_object_get(change, "cut");

	if ((down != NULL && !json_is_boolean(down)) ||
	    (cut != NULL && !json_is_array(cut)) ||
	    !is_number_or_missing(
		json_object_get(change, "stale_at"), G_MAXINT64) ||
	    !is_number_or_missing(
		json_object_get(change, "delay_ms"), DELAY_MS_MAX) ||
	    !is_number_or_missing(
		json_object_get(change, "log_limit"), G_MAXINT64))
		return false;
	for (size_t i = 0; i < json_array_size(cut); i++) {
		if (!json_is_string(json_array_get(cut, i)))
			return false;
	}
	return true;
}

/*
 * Apply the members present in change and keep the others. Return false, and
 * change nothing, if one has the wrong type.
 */
bool
faults_update(struct faults *faults, json_t *change)
{
	json_t *cut = json_object_get(change, "cut");
	json_t *value;

	if (!is_valid_change(change))
		return false;
	if ((value = json_object_get(change, "down")) != NULL)
		faults->down = json_is_true(value);
	if ((value = json_object_get(change, "stale_at")) != NULL)
		faults->stale_at = (uint64_t)json_integer_value(value);
	if ((value = json_object_get(change, "delay_ms")) != NULL)
		faults->delay_ms = (uint32_t)json_integer_value(value);
	if ((value = json_object_get(change, "log_limit")) != NULL)
		faults->log_limit = (uint64_t)json_integer_value(value);
	if (cut != NULL)
		g_hash_table_remove_all(faults->cut);
	for (size_t i = 0; i < json_array_size(cut); i++)
		g_hash_table_add(faults->cut,
		    g_strdup(json_string_value(json_array_get(cut, i))));
	return true;
}

/*
 * Return whether the platform is unreachable for a node.
 */
bool
faults_is_unreachable(const struct faults *faults, const char *node)
{
	return faults->down || g_hash_table_contains(faults->cut, node);
}
