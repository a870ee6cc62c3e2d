#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>

#include "trefoilhill-timeline/timeline.h"
#include "trefoilhillctl/command.h"

enum {
	DECIMAL = 10,
	SECOND_US = 1000000,
	TIME_MARGIN_US = 200000, /* displayed around the events of interest */
	REQUEST_CONTEXT_US = 2 * SECOND_US,
};

struct invocation {
	struct ctl_options options;
	struct timeline_filter filter;
	struct timeline timeline;
	uint64_t late_version;
	uint64_t why_request;
	const char *svg_path;
	const char *html_path;
};

static const char usage[] =
    "usage: trefoilhill-timeline [OPTION]... [FILE]...\n"
    "Merge the events of several nodes into one timeline. Events are read\n"
    "from the given nodes, or from FILEs of JSON lines in the format of\n"
    "GET /v1/events or of trefoilhill-proxy logs; - is standard input.\n"
    "  --mixed               skip lines that are not events\n"
    "  --node IP:PORT[,...]  operator listeners; may be repeated (default:\n"
    "                        TREFOILHILL_NODES, if no FILE is given)\n"
    "  --late VERSION        show when a version took effect at each node\n"
    "  --why REQUEST         show what happened to the request with this id\n"
    "  --svg FILE            draw the events as SVG\n"
    "  --html FILE           draw the events as an HTML page\n"
    "Filters:\n"
    "  --on NODE             events of one node, by its name\n"
    "  --kind KIND           events of one kind\n"
    "  --request REQUEST     events of one request\n"
    "  --version-is N        events of one configuration version\n"
    "  --since T, --until T  time range, in seconds since the Unix epoch\n"
    "Other options:\n"
    "  --timeout-ms N        response timeout of each node (3000)\n"
    "  --help, --version\n"
    "Exit status: 0 success, 1 failure or no answer from a node, 2 usage error.\n";

static const struct option long_options[] = {
	{ "mixed", no_argument, NULL, 'm' },
	{ "late", required_argument, NULL, 'l' },
	{ "why", required_argument, NULL, 'w' },
	{ "svg", required_argument, NULL, 's' },
	{ "html", required_argument, NULL, 'h' },
	{ "on", required_argument, NULL, 'o' },
	{ "kind", required_argument, NULL, 'k' },
	{ "request", required_argument, NULL, 'r' },
	{ "version-is", required_argument, NULL, 'v' },
	{ "since", required_argument, NULL, 'S' },
	{ "until", required_argument, NULL, 'U' },
	{ NULL, 0, NULL, 0 },
};

static bool
parse_number(const char *text, uint64_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(
		text, DECIMAL, 1, G_MAXUINT64, &value, NULL)) {
		fprintf(stderr,
		    "trefoilhill-timeline: %s: not a positive integer\n", text);
		return false;
	}
	*number = value;
	return true;
}

static bool
parse_request(const char *text, uint64_t *number)
{
	*number = timeline_request_number(text);
	if (*number == 0)
		fprintf(stderr, "trefoilhill-timeline: %s: not a request id\n",
		    text);
	return *number != 0;
}

static bool
parse_time(const char *text, int64_t *us)
{
	char *end = NULL;
	double seconds = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(seconds >= 0 && seconds < 1e11)) {
		fprintf(stderr,
		    "trefoilhill-timeline: %s: not a time in seconds since the Unix epoch\n",
		    text);
		return false;
	}
	*us = (int64_t)(seconds * SECOND_US);
	return true;
}

static bool
set_option(struct invocation *invocation, int option)
{
	switch (option) {
	case 'l':
		return parse_number(optarg, &invocation->late_version);
	case 'w':
		return parse_request(optarg, &invocation->why_request);
	case 'r':
		return parse_request(optarg, &invocation->filter.request);
	case 'm':
		timeline_skip_invalid(&invocation->timeline);
		return true;
	case 'v':
		return parse_number(optarg, &invocation->filter.version);
	case 'S':
		return parse_time(optarg, &invocation->filter.since_us);
	case 'U':
		return parse_time(optarg, &invocation->filter.until_us);
	case 'o':
		invocation->filter.node = optarg;
		return true;
	case 'k':
		invocation->filter.kind = optarg;
		return true;
	case 's':
		invocation->svg_path = optarg;
		return true;
	default:
		invocation->html_path = optarg;
		return true;
	}
}

/* Returns the exit status, or -1 if the program should continue. */
static int
parse_options(struct invocation *invocation, int argc, char **argv)
{
	int option;

	while ((option = ctl_options_next(&invocation->options, argc, argv, "",
		    long_options, stderr)) >= 0)
		if (!set_option(invocation, option))
			return CTL_EXIT_USAGE;
	if (option == OPTION_INVALID)
		goto wrong;
	if (invocation->options.help) {
		fputs(usage, stdout);
		return CTL_EXIT_SUCCESS;
	}
	if (invocation->options.version) {
		puts("trefoilhill-timeline " TREFOILHILL_VERSION);
		return CTL_EXIT_SUCCESS;
	}
	if (optind == argc &&
	    !ctl_options_apply_environment(&invocation->options, stderr))
		goto wrong;
	if (optind < argc || invocation->options.nodes->len > 0)
		return -1;
	fputs("trefoilhill-timeline: no node or file specified\n", stderr);
wrong:
	fputs("See trefoilhill-timeline --help\n", stderr);
	return CTL_EXIT_USAGE;
}

