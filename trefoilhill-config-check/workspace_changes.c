#include <string.h>

#include "trefoilhill-config-check/check.h"
#include "trefoilhill-config-check/compare.h"

static char *
workspace_format_priority(const void *entry)
{
	const struct workspace *workspace = entry;

	return workspace->has_priority
	    ? g_strdup_printf("%u", workspace->priority)
	    : g_strdup("of the route");
}

static char *
workspace_format_rate(const void *entry)
{
	const struct workspace *workspace = entry;

	return workspace->rate_per_s > 0
	    ? g_strdup_printf("%.10g", workspace->rate_per_s)
	    : g_strdup("unlimited");
}

static char *
workspace_format_burst(const void *entry)
{
	return g_strdup_printf(
	    "%.10g", ((const struct workspace *)entry)->burst);
}

static const char *
workspace_risk_rate(const void *before, const void *after)
{
	const struct workspace *from = before, *to = after;
	bool is_lowered = to->rate_per_s > 0 &&
	    (from->rate_per_s <= 0 || to->rate_per_s < from->rate_per_s);

	return is_lowered ? "the quota is lowered" : NULL;
}

/* A burst has no effect without a rate. */
static const char *
workspace_risk_burst(const void *before, const void *after)
{
	const struct workspace *from = before, *to = after;
	bool is_lowered = from->rate_per_s > 0 && to->rate_per_s > 0 &&
	    to->burst < from->burst;

	return is_lowered ? "the quota is lowered" : NULL;
}

static const struct compared_field workspace_fields[] = {
	{ "priority", workspace_format_priority, NULL },
	{ "ratePerS", workspace_format_rate, workspace_risk_rate },
	{ "burst", workspace_format_burst, workspace_risk_burst },
	{ NULL, NULL, NULL },
};

/* Removal of a workspace is a risk for the keys only, which are reported. */
static const struct compared_kind workspace_kind = {
	.place = "tenants ",
	.added = "workspace_added",
	.removed = "workspace_removed",
	.changed = "workspace_changed",
	.risky = "quota_lowered",
	.fields = workspace_fields,
};

/* A key that is not in the same workspace of both configurations. */
struct key_change {
	char digest[KEY_DIGEST_TEXT_MAX];
	const struct workspace *before, *after; /* NULL: none */
};

struct key_comparison {
	const struct mesh_config *before, *after;
	GArray *changes; /* struct key_change */
};

static void
add_key_change(struct key_comparison *comparison, struct str key,
    const struct workspace *before, const struct workspace *after)
{
	struct key_change change = { .before = before, .after = after };

	key_digest_format(key, change.digest);
	g_array_append_val(comparison->changes, change);
}

static void
visit_old_key(void *arg, struct str key, const struct workspace *workspace)
{
	struct key_comparison *comparison = arg;
	const struct workspace *after =
	    mesh_config_find_key(comparison->after, key);

	if (after == NULL || strcmp(after->name, workspace->name) != 0)
		add_key_change(comparison, key, workspace, after);
}

static void
visit_new_key(void *arg, struct str key, const struct workspace *workspace)
{
	struct key_comparison *comparison = arg;

	if (mesh_config_find_key(comparison->before, key) == NULL)
		add_key_change(comparison, key, NULL, workspace);
}

/* The workspace that the finding is about: the one that lost the key, if any.
 */
static const char *
key_change_name(const struct key_change *change)
{
	return change->before != NULL ? change->before->name
				      : change->after->name;
}

static int
compare_key_changes(const void *a, const void *b)
{
	const struct key_change *left = a, *right = b;
	int order = strcmp(key_change_name(left), key_change_name(right));

	return order != 0 ? order : strcmp(left->digest, right->digest);
}

/* Removal is a risk only if keys are still needed. */
static void
add_key_finding(const struct key_change *change, bool keys_are_required,
    struct finding_list *findings)
{
	char *place = g_strconcat("tenants ", key_change_name(change), NULL);

	if (change->before == NULL) {
		finding_list_add(findings, FINDING_CHANGE, "key_added", place,
		    g_strdup_printf("key %s added", change->digest));
		return;
	}
	if (change->after != NULL) {
		finding_list_add(findings, FINDING_CHANGE, "key_moved", place,
		    g_strdup_printf("key %s moved to %s", change->digest,
			change->after->name));
		return;
	}
	if (keys_are_required)
		finding_list_add(findings, FINDING_WARNING, "key_removed",
		    g_strdup(place),
		    g_strdup_printf("key %s removed: its callers are refused",
			change->digest));
	finding_list_add(findings, FINDING_CHANGE, "key_removed", place,
	    g_strdup_printf("key %s removed", change->digest));
}

static void
compare_keys(const struct mesh_config *before, const struct mesh_config *after,
    struct finding_list *findings)
{
	struct key_comparison comparison = {
		.before = before,
		.after = after,
		.changes = g_array_new(FALSE, FALSE, sizeof(struct key_change)),
	};

	key_table_visit(before->keys, visit_old_key, &comparison);
	key_table_visit(after->keys, visit_new_key, &comparison);
	g_array_sort(comparison.changes, compare_key_changes);
	for (guint i = 0; i < comparison.changes->len; i++)
		add_key_finding(
		    &g_array_index(comparison.changes, struct key_change, i),
		    after->has_workspaces, findings);
	g_array_free(comparison.changes, TRUE);
}

/* Is the table of workspaces new, or gone? */
static void
compare_presence(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings)
{
	const char *check =
	    after->has_workspaces ? "keys_required" : "keys_not_required";
	const char *verb = after->has_workspaces ? "added" : "removed";
	const char *risk = after->has_workspaces
	    ? "callers of routes that are not public need a key"
	    : "no route needs a key any more";

	if (before->has_workspaces == after->has_workspaces)
		return;
	finding_list_add(findings, FINDING_CHANGE, check, g_strdup("tenants"),
	    g_strdup(verb));
	finding_list_add(findings, FINDING_WARNING, check, g_strdup("tenants"),
	    g_strdup_printf("%s: %s", verb, risk));
}

/*
 * Find what is different in workspaces and their keys. Keys are compared
 * themselves and reported by their digests.
 */
void
config_compare_workspaces(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings)
{
	compare_presence(before, after, findings);
	table_compare(
	    &workspace_kind, before->workspaces, after->workspaces, findings);
	compare_keys(before, after, findings);
}
