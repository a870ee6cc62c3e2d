#include <curl/curl.h>
#include <glib/gstdio.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "fake_node.h"
#include "harness.h"
#include "trefoilhillctl/command.h"

enum {
	ARGS_MAX = 16,
	DEAF_MS = 1500,
};

#define STATUS(node, version, digest)                                   \
	"{\"node\":\"" node "\",\"zone\":\"z1\",\"state\":\"ready\","   \
	"\"version\":" version ",\"digest\":\"" digest "\",\"base\":0," \
	"\"reader\":true,\"platform\":\"up\",\"incarnation\":7,"        \
	"\"peers\":[],\"guard\":null}"
#define SERVICE(timeout)                                     \
	"{\"schema\":2,\"kind\":\"service\",\"name\":\"s\"," \
	"\"timeout_ms\":" timeout ",\"idempotent_retries\":1}"
#define ZONE "{\"schema\":2,\"kind\":\"zone\",\"name\":\"z1\",\"state\":\"in\"}"

static const struct fake_answer first_answers[] = {
	{ "/v1/status", 200, STATUS("host-a", "9", "aaaa") },
	{ "/v1/records", 200,
	    "{\"version\":9,\"digest\":\"aaaa\",\"records\":[" ZONE
	    "," SERVICE("2000") "]}" },
	{ "/v1/check", 200,
	    "{\"accepted\":false,\"against\":9,\"refusals\":["
	    "{\"record\":\"service/s\",\"field\":\"timeout_ms\","
	    "\"reason\":\"too large\"}]}" },
	{ "/v1/explain", 200,
	    "{\"version\":9,\"route\":\"r\",\"service\":\"s\",\"upstreams\":["
	    "{\"upstream\":\"u1\",\"host\":\"h1\",\"zone\":\"z1\","
	    "\"eligible\":false,\"reason\":\"host is out of service\"}]}" },
	{ "/v1/drain", 202, "{\"state\":\"draining\"}" },
	{ "/v1/metrics", 200,
	    "# TYPE mesh_x counter\nmesh_x 3\nguard_y{a=\"b c\"} 4\n" },
	{ "/v1/events", 200,
	    "{\"seq\":1,\"at\":\"10.000001\",\"node\":\"host-a\","
	    "\"kind\":\"node_ready\",\"version\":9,\"request\":0,"
	    "\"value\":5,\"subject\":\"\"}\n"
	    "{\"seq\":2,\"at\":\"11.000001\",\"node\":\"host-a\","
	    "\"kind\":\"call_refused\",\"version\":9,\"request\":-1,"
	    "\"value\":0,\"subject\":\"no_upstream\"}\n" },
	{ NULL, 0, NULL },
};

static const struct fake_answer second_answers[] = {
	{ "/v1/status", 200, STATUS("host-b", "7", "bbbb") },
	{ "/v1/records", 200,
	    "{\"version\":7,\"digest\":\"bbbb\",\"records\":[" SERVICE(
		"1000") "]}" },
	{ "/v1/check", 200,
	    "{\"accepted\":true,\"against\":7,\"refusals\":[]}" },
	{ "/v1/explain", 503,
	    "{\"error\":\"not-ready\",\"detail\":\"no configuration yet\"}" },
	{ NULL, 0, NULL },
};

static const struct fake_answer third_answers[] = {
	{ "/v1/status", 200, STATUS("host-c", "9", "cccc") },
	{ NULL, 0, NULL },
};

/* Started once: CivetWeb may take two seconds to stop. */
static struct fake_node first, second, third;

/* What the last run of the program printed. */
struct bed {
	char *out, *err;
	char *directory;
};

static void
bed_start(struct bed *bed)
{
	*bed = (struct bed){ 0 };
	g_unsetenv("TREFOILHILL_NODES");
	fake_node_reset(&first);
	fake_node_reset(&second);
	bed->directory = g_dir_make_tmp("trefoilhill-XXXXXX", NULL);
}

static void
bed_stop(struct bed *bed)
{
	free(bed->out);
	free(bed->err);
	g_rmdir(bed->directory);
	g_free(bed->directory);
}

