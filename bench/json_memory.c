#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/json_parse.h"
#include "counted_json.h"

/*
 * Memory that JSON of 1 MB takes while it is parsed, as a multiple of its size:
 * measured, and by the sum that json_parse compares with its limit.
 */
enum {
	TEXT_BYTES = 1 << 20,
};

static const struct {
	const char *name;
	const char *entry; /* with a number; an element without a name if odd */
	bool is_member;
} shapes[] = {
	{ "empty objects", "{}", false },
	{ "empty lists", "[]", false },
	{ "empty strings", "\"\"", false },
	{ "digits", "0", false },
	{ "services",
	    "\"service-%u\":{\"healthPath\":\"/health\",\"maxConnections\":120,"
	    "\"coldStartS\":3.5,\"coldPerS\":26.0}",
	    true },
	{ "workspaces",
	    "\"workspace-%u\":{\"apiKeys\":[\"key-%u\"],\"priority\":2,"
	    "\"ratePerS\":259}",
	    true },
	{ "workspaces, short names", "\"w%u\":{\"apiKeys\":[\"k%u\"]}", true },
};

static GString *
make_text(const char *entry, bool is_member)
{
	GString *text = g_string_new(is_member ? "{" : "[");

	for (unsigned i = 0; text->len < TEXT_BYTES; i++) {
		char *number = g_strdup_printf("%05u", i);
		char **parts = g_strsplit(entry, "%u", -1);
		char *filled = g_strjoinv(number, parts);

		g_string_append_printf(text, "%s%s", i > 0 ? "," : "", filled);
		g_free(filled);
		g_strfreev(parts);
		g_free(number);
	}
	g_string_append_c(text, is_member ? '}' : ']');
	return text;
}

int
main(void)
{
	counted_json_init();
	printf("%-24s %9s %9s\n", "1 MB of", "measured", "by sum");
	for (size_t i = 0; i < G_N_ELEMENTS(shapes); i++) {
		GString *text = make_text(shapes[i].entry, shapes[i].is_member);
		struct str view = str_make(text->str, text->len);

		counted_json_reset_peak();
		json_decref(json_loadb(text->str, text->len, 0, NULL));
		printf("%-24s %8.1fx %8.1fx\n", shapes[i].name,
		    (double)counted_json_peak / (double)text->len,
		    (double)json_memory_bytes(view) / (double)text->len);
		g_string_free(text, TRUE);
	}
	return EXIT_SUCCESS;
}
