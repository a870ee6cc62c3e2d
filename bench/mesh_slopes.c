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
 * What one node costs against the size of its fleet: one mesh object whose
 * snapshot holds the whole fleet, with a transport that encodes and drops.
 * Every host but its own is answered for by this program.
 */
enum {
	ZONES = 16,
	SERVICES = 840,
	REST_TICKS = 50 * 600, /* ten minutes */
	VERSIONS = 300,
	FRAMES = 20000,
	JOIN_TICKS = 500,
	HEARTBEAT_MS = 500,
	READERS = 3,
	FANOUT = 4,
	US_PER_S = 1000000,
	NS_PER_US = 1000,
	MS_PER_S = 1000,
	HOSTS_AT_ONCE = 500, /* in one publication */
};

struct bench {
	struct mesh_transport transport;
	struct mesh_platform platform;
	struct mesh_observer observer;
	struct fake_clock clock;
	struct rng *rng;
	struct mesh *mesh;
	GPtrArray *log; /* the platform's publications */
	bool asked[PLATFORM_READ_HOSTS + 1];
	uint64_t messages;
	uint64_t bytes;
};

struct figures {
	size_t hosts;
	double state_mb;
	double tick_us;
	double rest_messages;
	double rest_bytes;
	double reader_version_us;
	double reader_messages;
	double reader_bytes;
	double version_us;
	double version_messages;
	double version_bytes;
	double frame_us;
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
	GBytes *head = mesh_message_encode(message);

	bench->messages++;
	bench->bytes += g_bytes_get_size(head);
	g_bytes_unref(head);
}

static void
platform_request(struct mesh_platform *platform, enum platform_request request,
    uint64_t after)
{
	bench_of(platform, offsetof(struct bench, platform))->asked[request] =
	    true;
}

static void
platform_cancel(struct mesh_platform *platform, enum platform_request request)
{
	bench_of(platform, offsetof(struct bench, platform))->asked[request] =
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
log_publish(struct bench *bench, GString *records)
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

/* Zones, services with a route each, hosts with an upstream each. */
static void
log_fleet(struct bench *bench, size_t hosts)
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
	log_publish(bench, records);
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
		if (i % HOSTS_AT_ONCE == HOSTS_AT_ONCE - 1 || i + 1 == hosts)
			log_publish(bench, records);
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
	uint64_t held = snapshot_id(mesh_snapshot(bench->mesh)).version;
	GPtrArray *list = g_ptr_array_new();

	for (size_t i = held; i < bench->log->len; i++)
		g_ptr_array_add(list, bench->log->pdata[i]);
	mesh_handle_changes(bench->mesh, request, list, bench->log->len);
	g_ptr_array_unref(list);
}

