#include <stdlib.h>
#include <string.h>

#include "common/rng.h"
#include "harness.h"
#include "platform/codec.h"
#include "platform/headers.h"
#include "quarantine/suspect.h"
#include "trefoilhill-proxy/heartbeat_message.h"
#include "trefoilhill-proxy/hop.h"

/*
 * Random mutations of valid input to the parsers of outside bytes: items of the
 * store, heartbeats and header fields of peers, and header fields of callers
 * and upstreams. They may refuse it, but must not crash or read out of bounds;
 * run it under the address sanitizer. Arguments: seed and number of rounds.
 */
enum {
	ROUNDS_DEFAULT = 3000,
	MUTATIONS_MAX = 8,
};

static uint64_t seed = 1;
static uint32_t rounds = ROUNDS_DEFAULT;

static const char config_text[] =
    "{\"version\":\"r7\",\"routes\":{\"r-1\":{\"host\":\"a.example\","
    "\"prefix\":\"/a/\",\"kind\":\"unsafe\",\"timeoutMs\":1200,"
    "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"orders\","
    "\"maxAttempts\":2},\"r-2\":{\"host\":\"a.example\",\"prefix\":\"/b/\","
    "\"kind\":\"download\",\"timeoutMs\":1000,\"targetLatencyMs\":300,"
    "\"priority\":2,\"maxAttempts\":2,\"weightedServices\":["
    "{\"service\":\"orders\",\"weight\":90}]}},\"services\":{\"orders\":{"
    "\"healthPath\":\"/h\",\"maxConnections\":120,\"coldStartS\":3.5,"
    "\"coldPerS\":26.0}},\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000}}";

/* Tables as lists, and the keys of workspaces. */
static const char keys_text[] =
    "{\"version\":\"r8\",\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
    "\"prefix\":\"/a/\",\"kind\":\"safe\",\"timeoutMs\":1200,"
    "\"targetLatencyMs\":400,\"priority\":1,\"service\":\"orders\","
    "\"public\":true,\"maxAttempts\":2}],\"services\":[{\"name\":\"orders\","
    "\"healthPath\":\"/h\",\"maxConnections\":120,\"coldStartS\":3.5,"
    "\"coldPerS\":26.0}],\"limits\":{\"maxHeaderBytes\":16384,"
    "\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000},\"tenants\":{\"acme\":{\"apiKeys\":[\"k-1\","
    "\"k-\\u00e9\"],\"priority\":2,\"ratePerS\":259,\"burst\":12.5},"
    "\"zeta\":{\"apiKeys\":[\"k-3\"],\"ratePerS\":0}}}";

static const char upstream_text[] =
    "{\"address\":\"10.1.0.9:8080\",\"born\":1700000000000,"
    "\"info\":{\"service\":\"orders\",\"version\":\"v1\",\"zone\":\"a\","
    "\"slots\":12},\"status\":{\"state\":\"ready\",\"seq\":4,"
    "\"coldRemainingMs\":250.5}}";

/* Change, insert, delete or repeat some bytes. */
static void
mutate(GByteArray *bytes, struct rng *rng)
{
	uint64_t count = 1 + rng_below(rng, MUTATIONS_MAX);

	for (uint64_t i = 0; i < count && bytes->len > 0; i++) {
		guint at = (guint)rng_below(rng, bytes->len);
		guint len = 1 + (guint)rng_below(rng, 16);
		guint8 *copy;

		len = MIN(len, bytes->len - at);
		switch (rng_below(rng, 4)) {
		case 0:
			bytes->data[at] = (guint8)rng_below(rng, 256);
			break;
		case 1:
			g_byte_array_remove_range(bytes, at, len);
			break;
		case 2:
			copy = g_memdup2(bytes->data + at, len);
			g_byte_array_append(bytes, copy, len);
			g_free(copy);
			break;
		case 3:
			bytes->data[at] =
			    (guint8) "09-.\"\\{}[]:,e \0\xff"[rng_below(
				rng, 16)];
			break;
		}
	}
}

