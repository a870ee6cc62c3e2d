#include <stdarg.h>

#include "config/refusal.h"

/*
 * Return a refusal of the whole publication, or of one field of it. The field
 * is empty when no single one is at fault.
 */
struct refusal *
refusal_new(enum config_error code, const char *field, const char *format, ...)
{
	struct refusal *refusal = g_new0(struct refusal, 1);
	va_list args;

	va_start(args, format);
	refusal->reason = g_strdup_vprintf(format, args);
	va_end(args);
	refusal->record = g_strdup("");
	refusal->field = g_strdup(field);
	refusal->code = (int)code;
	return refusal;
}

/*
 * Say which record the refusal is about.
 */
void
refusal_set_record(struct refusal *refusal, const char *kind, const char *name)
{
	g_free(refusal->record);
	refusal->record = g_strdup_printf("%s/%s", kind, name);
}

/*
 * Free a refusal. NULL is allowed.
 */
void
refusal_free(struct refusal *refusal)
{
	if (refusal == NULL)
		return;
	g_free(refusal->record);
	g_free(refusal->field);
	g_free(refusal->reason);
	g_free(refusal);
}

/*
 * Set a GError of the domain CONFIG_ERROR that says the same.
 */
void
refusal_to_error(const struct refusal *refusal, GError **error)
{
	const char *separator = refusal->field[0] == '\0' ? "" : ": ";

	g_set_error(error, CONFIG_ERROR, refusal->code, "%s%s%s",
	    refusal->field, separator, refusal->reason);
}
