#include <getopt.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/histogram.h"
#include "config/snapshot.h"
#include "fleet.h"

/*
 * What one node's configuration costs against the size of its fleet: time to
 * load, change, search and hand it over, and its memory.
 */
enum {
	CHANGES = 600, /* of each kind */
	REFUSED = 600,
	LOOKUPS = 200000,
	HANDOVERS = 5,
	MATCH_TEXT_MAX = 64,
	NS_PER_S = 1000000000,
};

static const double ns_per_us = 1e3;
static const double ns_per_ms = 1e6;
static const double bytes_per_mb = 1024 * 1024;

/* One change of one record, by the kind of record. */
enum change_kind {
	CHANGE_ZONE,
	CHANGE_SERVICE,
	CHANGE_HOST,
	CHANGE_UPSTREAM,
	CHANGE_KIND_COUNT,
};

static const char *const change_names[CHANGE_KIND_COUNT] = {
	[CHANGE_ZONE] = "zone",
	[CHANGE_SERVICE] = "service",
	[CHANGE_HOST] = "host",
	[CHANGE_UPSTREAM] = "upstream",
};

struct figures {
	struct fleet fleet;
	size_t publications;
	size_t records;
	double load_ms;
	double rss_mb;
	double heap_mb;
	double load_peak_mb; /* of RSS, above that before */
	double second_kb;    /* of heap, for one more version that shares */
	struct histogram apply[CHANGE_KIND_COUNT]; /* ns */
	struct histogram apply_all;
	struct histogram release; /* ns, of the version before */
	struct histogram refused; /* ns */
	double lookup_ns;
	size_t delta_bytes;
	size_t handover_bytes;
	double serialize_ms;
	double deserialize_ms;
	double handover_peak_mb; /* of RSS, above that at rest */
};

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

/* Bytes of a line of /proc/self/status such as VmRSS; 0 when absent. */
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

/* Let VmHWM begin anew at the present size. */
static void
reset_peak(void)
{
	FILE *refs = fopen("/proc/self/clear_refs", "w");

	if (refs == NULL)
		return;
	fputs("5", refs);
	fclose(refs);
}

/* Apply a publication in place of the state; tells the time it took. */
static uint64_t
apply(struct snapshot **state, const struct publication *publication,
    enum verdict_kind expected, struct histogram *release)
{
	struct verdict verdict;
	struct snapshot *next;
	uint64_t began = now_ns();
	uint64_t applied;

	next = snapshot_apply(*state, publication, &verdict);
	applied = now_ns();
	if (verdict.kind != expected)
		g_error("version %" G_GUINT64_FORMAT
			" got an unexpected verdict",
		    publication->version);
	verdict_clear(&verdict);
	snapshot_unref(*state);
	if (release != NULL)
		histogram_record(release, now_ns() - applied);
	*state = next;
	return applied - began;
}

static struct snapshot *
load(const struct fleet *fleet, struct figures *out)
{
	GPtrArray *log = fleet_publications(fleet);
	struct snapshot *state = snapshot_empty_new();
	double rss_before;
	size_t heap_before;
	uint64_t took = 0;

	malloc_trim(0);
	reset_peak();
	rss_before = status_mb("VmRSS:");
	heap_before = heap_bytes();
	for (size_t i = 0; i < log->len; i++)
		took += apply(&state, log->pdata[i], VERDICT_ACCEPTED, NULL);
	out->load_peak_mb = status_mb("VmHWM:") - rss_before;
	malloc_trim(0);
	out->rss_mb = status_mb("VmRSS:") - rss_before;
	out->heap_mb = (double)(heap_bytes() - heap_before) / bytes_per_mb;
	out->load_ms = (double)took / ns_per_ms;
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
		    i / 2 % FLEET_ZONES, i % 2 == 0 ? variant : 0);
	case CHANGE_SERVICE:
		return fleet_service(upstream % fleet->services, variant);
	case CHANGE_HOST:
		return fleet_host(upstream, variant);
	case CHANGE_UPSTREAM:
	case CHANGE_KIND_COUNT:
		break;
	}
	return fleet_upstream(fleet, upstream, variant);
}

