#include <getopt.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mesh/mesh.h"
#include "wire/mesh_codec.h"

/*
 * Measures how the cost of one node scales with the size of the fleet: one mesh
 * object whose snapshot contains the whole fleet, and a transport that encodes
 * messages and drops them. This program simulates all other hosts.
 */
enum {
	ZONES = 16,
	SERVICES = 840,
	IDLE_TICKS = 50 * 600, /* ten minutes */
	VERSIONS_MEASURED = 300,
	FRAMES = 20000,
	JOIN_TICKS = 500,
	HEARTBEAT_MS = 500,
	READERS_PER_ZONE = 3,
	FANOUT = 4,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	MS_PER_S = 1000,
	HOSTS_PER_PUBLICATION = 500,
};

struct bench {
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	struct fake_clock clock;
	struct rng *rng;
	struct mesh *mesh;
	GPtrArray *log; /* the platform's publications */
	bool pending[PLATFORM_READ_HOSTS + 1];
	uint64_t messages;
	uint64_t bytes;
};

struct results {
	size_t hosts;
	double state_mb;
	double tick_us;
	double idle_messages;     /* per second */
	double idle_bytes;        /* per second */
	double reader_version_us; /* CPU time of a reader, per version */
	double reader_messages;   /* per version */
	double reader_bytes;      /* per version */
	double version_us;        /* CPU time of other nodes, per version */
	double version_messages;  /* per version */
	double version_bytes;     /* per version */
	double frame_us;          /* CPU time per received heartbeat */
	size_t heartbeat_bytes;
};

static struct bench *
bench_of(void *member, size_t offset)
{
	return (struct bench *)((char *)member - offset);
}

static void
transport_send(struct mesh_transport *transport, struct str address,
    const struct mesh_message *message)
{
	struct bench *bench =
	    bench_of(transport, offsetof(struct bench, transport));
	GBytes *encoded = mesh_message_encode(message);

	bench->messages++;
	bench->bytes += g_bytes_get_size(encoded);
	g_bytes_unref(encoded);
}

static void
platform_request(struct mesh_platform *platform, enum platform_request request,
    uint64_t after)
{
	bench_of(platform, offsetof(struct bench, platform))->pending[request] =
	    true;
}

static void
platform_cancel(struct mesh_platform *platform, enum platform_request request)
{
	bench_of(platform, offsetof(struct bench, platform))->pending[request] =
	    false;
}

static void
observer_publish(struct mesh_observer *observer, struct snapshot *snapshot)
{
}

static const struct mesh_transport_ops transport_ops = { transport_send };
static const struct mesh_platform_ops platform_ops = { platform_request,
	platform_cancel };
static const struct mesh_observer_ops observer_ops = { observer_publish };

static double
cpu_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * US_PER_S + (double)now.tv_nsec / NS_PER_US;
}

static void
publish_records(struct bench *bench, GString *records)
{
	char *json = g_strdup_printf("{\"set\":[%s]}", records->str);

	g_ptr_array_add(bench->log,
	    publication_new(
		bench->log->len + 1, g_bytes_new_take(json, strlen(json))));
	g_string_truncate(records, 0);
}

