#include <inttypes.h>
#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	WIDTH = 1400,
	LEFT = 210, /* px for the nodes' names */
	RIGHT = 130,
	TOP = 60,
	LANE = 26,
	TICKS = 8,
	ROW = 7, /* px between configuration, state and calls in a lane */
	MS_US = 1000,
	LAST_MARKED = 3,
};

struct picture {
	GString *svg;
	GPtrArray *nodes; /* names, one a lane; borrowed */
	int64_t from_us;
	int64_t to_us;
};

/* How kinds that begin so are drawn. */
struct look {
	const char *prefix;
	const char *colour;
	int row;
};

static const struct look looks[] = {
	{ "version_refused", "#c0392b", -1 },
	{ "version_", "#2d7d46", -1 },
	{ "state_", "#1f9e89", -1 },
	{ "call_retried", "#e0a800", 1 },
	{ "call_", "#c0392b", 1 },
	{ "platform_lost", "#8e44ad", 0 },
	{ "peer_lost", "#8e44ad", 0 },
	{ "upstream_cold", "#2f6fb0", 0 },
	{ "", "#666666", 0 },
};

static const char *const legend =
    "upper row: configuration (green accepted, teal adopted, red refused)"
    " - middle: state (blue cold, violet lost, grey other)"
    " - lower: calls (red refused or unknown, yellow retried)";

static double
x_of(const struct picture *picture, int64_t at_us)
{
	double span = (double)MAX(picture->to_us - picture->from_us, 1);

	return LEFT +
	    (double)(at_us - picture->from_us) / span * (WIDTH - LEFT - RIGHT);
}

static int
lane_of(struct picture *picture, const char *node)
{
	for (guint i = 0; i < picture->nodes->len; i++)
		if (strcmp(picture->nodes->pdata[i], node) == 0)
			return TOP + (int)i * LANE + LANE / 2;
	g_ptr_array_add(picture->nodes, (char *)node);
	return TOP + ((int)picture->nodes->len - 1) * LANE + LANE / 2;
}

static void G_GNUC_PRINTF(2, 3)
    draw(struct picture *picture, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_markup_vprintf_escaped(format, args);
	va_end(args);
	g_string_append(picture->svg, text);
	g_free(text);
}

static void
draw_axis(struct picture *picture)
{
	int bottom = TOP + (int)picture->nodes->len * LANE;

	for (int i = 0; i <= TICKS; i++) {
		int64_t at_us = picture->from_us +
		    (picture->to_us - picture->from_us) * i / TICKS;
		int x = (int)x_of(picture, at_us);

		draw(picture,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#ddd'/>\n"
		    "<text x='%d' y='%d' text-anchor='middle'>+%.1f ms</text>\n",
		    x, TOP, x, bottom, x, TOP - 6,
		    (double)(at_us - picture->from_us) / MS_US);
	}
	for (guint i = 0; i < picture->nodes->len; i++)
		draw(picture,
		    "<text x='%d' y='%d' text-anchor='end'>%s</text>\n"
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#eee'/>\n",
		    LEFT - 12, TOP + (int)i * LANE + LANE / 2 + 4,
		    (char *)picture->nodes->pdata[i], 0,
		    TOP + ((int)i + 1) * LANE, WIDTH,
		    TOP + ((int)i + 1) * LANE);
}

static void
draw_event(struct picture *picture, const struct timeline_event *event)
{
	const struct look *look = looks;
	char *text = timeline_event_text(event);

	while (!g_str_has_prefix(event->kind, look->prefix))
		look++;
	draw(picture,
	    "<circle cx='%d' cy='%d' r='3.5' fill='%s' fill-opacity='0.75'>"
	    "<title>%s +%.3f ms #%" PRIu64 ": %s</title></circle>\n",
	    (int)x_of(picture, event->at_us),
	    lane_of(picture, event->node) + look->row * ROW, look->colour,
	    event->node, (double)(event->at_us - picture->from_us) / MS_US,
	    event->sequence, text);
	g_free(text);
}

