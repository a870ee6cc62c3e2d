#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_upstream.h"
#include "fixture.h"

enum {
	PORT_FIRST = 24000,
	PORT_SPAN = 2000,
	ENTRY_WORKERS = 24,
	SERVICE_TIMEOUT_MS = 8000,
	TICK_MS = 50,
	CLOSE_THREADS_MAX = 64,
};

static pthread_t close_threads[CLOSE_THREADS_MAX];
static int close_thread_count;

static int
next_port(void)
{
	static int port;

	if (port == 0)
		port = PORT_FIRST + (getpid() * 7) % PORT_SPAN;
	return port++;
}

static struct snapshot *
make_snapshot(const struct fixture *fixture, unsigned int services)
{
	GString *text = g_string_new("{\"revision\":1,\"set\":[");
	struct snapshot *empty = snapshot_empty_new();
	struct publication *publication;
	struct snapshot *snapshot;
	struct verdict verdict;

	for (int i = 0; i < FIXTURE_NODES; i++) {
		g_string_append_printf(text,
		    "{\"schema\":2,\"kind\":\"zone\",\"name\":\"z%d\","
		    "\"state\":\"in\"},"
		    "{\"schema\":2,\"kind\":\"host\",\"name\":\"h%d\","
		    "\"zone\":\"z%d\",\"node\":\"%s\",\"state\":\"in\"},",
		    i, i, i, fixture->nodes[i].node_address);
		if ((services >> i & 1) != 0)
			g_string_append_printf(text,
			    "{\"schema\":2,\"kind\":\"upstream\","
			    "\"name\":\"u%d\",\"service\":\"svc\","
			    "\"host\":\"h%d\",\"address\":\"127.0.0.1:%d\","
			    "\"slots\":12,\"connections\":24},",
			    i, i, fixture->upstreams[i].port);
	}
	g_string_append_printf(text,
	    "{\"schema\":2,\"kind\":\"service\",\"name\":\"svc\","
	    "\"timeout_ms\":%d,\"idempotent_retries\":1},"
	    "{\"schema\":2,\"kind\":\"route\",\"name\":\"r\","
	    "\"service\":\"svc\",\"authority\":\"svc.test\"}],"
	    "\"remove\":[]}",
	    SERVICE_TIMEOUT_MS);
	publication = publication_new(1, g_string_free_to_bytes(text));
	snapshot = snapshot_apply(empty, publication, &verdict);
	g_assert_cmpint(verdict.kind, ==, VERDICT_ACCEPTED);
	verdict_clear(&verdict);
	publication_unref(publication);
	snapshot_unref(empty);
	return snapshot;
}

static void
open_transport(struct node *node)
{
	struct transport_settings settings = {
		.high_water_frames = 1000,
		.peer_idle_ms = 60000,
	};

	while (node->transport == NULL) {
		g_snprintf(node->node_address, sizeof(node->node_address),
		    "127.0.0.1:%d", next_port());
		settings.address = str_from(node->node_address);
		node->transport = transport_new(&settings, NULL);
	}
}

static struct guard *
make_guard(int index)
{
	struct guard_settings settings = {
		.incarnation = 100 + (uint64_t)index,
		.slots = 12,
		.cold_limit = 2,
		.queue_limit = 16,
		.queue_wait_ms = 500,
		.tick_ms = TICK_MS,
		.tick_bound = 40,
		.dedup_entries = 1000,
		.dedup_lease_ms = 10000,
		.upstream = str_from(index == 0 ? "u0" : "u1"),
	};

	return guard_new(&settings, clock_system(), NULL);
}

static void
start_path(struct node *node, int index, const struct fake_upstream *upstream)
{
	char name[16];
	char address[32];
	struct data_path_settings settings = {
		.host = str_from(node->name),
		.zone = str_from(index == 0 ? "z0" : "z1"),
		.entry_workers = ENTRY_WORKERS,
		.default_timeout_ms = SERVICE_TIMEOUT_MS,
		.upstream_connections = 24,
		.tick_ms = TICK_MS,
		.incarnation = 500 + (uint64_t)index,
	};
	struct data_path_env env = {
		.clock = clock_system(),
		.transport = node->transport,
		.live_config = node->live_config,
		.guard = node->guard,
		.chooser = node->chooser,
		.retry_budget = node->retry_budget,
	};
	int status = -1;

	g_snprintf(name, sizeof(name), "u%d", index);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", upstream->port);
	settings.upstream_name = str_from(name);
	settings.upstream_address = str_from(address);
	while (status != 0) {
		g_snprintf(node->caller_address, sizeof(node->caller_address),
		    "127.0.0.1:%d", next_port());
		settings.caller_listen = str_from(node->caller_address);
		node->path = data_path_new(&settings, &env, NULL);
		g_assert_nonnull(node->path);
		status = data_path_start(node->path, NULL);
		if (status != 0) {
			data_path_stop(node->path);
			data_path_free(node->path);
		}
	}
	g_assert_cmpint(transport_start(node->transport, NULL), ==, 0);
}

