#include <inttypes.h>
#include <string.h>

#include "trefoilhill-timeline/timeline.h"

enum {
	WIDTH_PX = 1400,
	MARGIN_LEFT_PX = 210, /* for the node names */
	MARGIN_RIGHT_PX = 130,
	MARGIN_TOP_PX = 60,
	LANE_HEIGHT_PX = 26,
	TICK_COUNT = 8,
	ROW_HEIGHT_PX = 7, /* between configuration, state and calls */
	MS_US = 1000,
	LATE_NODES_MARKED = 3,
};

struct drawing {
	GString *svg;
	GPtrArray *nodes; /* char *, name of each lane; borrowed */
	int64_t from_us;
	int64_t to_us;
};

/* Style of events whose kind has the prefix. */
struct event_style {
	const char *prefix;
	const char *colour;
	int row;
};

static const struct event_style event_styles[] = {
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
time_x(const struct drawing *drawing, int64_t at_us)
{
	double span = (double)MAX(drawing->to_us - drawing->from_us, 1);

	return MARGIN_LEFT_PX +
	    (double)(at_us - drawing->from_us) / span *
	    (WIDTH_PX - MARGIN_LEFT_PX - MARGIN_RIGHT_PX);
}

/* Returns the center of a node's lane in px, adding a lane for a new node. */
static int
lane_center_y(struct drawing *drawing, const char *node)
{
	for (guint i = 0; i < drawing->nodes->len; i++)
		if (strcmp(drawing->nodes->pdata[i], node) == 0)
			return MARGIN_TOP_PX + (int)i * LANE_HEIGHT_PX +
			    LANE_HEIGHT_PX / 2;
	g_ptr_array_add(drawing->nodes, (char *)node);
	return MARGIN_TOP_PX + ((int)drawing->nodes->len - 1) * LANE_HEIGHT_PX +
	    LANE_HEIGHT_PX / 2;
}

static void G_GNUC_PRINTF(2, 3)
    append_markup(struct drawing *drawing, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_markup_vprintf_escaped(format, args);
	va_end(args);
	g_string_append(drawing->svg, text);
	g_free(text);
}

static void
draw_axis(struct drawing *drawing)
{
	int bottom = MARGIN_TOP_PX + (int)drawing->nodes->len * LANE_HEIGHT_PX;

	for (int i = 0; i <= TICK_COUNT; i++) {
		int64_t at_us = drawing->from_us +
		    (drawing->to_us - drawing->from_us) * i / TICK_COUNT;
		int x = (int)time_x(drawing, at_us);

		append_markup(drawing,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#ddd'/>\n"
		    "<text x='%d' y='%d' text-anchor='middle'>+%.1f ms</text>\n",
		    x, MARGIN_TOP_PX, x, bottom, x, MARGIN_TOP_PX - 6,
		    (double)(at_us - drawing->from_us) / MS_US);
	}
	for (guint i = 0; i < drawing->nodes->len; i++)
		append_markup(drawing,
		    "<text x='%d' y='%d' text-anchor='end'>%s</text>\n"
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#eee'/>\n",
		    MARGIN_LEFT_PX - 12,
		    MARGIN_TOP_PX + (int)i * LANE_HEIGHT_PX +
			LANE_HEIGHT_PX / 2 + 4,
		    (char *)drawing->nodes->pdata[i], 0,
		    MARGIN_TOP_PX + ((int)i + 1) * LANE_HEIGHT_PX, WIDTH_PX,
		    MARGIN_TOP_PX + ((int)i + 1) * LANE_HEIGHT_PX);
}

static void
draw_event(struct drawing *drawing, const struct timeline_event *event)
{
	const struct event_style *event_style = event_styles;
	char *text = timeline_event_format(event);

	while (!g_str_has_prefix(event->kind, event_style->prefix))
		event_style++;
	append_markup(drawing,
	    "<circle cx='%d' cy='%d' r='3.5' fill='%s' fill-opacity='0.75'>"
	    "<title>%s +%.3f ms #%" PRIu64 ": %s</title></circle>\n",
	    (int)time_x(drawing, event->at_us),
	    lane_center_y(drawing, event->node) +
		event_style->row * ROW_HEIGHT_PX,
	    event_style->colour, event->node,
	    (double)(event->at_us - drawing->from_us) / MS_US, event->sequence,
	    text);
	g_free(text);
}

/*
 * Draws a bar from the first arrival to the arrival at each node. The bars of
 * the last nodes are red.
 */
static void
draw_arrivals(struct drawing *drawing, const GArray *arrivals, uint64_t version)
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
		bool late = i > 0 && i + LATE_NODES_MARKED >= seen;
		int64_t end = i < seen ? arrival->at_us : drawing->to_us;
		int y = lane_center_y(drawing, arrival->node);

		append_markup(drawing,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='%s' "
		    "stroke-width='8' stroke-opacity='0.3'/>\n",
		    (int)time_x(drawing, first->at_us), y,
		    (int)time_x(drawing, end), y, late ? "#c0392b" : "#2d7d46");
		if (i >= seen)
			append_markup(drawing,
			    "<text x='%d' y='%d' fill='#c0392b'>never: version "
			    "%" PRIu64 "</text>\n",
			    WIDTH_PX - MARGIN_RIGHT_PX + 8, y + 4,
			    arrival->newest);
		else
			append_markup(drawing,
			    "<text x='%d' y='%d' fill='%s'>+%.1f ms</text>\n",
			    WIDTH_PX - MARGIN_RIGHT_PX + 8, y + 4,
			    late ? "#c0392b" : "#2d7d46",
			    (double)(end - first->at_us) / MS_US);
	}
	append_markup(drawing,
	    "<text x='%d' y='20' font-size='14'>version %" PRIu64
	    " in force: bars and figures count from the first node; the last "
	    "ones are red</text>\n",
	    MARGIN_LEFT_PX, version);
}