/* Call a parser with mutations of valid input. */
static void
fuzz(const void *valid, size_t len, void (*parse)(struct str bytes))
{
	struct rng *rng = rng_seeded_new(seed);

	parse(str_make(valid, len));
	for (uint32_t i = 0; i < rounds; i++) {
		GByteArray *bytes = g_byte_array_new();
		void *exact;

		g_byte_array_append(bytes, valid, (guint)len);
		mutate(bytes, rng);
		/* Of the exact size, for the sanitizer to see overreads. */
		exact = g_memdup2(bytes->data, bytes->len);
		parse(str_make(exact, bytes->len));
		g_free(exact);
		g_byte_array_free(bytes, TRUE);
	}
	rng_free(rng);
}

static void
parse_item(const char *key, struct str bytes)
{
	GBytes *value = g_bytes_new(bytes.ptr, bytes.len);
	struct catalog_change change;

	platform_decode_item(key, value, NULL, &change);
	if (change.config != NULL) {
		const struct workspace *holder =
		    mesh_config_find_key(change.config, str_from("k-1"));

		CU_ASSERT_TRUE(holder == NULL ||
		    mesh_config_workspace(change.config, holder->name) ==
			holder);
	}
	catalog_change_clear(&change);
	g_bytes_unref(value);
}

static void
parse_config(struct str bytes)
{
	parse_item("op/config", bytes);
}

static void
parse_upstream(struct str bytes)
{
	parse_item("servers/i-1", bytes);
}

static void
test_items(void)
{
	fuzz(config_text, strlen(config_text), parse_config);
	fuzz(keys_text, strlen(keys_text), parse_config);
	fuzz(upstream_text, strlen(upstream_text), parse_upstream);
}

static void
parse_heartbeat(struct str bytes)
{
	struct heartbeat_message message;

	if (heartbeat_message_decode(bytes, &message))
		heartbeat_message_clear(&message);
}

/* A heartbeat with a plain, a compressed and a deleted item. */
static GBytes *
make_heartbeat(void)
{
	char large[4096] = { 0 };
	GBytes *small_value = g_bytes_new("x", 1);
	GBytes *large_value = g_bytes_new(large, sizeof(large));
	struct heartbeat_message message = {
		.position = { 3, 99 },
		.age_ms = 20,
		.upstream = g_strdup("i-1"),
		.upstream_started_ms = 1700000000000,
		.upstream_leaving = true,
		.load = { .rate_limit_known = true,
		    .rate_limit_per_ks = 14800,
		    .rate_wait_ms = 130 },
		.lost = { { { 7 }, 120 } },
		.lost_count = 1,
		.suspects = { g_strdup("00000000000000010000000000000002 1 -1 "
				       "0 0 0 7 1 20 0") },
		.suspect_count = 1,
		.quarantine_hash = 3,
		.quota = { .sender = 5,
		    .is_sample = true,
		    .count = 3,
		    .items = { { 1, 5, 65535, 7, 20, 0 },
			{ 1, 6, 2, 3, 0.5, 400 }, { 1, 7, 2, 3, 100, 9000 } } },
		.items = g_ptr_array_new_with_free_func(replica_item_free),
		.base_revision = 90,
	};
	GBytes *bytes;

	g_ptr_array_add(message.items, replica_item_new("a", small_value, 91));
	g_ptr_array_add(message.items, replica_item_new("b", large_value, 92));
	g_ptr_array_add(message.items, replica_item_new("c", NULL, 93));
	bytes = heartbeat_message_encode(&message);
	heartbeat_message_clear(&message);
	g_bytes_unref(small_value);
	g_bytes_unref(large_value);
	return bytes;
}