/* Answer what is asked; a watch is left waiting while nothing is new. */
static void
answer_platform(struct bench *bench)
{
	uint64_t held = snapshot_id(mesh_snapshot(bench->mesh)).version;

	for (size_t i = 0; i < G_N_ELEMENTS(bench->asked); i++) {
		if (!bench->asked[i] ||
		    (i == PLATFORM_WATCH_CHANGES && held == bench->log->len))
			continue;
		bench->asked[i] = false;
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
	answer_platform(bench);
}

/* A message of a peer, decoded anew as it would come by the wire. */
static void
receive(struct bench *bench, const struct mesh_message *message)
{
	GBytes *head = mesh_message_encode(message);
	size_t len;
	const void *data = g_bytes_get_data(head, &len);
	struct mesh_message *decoded =
	    mesh_message_decode(str_make(data, len), NULL);

	mesh_handle_message(bench->mesh, decoded);
	mesh_message_free(decoded);
	g_bytes_unref(head);
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
start(struct bench *bench)
{
	struct mesh_settings settings = {
		.host = str_from("h0"),
		.zone = str_from("z0"),
		.address = str_from("10.0.0.0:7001"),
		.policy = SPREAD_TREE,
		.heartbeat_ms = HEARTBEAT_MS,
		.readers_per_zone = READERS,
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
		struct mesh_message hello = peer_message(bench, MESH_WELCOME);

		hello.ready = false;
		if (mesh_state(bench->mesh) == MESH_JOINING)
			receive(bench, &hello);
		tick(bench);
	}
	if (mesh_state(bench->mesh) != MESH_READY)
		g_error("the node did not become ready");
}

static void
measure_rest(struct bench *bench, struct figures *out)
{
	double seconds = (double)REST_TICKS * MESH_TICK_MS / MS_PER_S;
	double before;

	bench->messages = bench->bytes = 0;
	before = cpu_us();
	for (int i = 0; i < REST_TICKS; i++)
		tick(bench);
	out->tick_us = (cpu_us() - before) / REST_TICKS;
	out->rest_messages = (double)bench->messages / seconds;
	out->rest_bytes = (double)bench->bytes / seconds;
}

static void
publish_change(struct bench *bench)
{
	GString *records = g_string_new("");

	append_record(records,
	    "{\"schema\":2,\"kind\":\"service\",\"name\":\"s0\","
	    "\"timeout_ms\":%u}",
	    2000 + bench->log->len % 100);
	log_publish(bench, records);
	g_string_free(records, TRUE);
}

/* A reader takes each version from the platform and feeds the roots. */
static void
measure_reader(struct bench *bench, struct figures *out)
{
	double before;

	bench->messages = bench->bytes = 0;
	for (int i = 0; i < VERSIONS; i++)
		publish_change(bench);
	before = cpu_us();
	for (int i = 0; i < VERSIONS; i++) {
		struct publication *one =
		    bench->log->pdata[bench->log->len - VERSIONS + i];
		GPtrArray *list = g_ptr_array_new();

		g_ptr_array_add(list, one);
		mesh_handle_changes(
		    bench->mesh, PLATFORM_READ_CHANGES, list, one->version);
		g_ptr_array_unref(list);
	}
	out->reader_version_us = (cpu_us() - before) / VERSIONS;
	out->reader_messages = (double)bench->messages / VERSIONS;
	out->reader_bytes = (double)bench->bytes / VERSIONS;
}

/* Any other node is pushed each version by its parent in the tree. */
static void
measure_pushed(struct bench *bench, struct figures *out)
{
	double before;

	bench->messages = bench->bytes = 0;
	for (int i = 0; i < VERSIONS; i++)
		publish_change(bench);
	before = cpu_us();
	for (int i = 0; i < VERSIONS; i++) {
		struct mesh_message push =
		    peer_message(bench, MESH_PUBLICATIONS);
		struct publication *one =
		    bench->log->pdata[bench->log->len - VERSIONS + i];

		push.publications.list = &one;
		push.publications.count = 1;
		receive(bench, &push);
	}
	out->version_us = (cpu_us() - before) / VERSIONS;
	out->version_messages = (double)bench->messages / VERSIONS;
	out->version_bytes = (double)bench->bytes / VERSIONS;
}

static void
measure_frames(struct bench *bench, struct figures *out)
{
	struct reader_beat beats[] = { { str_from("h32"), 1, 10 },
		{ str_from("h48"), 1, 20 }, { str_from("h64"), 1, 30 } };
	struct mesh_message heartbeat = peer_message(bench, MESH_HEARTBEAT);
	GBytes *head;
	double before;

	heartbeat.heartbeat.readers = beats;
	heartbeat.heartbeat.reader_count = G_N_ELEMENTS(beats);
	head = mesh_message_encode(&heartbeat);
	out->heartbeat_bytes = g_bytes_get_size(head);
	g_bytes_unref(head);
	before = cpu_us();
	for (int i = 0; i < FRAMES; i++)
		receive(bench, &heartbeat);
	out->frame_us = (cpu_us() - before) / FRAMES;
}

static void
measure(size_t hosts_per_zone, struct figures *out)
{
	struct bench *bench = g_new0(struct bench, 1);
	size_t before;

	fake_clock_init(&bench->clock);
	bench->rng = rng_seeded_new(hosts_per_zone);
	bench->log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)publication_unref);
	out->hosts = hosts_per_zone * ZONES;
	log_fleet(bench, out->hosts);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	start(bench);
	malloc_trim(0);
	out->state_mb =
	    (double)(mallinfo2().uordblks + mallinfo2().hblkhd - before) /
	    (1024 * 1024);
	measure_rest(bench, out);
	measure_reader(bench, out);
	measure_pushed(bench, out);
	measure_frames(bench, out);
	mesh_free(bench->mesh);
	g_ptr_array_unref(bench->log);
	rng_free(bench->rng);
	g_free(bench);
}

static void
print_row(const struct figures *f, size_t hosts_per_zone)
{
	printf("%8zu %7zu %9.2f %8.2f %8.2f %9.0f %10.1f %9.1f %9.0f %10.1f "
	       "%9.1f %9.0f %9.2f %6zu\n",
	    hosts_per_zone, f->hosts, f->state_mb, f->tick_us, f->rest_messages,
	    f->rest_bytes, f->reader_version_us, f->reader_messages,
	    f->reader_bytes, f->version_us, f->version_messages,
	    f->version_bytes, f->frame_us, f->heartbeat_bytes);
}

static void
print_json(const struct figures *f, size_t hosts_per_zone)
{
	json_t *row = json_pack(
	    "{s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:I}",
	    "hosts_per_zone", (json_int_t)hosts_per_zone, "hosts",
	    (json_int_t)f->hosts, "state_mb", f->state_mb, "tick_us",
	    f->tick_us, "rest_messages_per_s", f->rest_messages,
	    "rest_bytes_per_s", f->rest_bytes, "reader_version_us",
	    f->reader_version_us, "reader_version_messages", f->reader_messages,
	    "reader_version_bytes", f->reader_bytes, "version_us",
	    f->version_us, "version_messages", f->version_messages,
	    "version_bytes", f->version_bytes, "frame_us", f->frame_us,
	    "heartbeat_bytes", (json_int_t)f->heartbeat_bytes);
	char *text = json_dumps(row, JSON_COMPACT);

	printf("%s\n", text);
	free(text);
	json_decref(row);
}

static void
usage(FILE *out)
{
	fputs("usage: bench-mesh-slopes [--json] [HOSTS-PER-ZONE ...]\n"
	      "Measure what one node's part in the spread costs, in a fleet\n"
	      "of 16 zones; default sizes 12 48 144 940.\n",
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
		struct figures figures = { 0 };

		measure(hosts, &figures);
		if (json)
			print_json(&figures, hosts);
		else
			print_row(&figures, hosts);
	}
	return EXIT_SUCCESS;
}
