#include <getopt.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "config/snapshot.h"
#include "config_results.h"

/*
 * Measures how the cost of one node's configuration scales with the size of
 * the fleet: the time to load, change, look up and hand over, and the memory.
 */
enum {
	ZONES = 16,
	CHANGES_PER_KIND = 600,
	REFUSALS = 600,
	LOOKUPS = 200000,
	HANDOVERS = 5,
	REQUEST_TEXT_MAX = 64,
	NS_PER_S = 1000000000,
};

static const double ns_per_ms = 1e6;
static const double bytes_per_mb = 1024 * 1024;

static uint64_t
now_ns(void)
{
	struct timespec now = clock_now(clock_system());

	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static uint64_t
cpu_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

/*
 * Return the size in MB of a field of /proc/self/status such as "VmRSS:", or 0
 * if it is absent.
 */
static double
status_mb(const char *field)
{
	FILE *status = fopen("/proc/self/status", "r");
	char line[128];
	size_t kb = 0;

	if (status == NULL)
		return 0;
	while (fgets(line, sizeof(line), status) != NULL) {
		if (g_str_has_prefix(line, field))
			kb = strtoul(line + strlen(field) + 1, NULL, 10);
	}
	fclose(status);
	return (double)kb / 1024;
}

/* Reset VmHWM, the peak RSS, to the current RSS. */
static void
reset_peak(void)
{
	FILE *refs = fopen("/proc/self/clear_refs", "w");

	if (refs == NULL)
		return;
	fputs("5", refs);
	fclose(refs);
}

/* Time taken to apply one publication. */
struct apply_time {
	uint64_t wall_ns;
	uint64_t cpu_ns;
};

/*
 * Apply a publication and replace *state by the result. Abort if the verdict is
 * not the expected one. Record the time to release the previous state in ns in
 * release, which may be NULL.
 */
static struct apply_time
apply_publication(struct snapshot **state,
    const struct publication *publication, enum verdict_kind expected,
    struct histogram *release)
{
	struct verdict verdict;
	struct snapshot *next;
	uint64_t start_ns = now_ns();
	uint64_t cpu_start_ns = cpu_ns();
	struct apply_time apply_time;
	uint64_t applied_ns;

	next = snapshot_apply(*state, publication, &verdict);
	apply_time.cpu_ns = cpu_ns() - cpu_start_ns;
	applied_ns = now_ns();
	apply_time.wall_ns = applied_ns - start_ns;
	if (verdict.kind != expected)
		g_error("version %" G_GUINT64_FORMAT
			" got an unexpected verdict",
		    publication->version);
	verdict_clear(&verdict);
	snapshot_unref(*state);
	if (release != NULL)
		histogram_record(release, now_ns() - applied_ns);
	*state = next;
	return apply_time;
}

static struct snapshot *
load_fleet(const struct fleet *fleet, struct config_results *out)
{
	GPtrArray *log = fleet_publications(fleet);
	struct snapshot *state = snapshot_empty_new();
	double rss_before;
	size_t heap_before;
	uint64_t elapsed = 0;

	malloc_trim(0);
	reset_peak();
	rss_before = status_mb("VmRSS:");
	heap_before = heap_bytes();
	for (size_t i = 0; i < log->len; i++)
		elapsed += apply_publication(
		    &state, log->pdata[i], VERDICT_ACCEPTED, NULL)
			       .wall_ns;
	out->load_peak_mb = status_mb("VmHWM:") - rss_before;
	malloc_trim(0);
	out->rss_mb = status_mb("VmRSS:") - rss_before;
	out->heap_mb = (double)(heap_bytes() - heap_before) / bytes_per_mb;
	out->load_ms = (double)elapsed / ns_per_ms;
	out->publications = log->len;
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++)
		out->records += snapshot_count(state, (enum record_kind)i);
	g_ptr_array_unref(log);
	return state;
}

static char *
changed_record(const struct fleet *fleet, enum change_kind kind, unsigned int i)
{
	size_t upstream = (size_t)i * 7919 % fleet->upstreams;
	unsigned int variant = 1 + i;

	switch (kind) {
	case CHANGE_ZONE:
		return fleet_zone(
		    i / 2 % fleet->zones, i % 2 == 0 ? variant : 0);
	case CHANGE_SERVICE:
		return fleet_service(upstream % fleet->services, variant);
	case CHANGE_HOST:
		return fleet_host(fleet, upstream, variant);
	case CHANGE_UPSTREAM:
	case CHANGE_KIND_COUNT:
		break;
	}
	return fleet_upstream(fleet, upstream, variant);
}

static struct publication *
publication_from_record(const struct snapshot *state, char *record)
{
	char *json = g_strdup_printf("{\"set\":[%s]}", record);

	g_free(record);
	return publication_new(snapshot_id(state).version + 1,
	    g_bytes_new_take(json, strlen(json)));
}

static void
measure_changes(struct snapshot **state, struct config_results *out)
{
	for (unsigned int i = 0; i < CHANGES_PER_KIND * CHANGE_KIND_COUNT;
	     i++) {
		enum change_kind kind = i % CHANGE_KIND_COUNT;
		struct publication *publication = publication_from_record(
		    *state,
		    changed_record(&out->fleet, kind, i / CHANGE_KIND_COUNT));
		struct apply_time elapsed = apply_publication(
		    state, publication, VERDICT_ACCEPTED, &out->release);

		histogram_record(&out->apply[kind], elapsed.wall_ns);
		histogram_record(&out->apply_all_kinds, elapsed.wall_ns);
		histogram_record(&out->apply_cpu, elapsed.cpu_ns);
		out->delta_bytes = g_bytes_get_size(publication->json);
		publication_unref(publication);
	}
}

