#ifndef TREFOILHILL_CONFIG_ERROR_H
#define TREFOILHILL_CONFIG_ERROR_H

#include <glib.h>

#define CONFIG_ERROR (config_error_quark())

enum config_error {
	CONFIG_ERROR_SYNTAX,
	CONFIG_ERROR_SCHEMA,
	CONFIG_ERROR_KIND,
	CONFIG_ERROR_NAME,
	CONFIG_ERROR_FIELD,
	CONFIG_ERROR_REFERENCE,
	CONFIG_ERROR_TOO_LARGE,
	CONFIG_ERROR_ORDER,
};

GQuark config_error_quark(void);
const char *config_error_name(enum config_error code);

#endif
