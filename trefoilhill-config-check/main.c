#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>

#include "trefoilhill-config-check/check.h"

enum {
	EXIT_ERRORS = 2, /* wrong usage too */
	OPTIONS_READ = -1,
};

struct invocation {
	const char *file;
	const char *in_force; /* NULL: none */
	bool json;
};

static const char usage[] =
    "usage: trefoilhill-config-check [--json] FILE [IN-FORCE]\n"
    "\n"
    "Check the configuration in FILE, the text of the platform's item op/config,\n"
    "before it is published. With IN-FORCE, the text of the version in force,\n"
    "also show what would change. Keys are shown by their digests only.\n"
    "\n"
    "  -j, --json     print the findings as JSON\n"
    "  -h, --help     print this text\n"
    "  -v, --version  print the version\n"
    "\n"
    "Exit status: 0 no errors or warnings, 1 warnings, 2 errors or wrong usage.\n";

/* Returns the exit status, or OPTIONS_READ if the program should continue. */
static int
read_options(struct invocation *invocation, int argc, char **argv)
{
	static const struct option long_options[] = {
		{ "json", no_argument, NULL, 'j' },
		{ "help", no_argument, NULL, 'h' },
		{ "version", no_argument, NULL, 'v' },
		{ NULL, 0, NULL, 0 },
	};
	int option;

	while ((option = getopt_long(argc, argv, "jhv", long_options, NULL)) !=
	    -1) {
		switch (option) {
		case 'j':
			invocation->json = true;
			break;
		case 'h':
			fputs(usage, stdout);
			return EXIT_SUCCESS;
		case 'v':
			puts("trefoilhill-config-check " TREFOILHILL_VERSION);
			return EXIT_SUCCESS;
		default:
			fputs(usage, stderr);
			return EXIT_ERRORS;
		}
	}
	if (argc - optind != 1 && argc - optind != 2) {
		fputs(usage, stderr);
		return EXIT_ERRORS;
	}
	invocation->file = argv[optind];
	invocation->in_force = argc - optind == 2 ? argv[optind + 1] : NULL;
	return OPTIONS_READ;
}

static bool
read_file(const char *path, struct str *text, struct finding_list *findings)
{
	GError *error = NULL;
	char *contents;
	gsize len;

	if (!g_file_get_contents(path, &contents, &len, &error)) {
		finding_list_add(findings, FINDING_ERROR, "unreadable",
		    g_strdup(path), g_strdup(error->message));
		g_error_free(error);
		return false;
	}
	*text = str_make(contents, len);
	return true;
}

static void
print_findings(const struct finding_list *findings, bool json)
{
	json_t *object;

	if (!json) {
		finding_list_print(findings, stdout);
		return;
	}
	object = finding_list_to_json(findings);
	json_dumpf(object, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(object);
}

int
main(int argc, char **argv)
{
	struct invocation invocation = { 0 };
	struct str text = { 0 }, in_force = { 0 };
	struct finding_list findings;
	int status = read_options(&invocation, argc, argv);
	bool readable;

	if (status != OPTIONS_READ)
		return status;
	finding_list_init(&findings);
	readable = read_file(invocation.file, &text, &findings);
	if (invocation.in_force != NULL)
		readable =
		    read_file(invocation.in_force, &in_force, &findings) &&
		    readable;
	if (readable)
		config_check_texts(text,
		    invocation.in_force == NULL ? NULL : &in_force, &findings);
	print_findings(&findings, invocation.json);
	status = finding_list_exit_status(&findings);
	if (fflush(stdout) != 0 || ferror(stdout))
		status = EXIT_ERRORS;
	finding_list_clear(&findings);
	str_release(&text);
	str_release(&in_force);
	return status;
}
