#include <stdarg.h>

#include "config/refusal.h"

enum {
	QUOTED_BYTES_MAX = 64,
};

/*
 * Return a copy of untrusted text that is safe for logs and terminals: at most
 * QUOTED_BYTES_MAX bytes, with all but printable ASCII replaced by '?'. The
 * caller frees it with g_free.
 */
static char *
copy_printable(const char *name)
{
	char *text = g_strndup(name, QUOTED_BYTES_MAX);

	for (char *c = text; *c != '\0'; c++) {
		if (!g_ascii_isprint(*c))
			*c = '?';
	}
	return text;
}

/*
 * Return a refusal of a publication or of one of its fields; the field is
 * empty when no single one is invalid. The caller frees it with refusal_free.
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
	refusal->field = copy_printable(field);
	refusal->code = (int)code;
	return refusal;
}

/*
 * Set the record that the refusal is about.
 */
void
refusal_set_record(struct refusal *refusal, const char *kind, const char *name)
{
	char *kind_text = copy_printable(kind);
	char *name_text = copy_printable(name);

	g_free(refusal->record);
	refusal->record = g_strdup_printf("%s/%s", kind_text, name_text);
	g_free(kind_text);
	g_free(name_text);
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

static void
free_refusal(gpointer refusal)
{
	refusal_free(refusal);
}

/*
 * Return an empty list that owns its refusals.
 */
GPtrArray *
refusal_list_new(void)
{
	return g_ptr_array_new_with_free_func(free_refusal);
}

/*
 * Add a refusal to a list and take ownership of it. NULL is allowed and adds
 * nothing. Refusals beyond REFUSALS_MAX are dropped, as the first ones are
 * enough to find the cause.
 */
void
refusal_list_add(GPtrArray *refusals, struct refusal *refusal)
{
	if (refusal != NULL && refusals->len < REFUSALS_MAX)
		g_ptr_array_add(refusals, refusal);
	else
		refusal_free(refusal);
}

/*
 * Set a CONFIG_ERROR with the code, the field and the reason of a refusal.
 */
void
refusal_to_error(const struct refusal *refusal, GError **error)
{
	const char *separator = refusal->field[0] == '\0' ? "" : ": ";

	g_set_error(error, CONFIG_ERROR, refusal->code, "%s%s%s",
	    refusal->field, separator, refusal->reason);
}
