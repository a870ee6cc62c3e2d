#ifndef TREFOILHILL_PLATFORM_CONFIG_CODEC_PRIVATE_H
#define TREFOILHILL_PLATFORM_CONFIG_CODEC_PRIVATE_H

#include <jansson.h>

#include "platform/codec.h"
#include "platform/json_scanner.h"

/* Private to the decoder of configurations. */

/* Whether a configuration has the table of workspaces, maybe an empty one. */
bool config_names_workspaces(const json_t *root);
/*
 * Add a configuration's workspaces and their keys, if it has any. Errors name
 * the place and never contain a key.
 */
bool config_read_workspaces(
    const json_t *root, struct mesh_config *config, GError **error);
/* Separate the text of the routes from the other members. */
bool config_split_routes(
    struct str text, struct str *routes, GString *rest, GError **error);
/*
 * Read version, limits, services and workspaces, which rest has as an object;
 * text is the whole configuration.
 */
bool config_read_rest(struct str text, const GString *rest,
    struct mesh_config *config, GError **error);

/* Reads the text of the routes, a table or a list, one route at a time. */
struct route_reader {
	struct json_scanner scanner;
	bool is_list;
	size_t index; /* of the next route */
};

/* False with error set if the text is neither. The text is borrowed. */
bool config_begin_routes(
    struct route_reader *reader, struct str text, GError **error);
/*
 * Add the next route, shared with last if its text is unchanged. False at the
 * end, and with error set if the route or the text is invalid.
 */
bool config_next_route(struct route_reader *reader,
    const struct mesh_config *last, struct mesh_config *config, GError **error);
/* Set the error of a route that has no known service. */
void config_set_service_error(const struct mesh_config *config, GError **error);

#endif