/* Run the program with the arguments up to NULL; returns its exit status. */
static int G_GNUC_NULL_TERMINATED
run(struct bed *bed, ...)
{
	char *argv[ARGS_MAX] = { "trefoilhillctl" };
	size_t out_len, err_len;
	FILE *out, *err;
	int argc = 1, status;
	va_list args;

	va_start(args, bed);
	while (argc < ARGS_MAX && (argv[argc] = va_arg(args, char *)) != NULL)
		argc++;
	va_end(args);
	free(bed->out);
	free(bed->err);
	out = open_memstream(&bed->out, &out_len);
	err = open_memstream(&bed->err, &err_len);
	status = ctl_run(argc, argv, out, err);
	fclose(out);
	fclose(err);
	return status;
}

static char *
write_file(const struct bed *bed, const char *name, const char *text)
{
	char *path = g_build_filename(bed->directory, name, NULL);

	CU_ASSERT_TRUE(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void
remove_file(char *path)
{
	g_unlink(path);
	g_free(path);
}

#define ASSERT_HAS(text, part) CU_ASSERT_PTR_NOT_NULL(strstr(text, part))
#define ASSERT_LACKS(text, part) CU_ASSERT_PTR_NULL(strstr(text, part))

static void
test_usage(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, NULL), 2);
	CU_ASSERT_EQUAL(run(&bed, "nonsense", NULL), 2);
	CU_ASSERT_EQUAL(run(&bed, "status", NULL), 2);
	ASSERT_HAS(bed.err, "no node");
	CU_ASSERT_EQUAL(run(&bed, "status", "--node", "host:x", NULL), 2);
	CU_ASSERT_EQUAL(run(&bed, "status", "--wrong", NULL), 2);
	CU_ASSERT_EQUAL(run(&bed, "--timeout-ms", "0", "status", NULL), 2);
	CU_ASSERT_EQUAL(run(&bed, "--help", NULL), 0);
	ASSERT_HAS(bed.out, "explain");
	CU_ASSERT_EQUAL(run(&bed, "diff", "--help", NULL), 0);
	ASSERT_HAS(bed.out, "--whole");
	CU_ASSERT_EQUAL(run(&bed, "--version", NULL), 0);
	ASSERT_HAS(bed.out, TREFOILHILL_VERSION);
	bed_stop(&bed);
}

static void
test_status_names_who_is_behind(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, "--node", first.address, "status", "--node",
			    second.address, NULL),
	    0);
	ASSERT_HAS(bed.out, "behind: host-b (z1) at version 7, 2 behind");
	ASSERT_HAS(bed.out, "2 of 2 nodes answered, 1 hold version 9");
	CU_ASSERT_EQUAL(run(&bed, "status", "--json", "--node", second.address,
			    "--node", "127.0.0.1:1", NULL),
	    1);
	ASSERT_HAS(bed.out, "\"lag\": 0");
	ASSERT_HAS(bed.out, "\"error\"");
	ASSERT_HAS(bed.err, "127.0.0.1:1");
	g_setenv("TREFOILHILL_NODES", first.address, TRUE);
	CU_ASSERT_EQUAL(run(&bed, "status", NULL), 0);
	ASSERT_HAS(bed.out, "host-a");
	bed_stop(&bed);
}

static void
test_status_shows_differing_digests(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, "status", "--node", first.address, "--node",
			    third.address, NULL),
	    0);
	ASSERT_HAS(bed.out, "differs: host-c");
	bed_stop(&bed);
}

static void
test_silent_node_costs_one_timeout(void)
{
	struct bed bed;
	gint64 began = g_get_monotonic_time();

	bed_start(&bed);
	second.pause_ms = DEAF_MS;
	CU_ASSERT_EQUAL(run(&bed, "status", "--timeout-ms", "200", "--node",
			    first.address, "--node", second.address, NULL),
	    1);
	CU_ASSERT_TRUE(g_get_monotonic_time() - began < (gint64)DEAF_MS * 1000);
	ASSERT_HAS(bed.out, "no answer");
	ASSERT_HAS(bed.out, "host-a");
	bed_stop(&bed);
}

