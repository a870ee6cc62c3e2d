#ifndef TREFOILHILL_CONFIG_REFUSAL_H
#define TREFOILHILL_CONFIG_REFUSAL_H

#include <glib.h>

#include "config/error.h"

enum {
	REFUSALS_MAX = 100, /* per verdict */
};

/* One reason for which a publication is refused. */
struct refusal {
	char *record; /* "kind/name", or "" for the whole publication */
	char *field;
	char *reason;
	int code; /* enum config_error */
};

struct refusal *refusal_new(enum config_error code, const char *field,
    const char *format, ...) G_GNUC_PRINTF(3, 4);
void refusal_set_record(
    struct refusal *refusal, const char *kind, const char *name);
void refusal_free(struct refusal *refusal);
GPtrArray *refusal_list_new(void);
void refusal_list_add(GPtrArray *refusals, struct refusal *refusal);
void refusal_to_error(const struct refusal *refusal, GError **error);

#endif