/* Draws a circle around each event of a request and prints its description. */
static void
draw_request(struct drawing *drawing, const GPtrArray *events, uint64_t request)
{
	int line = 0;

	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];
		char *text;
		int x;

		if (event->request != request)
			continue;
		text = timeline_event_format(event);
		x = (int)time_x(drawing, event->at_us);
		append_markup(drawing,
		    "<line x1='%d' y1='%d' x2='%d' y2='%d' stroke='#c0392b' "
		    "stroke-opacity='0.4'/>\n"
		    "<circle cx='%d' cy='%d' r='8' fill='none' "
		    "stroke='#c0392b' stroke-width='2'/>\n"
		    "<text x='%d' y='%d' fill='#c0392b'>%s +%.1f ms: %s</text>"
		    "\n",
		    x, MARGIN_TOP_PX, x,
		    MARGIN_TOP_PX + (int)drawing->nodes->len * LANE_HEIGHT_PX,
		    x, lane_center_y(drawing, event->node) + ROW_HEIGHT_PX,
		    MARGIN_LEFT_PX, 14 + line++ * 14, event->node,
		    (double)(event->at_us - drawing->from_us) / MS_US, text);
		g_free(text);
	}
}

static void
set_span(struct drawing *drawing, const GPtrArray *events)
{
	drawing->from_us = events->len == 0 ? 0 : INT64_MAX;
	for (guint i = 0; i < events->len; i++) {
		const struct timeline_event *event = events->pdata[i];

		drawing->from_us = MIN(drawing->from_us, event->at_us);
		drawing->to_us = MAX(drawing->to_us, event->at_us);
	}
}

static int
compare_names(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Draws a lane for each node with its events over time. Highlights show when a
 * version took effect at each node, or the events of a request. Free the result
 * with g_free.
 */
char *
timeline_render_svg(const struct timeline *timeline, const GPtrArray *events,
    const struct timeline_highlights *highlights)
{
	struct drawing drawing = { .svg = g_string_new(NULL),
		.nodes = g_ptr_array_new() };
	GArray *arrivals = timeline_arrivals(timeline, highlights->version);
	GString *document = g_string_new(NULL);

	set_span(&drawing, events);
	for (guint i = 0; i < events->len; i++)
		lane_center_y(&drawing,
		    ((struct timeline_event *)events->pdata[i])->node);
	for (guint i = 0; highlights->version != 0 && i < arrivals->len; i++)
		lane_center_y(&drawing,
		    g_array_index(arrivals, struct version_arrival, i).node);
	g_ptr_array_sort(drawing.nodes, compare_names);
	draw_axis(&drawing);
	if (highlights->version != 0 && arrivals->len > 0)
		draw_arrivals(&drawing, arrivals, highlights->version);
	for (guint i = 0; i < events->len; i++)
		draw_event(&drawing, events->pdata[i]);
	if (highlights->request != 0)
		draw_request(&drawing, events, highlights->request);
	g_string_printf(document,
	    "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
	    "font-family='sans-serif' font-size='11'>\n"
	    "<rect width='100%%' height='100%%' fill='white'/>\n%s"
	    "<text x='8' y='%d'>%s</text>\n</svg>\n",
	    WIDTH_PX,
	    MARGIN_TOP_PX + (int)drawing.nodes->len * LANE_HEIGHT_PX + 40,
	    drawing.svg->str,
	    MARGIN_TOP_PX + (int)drawing.nodes->len * LANE_HEIGHT_PX + 24,
	    legend);
	g_array_unref(arrivals);
	g_string_free(drawing.svg, TRUE);
	g_ptr_array_unref(drawing.nodes);
	return g_string_free(document, FALSE);
}