static void
start_node(struct fixture *fixture, int index, struct snapshot *snapshot)
{
	struct node *node = &fixture->nodes[index];
	struct choice_settings choice = {
		.host = str_from(node->name),
		.zone = str_from(index == 0 ? "z0" : "z1"),
		.policy = CHOICE_HINTED,
		.hint_fresh_ms = 2000,
	};

	node->live_config = live_config_new();
	live_config_publish(node->live_config, snapshot);
	node->guard = make_guard(index);
	node->chooser = chooser_new(&choice, clock_system());
	node->retry_budget = retry_budget_new(20, 10);
	start_path(node, index, &fixture->upstreams[index]);
	data_path_set_in_service(node->path, true);
	data_path_set_ready(node->path, true);
}

struct fixture *
fixture_open(unsigned int services)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct snapshot *snapshot;

	for (int i = 0; i < FIXTURE_NODES; i++) {
		fake_upstream_open(&fixture->upstreams[i]);
		g_snprintf(fixture->nodes[i].name,
		    sizeof(fixture->nodes[i].name), "h%d", i);
		open_transport(&fixture->nodes[i]);
	}
	snapshot = make_snapshot(fixture, services);
	for (int i = 0; i < FIXTURE_NODES; i++)
		start_node(fixture, i, snapshot);
	snapshot_unref(snapshot);
	return fixture;
}

/*
 * Stop one node without draining it, as SIGTERM would. May be called twice.
 */
void
node_stop(struct node *node)
{
	if (node->path == NULL)
		return;
	data_path_stop(node->path);
	transport_stop(node->transport);
	data_path_free(node->path);
	transport_free(node->transport);
	guard_free(node->guard);
	chooser_free(node->chooser);
	retry_budget_free(node->retry_budget);
	live_config_free(node->live_config);
	node->path = NULL;
}

static void *
run_close(void *arg)
{
	struct fixture *fixture = arg;

	for (int i = 0; i < FIXTURE_NODES; i++)
		node_stop(&fixture->nodes[i]);
	for (int i = 0; i < FIXTURE_NODES; i++)
		fake_upstream_close(&fixture->upstreams[i]);
	g_free(fixture);
	return NULL;
}

void
fixture_close(struct fixture *fixture)
{
	g_assert_cmpint(close_thread_count, <, CLOSE_THREADS_MAX);
	pthread_create(
	    &close_threads[close_thread_count++], NULL, run_close, fixture);
}

void
fixtures_join(void)
{
	while (close_thread_count > 0)
		pthread_join(close_threads[--close_thread_count], NULL);
}

static size_t
handle_reply_bytes(const void *data, size_t size, size_t count, void *arg)
{
	struct reply *reply = arg;
	const char *bytes = data;
	size_t len = size * count;

	for (size_t i = 0; i < len; i++) {
		if (reply->bytes + i < sizeof(reply->error) - 1)
			reply->error[reply->bytes + i] = bytes[i];
		if ((unsigned char)bytes[i] != pattern_byte(reply->bytes + i))
			reply->mismatch = true;
	}
	reply->bytes += len;
	return len;
}

static size_t
handle_reply_header(char *line, size_t size, size_t count, void *arg)
{
	struct reply *reply = arg;

	if (g_str_has_prefix(line, "Trefoilhill-Outcome: "))
		sscanf(line, "%*s %31s", reply->outcome);
	if (g_str_has_prefix(line, "Retry-After: "))
		sscanf(line, "%*s %15s", reply->retry_after);
	return size * count;
}

struct upload {
	size_t sent;
	size_t size;
};

static size_t
handle_upload(char *out, size_t size, size_t count, void *arg)
{
	struct upload *upload = arg;
	size_t len = MIN(size * count, upload->size - upload->sent);

	for (size_t i = 0; i < len; i++)
		out[i] = (char)pattern_byte(upload->sent + i);
	upload->sent += len;
	return len;
}

static struct curl_slist *
request_headers(const struct caller_request *request)
{
	bool has_host = request->headers[0] != NULL &&
	    g_str_has_prefix(request->headers[0], "Host:");
	struct curl_slist *headers =
	    has_host ? NULL : curl_slist_append(NULL, "Host: svc.test");

	headers = curl_slist_append(headers, "Expect:");
	if (request->chunked)
		headers =
		    curl_slist_append(headers, "Transfer-Encoding: chunked");
	for (size_t i = 0; i < G_N_ELEMENTS(request->headers); i++)
		if (request->headers[i] != NULL)
			headers =
			    curl_slist_append(headers, request->headers[i]);
	return headers;
}

/*
 * Send a request to a node as a caller.
 */
void
node_request(const struct node *node, const struct caller_request *request,
    struct reply *reply)
{
	CURL *easy = curl_easy_init();
	struct upload upload = { .size = request->upload };
	struct curl_slist *headers = request_headers(request);
	char *url =
	    g_strdup_printf("http://%s%s", node->caller_address, request->path);

	memset(reply, 0, sizeof(*reply));
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_reply_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, handle_reply_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, reply);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 15000L);
	if (request->upload > 0) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, handle_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, &upload);
		if (!request->chunked)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			    (curl_off_t)request->upload);
	}
	if (request->method != NULL)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	reply->code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &reply->seconds);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	g_free(url);
}