static bool
report_error(GError *error)
{
	fprintf(stderr, "trefoilhill-timeline: %s\n", error->message);
	g_error_free(error);
	return false;
}

/* Reads and merges events of all nodes and files. False if any failed. */
static bool
read_sources(struct invocation *invocation, int argc, char **argv)
{
	struct node_request request = { .nodes = invocation->options.nodes,
		.target = "/v1/events?after=0",
		.timeout_ms = invocation->options.timeout_ms };
	GPtrArray *responses = node_client_query(&request);
	GError *error = NULL;
	bool ok = true;

	for (guint i = 0; i < responses->len; i++) {
		struct node_response *response = responses->pdata[i];

		if (response->error != NULL)
			ok = report_error(g_steal_pointer(&response->error));
		else if (!timeline_read(&invocation->timeline,
			     response->address, response->body->str, &error))
			ok = report_error(g_steal_pointer(&error));
	}
	for (int i = optind; i < argc; i++)
		if (!timeline_read_file(&invocation->timeline, argv[i], &error))
			ok = report_error(g_steal_pointer(&error));
	g_ptr_array_unref(responses);
	if (invocation->timeline.skipped_lines > 0)
		fprintf(stderr,
		    "trefoilhill-timeline: %" G_GUINT64_FORMAT
		    " lines are not events\n",
		    (guint64)invocation->timeline.skipped_lines);
	timeline_merge(&invocation->timeline);
	return ok;
}

/*
 * Limits the time range to the arrivals of the version or to the events of the
 * request, unless the command line sets a range.
 */
static void
set_default_time_range(struct invocation *invocation)
{
	struct timeline_filter filter = { .request = invocation->why_request,
		.until_us = INT64_MAX };
	int64_t from = INT64_MAX, to = 0;

	if (invocation->filter.since_us != 0 ||
	    invocation->filter.until_us != INT64_MAX)
		return;
	if (invocation->late_version != 0) {
		GArray *arrivals = timeline_arrivals(
		    &invocation->timeline, invocation->late_version);

		for (guint i = 0; i < arrivals->len; i++) {
			int64_t at_us =
			    g_array_index(arrivals, struct version_arrival, i)
				.at_us;

			from = MIN(from, at_us);
			to = at_us == INT64_MAX ? to : MAX(to, at_us);
		}
		g_array_unref(arrivals);
	} else if (invocation->why_request != 0) {
		GPtrArray *events =
		    timeline_select(&invocation->timeline, &filter);

		for (guint i = 0; i < events->len; i++) {
			const struct timeline_event *event = events->pdata[i];

			from = MIN(from, event->at_us);
			to = MAX(to, event->at_us);
		}
		g_ptr_array_unref(events);
	}
	if (to == 0)
		return;
	invocation->filter.since_us = from -
	    (invocation->late_version != 0 ? TIME_MARGIN_US
					   : REQUEST_CONTEXT_US);
	invocation->filter.until_us = to + TIME_MARGIN_US;
}

static bool
write_file(
    const char *path, const char *prefix, const char *text, const char *suffix)
{
	char *complete = g_strconcat(prefix, text, suffix, NULL);
	GError *error = NULL;
	bool saved = g_file_set_contents(path, complete, -1, &error);

	if (!saved)
		report_error(error);
	g_free(complete);
	return saved;
}

static bool
write_images(struct invocation *invocation, const GPtrArray *events)
{
	struct timeline_highlights highlights = { invocation->late_version,
		invocation->why_request };
	char *svg =
	    timeline_render_svg(&invocation->timeline, events, &highlights);
	bool ok = true;

	if (invocation->svg_path != NULL)
		ok = write_file(invocation->svg_path, "", svg, "");
	if (invocation->html_path != NULL)
		ok &= write_file(invocation->html_path,
		    "<!DOCTYPE html>\n<html lang='en'><head><meta "
		    "charset='utf-8'><title>Time line</title></head><body>\n",
		    svg, "</body></html>\n");
	g_free(svg);
	return ok;
}

static int
print_results(struct invocation *invocation)
{
	GPtrArray *events;
	bool ok = true;

	set_default_time_range(invocation);
	events = timeline_select(&invocation->timeline, &invocation->filter);
	if (invocation->late_version != 0)
		timeline_print_arrivals(
		    &invocation->timeline, invocation->late_version, stdout);
	if (invocation->why_request != 0)
		timeline_print_request(
		    &invocation->timeline, invocation->why_request, stdout);
	if (invocation->svg_path != NULL || invocation->html_path != NULL)
		ok = write_images(invocation, events);
	else if (invocation->late_version == 0 && invocation->why_request == 0)
		timeline_print(events, stdout);
	g_ptr_array_unref(events);
	return ok ? CTL_EXIT_SUCCESS : CTL_EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
	struct invocation invocation = { .filter = { .until_us = INT64_MAX } };
	int status;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ctl_options_init(&invocation.options);
	timeline_init(&invocation.timeline);
	status = parse_options(&invocation, argc, argv);
	if (status < 0) {
		bool complete = read_sources(&invocation, argc, argv);

		status = print_results(&invocation);
		if (!complete)
			status = CTL_EXIT_FAILURE;
	}
	timeline_clear(&invocation.timeline);
	ctl_options_clear(&invocation.options);
	curl_global_cleanup();
	return status;
}