static struct publication *
publication_of(const struct snapshot *state, char *record)
{
	char *json = g_strdup_printf("{\"set\":[%s]}", record);

	g_free(record);
	return publication_new(snapshot_id(state).version + 1,
	    g_bytes_new_take(json, strlen(json)));
}

static void
measure_changes(struct snapshot **state, struct figures *out)
{
	for (unsigned int i = 0; i < CHANGES * CHANGE_KIND_COUNT; i++) {
		enum change_kind kind = i % CHANGE_KIND_COUNT;
		struct publication *publication = publication_of(*state,
		    changed_record(&out->fleet, kind, i / CHANGE_KIND_COUNT));
		uint64_t took =
		    apply(state, publication, VERDICT_ACCEPTED, &out->release);

		histogram_record(&out->apply[kind], took);
		histogram_record(&out->apply_all, took);
		out->delta_bytes = g_bytes_get_size(publication->json);
		publication_unref(publication);
	}
}

/* An upstream on a host that does not exist. */
static void
measure_refused(struct snapshot **state, struct figures *out)
{
	const char *record = "{\"schema\":2,\"kind\":\"upstream\","
			     "\"name\":\"upstream-x\","
			     "\"service\":\"service-0000\","
			     "\"host\":\"host-x\","
			     "\"address\":\"127.0.0.1:7003\",\"slots\":12,"
			     "\"connections\":110}";

	for (unsigned int i = 0; i < REFUSED; i++) {
		struct publication *publication =
		    publication_of(*state, g_strdup(record));

		histogram_record(&out->refused,
		    apply(state, publication, VERDICT_REFUSED, NULL));
		publication_unref(publication);
	}
}

/* What one more version costs beside the one before it. */
static void
measure_second(struct snapshot **state, struct figures *out)
{
	struct publication *publication =
	    publication_of(*state, fleet_upstream(&out->fleet, 0, 1));
	struct snapshot *first = snapshot_ref(*state);
	size_t before = heap_bytes();

	apply(state, publication, VERDICT_ACCEPTED, NULL);
	out->second_kb = (double)(heap_bytes() - before) / 1024;
	publication_unref(publication);
	snapshot_unref(first);
}

/* The route of a request and the service that it points at. */
static void
measure_lookups(const struct snapshot *state, struct figures *out)
{
	char authority[MATCH_TEXT_MAX];
	char path[MATCH_TEXT_MAX];
	uint64_t took = 0;

	for (size_t i = 0; i < LOOKUPS; i++) {
		size_t service = i * 7919 % out->fleet.services;
		bool by_prefix = i % 2 == 0;
		const struct service_view *view;
		const struct record *route;
		uint64_t began;

		g_snprintf(authority, sizeof(authority),
		    by_prefix ? "any" : "service-%04zu.example", service);
		g_snprintf(
		    path, sizeof(path), "/v1/service-%04zu/reels/812", service);
		began = now_ns();
		route = snapshot_match_route(
		    state, str_from(authority), str_from(path));
		view = route == NULL
		    ? NULL
		    : snapshot_service(state, route->route.service);
		took += now_ns() - began;
		if (view == NULL || view->upstream_count == 0)
			g_error("no upstream for %s%s", authority, path);
	}
	out->lookup_ns = (double)took / LOOKUPS;
}

static void
measure_handover(const struct snapshot *state, struct figures *out)
{
	uint64_t serialize_ns = UINT64_MAX;
	uint64_t deserialize_ns = UINT64_MAX;
	double rest;

	malloc_trim(0);
	reset_peak();
	rest = status_mb("VmRSS:");
	for (int i = 0; i < HANDOVERS; i++) {
		uint64_t began = now_ns();
		GBytes *bytes = snapshot_serialize(state);
		uint64_t middle = now_ns();
		struct snapshot *copy =
		    snapshot_deserialize(snapshot_id(state), bytes, NULL);
		uint64_t ended = now_ns();

		if (copy == NULL)
			g_error("the hand-over was not taken");
		serialize_ns = MIN(serialize_ns, middle - began);
		deserialize_ns = MIN(deserialize_ns, ended - middle);
		out->handover_bytes = g_bytes_get_size(bytes);
		g_bytes_unref(bytes);
		snapshot_unref(copy);
	}
	out->handover_peak_mb = status_mb("VmHWM:") - rest;
	out->serialize_ms = (double)serialize_ns / ns_per_ms;
	out->deserialize_ms = (double)deserialize_ns / ns_per_ms;
}

