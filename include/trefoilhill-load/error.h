#ifndef TREFOILHILL_LOAD_ERROR_H
#define TREFOILHILL_LOAD_ERROR_H

#include <glib.h>

#define LOAD_ERROR load_error_quark()

enum load_error {
	LOAD_ERROR_OPTION,
	LOAD_ERROR_SYSTEM,
	LOAD_ERROR_AUDIT,
};

GQuark load_error_quark(void);

#endif