static void
test_check_names_file_record_field_reason(void)
{
	struct bed bed;
	char *a, *b;

	bed_start(&bed);
	a = write_file(&bed, "a.json", SERVICE("1"));
	b = write_file(&bed, "b.json",
	    "{\"set\":[" ZONE
	    "],\"remove\":[{\"kind\":\"host\",\"name\":\"h\"}]}");
	CU_ASSERT_EQUAL(
	    run(&bed, "check", "--node", first.address, a, b, NULL), 1);
	ASSERT_HAS(bed.out, "a.json: service/s: timeout_ms: too large\n");
	ASSERT_HAS(first.last_body, "\"zone\"");
	ASSERT_HAS(
	    first.last_body, "\"remove\":[{\"kind\":\"host\",\"name\":\"h\"}]");
	CU_ASSERT_EQUAL(run(&bed, "--json", "check", "--node", first.address,
			    "--node", second.address, a, NULL),
	    1);
	ASSERT_HAS(bed.out, "\"accepted\": false");
	CU_ASSERT_EQUAL(
	    run(&bed, "check", "--node", second.address, b, NULL), 0);
	ASSERT_HAS(bed.out, "accepted (1 records to set, 1 to remove)");
	remove_file(a);
	remove_file(b);
	bed_stop(&bed);
}

/* Files that cannot be read whole are never judged in part. */
static void
test_check_asks_no_node_about_bad_files(void)
{
	static const char *const bad[] = { "{\"set\":[", "7", "[7]",
		"{\"set\":{}}", "{\"set\":[],\"sets\":[]}",
		"{\"kind\":\"zone\",\"kind\":\"host\"}" };
	struct bed bed;
	char *good;

	bed_start(&bed);
	good = write_file(&bed, "good.json", ZONE);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		char *path = write_file(&bed, "bad.json", bad[i]);

		CU_ASSERT_EQUAL(run(&bed, "check", "--node", second.address,
				    good, path, NULL),
		    1);
		ASSERT_HAS(bed.out, "bad.json");
		remove_file(path);
	}
	CU_ASSERT_EQUAL(run(&bed, "check", "--node", second.address, good,
			    "/nonexistent", NULL),
	    1);
	CU_ASSERT_EQUAL(second.requests, 0);
	remove_file(good);
	bed_stop(&bed);
}

static void
test_check_bounds_the_size(void)
{
	struct bed bed;
	char *text = g_strnfill(1024 * 1024 + 1, ' '), *path;

	bed_start(&bed);
	path = write_file(&bed, "big.json", text);
	CU_ASSERT_EQUAL(
	    run(&bed, "check", "--node", second.address, path, NULL), 1);
	ASSERT_HAS(bed.out, "larger than a publication may be");
	CU_ASSERT_EQUAL(second.requests, 0);
	remove_file(path);
	g_free(text);
	bed_stop(&bed);
}

static void
test_diff(void)
{
	struct bed bed;
	char *path;

	bed_start(&bed);
	path = write_file(&bed, "s.json",
	    "[" SERVICE(
		"2500") ",{\"schema\":2,\"kind\":\"zone\","
			"\"name\":\"z1\",\"state\":\"in\",\"region\":\"north\"}]");
	CU_ASSERT_EQUAL(run(&bed, "diff", "--node", first.address, "--node",
			    second.address, NULL),
	    1);
	ASSERT_HAS(bed.out, "~ service/s: timeout_ms 2000 -> 1000\n");
	ASSERT_HAS(bed.out, "- zone/z1\n");
	CU_ASSERT_EQUAL(run(&bed, "diff", "--node", first.address, "--node",
			    first.address, NULL),
	    0);
	ASSERT_HAS(bed.out, "equals");
	CU_ASSERT_EQUAL(
	    run(&bed, "diff", "--node", first.address, path, NULL), 1);
	ASSERT_HAS(bed.out, "~ service/s: timeout_ms 2000 -> 2500\n");
	ASSERT_HAS(bed.out, "~ zone/z1: region null -> \"north\"\n");
	ASSERT_LACKS(bed.out, "- zone/z1");
	remove_file(path);
	path = write_file(&bed, "s.json", SERVICE("2500"));
	CU_ASSERT_EQUAL(
	    run(&bed, "diff", "--whole", "--node", first.address, path, NULL),
	    1);
	ASSERT_HAS(bed.out, "- zone/z1\n");
	CU_ASSERT_EQUAL(run(&bed, "diff", "--node", first.address, NULL), 2);
	remove_file(path);
	bed_stop(&bed);
}

