#include <stdlib.h>
#include <string.h>

#include "harness.h"
#include "trefoilhill-timeline/timeline.h"

#define EVENT(node, seq, at, kind, version, request, value, subject) \
	"{\"seq\":" #seq ",\"at\":\"" at "\",\"node\":\"" node       \
	"\",\"kind\":\"" kind "\",\"version\":" #version             \
	",\"request\":" #request ",\"value\":" #value                \
	",\"subject\":\"" subject "\"}\n"

/*
 * Node b received version 2 from a peer, and its clock is two seconds behind.
 * Node d is joining when it accepts version 2.
 */
static const char recorded[] = EVENT("b", 1, "9.000000", "node_ready", 1, 0, 5,
    "") EVENT("b", 2, "8.500000", "version_accepted", 2, 0, 0, "") EVENT("b", 3,
    "8.600000", "guard_closed", 0, 0, 0, "<up&1>") EVENT("a", 1, "10.000000",
    "node_ready", 1, 0, 5, "") EVENT("a", 2, "10.500000", "version_accepted", 2,
    0, 2, "") EVENT("a", 3, "10.700000", "call_retried", 2, 255, 1, "refused")
    EVENT("a", 4, "10.900000", "call_refused", 2, 255, 2, "no_upstream")
	EVENT("c", 7, "10.800000", "version_accepted", 2, 0, 2, "")
	    EVENT("d", 1, "10.100000", "node_started", 0, 0, 3, "")
		EVENT("d", 2, "10.200000", "version_accepted", 2, 0, 2, "")
		    EVENT("d", 3, "12.500000", "node_ready", 2, 0, 9, "") EVENT(
			"e", 1, "10.000000", "version_accepted", 1, 0, 2, "");

static void
timeline_load_recorded(struct timeline *timeline)
{
	GError *error = NULL;

	timeline_init(timeline);
	CU_ASSERT_TRUE(timeline_read(timeline, "recorded", recorded, &error));
	CU_ASSERT_PTR_NULL(error);
	timeline_merge(timeline);
}

static guint
event_position(
    const struct timeline *timeline, const char *node, uint64_t sequence)
{
	for (guint i = 0; i < timeline->merged->len; i++) {
		const struct timeline_event *event = timeline->merged->pdata[i];

		if (strcmp(event->node, node) == 0 &&
		    event->sequence == sequence)
			return i;
	}
	CU_FAIL("no such event");
	return 0;
}

static void
test_merge_keeps_causes_before_effects(void)
{
	struct timeline timeline;

	timeline_load_recorded(&timeline);
	CU_ASSERT_EQUAL(timeline.merged->len, 12);
	/* Within b, sequence order wins although its clock went back. */
	CU_ASSERT_TRUE(event_position(&timeline, "b", 1) <
	    event_position(&timeline, "b", 2));
	/* b got the version from a peer, so d's platform read comes first. */
	CU_ASSERT_TRUE(event_position(&timeline, "d", 2) <
	    event_position(&timeline, "b", 2));
	/* b is delayed only until that read. */
	CU_ASSERT_EQUAL(event_position(&timeline, "b", 2),
	    event_position(&timeline, "d", 2) + 1);
	/* Unrelated events are ordered by wall clock. */
	CU_ASSERT_TRUE(event_position(&timeline, "a", 3) <
	    event_position(&timeline, "c", 7));
	CU_ASSERT_TRUE(event_position(&timeline, "c", 7) <
	    event_position(&timeline, "a", 4));
	timeline_clear(&timeline);
}

static void
test_merge_ends_without_the_cause(void)
{
	static const char lost[] =
	    EVENT("a", 5, "1.000000", "version_accepted", 2, 0, 0, "") EVENT(
		"a", 6, "1.100000", "version_accepted", 3, 0, 2, "")
		EVENT("b", 5, "1.000000", "version_accepted", 3, 0, 0, "")
		    EVENT("b", 6, "1.200000", "version_accepted", 2, 0, 2, "");
	struct timeline timeline;

	timeline_init(&timeline);
	CU_ASSERT_TRUE(timeline_read(&timeline, "lost", lost, NULL));
	timeline_merge(&timeline);
	CU_ASSERT_EQUAL(timeline.merged->len, 4);
	timeline_clear(&timeline);
}