static void
measure(size_t upstreams, struct figures *out)
{
	struct snapshot *state;

	fleet_init(&out->fleet, upstreams);
	state = load(&out->fleet, out);
	measure_second(&state, out);
	measure_changes(&state, out);
	measure_refused(&state, out);
	measure_lookups(state, out);
	measure_handover(state, out);
	snapshot_unref(state);
	malloc_trim(0);
}

static double
quantile_us(const struct histogram *histogram, double quantile)
{
	return (double)histogram_quantile(histogram, quantile) / ns_per_us;
}

static double
max_us(const struct histogram *histogram)
{
	return (double)histogram->max / ns_per_us;
}

static void
print_line(const char *name, const struct histogram *histogram)
{
	printf("  %-22s p50 %8.1f us  p99 %8.1f us  max %8.1f us\n", name,
	    quantile_us(histogram, 0.5), quantile_us(histogram, 0.99),
	    max_us(histogram));
}

static void
print_table(const struct figures *f)
{
	printf("%zu upstreams, %zu services, %zu records\n", f->fleet.upstreams,
	    f->fleet.services, f->records);
	printf("  full load              %8.1f ms from %zu publications\n",
	    f->load_ms, f->publications);
	print_line("one record", &f->apply_all);
	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++)
		print_line(change_names[i], &f->apply[i]);
	print_line("release of the former", &f->release);
	print_line("refused", &f->refused);
	printf("  route and service      %8.0f ns\n", f->lookup_ns);
	printf("  memory                 %8.2f MB resident, %.2f MB heap, "
	       "%.2f MB peak while loading\n",
	    f->rss_mb, f->heap_mb, f->load_peak_mb);
	printf("  one more version       %8.1f KB heap\n", f->second_kb);
	printf("  delta                  %8zu bytes\n", f->delta_bytes);
	printf("  hand-over              %8zu bytes, write %.1f ms, read "
	       "%.1f ms, peak %.1f MB\n",
	    f->handover_bytes, f->serialize_ms, f->deserialize_ms,
	    f->handover_peak_mb);
}

static json_t *
quantiles_json(const struct histogram *histogram)
{
	return json_pack("{s:f,s:f,s:f}", "p50_us", quantile_us(histogram, 0.5),
	    "p99_us", quantile_us(histogram, 0.99), "max_us",
	    max_us(histogram));
}

static void
print_json(const struct figures *f)
{
	json_t *root = json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I,"
				 "s:f,s:f,s:f,s:f,s:o,s:o,s:o}",
	    "upstreams", (json_int_t)f->fleet.upstreams, "services",
	    (json_int_t)f->fleet.services, "records", (json_int_t)f->records,
	    "publications", (json_int_t)f->publications, "load_ms", f->load_ms,
	    "rss_mb", f->rss_mb, "heap_mb", f->heap_mb, "second_version_kb",
	    f->second_kb, "lookup_ns", f->lookup_ns, "delta_bytes",
	    (json_int_t)f->delta_bytes, "handover_bytes",
	    (json_int_t)f->handover_bytes, "serialize_ms", f->serialize_ms,
	    "deserialize_ms", f->deserialize_ms, "handover_peak_mb",
	    f->handover_peak_mb, "load_peak_mb", f->load_peak_mb, "apply",
	    quantiles_json(&f->apply_all), "release",
	    quantiles_json(&f->release), "refused",
	    quantiles_json(&f->refused));
	char *text;

	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++) {
		char *name = g_strdup_printf("apply_%s", change_names[i]);

		json_object_set_new(root, name, quantiles_json(&f->apply[i]));
		g_free(name);
	}
	text = json_dumps(root, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(root);
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
		struct figures *figures = g_new0(struct figures, 1);
		size_t upstreams = argc > optind
		    ? strtoul(argv[optind + (int)i], NULL, 10)
		    : sizes[i];

		measure(MAX(upstreams, 1), figures);
		if (json)
			print_json(figures);
		else
			print_table(figures);
		g_free(figures);
	}
	return EXIT_SUCCESS;
}