/* A bar from the first arrival to that of each node; the last ones in red. */
static void
draw_late(struct picture *picture, const GArray *arrivals, uint64_t version)
{
	const struct version_arrival *first =
	    &g_array_index(arrivals, struct version_arrival, 0);
	guint seen = 0;

	while (seen < arrivals->len &&
	    g_array_index(arrivals, struct version_arrival, seen).at_us !=
		INT64_MAX)
		seen++;
	for (guint i = 0; seen > 0 && i < arrivals->len; i++) {
		const struct version_arrival *arrival =
		    &g_array_index(arrivals, struct version_arrival, i);
		bool late = i > 0 && i + LAST_MARKED >= seen;
		int64_t end = i < seen ? arrival->at_us : picture->to_us;
		int y = lane_of(picture, arrival->node);

		draw(picture,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='%s' "
		    "stroke-width='8' stroke-opacity='0.3'/>\n",
		    (int)x_of(picture, first->at_us), y,
		    (int)x_of(picture, end), y, late ? "#c0392b" : "#2d7d46");
		if (i >= seen)
			draw(picture,
			    "<text x='%d' y='%d' fill='#c0392b'>never: version "
			    "%" PRIu64 "</text>\n",
			    WIDTH - RIGHT + 8, y + 4, arrival->newest);
		else
			draw(picture,
			    "<text x='%d' y='%d' fill='%s'>+%.1f ms</text>\n",
			    WIDTH - RIGHT + 8, y + 4,
			    late ? "#c0392b" : "#2d7d46",
			    (double)(end - first->at_us) / MS_US);
	}
	draw(picture,
	    "<text x='%d' y='20' font-size='14'>version %" PRIu64
	    " in force: bars and figures count from the first node; the last "
	    "ones are red</text>\n",
	    LEFT, version);
}

/* A ring about each event of a request, and its words in full. */
static void
draw_request(struct picture *picture, const GPtrArray *events, uint64_t request)
{
	int line = 0;

	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];
		char *text;
		int x;

		if (event->request != request)
			continue;
		text = timeline_event_text(event);
		x = (int)x_of(picture, event->at_us);
		draw(picture,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#c0392b' "
		    "stroke-opacity='0.4'/>\n"
		    "<circle cx='%d' cy='%d' r='8' fill='none' "
		    "stroke='#c0392b' stroke-width='2'/>\n"
		    "<text x='%d' y='%d' fill='#c0392b'>%s +%.1f ms: %s</text>"
		    "\n",
		    x, TOP, x, TOP + (int)picture->nodes->len * LANE, x,
		    lane_of(picture, event->node) + ROW, LEFT, 14 + line++ * 14,
		    event->node,
		    (double)(event->at_us - picture->from_us) / MS_US, text);
		g_free(text);
	}
}

static void
set_span(struct picture *picture, const GPtrArray *events)
{
	picture->from_us = events->len == 0 ? 0 : INT64_MAX;
	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];

		picture->from_us = MIN(picture->from_us, event->at_us);
		picture->to_us = MAX(picture->to_us, event->at_us);
	}
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Draw a lane for each node with its events over time; the marks point
 * out when a version came into force at each, or the events of a request. The
 * text is freed with g_free.
 */
char *
timeline_draw(const struct timeline *timeline, const GPtrArray *events,
    const struct timeline_marks *marks)
{
	struct picture picture = { .svg = g_string_new(NULL),
		.nodes = g_ptr_array_new() };
	GArray *arrivals = timeline_arrivals(timeline, marks->version);
	GString *whole = g_string_new(NULL);

	set_span(&picture, events);
	for (guint i = 0; i < events->len; i++)
		lane_of(&picture,
		    ((struct timeline_event *)events->pdata[i])->node);
	for (guint i = 0; marks->version != 0 && i < arrivals->len; i++)
		lane_of(&picture,
		    g_array_index(arrivals, struct version_arrival, i).node);
	g_ptr_array_sort(picture.nodes, compare_names);
	draw_axis(&picture);
	if (marks->version != 0 && arrivals->len > 0)
		draw_late(&picture, arrivals, marks->version);
	for (guint i = 0; i < events->len; i++)
		draw_event(&picture, events->pdata[i]);
	if (marks->request != 0)
		draw_request(&picture, events, marks->request);
	g_string_printf(whole,
	    "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
	    "font-family='sans-serif' font-size='11'>\n"
	    "<rect width='100%%' height='100%%' fill='white'/>\n%s"
	    "<text x='8' y='%d'>%s</text>\n</svg>\n",
	    WIDTH, TOP + (int)picture.nodes->len * LANE + 40, picture.svg->str,
	    TOP + (int)picture.nodes->len * LANE + 24, legend);
	g_array_unref(arrivals);
	g_string_free(picture.svg, TRUE);
	g_ptr_array_unref(picture.nodes);
	return g_string_free(whole, FALSE);
}
