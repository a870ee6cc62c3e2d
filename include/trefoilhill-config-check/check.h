#ifndef TREFOILHILL_CONFIG_CHECK_CHECK_H
#define TREFOILHILL_CONFIG_CHECK_CHECK_H

#include "common/str.h"
#include "fleet/mesh_config.h"
#include "trefoilhill-config-check/finding.h"

/*
 * Check the text of a configuration, and compare it with the text of the one
 * in force unless that is NULL. Both are decoded by the proxy's decoder.
 */
void config_check_texts(
    struct str text, const struct str *in_force, struct finding_list *findings);

/* Parts of it, which take valid configurations. */

/* Find entries without effect and limits that contradict each other. */
void config_check_entries(
    const struct mesh_config *config, struct finding_list *findings);
/* Find what is different in services, routes, limits and the version. */
void config_compare(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings);
/* Find what is different in workspaces and their keys. */
void config_compare_workspaces(const struct mesh_config *before,
    const struct mesh_config *after, struct finding_list *findings);

/* Names of a table of a configuration in order; free with g_list_free. */
GList *config_sort_names(GHashTable *table);

#endif
