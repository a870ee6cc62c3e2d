#include <arpa/inet.h>
#include <string.h>

#include "trefoilhillctl/options.h"

enum {
	NODES_MAX = 20000,
	TIMEOUT_MS_DEFAULT = 3000,
	TIMEOUT_MS_MAX = 600000,
	PORT_MAX = 65535,
	DECIMAL = 10,
	/*
	 * getopt_long values of the common options, above those of any
	 * command's own options.
	 */
	COMMON_NODE = 1000,
	COMMON_JSON,
	COMMON_TIMEOUT,
	COMMON_HELP,
	COMMON_VERSION,
};

static const struct option common_options[] = {
	{ "node", required_argument, NULL, COMMON_NODE },
	{ "json", no_argument, NULL, COMMON_JSON },
	{ "timeout-ms", required_argument, NULL, COMMON_TIMEOUT },
	{ "help", no_argument, NULL, COMMON_HELP },
	{ "version", no_argument, NULL, COMMON_VERSION },
};

/*
 * Initialises the options with their defaults.
 */
void
ctl_options_init(struct ctl_options *options)
{
	*options = (struct ctl_options){
		.nodes = g_ptr_array_new_with_free_func(g_free),
		.timeout_ms = TIMEOUT_MS_DEFAULT,
	};
}

/*
 * Releases the memory held by the options.
 */
void
ctl_options_clear(struct ctl_options *options)
{
	g_ptr_array_unref(options->nodes);
}

static bool
address_is_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ip;
	guint64 port;
	char *host;
	bool valid;

	if (colon == NULL)
		return false;
	host = g_strndup(text, (gsize)(colon - text));
	valid = inet_pton(AF_INET, host, &ip) == 1 &&
	    g_ascii_string_to_unsigned(
		colon + 1, DECIMAL, 1, PORT_MAX, &port, NULL);
	g_free(host);
	return valid;
}

/*
 * Adds nodes from a list IP:PORT[,...]. Prints an error and returns false if an
 * address is invalid or there are too many nodes.
 */
bool
ctl_options_add_nodes(struct ctl_options *options, const char *list, FILE *err)
{
	char **items = g_strsplit(list, ",", 0);
	bool valid = true;

	for (char **item = items; valid && *item != NULL; item++) {
		g_strstrip(*item);
		if (**item == '\0')
			continue;
		valid =
		    address_is_valid(*item) && options->nodes->len < NODES_MAX;
		if (valid)
			g_ptr_array_add(options->nodes, g_strdup(*item));
		else
			fprintf(err,
			    "--node %s: expected IP:PORT, at most %d nodes\n",
			    *item, NODES_MAX);
	}
	g_strfreev(items);
	return valid;
}

/*
 * Adds the nodes of TREFOILHILL_NODES if the command line names none. Prints an
 * error and returns false if the list is invalid.
 */
bool
ctl_options_apply_environment(struct ctl_options *options, FILE *err)
{
	const char *list = g_getenv("TREFOILHILL_NODES");

	if (options->nodes->len > 0 || list == NULL)
		return true;
	options->nodes_from_environment = true;
	return ctl_options_add_nodes(options, list, err);
}

static bool
set_common_option(struct ctl_options *options, int option, FILE *err)
{
	GError *error = NULL;
	guint64 number;

	switch (option) {
	case COMMON_NODE:
		return ctl_options_add_nodes(options, optarg, err);
	case COMMON_JSON:
		options->json = true;
		return true;
	case COMMON_HELP:
		options->help = true;
		return true;
	case COMMON_VERSION:
		options->version = true;
		return true;
	default:
		break;
	}
	if (!g_ascii_string_to_unsigned(
		optarg, DECIMAL, 1, TIMEOUT_MS_MAX, &number, &error)) {
		fprintf(err, "--timeout-ms: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	options->timeout_ms = (uint32_t)number;
	return true;
}

int
ctl_options_next(struct ctl_options *options, int argc, char **argv,
    const char *short_options, const struct option *command_options, FILE *err)
{
	struct option long_options[G_N_ELEMENTS(common_options) +
	    COMMAND_OPTIONS_MAX] = { 0 };
	size_t count = G_N_ELEMENTS(common_options);
	int option;

	memcpy(long_options, common_options, sizeof(common_options));
	for (size_t i = 0;
	     i + 1 < COMMAND_OPTIONS_MAX && command_options[i].name != NULL;
	     i++)
		long_options[count++] = command_options[i];
	opterr = 0;
	while ((option = getopt_long(argc, argv, short_options, long_options,
		    NULL)) != OPTION_END) {
		if (option == '?' || option == ':') {
			fprintf(err, "%s: unknown option or missing argument\n",
			    optind > 0 && optind <= argc ? argv[optind - 1]
							 : "");
			return OPTION_INVALID;
		}
		if (option < COMMON_NODE)
			return option;
		if (!set_common_option(options, option, err))
			return OPTION_INVALID;
	}
	return OPTION_END;
}
