#include <string.h>

#include "common/json_parse.h"
#include "platform/codec.h"
#include "trefoilhill-config-check/check.h"

/* Split a decoder's error into the place and the rest. */
static void
add_error(const char *check, const char *prefix, const char *message,
    struct finding_list *findings)
{
	const char *text = g_strrstr(message, ": ");
	size_t place_len = text == NULL ? 0 : (size_t)(text - message);

	finding_list_add(findings, FINDING_ERROR, check,
	    text == NULL
		? g_strconcat(prefix, "configuration", NULL)
		: g_strdup_printf("%s%.*s", prefix, (int)place_len, message),
	    g_strdup(text == NULL ? message : text + 2));
}

static struct mesh_config *
decode(struct str text, const char *check, const char *prefix,
    struct finding_list *findings)
{
	GError *error = NULL;
	struct mesh_config *config =
	    platform_decode_config(text.ptr, text.len, NULL, &error);

	if (config == NULL)
		add_error(check, prefix,
		    error == NULL ? "not valid" : error->message, findings);
	g_clear_error(&error);
	return config;
}

/*
 * Find the first member that an object of a valid text has twice. The decoder
 * takes the last one, unless it refuses such text. The reason that jansson
 * gives is left out, as it quotes the text, which has keys.
 */
static void
check_members(struct str text, struct finding_list *findings)
{
	json_error_t cause = { .line = 0 };
	json_t *root = json_parse(text, JSON_REJECT_DUPLICATES, &cause);

	if (root == NULL && json_error_code(&cause) == json_error_duplicate_key)
		finding_list_add(findings, FINDING_WARNING, "member_twice",
		    g_strdup_printf(
			"line %d column %d", cause.line, cause.column),
		    g_strdup("an object has this member twice, so that only "
			     "the last one is used"));
	json_decref(root);
}

/*
 * Check the text of a configuration, see check.h.
 */
void
config_check_texts(
    struct str text, const struct str *in_force, struct finding_list *findings)
{
	struct mesh_config *after = decode(text, "invalid", "", findings);
	struct mesh_config *before = in_force == NULL
	    ? NULL
	    : decode(*in_force, "in_force_invalid",
		  "version in force: ", findings);

	if (after != NULL) {
		check_members(text, findings);
		config_check_entries(after, findings);
	}
	if (after != NULL && before != NULL) {
		config_compare(before, after, findings);
		config_compare_workspaces(before, after, findings);
	}
	mesh_config_unref(after);
	mesh_config_unref(before);
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

/*
 * Return the names of a table in order, so that findings of one file always
 * come in the same order.
 */
GList *
config_sort_names(GHashTable *table)
{
	return g_list_sort(g_hash_table_get_keys(table), compare_names);
}