static void append_record(GString *records, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

static void
append_record(GString *records, const char *format, ...)
{
	va_list args;

	if (records->len > 0)
		g_string_append_c(records, ',');
	va_start(args, format);
	g_string_append_vprintf(records, format, args);
	va_end(args);
}

/* Publish zones, services with one route each, hosts with one upstream each. */
static void
publish_fleet(struct bench *bench, size_t hosts)
{
	GString *records = g_string_new("");
	size_t services = MIN((size_t)SERVICES, MAX(hosts / 18, 1));

	for (size_t i = 0; i < ZONES; i++)
		append_record(records,
		    "{\"schema\":2,\"kind\":\"zone\",\"name\":\"z%zu\","
		    "\"state\":\"in\"}",
		    i);
	for (size_t i = 0; i < services; i++) {
		append_record(records,
		    "{\"schema\":2,\"kind\":\"service\",\"name\":\"s%zu\","
		    "\"timeout_ms\":2000}",
		    i);
		append_record(records,
		    "{\"schema\":2,\"kind\":\"route\",\"name\":\"r%zu\","
		    "\"service\":\"s%zu\",\"authority\":\"s%zu.example\"}",
		    i, i, i);
	}
	publish_records(bench, records);
	for (size_t i = 0; i < hosts; i++) {
		append_record(records,
		    "{\"schema\":2,\"kind\":\"host\",\"name\":\"h%zu\","
		    "\"zone\":\"z%zu\",\"node\":\"10.%zu.%zu.%zu:7001\","
		    "\"state\":\"in\"}",
		    i, i % ZONES, i >> 16, i >> 8 & 255, i & 255);
		append_record(records,
		    "{\"schema\":2,\"kind\":\"upstream\",\"name\":\"u%zu\","
		    "\"service\":\"s%zu\",\"host\":\"h%zu\","
		    "\"address\":\"127.0.0.1:7003\",\"slots\":12,"
		    "\"connections\":110}",
		    i, i % services, i);
		if (i % HOSTS_PER_PUBLICATION == HOSTS_PER_PUBLICATION - 1 ||
		    i + 1 == hosts)
			publish_records(bench, records);
	}
	g_string_free(records, TRUE);
}

static void
answer_hosts(struct bench *bench)
{
	struct mesh_host_entry self = { .name = str_from("h0"),
		.zone = str_from("z0"),
		.node = str_from("10.0.0.0:7001") };

	mesh_handle_hosts(bench->mesh, &self, 1);
}

static void
answer_changes(struct bench *bench, enum platform_request request)
{
	uint64_t version = snapshot_id(mesh_snapshot(bench->mesh)).version;
	GPtrArray *list = g_ptr_array_new();

	for (size_t i = version; i < bench->log->len; i++)
		g_ptr_array_add(list, bench->log->pdata[i]);
	mesh_handle_changes(bench->mesh, request, list, bench->log->len);
	g_ptr_array_unref(list);
}

/* Answer pending requests; a watch stays pending while there is no change. */
static void
answer_platform_requests(struct bench *bench)
{
	uint64_t version = snapshot_id(mesh_snapshot(bench->mesh)).version;

	for (size_t i = 0; i < G_N_ELEMENTS(bench->pending); i++) {
		if (!bench->pending[i] ||
		    (i == PLATFORM_WATCH_CHANGES && version == bench->log->len))
			continue;
		bench->pending[i] = false;
		if (i == PLATFORM_READ_HOSTS)
			answer_hosts(bench);
		else
			answer_changes(bench, (enum platform_request)i);
	}
}

static void
tick(struct bench *bench)
{
	fake_clock_advance_ms(&bench->clock, MESH_TICK_MS);
	mesh_tick(bench->mesh);
	answer_platform_requests(bench);
}

/* Deliver a peer's message, encoded and decoded as if received by wire. */
static void
receive_message(struct bench *bench, const struct mesh_message *message)
{
	GBytes *encoded = mesh_message_encode(message);
	size_t len;
	const void *data = g_bytes_get_data(encoded, &len);
	struct mesh_message *decoded =
	    mesh_message_decode(str_make(data, len), NULL);

	mesh_handle_message(bench->mesh, decoded);
	mesh_message_free(decoded);
	g_bytes_unref(encoded);
}

static struct mesh_message
peer_message(struct bench *bench, enum mesh_message_kind kind)
{
	struct mesh_message message = {
		.kind = kind,
		.sender = { str_from("h16"), str_from("z0"),
		    str_from("10.0.0.16:7001") },
		.incarnation = 1,
		.ready = true,
		.state = snapshot_id(mesh_snapshot(bench->mesh)),
	};

	return message;
}

static void
start_node(struct bench *bench)
{
	struct mesh_settings settings = {
		.host = str_from("h0"),
		.zone = str_from("z0"),
		.address = str_from("10.0.0.0:7001"),
		.policy = SPREAD_TREE,
		.heartbeat_ms = HEARTBEAT_MS,
		.readers_per_zone = READERS_PER_ZONE,
		.fanout = FANOUT,
		.incarnation = 1,
	};
	struct mesh_env env = {
		.clock = &bench->clock.base,
		.rng = bench->rng,
		.transport = &bench->transport,
		.platform = &bench->platform,
		.observer = &bench->observer,
	};

	bench->transport.ops = &transport_ops;
	bench->platform.ops = &platform_ops;
	bench->observer.ops = &observer_ops;
	bench->mesh = mesh_new(&settings, &env);
	for (int i = 0; i < JOIN_TICKS; i++) {
		struct mesh_message welcome = peer_message(bench, MESH_WELCOME);

		welcome.ready = false;
		if (mesh_state(bench->mesh) == MESH_JOINING)
			receive_message(bench, &welcome);
		tick(bench);
	}
	if (mesh_state(bench->mesh) != MESH_READY)
		g_error("the node did not become ready");
}

static void
measure_idle(struct bench *bench, struct results *out)
{
	double seconds = (double)IDLE_TICKS * MESH_TICK_MS / MS_PER_S;
	double before;

	bench->messages = bench->bytes = 0;
	before = cpu_us();
	for (int i = 0; i < IDLE_TICKS; i++)
		tick(bench);
	out->tick_us = (cpu_us() - before) / IDLE_TICKS;
	out->idle_messages = (double)bench->messages / seconds;
	out->idle_bytes = (double)bench->bytes / seconds;
}

static void
publish_change(struct bench *bench)
{
	GString *records = g_string_new("");

	append_record(records,
	    "{\"schema\":2,\"kind\":\"service\",\"name\":\"s0\","
	    "\"timeout_ms\":%u}",
	    2000 + bench->log->len % 100);
	publish_records(bench, records);
	g_string_free(records, TRUE);
}

/* A reader gets each version from the platform and sends it to tree roots. */
static void
measure_reader(struct bench *bench, struct results *out)
{
	double before;

	bench->messages = bench->bytes = 0;
	for (int i = 0; i < VERSIONS_MEASURED; i++)
		publish_change(bench);
	before = cpu_us();
	for (int i = 0; i < VERSIONS_MEASURED; i++) {
		struct publication *publication =
		    bench->log->pdata[bench->log->len - VERSIONS_MEASURED + i];
		GPtrArray *list = g_ptr_array_new();

		g_ptr_array_add(list, publication);
		mesh_handle_changes(bench->mesh, PLATFORM_READ_CHANGES, list,
		    publication->version);
		g_ptr_array_unref(list);
	}
	out->reader_version_us = (cpu_us() - before) / VERSIONS_MEASURED;
	out->reader_messages = (double)bench->messages / VERSIONS_MEASURED;
	out->reader_bytes = (double)bench->bytes / VERSIONS_MEASURED;
}

/* Other nodes receive each version from their parent in the tree. */
static void
measure_pushed(struct bench *bench, struct results *out)
{
	double before;

	bench->messages = bench->bytes = 0;
	for (int i = 0; i < VERSIONS_MEASURED; i++)
		publish_change(bench);
	before = cpu_us();
	for (int i = 0; i < VERSIONS_MEASURED; i++) {
		struct mesh_message push =
		    peer_message(bench, MESH_PUBLICATIONS);
		struct publication *publication =
		    bench->log->pdata[bench->log->len - VERSIONS_MEASURED + i];

		push.publications.list = &publication;
		push.publications.count = 1;
		receive_message(bench, &push);
	}
	out->version_us = (cpu_us() - before) / VERSIONS_MEASURED;
	out->version_messages = (double)bench->messages / VERSIONS_MEASURED;
	out->version_bytes = (double)bench->bytes / VERSIONS_MEASURED;
}

static void
measure_frames(struct bench *bench, struct results *out)
{
	struct reader_beat readers[] = { { str_from("h32"), 1, 10 },
		{ str_from("h48"), 1, 20 }, { str_from("h64"), 1, 30 } };
	struct mesh_message heartbeat = peer_message(bench, MESH_HEARTBEAT);
	GBytes *encoded;
	double before;

	heartbeat.heartbeat.readers = readers;
	heartbeat.heartbeat.reader_count = G_N_ELEMENTS(readers);
	encoded = mesh_message_encode(&heartbeat);
	out->heartbeat_bytes = g_bytes_get_size(encoded);
	g_bytes_unref(encoded);
	before = cpu_us();
	for (int i = 0; i < FRAMES; i++)
		receive_message(bench, &heartbeat);
	out->frame_us = (cpu_us() - before) / FRAMES;
}

static void
measure(size_t hosts_per_zone, struct results *out)
{
	struct bench *bench = g_new0(struct bench, 1);
	size_t before;

	fake_clock_init(&bench->clock);
	bench->rng = rng_seeded_new(hosts_per_zone);
	bench->log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	out->hosts = hosts_per_zone * ZONES;
	publish_fleet(bench, out->hosts);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	start_node(bench);
	malloc_trim(0);
	out->state_mb =
	    (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) /
	    (1024 * 1024);
	measure_idle(bench, out);
	measure_reader(bench, out);
	measure_pushed(bench, out);
	measure_frames(bench, out);
	mesh_free(bench->mesh);
	g_ptr_array_unref(bench->log);
	rng_free(bench->rng);
	g_free(bench);
}

static void
print_row(const struct results *results, size_t hosts_per_zone)
{
	printf("%8zu %7zu %9.2f %8.2f %8.2f %9.0f %10.1f %9.1f %9.0f %10.1f "
	       "%9.1f %9.0f %9.2f %6zu\n",
	    hosts_per_zone, results->hosts, results->state_mb, results->tick_us,
	    results->idle_messages, results->idle_bytes,
	    results->reader_version_us, results->reader_messages,
	    results->reader_bytes, results->version_us,
	    results->version_messages, results->version_bytes,
	    results->frame_us, results->heartbeat_bytes);
}

static void
print_json(const struct results *results, size_t hosts_per_zone)
{
	json_t *row = json_pack(
	    "{s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:I}",
	    "hosts_per_zone", (json_int_t)hosts_per_zone, "hosts",
	    (json_int_t)results->hosts, "state_mb", results->state_mb,
	    "tick_us", results->tick_us, "rest_messages_per_s",
	    results->idle_messages, "rest_bytes_per_s", results->idle_bytes,
	    "reader_version_us", results->reader_version_us,
	    "reader_version_messages", results->reader_messages,
	    "reader_version_bytes", results->reader_bytes, "version_us",
	    results->version_us, "version_messages", results->version_messages,
	    "version_bytes", results->version_bytes, "frame_us",
	    results->frame_us, "heartbeat_bytes",
	    (json_int_t)results->heartbeat_bytes);
	char *text = json_dumps(row, JSON_COMPACT);

	printf("%s\n", text);
	free(text);
	json_decref(row);
}

static void
usage(FILE *out)
{
	fputs("usage: bench-mesh-slopes [--json] [HOSTS-PER-ZONE ...]\n"
	      "Measure what distributing configuration costs one node of a\n"
	      "fleet with 16 zones; default sizes 12 48 144 940.\n",
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
	static const size_t sizes[] = { 12, 48, 144, 940 };
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
	if (!json)
		puts("  a zone   fleet  state MB  tick us    msg/s   bytes/s  "
		     "reader us msg/vers. by/vers.    node us msg/vers. "
		     "by/vers.  frame us  beat");
	for (size_t i = 0; i < count; i++) {
		size_t hosts = argc > optind
		    ? strtoul(argv[optind + (int)i], NULL, 10)
		    : sizes[i];
		struct results results = { 0 };

		measure(hosts, &results);
		if (json)
			print_json(&results, hosts);
		else
			print_row(&results, hosts);
	}
	return EXIT_SUCCESS;
}
