#include <string.h>

#include "trefoilhill-load/error.h"
#include "trefoilhill-load/request_kind.h"

enum {
	DECIMAL = 10,
	WEIGHT_MAX = 1000000,
	TIMEOUT_MS_MAX = 3600000,
	FIELDS_MIN = 4,
	FIELDS_MAX = 5,
};

G_DEFINE_QUARK(load - error - quark, load_error)

static bool
is_idempotent(const char *method)
{
	static const char *const methods[] = { "GET", "HEAD", "PUT", "DELETE",
		"OPTIONS", NULL };

	return g_strv_contains(methods, method);
}

/* Returns the value of the size parameter of a target, 0 if absent. */
static uint64_t
target_size(const char *target)
{
	const char *query = strchr(target, '?');
	char **fields;
	uint64_t size = 0;

	if (query == NULL)
		return 0;
	fields = g_strsplit(query + 1, "&", 0);
	for (char **field = fields; *field != NULL; field++) {
		if (g_str_has_prefix(*field, "size="))
			size = g_ascii_strtoull(
			    *field + strlen("size="), NULL, DECIMAL);
	}
	g_strfreev(fields);
	return size;
}

/*
 * Parses a kind of request, to be freed with request_kind_free. Returns NULL
 * with LOAD_ERROR_OPTION set if text is invalid.
 */
struct request_kind *
request_kind_parse(const char *text, GError **error)
{
	char **fields = g_strsplit(text, ",", FIELDS_MAX);
	guint count = g_strv_length(fields);
	struct request_kind *kind = NULL;
	guint64 weight, timeout_ms = 0;

	if (count < FIELDS_MIN || fields[2][0] != '/' ||
	    !g_ascii_string_to_unsigned(
		fields[3], DECIMAL, 1, WEIGHT_MAX, &weight, NULL) ||
	    (count > FIELDS_MIN &&
		!g_ascii_string_to_unsigned(fields[4], DECIMAL, 1,
		    TIMEOUT_MS_MAX, &timeout_ms, NULL))) {
		g_set_error(error, LOAD_ERROR, LOAD_ERROR_OPTION,
		    "--request %s: expected "
		    "METHOD,AUTHORITY,/TARGET,WEIGHT[,TIMEOUT_MS]",
		    text);
		goto out;
	}
	kind = g_new0(struct request_kind, 1);
	kind->text = g_strdup(text);
	kind->method = g_strdup(fields[0]);
	kind->authority = g_strdup(fields[1]);
	kind->target = g_strdup(fields[2]);
	kind->weight = (uint32_t)weight;
	kind->timeout_ms = (uint32_t)timeout_ms;
	kind->size = target_size(kind->target);
	kind->idempotent = is_idempotent(kind->method);
out:
	g_strfreev(fields);
	return kind;
}

/*
 * Frees a request kind. NULL is allowed.
 */
void
request_kind_free(struct request_kind *kind)
{
	if (kind == NULL)
		return;
	g_free(kind->text);
	g_free(kind->method);
	g_free(kind->authority);
	g_free(kind->target);
	g_free(kind);
}