static void
test_explain(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, "explain", "--node", first.address,
			    "--authority", "a b&c", "--path", "/x", NULL),
	    0);
	CU_ASSERT_STRING_EQUAL(
	    first.last_query, "authority=a%20b%26c&path=%2Fx");
	ASSERT_HAS(bed.out, "route r, service s");
	ASSERT_HAS(bed.out, "host is out of service");
	CU_ASSERT_EQUAL(run(&bed, "explain", "--node", second.address, "--path",
			    "/x", NULL),
	    1);
	ASSERT_HAS(bed.err, "not-ready");
	CU_ASSERT_EQUAL(run(&bed, "explain", "--node", first.address, NULL), 2);
	bed_stop(&bed);
}

static void
test_drain_needs_exactly_one_node(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, "drain", "--node", first.address, "--node",
			    second.address, NULL),
	    2);
	g_setenv("TREFOILHILL_NODES", first.address, TRUE);
	CU_ASSERT_EQUAL(run(&bed, "drain", NULL), 2);
	CU_ASSERT_EQUAL(first.requests + second.requests, 0);
	CU_ASSERT_EQUAL(run(&bed, "drain", "--node", first.address, NULL), 0);
	ASSERT_HAS(bed.out, "draining");
	CU_ASSERT_EQUAL(first.requests, 1);
	bed_stop(&bed);
}

static void
test_metrics_and_events(void)
{
	struct bed bed;

	bed_start(&bed);
	CU_ASSERT_EQUAL(run(&bed, "metrics", "--prefix", "mesh_", "--node",
			    first.address, NULL),
	    0);
	ASSERT_HAS(bed.out, "mesh_x 3\n");
	ASSERT_LACKS(bed.out, "guard_y");
	CU_ASSERT_EQUAL(
	    run(&bed, "metrics", "--json", "--node", first.address, NULL), 0);
	ASSERT_HAS(bed.out, "\"guard_y{a=\\\"b c\\\"}\": 4.0");
	CU_ASSERT_EQUAL(run(&bed, "events", "--after", "3", "--kind",
			    "call_refused", "--node", first.address, NULL),
	    0);
	CU_ASSERT_STRING_EQUAL(first.last_query, "after=3");
	ASSERT_HAS(bed.out, "ffffffffffffffff");
	ASSERT_LACKS(bed.out, "node_ready");
	CU_ASSERT_EQUAL(
	    run(&bed, "events", "--after", "x", "--node", first.address, NULL),
	    2);
	CU_ASSERT_EQUAL(
	    run(&bed, "metrics", "--node", second.address, NULL), 1);
	ASSERT_HAS(bed.err, "404");
	bed_stop(&bed);
}

static const struct test_case cases[] = {
	{ "usage", test_usage },
	{ "status names who is behind", test_status_names_who_is_behind },
	{ "status shows differing digests",
	    test_status_shows_differing_digests },
	{ "a silent node costs one timeout",
	    test_silent_node_costs_one_timeout },
	{ "check names file, record, field and reason",
	    test_check_names_file_record_field_reason },
	{ "check asks no node about bad files",
	    test_check_asks_no_node_about_bad_files },
	{ "check bounds the size", test_check_bounds_the_size },
	{ "diff", test_diff },
	{ "explain", test_explain },
	{ "drain needs exactly one node", test_drain_needs_exactly_one_node },
	{ "metrics and events", test_metrics_and_events },
	{ NULL, NULL },
};

int
main(void)
{
	int status;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	fake_node_start(&first, first_answers);
	fake_node_start(&second, second_answers);
	fake_node_start(&third, third_answers);
	status = harness_run("trefoilhillctl", cases);
	fake_node_stop(&first);
	fake_node_stop(&second);
	fake_node_stop(&third);
	curl_global_cleanup();
	return status;
}
