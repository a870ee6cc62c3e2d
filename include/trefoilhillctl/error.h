#ifndef TREFOILHILL_TREFOILHILLCTL_ERROR_H
#define TREFOILHILL_TREFOILHILLCTL_ERROR_H

#include <glib.h>

#define CTL_ERROR (ctl_error_quark())

enum ctl_error {
	CTL_ERROR_UNREACHABLE,
	CTL_ERROR_TIMEOUT,
	CTL_ERROR_TOO_LARGE,
	CTL_ERROR_HTTP_STATUS, /* HTTP status other than 2xx */
	CTL_ERROR_RESPONSE,    /* malformed, see docs/PROTOCOL.md */
	CTL_ERROR_FILE,
	CTL_ERROR_SYNTAX,
	CTL_ERROR_SCHEMA,
};

GQuark ctl_error_quark(void);

#endif
