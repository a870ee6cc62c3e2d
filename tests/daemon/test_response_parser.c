#include <string.h>

#include "harness.h"
#include "trefoilhilld/response_parser.h"

/*
 * Guards against an upstream's head that is no HTTP/1.1 and is passed on, with
 * a status that is none or a name with a blank or a control byte.
 */
struct head_case {
	const char *lines[3];
	bool malformed;
};

static const struct head_case head_cases[] = {
	{ { "HTTP/1.1 200 OK", "Content-Length: 2" }, false },
	{ { "HTTP/1.1 599", "A!#: \xff\tb" }, false },
	{ { "HTTP/1.1 503 ", "A:" }, false },
	{ { "HTTP/1.1 000 OK" }, true },
	{ { "HTTP/1.1 099 OK" }, true },
	{ { "HTTP/1.1 600 OK" }, true },
	{ { "HTTP/1.1 999 OK" }, true },
	{ { "HTTP/1.1 101 x" }, true },
	{ { "HTTP/1.1 20 OK" }, true },
	{ { "HTTP/1.1 0200 OK" }, true },
	{ { "HTTP/1.1 2x0 OK" }, true },
	{ { "HTTP/1.1" }, true },
	{ { "HTTP/1.1 " }, true },
	{ { "HTTP/1.1 200 OK", "A : b" }, true },
	{ { "HTTP/1.1 200 OK", "A\x01: b" }, true },
	{ { "HTTP/1.1 200 OK", "A b: c" }, true },
	{ { "HTTP/1.1 200 OK", ": b" }, true },
	{ { "HTTP/1.1 200 OK", "A: b\x01" }, true },
	{ { "HTTP/1.1 200 OK", "A: b", "C\x7f: d" }, true },
};

static void
test_heads(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(head_cases); i++) {
		struct response_parser parser;

		response_parser_init(&parser);
		for (size_t j = 0; j < G_N_ELEMENTS(head_cases[i].lines); j++) {
			char *line;

			if (head_cases[i].lines[j] == NULL)
				continue;
			line =
			    g_strdup_printf("%s\r\n", head_cases[i].lines[j]);
			response_parser_add_line(&parser, str_from(line));
			g_free(line);
		}
		if (parser.malformed != head_cases[i].malformed)
			printf("%s\n", head_cases[i].lines[0]);
		CU_ASSERT_EQUAL(parser.malformed, head_cases[i].malformed);
		response_parser_release(&parser);
	}
}

static const struct test_case cases[] = {
	{ "heads", test_heads },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("response parser", cases);
}
