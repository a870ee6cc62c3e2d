#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>

#include "trefoilhill-timeline/timeline.h"
#include "trefoilhillctl/command.h"

enum {
	DECIMAL = 10,
	SECOND_US = 1000000,
	MARGIN_US = 200000, /* shown before and after what is asked about */
	WHY_BEFORE_US = 2 * SECOND_US,
};

struct run {
	struct ctl_options options;
	struct timeline_filter filter;
	struct timeline timeline;
	uint64_t late;
	uint64_t why;
	const char *svg;
	const char *html;
};

static const char usage[] =
    "usage: trefoilhill-timeline [OPTION]... [FILE]...\n"
    "Merge the events of many nodes into one time line. They come from the\n"
    "nodes named, or from FILEs of JSON lines: as GET /v1/events answers,\n"
    "or logs of trefoilhill-proxy; - is standard input.\n"
    "  --mixed               pass over lines that are no events\n"
    "  --node IP:PORT[,...]  operator listeners; may be repeated\n"
    "                        (else TREFOILHILL_NODES, if no FILE is given)\n"
    "  --late VERSION        when each node had the version in force\n"
    "  --why REQUEST         what happened to one request, by its id\n"
    "  --svg FILE            draw the events as a picture\n"
    "  --html FILE           the same as a page\n"
    "Which events to show:\n"
    "  --on NODE             of one node, by its name\n"
    "  --kind KIND           of one kind\n"
    "  --request REQUEST     of one request\n"
    "  --version-is N        of one configuration version\n"
    "  --since T, --until T  seconds since 1970, as in the events\n"
    "  --timeout-ms N        time for each node to answer (3000)\n"
    "  --help, --version\n"
    "Exit status: 0 done, 1 failed or a node did not answer, 2 wrong usage.\n";

static const struct option own_options[] = {
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
		fprintf(
		    stderr, "trefoilhill-timeline: %s: not a number\n", text);
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
		fprintf(
		    stderr, "trefoilhill-timeline: %s: not a request\n", text);
	return *number != 0;
}

static bool
parse_time(const char *text, int64_t *us)
{
	char *end = NULL;
	double seconds = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(seconds >= 0 && seconds < 1e11)) {
		fprintf(stderr, "trefoilhill-timeline: %s: not a time\n", text);
		return false;
	}
	*us = (int64_t)(seconds * SECOND_US);
	return true;
}

static bool
store(struct run *run, int option)
{
	switch (option) {
	case 'l':
		return parse_number(optarg, &run->late);
	case 'w':
		return parse_request(optarg, &run->why);
	case 'r':
		return parse_request(optarg, &run->filter.request);
	case 'm':
		timeline_skip_others(&run->timeline);
		return true;
	case 'v':
		return parse_number(optarg, &run->filter.version);
	case 'S':
		return parse_time(optarg, &run->filter.since_us);
	case 'U':
		return parse_time(optarg, &run->filter.until_us);
	case 'o':
		run->filter.node = optarg;
		return true;
	case 'k':
		run->filter.kind = optarg;
		return true;
	case 's':
		run->svg = optarg;
		return true;
	default:
		run->html = optarg;
		return true;
	}
}

/* -1 to go on, or the status to exit with. */
static int
parse(struct run *run, int argc, char **argv)
{
	int option;

	while ((option = ctl_options_next(
		    &run->options, argc, argv, "", own_options, stderr)) >= 0)
		if (!store(run, option))
			return CTL_EXIT_USAGE;
	if (option == OPTION_WRONG)
		goto wrong;
	if (run->options.help) {
		fputs(usage, stdout);
		return CTL_EXIT_GOOD;
	}
	if (run->options.version) {
		puts("trefoilhill-timeline " TREFOILHILL_VERSION);
		return CTL_EXIT_GOOD;
	}
	if (optind == argc && !ctl_options_finish(&run->options, stderr))
		goto wrong;
	if (optind < argc || run->options.nodes->len > 0)
		return -1;
	fputs("trefoilhill-timeline: no node and no file\n", stderr);
wrong:
	fputs("Try: trefoilhill-timeline --help\n", stderr);
	return CTL_EXIT_USAGE;
}

static bool
complain(GError *error)
{
	fprintf(stderr, "trefoilhill-timeline: %s\n", error->message);
	g_error_free(error);
	return false;
}

