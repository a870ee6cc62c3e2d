#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	HEX = 16,
	HEX_DIGITS_MAX = 16,
	MS_US = 1000,
};

/* Parameters of the 64-bit FNV-1a hash. */
static const uint64_t fnv_offset_basis = UINT64_C(0xcbf29ce484222325);
static const uint64_t fnv_prime = UINT64_C(0x100000001b3);

/* Fields common to all log lines, left out of the subject. */
static const char *const common_fields[] = { "steady_ms", "wall_ms", "node",
	"incarnation", "event" };

static bool
is_common(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(common_fields); i++)
		if (strcmp(common_fields[i], name) == 0)
			return true;
	return false;
}

uint64_t
timeline_request_number(const char *id)
{
	size_t len = strcspn(id, ".");
	uint64_t hash = fnv_offset_basis;

	if (len == 0)
		return 0;
	if (len <= HEX_DIGITS_MAX &&
	    strspn(id, "0123456789abcdefABCDEF") >= len)
		return g_ascii_strtoull(id, NULL, HEX);
	for (size_t i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)id[i]) * fnv_prime;
	return hash;
}

static void
append_field(GString *text, const char *name, const json_t *value)
{
	if (text->len > 0)
		g_string_append_c(text, ' ');
	g_string_append_printf(text, "%s=", name);
	if (json_is_string(value))
		g_string_append(text, json_string_value(value));
	else if (json_is_integer(value))
		g_string_append_printf(
		    text, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
	else if (json_is_boolean(value))
		g_string_append(text, json_is_true(value) ? "yes" : "no");
	else
		g_string_append_c(text, '?');
}

struct timeline_event *
timeline_event_from_log(json_t *json)
{
	const char *node, *kind, *request = "", *name;
	struct timeline_event *event;
	GString *text;
	json_t *value;
	json_int_t wall_ms;

	if (json_unpack(json, "{s:I,s:s,s:s,s?s}", "wall_ms", &wall_ms, "node",
		&node, "event", &kind, "request", &request) != 0 ||
	    wall_ms < 0 || wall_ms > INT64_MAX / MS_US)
		return NULL;
	text = g_string_new(NULL);
	json_object_foreach (json, name, value) {
		if (!is_common(name))
			append_field(text, name, value);
	}
	event = g_new0(struct timeline_event, 1);
	event->node = g_strdup(node);
	event->kind = g_strdup(kind);
	event->subject = g_string_free(text, FALSE);
	event->from_log = true;
	event->at_us = wall_ms * MS_US;
	event->request = timeline_request_number(request);
	return event;
}
