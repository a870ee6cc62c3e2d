#include "config/error.h"

static const char *const error_names[] = {
	[CONFIG_ERROR_SYNTAX] = "syntax",
	[CONFIG_ERROR_SCHEMA] = "schema",
	[CONFIG_ERROR_KIND] = "kind",
	[CONFIG_ERROR_NAME] = "name",
	[CONFIG_ERROR_FIELD] = "field",
	[CONFIG_ERROR_REFERENCE] = "reference",
	[CONFIG_ERROR_TOO_LARGE] = "too_large",
	[CONFIG_ERROR_ORDER] = "order",
};

G_DEFINE_QUARK(trefoilhill - config - error, config_error)

/*
 * Return the name of an error code as operators and counters see it.
 */
const char *
config_error_name(enum config_error code)
{
	return (size_t)code < G_N_ELEMENTS(error_names) ? error_names[code]
							: "unknown";
}