static void
test_heartbeats(void)
{
	GBytes *bytes = make_heartbeat();
	size_t len;
	const void *data = g_bytes_get_data(bytes, &len);
	struct heartbeat_message message;

	CU_ASSERT_TRUE_FATAL(
	    heartbeat_message_decode(str_make(data, len), &message));
	CU_ASSERT_EQUAL(message.position.era, 3);
	CU_ASSERT_EQUAL(message.position.revision, 99);
	CU_ASSERT_EQUAL(message.items->len, 3);
	CU_ASSERT_TRUE(message.upstream_leaving);
	CU_ASSERT_EQUAL(message.upstream_started_ms, 1700000000000);
	CU_ASSERT_TRUE(message.load.rate_limit_known);
	CU_ASSERT_EQUAL(message.load.rate_limit_per_ks, 14800);
	CU_ASSERT_EQUAL(message.load.rate_wait_ms, 130);
	CU_ASSERT_EQUAL(message.lost_count, 1);
	CU_ASSERT_EQUAL(message.lost[0].host.s_addr, 7);
	CU_ASSERT_EQUAL(message.lost[0].age_ms, 120);
	CU_ASSERT_EQUAL(message.quota.sender, 5);
	CU_ASSERT_TRUE(message.quota.is_sample);
	CU_ASSERT_EQUAL_FATAL(message.quota.count, 3);
	CU_ASSERT_EQUAL(message.quota.items[0].node, 5);
	CU_ASSERT_EQUAL(message.quota.items[0].taken, 65535);
	CU_ASSERT_EQUAL(message.quota.items[0].offered, 7);
	CU_ASSERT_DOUBLE_EQUAL(message.quota.items[0].rate, 20, 1);
	CU_ASSERT_EQUAL(message.quota.items[1].workspace, 1);
	CU_ASSERT_EQUAL(message.quota.items[1].node, 6);
	CU_ASSERT_DOUBLE_EQUAL(message.quota.items[1].rate, 0.5, 0.05);
	CU_ASSERT_EQUAL(message.quota.items[1].age_ms, 400);
	CU_ASSERT_EQUAL(message.quota.items[2].age_ms, QUOTA_REPORT_AGE_MAX_MS);
	heartbeat_message_clear(&message);
	fuzz(data, len, parse_heartbeat);
	g_bytes_unref(bytes);
}

/*
 * Items of zeros, each of which compresses to some hundred bytes, must not fill
 * the memory of the node that reads them.
 */
static void
test_compressed_items_are_bounded(void)
{
	enum {
		ZEROS_BYTES = 3 << 20,
		ITEMS = 40,
	};
	struct heartbeat_message message = {
		.upstream = g_strdup("i-1"),
		.items = g_ptr_array_new_with_free_func(replica_item_free),
	};
	GBytes *zeros = g_bytes_new_take(g_malloc0(ZEROS_BYTES), ZEROS_BYTES);
	struct heartbeat_message read;
	GBytes *bytes;
	size_t len;
	const void *data;

	for (int i = 0; i < ITEMS; i++)
		g_ptr_array_add(
		    message.items, replica_item_new("a", zeros, 91));
	bytes = heartbeat_message_encode(&message);
	data = g_bytes_get_data(bytes, &len);
	CU_ASSERT_TRUE(len < ZEROS_BYTES);
	CU_ASSERT_FALSE(heartbeat_message_decode(str_make(data, len), &read));
	g_bytes_unref(bytes);
	g_bytes_unref(zeros);
	heartbeat_message_clear(&message);
}

static void
parse_reports(struct str bytes)
{
	struct quota_report_list list;

	if (!quota_report_list_decode(bytes, &list))
		CU_ASSERT_EQUAL(list.count, 0);
	CU_ASSERT_TRUE(list.count <= QUOTA_REPORTS_MAX);
}