/* Publish an upstream that refers to a host that does not exist. */
static void
measure_refusals(struct snapshot **state, struct config_results *out)
{
	const char *record = "{\"schema\":2,\"kind\":\"upstream\","
			     "\"name\":\"upstream-x\","
			     "\"service\":\"service-0000\","
			     "\"host\":\"host-x\","
			     "\"address\":\"127.0.0.1:7003\",\"slots\":12,"
			     "\"connections\":110}";

	for (unsigned int i = 0; i < REFUSALS; i++) {
		struct publication *publication =
		    publication_from_record(*state, g_strdup(record));

		histogram_record(&out->refusal,
		    apply_publication(state, publication, VERDICT_REFUSED, NULL)
			.wall_ns);
		publication_unref(publication);
	}
}

/* Measure the heap of a second version held beside the previous one. */
static void
measure_extra_version(struct snapshot **state, struct config_results *out)
{
	struct publication *publication =
	    publication_from_record(*state, fleet_upstream(&out->fleet, 0, 1));
	struct snapshot *first = snapshot_ref(*state);
	size_t before = heap_bytes();

	apply_publication(state, publication, VERDICT_ACCEPTED, NULL);
	out->extra_version_kb = (double)(heap_bytes() - before) / 1024;
	publication_unref(publication);
	snapshot_unref(first);
}

/* Measure the lookup of a request's route and of the service it refers to. */
static void
measure_lookups(const struct snapshot *state, struct config_results *out)
{
	char authority[REQUEST_TEXT_MAX];
	char path[REQUEST_TEXT_MAX];
	uint64_t elapsed = 0;

	for (size_t i = 0; i < LOOKUPS; i++) {
		size_t service = i * 7919 % out->fleet.services;
		bool by_prefix = i % 2 == 0;
		const struct service_view *view;
		const struct record *route;
		uint64_t start_ns;

		g_snprintf(authority, sizeof(authority),
		    by_prefix ? "any" : "service-%04zu.example", service);
		g_snprintf(
		    path, sizeof(path), "/v1/service-%04zu/reels/812", service);
		start_ns = now_ns();
		route = snapshot_match_route(
		    state, str_from(authority), str_from(path));
		view = route == NULL
		    ? NULL
		    : snapshot_service(state, route->route.service);
		elapsed += now_ns() - start_ns;
		if (view == NULL || view->upstream_count == 0)
			g_error("no upstream for %s%s", authority, path);
	}
	out->lookup_ns = (double)elapsed / LOOKUPS;
}

static void
measure_handover(const struct snapshot *state, struct config_results *out)
{
	uint64_t serialize_ns = UINT64_MAX;
	uint64_t deserialize_ns = UINT64_MAX;
	double idle_mb;

	malloc_trim(0);
	reset_peak();
	idle_mb = status_mb("VmRSS:");
	for (int i = 0; i < HANDOVERS; i++) {
		uint64_t start_ns = now_ns();
		GBytes *bytes = snapshot_serialize(state);
		uint64_t serialized_ns = now_ns();
		struct snapshot *copy =
		    snapshot_deserialize(snapshot_id(state), bytes, NULL);
		uint64_t end_ns = now_ns();

		if (copy == NULL)
			g_error(
			    "the handed-over state could not be deserialized");
		serialize_ns = MIN(serialize_ns, serialized_ns - start_ns);
		deserialize_ns = MIN(deserialize_ns, end_ns - serialized_ns);
		out->handover_bytes = g_bytes_get_size(bytes);
		g_bytes_unref(bytes);
		snapshot_unref(copy);
	}
	out->handover_peak_mb = status_mb("VmHWM:") - idle_mb;
	out->serialize_ms = (double)serialize_ns / ns_per_ms;
	out->deserialize_ms = (double)deserialize_ns / ns_per_ms;
}

static void
measure(size_t upstreams, struct config_results *out)
{
	struct snapshot *state;

	fleet_init(&out->fleet, upstreams, ZONES);
	state = load_fleet(&out->fleet, out);
	measure_extra_version(&state, out);
	measure_changes(&state, out);
	measure_refusals(&state, out);
	measure_lookups(state, out);
	measure_handover(state, out);
	snapshot_unref(state);
	malloc_trim(0);
}

static void
usage(FILE *out)
{
	fputs("usage: bench-config [--json] [UPSTREAMS ...]\n"
	      "Measure what one node's configuration costs: time, memory and\n"
	      "bytes; default sizes 1000 4000 8000 15000.\n",
	    out);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
		{ "json", no_argument, NULL, 'j' },
		{ "help", no_argument, NULL, 'h' },
		{ NULL, 0, NULL, 0 },
	};
	static const size_t sizes[] = { 1000, 4000, 8000, 15000 };
	size_t count = G_N_ELEMENTS(sizes);
	bool json = false;
	int option;

	while ((option = getopt_long(argc, argv, "h", options, NULL)) != -1) {
		if (option == 'h') {
			usage(stdout);
			return EXIT_SUCCESS;
		}
		if (option != 'j') {
			usage(stderr);
			return 2;
		}
		json = true;
	}
	if (argc > optind)
		count = (size_t)(argc - optind);
	for (size_t i = 0; i < count; i++) {
		struct config_results *results =
		    g_new0(struct config_results, 1);
		size_t upstreams = argc > optind
		    ? strtoul(argv[optind + (int)i], NULL, 10)
		    : sizes[i];

		measure(MAX(upstreams, 1), results);
		if (json)
			config_results_print_json(results);
		else
			config_results_print_table(results);
		g_free(results);
	}
	return EXIT_SUCCESS;
}
