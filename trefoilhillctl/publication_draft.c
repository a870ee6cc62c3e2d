#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json_parse.h"
#include "config/change.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/publication_draft.h"

/*
 * Initialises an empty publication.
 */
void
publication_draft_init(struct publication_draft *draft)
{
	*draft = (struct publication_draft){
		.set = json_array(),
		.remove = json_array(),
		.files = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, g_free),
	};
}

/*
 * Releases the memory held by the draft.
 */
void
publication_draft_clear(struct publication_draft *draft)
{
	json_decref(draft->set);
	json_decref(draft->remove);
	g_hash_table_unref(draft->files);
	g_free(draft->single_file);
}

char *
record_key(const json_t *record)
{
	const char *kind = json_string_value(json_object_get(record, "kind"));
	const char *name = json_string_value(json_object_get(record, "name"));

	if (kind == NULL || name == NULL)
		return NULL;
	return g_strdup_printf("%s/%s", kind, name);
}

static void
add_file_of_record(
    struct publication_draft *draft, const json_t *record, const char *path)
{
	char *key = record_key(record);
	const char *known_paths;

	if (key == NULL)
		return;
	known_paths = g_hash_table_lookup(draft->files, key);
	if (known_paths == NULL)
		g_hash_table_insert(draft->files, key, g_strdup(path));
	else if (strcmp(known_paths, path) != 0)
		g_hash_table_insert(draft->files, key,
		    g_strdup_printf("%s, %s", known_paths, path));
	else
		g_free(key);
}

static bool
add_records(struct publication_draft *draft, json_t *to, const json_t *list,
    const char *path, GError **error)
{
	json_t *record;
	size_t i;

	if (list == NULL)
		return true;
	if (!json_is_array(list)) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_SCHEMA,
		    "%s: expected a list of records", path);
		return false;
	}
	json_array_foreach (list, i, record) {
		if (!json_is_object(record)) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_SCHEMA,
			    "%s: item %zu of a list is not an object", path,
			    i + 1);
			return false;
		}
		add_file_of_record(draft, record, path);
		json_array_append(to, record);
	}
	return true;
}

/*
 * Adds a publication in the format of the platform's protocol. Members other
 * than set, remove and revision are an error.
 */
static bool
add_publication(struct publication_draft *draft, const json_t *json,
    const char *path, GError **error)
{
	const char *key;
	json_t *value;

	json_object_foreach ((json_t *)json, key, value) {
		if (strcmp(key, "set") != 0 && strcmp(key, "remove") != 0 &&
		    strcmp(key, "revision") != 0) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_SCHEMA,
			    "%s: %s: a publication has only set, remove and "
			    "revision",
			    path, key);
			return false;
		}
	}
	return add_records(draft, draft->set, json_object_get(json, "set"),
		   path, error) &&
	    add_records(draft, draft->remove, json_object_get(json, "remove"),
		path, error);
}

static bool
add_document(struct publication_draft *draft, json_t *json, const char *path,
    GError **error)
{
	if (json_is_array(json))
		return add_records(draft, draft->set, json, path, error);
	if (json_object_get(json, "set") != NULL ||
	    json_object_get(json, "remove") != NULL)
		return add_publication(draft, json, path, error);
	if (json_is_object(json)) {
		add_file_of_record(draft, json, path);
		json_array_append(draft->set, json);
		return true;
	}
	g_set_error(error, CTL_ERROR, CTL_ERROR_SCHEMA,
	    "%s: expected a record, a list of records or a publication", path);
	return false;
}

/*
 * Reads a file of at most PUBLICATION_BYTES_MAX bytes. Returns NULL with error
 * set on failure.
 */
static char *
read_file(const char *path, size_t *len, GError **error)
{
	FILE *file = fopen(path, "re");
	char *text = NULL;

	if (file == NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_FILE, "%s: %s", path,
		    g_strerror(errno));
		return NULL;
	}
	text = g_malloc(PUBLICATION_BYTES_MAX + 1);
	*len = fread(text, 1, PUBLICATION_BYTES_MAX + 1, file);
	if (ferror(file) != 0) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_FILE,
		    "%s: cannot be read", path);
		g_clear_pointer(&text, g_free);
	} else if (*len > PUBLICATION_BYTES_MAX) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_TOO_LARGE,
		    "%s: larger than a publication may be (%d bytes)", path,
		    PUBLICATION_BYTES_MAX);
		g_clear_pointer(&text, g_free);
	}
	fclose(file);
	return text;
}

/*
 * Adds the records of a file that holds a record, a list of records or a
 * publication. Returns false with error set if the file cannot be read or is
 * none of these. Some of its records may have been added by then, so the caller
 * must discard the draft.
 */
bool
publication_draft_add_file(
    struct publication_draft *draft, const char *path, GError **error)
{
	size_t len = 0;
	char *text = read_file(path, &len, error);
	json_error_t parse_error;
	json_t *json;
	bool added = false;

	if (text == NULL)
		return false;
	json = json_parse(
	    str_make(text, len), JSON_REJECT_DUPLICATES, &parse_error);
	g_free(text);
	if (json == NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_SYNTAX, "%s:%d:%d: %s",
		    path, parse_error.line, parse_error.column,
		    parse_error.text);
		return false;
	}
	g_clear_pointer(&draft->single_file, g_free);
	if (draft->file_count++ == 0)
		draft->single_file = g_strdup(path);
	added = add_document(draft, json, path, error);
	json_decref(json);
	return added;
}

/*
 * Returns the publication as JSON, to be freed with free. Returns NULL with
 * error set if it exceeds PUBLICATION_BYTES_MAX.
 */
char *
publication_draft_serialize(
    const struct publication_draft *draft, GError **error)
{
	json_t *json =
	    json_pack("{s:O,s:O}", "set", draft->set, "remove", draft->remove);
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	if (strlen(text) <= PUBLICATION_BYTES_MAX)
		return text;
	g_set_error(error, CTL_ERROR, CTL_ERROR_TOO_LARGE,
	    "all files together are larger than a publication may be "
	    "(%d bytes)",
	    PUBLICATION_BYTES_MAX);
	free(text);
	return NULL;
}

const char *
publication_draft_find_file(
    const struct publication_draft *draft, const char *record)
{
	const char *path = g_hash_table_lookup(draft->files, record);

	if (path == NULL)
		path = draft->single_file;
	return path == NULL ? "-" : path;
}
