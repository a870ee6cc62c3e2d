#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "common/json_parse.h"
#include "config/error.h"
#include "config/publication.h"

enum {
	LIST_BYTES_MAX = 8 * 1024 * 1024,
};

/*
 * Return a publication with one reference; takes ownership of the bytes.
 */
struct publication *
publication_new(uint64_t version, GBytes *json)
{
	struct publication *publication = g_new0(struct publication, 1);

	publication->refs = 1;
	publication->version = version;
	publication->json = json;
	return publication;
}

/*
 * Add a reference; safe from any thread that holds one.
 */
struct publication *
publication_ref(struct publication *publication)
{
	g_atomic_int_inc(&publication->refs);
	return publication;
}

/*
 * Drop one reference and free the publication with the last one.
 */
void
publication_unref(struct publication *publication)
{
	if (!g_atomic_int_dec_and_test(&publication->refs))
		return;
	g_bytes_unref(publication->json);
	g_free(publication);
}

static struct publication *
publication_from_json(const json_t *json, GError **error)
{
	const json_t *revision = json_object_get(json, "revision");
	char *text;

	if (!json_is_integer(revision) || json_integer_value(revision) <= 0) {
		g_set_error_literal(error, CONFIG_ERROR, CONFIG_ERROR_FIELD,
		    "a publication needs a positive revision");
		return NULL;
	}
	text = json_dumps(json, JSON_COMPACT);
	return publication_new((uint64_t)json_integer_value(revision),
	    g_bytes_new_with_free_func(text, strlen(text), free, text));
}

/*
 * Append all publications, whose revisions must be in ascending order. Return
 * false and set a CONFIG_ERROR otherwise.
 */
static bool
append_publications(GPtrArray *list, const json_t *changes, GError **error)
{
	uint64_t previous = 0;
	const json_t *json;
	size_t i;

	json_array_foreach (changes, i, json) {
		struct publication *publication =
		    publication_from_json(json, error);

		if (publication == NULL)
			return false;
		g_ptr_array_add(list, publication);
		if (publication->version <= previous) {
			g_set_error_literal(error, CONFIG_ERROR,
			    CONFIG_ERROR_ORDER,
			    "revisions are not in ascending order");
			return false;
		}
		previous = publication->version;
	}
	return true;
}

/*
 * Parse the platform's response to /v1/changes. Only the envelope is validated
 * here: the content of a publication is left to snapshot_apply, so that an
 * invalid one does not hide the valid ones next to it. For the same reason a
 * duplicate key in a publication is no error here: the last one wins, as in
 * most JSON parsers, and does so on every node. Return NULL and set a
 * CONFIG_ERROR on failure.
 */
GPtrArray *
publication_list_parse(
    const char *json, size_t len, uint64_t *head, GError **error)
{
	GPtrArray *list = NULL;
	json_t *root = NULL;
	json_error_t json_error;
	json_t *revision;
	json_t *changes;

	if (len > LIST_BYTES_MAX) {
		g_set_error_literal(error, CONFIG_ERROR, CONFIG_ERROR_TOO_LARGE,
		    "the list of changes is too large");
		return NULL;
	}
	root = json_parse(str_make(json, len), 0, &json_error);
	if (root == NULL) {
		g_set_error(error, CONFIG_ERROR, CONFIG_ERROR_SYNTAX,
		    "byte %d: %s", json_error.position, json_error.text);
		return NULL;
	}
	revision = json_object_get(root, "revision");
	changes = json_object_get(root, "changes");
	if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
	    !json_is_array(changes)) {
		g_set_error_literal(error, CONFIG_ERROR, CONFIG_ERROR_FIELD,
		    "a list of changes needs revision and changes");
		goto out;
	}
	list =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	if (!append_publications(list, changes, error)) {
		g_ptr_array_unref(list);
		list = NULL;
		goto out;
	}
	*head = (uint64_t)json_integer_value(revision);
out:
	json_decref(root);
	return list;
}