/* Read nodes and files; false when one of them failed. */
static bool
gather(struct run *run, int argc, char **argv)
{
	struct node_request request = { .nodes = run->options.nodes,
		.target = "/v1/events?after=0",
		.timeout_ms = run->options.timeout_ms };
	GPtrArray *answers = node_client_ask(&request);
	GError *error = NULL;
	bool good = true;

	for (guint i = 0; i < answers->len; i++) {
		struct node_answer *answer = answers->pdata[i];

		if (answer->error != NULL)
			good = complain(g_steal_pointer(&answer->error));
		else if (!timeline_read(&run->timeline, answer->address,
			     answer->body->str, &error))
			good = complain(g_steal_pointer(&error));
	}
	for (int i = optind; i < argc; i++)
		if (!timeline_read_file(&run->timeline, argv[i], &error))
			good = complain(g_steal_pointer(&error));
	g_ptr_array_unref(answers);
	if (run->timeline.skipped > 0)
		fprintf(stderr,
		    "trefoilhill-timeline: %" G_GUINT64_FORMAT
		    " lines are no events\n",
		    (guint64)run->timeline.skipped);
	timeline_merge(&run->timeline);
	return good;
}

/* Show the time about a version or a request, unless another is asked for. */
static void
focus(struct run *run)
{
	struct timeline_filter filter = { .request = run->why,
		.until_us = INT64_MAX };
	int64_t from = INT64_MAX, to = 0;

	if (run->filter.since_us != 0 || run->filter.until_us != INT64_MAX)
		return;
	if (run->late != 0) {
		GArray *arrivals = timeline_arrivals(&run->timeline, run->late);

		for (guint i = 0; i < arrivals->len; i++) {
			int64_t at_us =
			    g_array_index(arrivals, struct version_arrival, i)
				.at_us;

			from = MIN(from, at_us);
			to = at_us == INT64_MAX ? to : MAX(to, at_us);
		}
		g_array_unref(arrivals);
	} else if (run->why != 0) {
		GPtrArray *events = timeline_select(&run->timeline, &filter);

		for (guint i = 0; i < events->len; i++) {
			const struct timeline_event *event = events->pdata[i];

			from = MIN(from, event->at_us);
			to = MAX(to, event->at_us);
		}
		g_ptr_array_unref(events);
	}
	if (to == 0)
		return;
	run->filter.since_us =
	    from - (run->late != 0 ? MARGIN_US : WHY_BEFORE_US);
	run->filter.until_us = to + MARGIN_US;
}

static bool
save(const char *path, const char *head, const char *text, const char *tail)
{
	char *whole = g_strconcat(head, text, tail, NULL);
	GError *error = NULL;
	bool saved = g_file_set_contents(path, whole, -1, &error);

	if (!saved)
		complain(error);
	g_free(whole);
	return saved;
}

static bool
draw(struct run *run, const GPtrArray *events)
{
	struct timeline_marks marks = { run->late, run->why };
	char *svg = timeline_draw(&run->timeline, events, &marks);
	bool good = true;

	if (run->svg != NULL)
		good = save(run->svg, "", svg, "");
	if (run->html != NULL)
		good &= save(run->html,
		    "<!DOCTYPE html>\n<html lang='en'><head><meta "
		    "charset='utf-8'><title>Time line</title></head><body>\n",
		    svg, "</body></html>\n");
	g_free(svg);
	return good;
}

static int
show(struct run *run)
{
	GPtrArray *events;
	bool good = true;

	focus(run);
	events = timeline_select(&run->timeline, &run->filter);
	if (run->late != 0)
		timeline_print_late(&run->timeline, run->late, stdout);
	if (run->why != 0)
		timeline_print_why(&run->timeline, run->why, stdout);
	if (run->svg != NULL || run->html != NULL)
		good = draw(run, events);
	else if (run->late == 0 && run->why == 0)
		timeline_print(events, stdout);
	g_ptr_array_unref(events);
	return good ? CTL_EXIT_GOOD : CTL_EXIT_FAILED;
}

int
main(int argc, char **argv)
{
	struct run run = { .filter = { .until_us = INT64_MAX } };
	int status;

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ctl_options_init(&run.options);
	timeline_init(&run.timeline);
	status = parse(&run, argc, argv);
	if (status < 0) {
		bool whole = gather(&run, argc, argv);

		status = show(&run);
		if (!whole)
			status = CTL_EXIT_FAILED;
	}
	timeline_clear(&run.timeline);
	ctl_options_clear(&run.options);
	curl_global_cleanup();
	return status;
}