/* Reports of a full list survive the way; others must not overflow it. */
static void
test_quota_reports(void)
{
	struct quota_report_list list = { .sender = 9,
		.count = QUOTA_REPORTS_MAX };
	struct quota_report_list read;
	GBytes *bytes;
	size_t len;
	const void *data;

	for (size_t i = 0; i < list.count; i++)
		list.items[i] =
		    (struct quota_report){ .workspace = (uint32_t)i / 4,
			    .node = (uint32_t)(i % 4 == 0 ? 9 : i),
			    .taken = (uint16_t)i };
	bytes = quota_report_list_encode(&list);
	data = g_bytes_get_data(bytes, &len);
	CU_ASSERT_TRUE(quota_report_list_decode(str_make(data, len), &read));
	CU_ASSERT_EQUAL_FATAL(read.count, list.count);
	for (size_t i = 0; i < list.count; i++) {
		CU_ASSERT_EQUAL(read.items[i].workspace, i / 4);
		CU_ASSERT_EQUAL(read.items[i].node, list.items[i].node);
		CU_ASSERT_EQUAL(read.items[i].taken, i);
	}
	CU_ASSERT_TRUE(quota_report_list_decode(str_from(""), &read));
	CU_ASSERT_EQUAL(read.sender, 0);
	fuzz(data, len, parse_reports);
	g_bytes_unref(bytes);
}

static void
parse_fields(struct str bytes)
{
	static const char *const names[] = { "X-Trefoilhill-Hop",
		"X-Trefoilhill-Instance", "X-Trefoilhill-Load",
		"X-Trefoilhill-Not-Run", "X-Deadline", "X-Cold-Remaining",
		"X-Attempt-Id", "Server-Limit", "Server-Leaving",
		"X-Trefoilhill-Leaving", "X-Trefoilhill-Workspace", "Api-Key" };
	struct platform_request_headers request;
	struct platform_response_headers response;
	struct hop_response hop_response;
	struct hop_request hop;
	struct str key;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct http_head *head = http_head_new(NULL);

		for (size_t j = 0; j < G_N_ELEMENTS(names); j++)
			http_head_add(head, str_from(names[j]),
			    i == j ? bytes
				   : str_from("1 2 3 4 5 6 7 8 9 0 1 2"));
		if (hop_read_request(head, &hop)) {
			CU_ASSERT_TRUE(hop.remaining_ms <= HOP_TIME_MAX_MS);
			CU_ASSERT_TRUE(hop.queue_timeout_ms >= 0 &&
			    hop.queue_timeout_ms <= HOP_TIME_MAX_MS);
		}
		hop_read_response(head, &hop_response);
		platform_parse_request_headers(head, &request);
		CU_ASSERT_TRUE(request.deadline_ms >= -1);
		platform_parse_response_headers(head, &response);
		key = platform_request_key(head);
		CU_ASSERT_TRUE(key.len == 0 || key.ptr[key.len - 1] != ' ');
		http_head_free(head);
	}
}

static void
parse_suspect(struct str bytes)
{
	struct suspect suspect;

	if (suspect_parse(bytes, 1000, &suspect))
		CU_ASSERT_TRUE(suspect.crash_count <= SUSPECT_CRASHES_MAX);
}

static void
test_suspects(void)
{
	static const char text[] = "00000000000000010000000000000002 1 -1 "
				   "0 1 0 7 1 20 0 8 1 40 1 9 1 60 0 a 1 1 1";

	fuzz(text, strlen(text), parse_suspect);
}

static void
test_header_fields(void)
{
	static const char hop[] = "1500 300 1 1 0 0 0 1 12 14800 ab cd 1 40";
	static const char leaving[] = "1700000000000 i-1";
	static const char load[] = "12 3 0 90000 0 0 5 1 87 1 14800 130 250 9";

	fuzz(hop, strlen(hop), parse_fields);
	fuzz(load, strlen(load), parse_fields);
	fuzz(leaving, strlen(leaving), parse_fields);
}

static const struct test_case cases[] = {
	{ "items of the store", test_items },
	{ "heartbeats", test_heartbeats },
	{ "compressed items are bounded", test_compressed_items_are_bounded },
	{ "reports of quotas", test_quota_reports },
	{ "header fields", test_header_fields },
	{ "suspects of crashes", test_suspects },
	{ NULL, NULL },
};

int
main(int argc, char **argv)
{
	if (argc > 1)
		seed = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		rounds = (uint32_t)strtoul(argv[2], NULL, 10);
	return harness_run("fuzz", cases);
}