static void
test_restarted_node_starts_a_new_stream(void)
{
	static const char replaced[] =
	    EVENT("a", 1, "5.000000", "node_started", 0, 0, 1, "")
		EVENT("a", 2, "5.100000", "node_ready", 1, 0, 1, "")
		    EVENT("a", 1, "6.000000", "node_started", 0, 0, 2, "");
	struct timeline timeline;

	timeline_init(&timeline);
	CU_ASSERT_TRUE(timeline_read(&timeline, "replaced", replaced, NULL));
	CU_ASSERT_EQUAL(timeline.streams->len, 2);
	timeline_clear(&timeline);
}

static void
test_read_rejects_invalid_lines(void)
{
	static const char *const bad[] = { "{", "[]", "{\"seq\":1}",
		EVENT("a", 1, "5", "x", 0, 0, 0, ""),
		EVENT("a", 1, "5.1", "x", 0, 0, 0, ""),
		EVENT("a", 1, "99999999999999.000000", "x", 0, 0, 0, ""),
		EVENT("a", 1, "-5.000000", "x", 0, 0, 0, "") };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct timeline timeline;
		GError *error = NULL;

		timeline_init(&timeline);
		CU_ASSERT_FALSE(
		    timeline_read(&timeline, "bad", bad[i], &error));
		CU_ASSERT_TRUE(g_error_matches(
		    error, TIMELINE_ERROR, TIMELINE_ERROR_SYNTAX));
		g_clear_error(&error);
		timeline_clear(&timeline);
	}
}

static void
test_filters(void)
{
	static const struct {
		struct timeline_filter filter;
		guint count;
	} cases[] = {
		{ { .until_us = INT64_MAX }, 12 },
		{ { .node = "a", .until_us = INT64_MAX }, 4 },
		{ { .kind = "node_ready", .until_us = INT64_MAX }, 3 },
		{ { .version = 2, .until_us = INT64_MAX }, 7 },
		{ { .request = 255, .until_us = INT64_MAX }, 2 },
		{ { .since_us = 10800000, .until_us = 10900000 }, 2 },
	};
	struct timeline timeline;

	timeline_load_recorded(&timeline);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		GPtrArray *events =
		    timeline_select(&timeline, &cases[i].filter);

		CU_ASSERT_EQUAL(events->len, cases[i].count);
		g_ptr_array_unref(events);
	}
	timeline_clear(&timeline);
}

/* d accepted the version while joining, so it took effect once d was ready. */
static void
test_print_arrivals(void)
{
	struct timeline timeline;
	size_t len;
	char *text;
	FILE *out = open_memstream(&text, &len);

	timeline_load_recorded(&timeline);
	timeline_print_arrivals(&timeline, 2, out);
	fclose(out);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "in force at 4 of 5 nodes"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "+4000.0 ms  d  <- among"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, "never seen at e, last seen there: version 1"));
	free(text);
	timeline_clear(&timeline);
}

static void
test_print_request(void)
{
	struct timeline timeline;
	size_t len;
	char *text;
	FILE *out = open_memstream(&text, &len);

	timeline_load_recorded(&timeline);
	CU_ASSERT_TRUE(timeline_print_request(&timeline, 255, out));
	CU_ASSERT_FALSE(timeline_print_request(&timeline, 254, out));
	fclose(out);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=00000000000000ff"));
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, "a refused it (no_upstream): it did not run"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "node_started"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "00000000000000fe: no event"));
	free(text);
	timeline_clear(&timeline);
}

static guint
occurrences(const char *text, const char *part)
{
	guint count = 0;

	while ((text = strstr(text, part)) != NULL) {
		count++;
		text++;
	}
	return count;
}

static void
test_svg_is_complete_and_escaped(void)
{
	struct timeline_filter filter = { .until_us = INT64_MAX };
	struct timeline_highlights highlights = { .version = 2,
		.request = 255 };
	struct timeline_highlights none = { 0 };
	struct timeline timeline;
	GPtrArray *events;
	char *svg;

	timeline_load_recorded(&timeline);
	events = timeline_select(&timeline, &filter);
	svg = timeline_render_svg(&timeline, events, &highlights);
	CU_ASSERT_EQUAL(occurrences(svg, "<circle"), 14);
	CU_ASSERT_EQUAL(occurrences(svg, "fill='none'"), 2);
	CU_ASSERT_PTR_NOT_NULL(strstr(svg, "no_upstream</text>"));
	CU_ASSERT_EQUAL(occurrences(svg, "<title>"), 12);
	CU_ASSERT_PTR_NOT_NULL(strstr(svg, "&lt;up&amp;1&gt;"));
	CU_ASSERT_PTR_NOT_NULL(strstr(svg, "never: version 1"));
	CU_ASSERT_TRUE(g_str_has_suffix(svg, "</svg>\n"));
	g_free(svg);
	g_ptr_array_set_size(events, 0);
	svg = timeline_render_svg(&timeline, events, &none);
	CU_ASSERT_TRUE(g_str_has_suffix(svg, "</svg>\n"));
	g_free(svg);
	g_ptr_array_unref(events);
	timeline_clear(&timeline);
}

