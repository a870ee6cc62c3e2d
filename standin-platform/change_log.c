#include <inttypes.h>
#include <string.h>

#include "standin-platform/change_log.h"

/* A record as written or removed by one publication. */
struct record_version {
	uint64_t revision;
	json_t *record; /* NULL: removed */
};

static void
release_version(gpointer data)
{
	json_decref(((struct record_version *)data)->record);
}

static void
free_versions(gpointer data)
{
	g_array_unref(data);
}

static void
free_publication(gpointer data)
{
	g_string_free(data, TRUE);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

/*
 * Return an empty log at revision 0 that retains every publication; the caller
 * frees it with change_log_free.
 */
struct change_log *
change_log_new(void)
{
	struct change_log *log = g_new0(struct change_log, 1);

	log->oldest = 1;
	g_queue_init(&log->publications);
	log->records =
	    g_tree_new_full(compare_keys, NULL, g_free, free_versions);
	return log;
}

/*
 * Free a log. NULL is allowed.
 */
void
change_log_free(struct change_log *log)
{
	if (log == NULL)
		return;
	g_queue_clear_full(&log->publications, free_publication);
	g_tree_destroy(log->records);
	g_free(log);
}

/* Drop versions that no readable revision includes. */
static void
prune_versions(const struct change_log *log, GArray *versions)
{
	guint obsolete = 0;

	while (obsolete + 1 < versions->len &&
	    g_array_index(versions, struct record_version, obsolete + 1)
		    .revision < log->oldest)
		obsolete++;
	if (obsolete > 0)
		g_array_remove_range(versions, 0, obsolete);
}

/* Append a version of a record; ignores one without kind or name. */
static void
add_record_version(struct change_log *log, json_t *record, bool removed)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	const char *name = json_string_value(json_object_get(record, "name"));
	struct record_version version = {
		.revision = log->head,
		.record = removed ? NULL : json_incref(record),
	};
	GArray *versions;
	char *key;

	if (kind == NULL || name == NULL) {
		json_decref(version.record);
		return;
	}
	key = g_strdup_printf("%s/%s", kind, name);
	versions = g_tree_lookup(log->records, key);
	if (versions == NULL) {
		versions =
		    g_array_new(FALSE, FALSE, sizeof(struct record_version));
		g_array_set_clear_func(versions, release_version);
		g_tree_insert(log->records, key, versions);
	} else {
		g_free(key);
	}
	g_array_append_val(versions, version);
	prune_versions(log, versions);
}

static void
compact(struct change_log *log)
{
	while (log->limit > 0 &&
	    g_queue_get_length(&log->publications) > log->limit) {
		free_publication(g_queue_pop_head(&log->publications));
		log->oldest++;
	}
}

/*
 * Append a publication of records to set and to remove, either of which may
 * be NULL, and return its revision. Nothing is validated.
 */
uint64_t
change_log_append(struct change_log *log, json_t *set, json_t *remove)
{
	json_t *publication =
	    json_pack("{s:I,s:o,s:o}", "revision", (json_int_t)++log->head,
		"set", set == NULL ? json_array() : json_incref(set), "remove",
		remove == NULL ? json_array() : json_incref(remove));
	char *text = json_dumps(publication, JSON_COMPACT);
	size_t i;

	g_queue_push_tail(&log->publications, g_string_new(text));
	free(text);
	for (i = 0; i < json_array_size(set); i++)
		add_record_version(log, json_array_get(set, i), false);
	for (i = 0; i < json_array_size(remove); i++)
		add_record_version(log, json_array_get(remove, i), true);
	json_decref(publication);
	compact(log);
	return log->head;
}

/*
 * Retain only the last limit publications, or all if limit is 0.
 */
void
change_log_set_limit(struct change_log *log, uint64_t limit)
{
	log->limit = limit;
	compact(log);
}

/*
 * Return the response body with the publications after a revision, up to the
 * visible one, or NULL if they are no longer retained. Free it with g_free.
 */
char *
change_log_changes(
    const struct change_log *log, uint64_t after, uint64_t visible, size_t *len)
{
	uint64_t revision = log->oldest;
	GString *out;

	if (after + 1 < log->oldest && after < log->head)
		return NULL;
	out = g_string_new(NULL);
	g_string_append_printf(
	    out, "{\"revision\":%" PRIu64 ",\"changes\":[", visible);
	for (GList *link = log->publications.head; link != NULL;
	     link = link->next, revision++) {
		const GString *text = link->data;
		bool first = revision == after + 1;

		if (revision <= after)
			continue;
		if (revision > visible ||
		    (!first && out->len + text->len > CHANGES_BYTES_MAX))
			break;
		if (!first)
			g_string_append_c(out, ',');
		g_string_append_len(out, text->str, (gssize)text->len);
	}
	g_string_append(out, "]}");
	*len = out->len;
	return g_string_free(out, FALSE);
}

/* Return the version of a record as of a revision, or NULL. */
static const struct record_version *
find_version_at(const GArray *versions, uint64_t at)
{
	for (guint i = versions->len; i > 0; i--) {
		const struct record_version *version =
		    &g_array_index(versions, struct record_version, i - 1);

		if (version->revision <= at)
			return version->record == NULL ? NULL : version;
	}
	return NULL;
}

/*
 * Return a page of at most limit records in key order after a key, as of a
 * revision, or NULL if that revision is not readable.
 */
json_t *
change_log_records(
    const struct change_log *log, const char *after, size_t limit, uint64_t at)
{
	GTreeNode *node = g_tree_upper_bound(log->records, after);
	json_t *records;
	const char *last = NULL;
	bool more = false;

	if (at > log->head || (at + 1 < log->oldest && at < log->head))
		return NULL;
	records = json_array();
	for (; node != NULL; node = g_tree_node_next(node)) {
		const struct record_version *version =
		    find_version_at(g_tree_node_value(node), at);

		if (version == NULL)
			continue;
		more = json_array_size(records) >= limit;
		if (more)
			break;
		last = g_tree_node_key(node);
		json_array_append_new(records,
		    json_pack("{s:I,s:O}", "revision",
			(json_int_t)version->revision, "record",
			version->record));
	}
	return json_pack("{s:I,s:o,s:s?}", "revision", (json_int_t)at,
	    "records", records, "next", more ? last : NULL);
}