#define LOG(node, ms, event, more)                                    \
	"   1.25 " node " {\"steady_ms\":1,\"wall_ms\":" #ms          \
	",\"node\":\"" node "\",\"incarnation\":7,\"event\":\"" event \
	"\"," more "}\n"

/*
 * Events of a request are collected from the logs of the entry proxy and of the
 * guards it queried. Lines that are not events are skipped.
 */
static void
test_print_request_from_logs(void)
{
	static const char logs[] = "not of a node\n" LOG(
	    "a", 10000, "store_lost", "\"age_ms\":900") LOG("a", 10500,
	    "chosen", "\"request\":\"ff\",\"upstream\":\"i-2\",\"in_flight\":3")
	    LOG("c", 10550, "store_lost", "\"age_ms\":1") LOG("b", 10501,
		"refused", "\"request\":\"ff\",\"reason\":\"too_late\"")
		LOG("b", 10600, "answered", "\"request\":\"ff.1\"")
		    LOG("b", 10601, "answered", "\"request\":\"fe\"");
	struct timeline timeline;
	GError *error = NULL;
	size_t len;
	char *text;
	FILE *out = open_memstream(&text, &len);

	timeline_init(&timeline);
	CU_ASSERT_FALSE(timeline_read(&timeline, "logs", logs, &error));
	CU_ASSERT_TRUE(
	    g_error_matches(error, TIMELINE_ERROR, TIMELINE_ERROR_SYNTAX));
	g_clear_error(&error);
	timeline_skip_invalid(&timeline);
	CU_ASSERT_TRUE(timeline_read(&timeline, "logs", logs, NULL));
	CU_ASSERT_EQUAL(timeline.skipped_lines, 1);
	timeline_merge(&timeline);
	CU_ASSERT_TRUE(timeline_print_request(
	    &timeline, timeline_request_number("FF"), out));
	fclose(out);
	CU_ASSERT_PTR_NOT_NULL(
	    strstr(text, "chosen request=ff upstream=i-2 in_flight=3"));
	CU_ASSERT_PTR_NOT_NULL(strstr(
	    text, "b refused it (request=ff reason=too_late): it did not run"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "request=ff.1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "store_lost age_ms=900"));
	CU_ASSERT_PTR_NULL(strstr(text, "store_lost age_ms=1\n"));
	CU_ASSERT_PTR_NULL(strstr(text, "request=fe"));
	free(text);
	timeline_clear(&timeline);
}

static void
test_request_numbers(void)
{
	CU_ASSERT_EQUAL(timeline_request_number("ff"), 255);
	CU_ASSERT_EQUAL(timeline_request_number("00FF.abc"), 255);
	CU_ASSERT_EQUAL(timeline_request_number(""), 0);
	CU_ASSERT_EQUAL(timeline_request_number(".1"), 0);
	CU_ASSERT_NOT_EQUAL(timeline_request_number("order-1"),
	    timeline_request_number("order-2"));
}

static const struct test_case cases[] = {
	{ "merge keeps causes before effects",
	    test_merge_keeps_causes_before_effects },
	{ "merge ends if a platform read was lost",
	    test_merge_ends_without_the_cause },
	{ "a restarted node starts a new stream",
	    test_restarted_node_starts_a_new_stream },
	{ "read rejects invalid lines", test_read_rejects_invalid_lines },
	{ "filters", test_filters },
	{ "print arrivals of a version", test_print_arrivals },
	{ "print events of a request", test_print_request },
	{ "svg is complete and escaped", test_svg_is_complete_and_escaped },
	{ "print events of a request from logs", test_print_request_from_logs },
	{ "request ids are converted to numbers", test_request_numbers },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("trefoilhill-timeline", cases);
}
