#include <string.h>
#include <time.h>

#include "harness.h"
#include "source/config_source.h"
#include "source/error.h"
#include "source/response_reader.h"
#include "standin-platform/http.h"
#include "standin-platform/platform.h"
#include "standin-platform/serve.h"

enum {
	TIMEOUT_MS = 300,
	/* For requests that must not end by their timeout. */
	TIMEOUT_LONG_MS = 5000,
	WATCH_MS = 20000,
	RECOVERY_READS_MAX = 20,
	RESPONSE_WAIT_MS = 10000,
	CANCEL_MAX_MS = 2000,
	MANY_RECORDS = 6000,
	URL_MAX = 64,
	STACK_BYTES = 8 * 1024 * 1024,
	LARGE_BODY_BYTES = 9 * 1024 * 1024,
};

/*
 * Responses passed on from the source's thread. No GAsyncQueue, because the
 * thread sanitizer does not see its lock.
 */
struct response_queue {
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	GQueue responses;
};

/* Server of a fixture, stopped in the background: CivetWeb takes seconds. */
struct server {
	struct platform *platform;
	struct mg_context *context;
	struct standin_http_settings http;
	pthread_t stop_thread;
	struct server *next;
};

static struct server *stopping_servers;

/* A server, a source that reads it, and the responses received. */
struct fixture {
	struct platform *platform;
	struct server *server;
	struct config_source *source;
	struct response_queue queue;
	char url[URL_MAX];
};

static void
handle_response(void *arg, struct config_response *response)
{
	struct response_queue *queue = arg;

	pthread_mutex_lock(&queue->lock);
	g_queue_push_tail(&queue->responses, response);
	pthread_cond_signal(&queue->not_empty);
	pthread_mutex_unlock(&queue->lock);
}

/* Return the next response, or NULL if none arrives in time. */
static struct config_response *
response_queue_pop(struct response_queue *queue, int64_t wait_ms)
{
	struct timespec end =
	    timespec_plus_ms(clock_wall(clock_system()), wait_ms);
	struct config_response *response;
	int status = 0;

	pthread_mutex_lock(&queue->lock);
	while (g_queue_is_empty(&queue->responses) && status == 0)
		status = pthread_cond_timedwait(
		    &queue->not_empty, &queue->lock, &end);
	response = g_queue_pop_head(&queue->responses);
	pthread_mutex_unlock(&queue->lock);
	return response;
}

/*
 * The stand-in platform sets a small default stack size for all new threads of
 * the process. Under the thread sanitizer it is too small for curl's threads.
 */
static void
restore_stack_size(void)
{
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	pthread_setattr_default_np(&attr);
	pthread_attr_destroy(&attr);
}

static void
fixture_init_timeout(struct fixture *fixture, mg_request_handler handler,
    void *arg, uint32_t timeout_ms)
{
	struct http_config_source_settings settings = {
		.node = str_from("node-1"),
		.timeout_ms = timeout_ms,
		.watch_ms = WATCH_MS,
		.handle_response = handle_response,
	};
	struct mg_server_port port = { 0 };

	memset(fixture, 0, sizeof(*fixture));
	fixture->platform = platform_new();
	fixture->server = g_new0(struct server, 1);
	fixture->server->platform = fixture->platform;
	fixture->server->http = (struct standin_http_settings){
		.listen = "127.0.0.1:0",
		.threads = 8,
		.handler = handler,
		.arg = arg == NULL ? fixture->platform : arg,
	};
	fixture->server->context =
	    standin_http_start(&fixture->server->http, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server->context);
	restore_stack_size();
	mg_get_server_ports(fixture->server->context, 1, &port);
	g_snprintf(fixture->url, sizeof(fixture->url), "http://127.0.0.1:%d",
	    port.port);
	pthread_mutex_init(&fixture->queue.lock, NULL);
	pthread_cond_init(&fixture->queue.not_empty, NULL);
	settings.url = str_from(fixture->url);
	settings.arg = &fixture->queue;
	fixture->source = http_config_source_new(&settings, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->source);
}

static void
fixture_init(struct fixture *fixture, mg_request_handler handler, void *arg)
{
	fixture_init_timeout(fixture, handler, arg, TIMEOUT_LONG_MS);
}

static void *
stop_server(void *arg)
{
	struct server *server = arg;

	mg_stop(server->context);
	platform_free(server->platform);
	return NULL;
}

/* Wait until the servers of all fixtures have stopped. */
static void
join_servers(void)
{
	while (stopping_servers != NULL) {
		struct server *server = stopping_servers;

		stopping_servers = server->next;
		pthread_join(server->stop_thread, NULL);
		g_free(server);
	}
}

static void
fixture_clear(struct fixture *fixture)
{
	struct config_response *response;

	config_source_free(fixture->source);
	platform_stop(fixture->platform);
	fixture->server->next = stopping_servers;
	stopping_servers = fixture->server;
	pthread_create(
	    &stopping_servers->stop_thread, NULL, stop_server, fixture->server);
	while ((response = response_queue_pop(&fixture->queue, 0)) != NULL)
		config_response_free(response);
}

static struct config_response *
wait_response(struct fixture *fixture)
{
	struct config_response *response =
	    response_queue_pop(&fixture->queue, RESPONSE_WAIT_MS);

	if (response != NULL)
		return response;
	CU_FAIL("no response received");
	return config_response_failed(PLATFORM_READ_HOSTS, NULL);
}

static void
sleep_ms(int64_t ms)
{
	struct timespec time = timespec_from_ms(ms);

	nanosleep(&time, NULL);
}

static struct config_response *
request_and_wait(
    struct fixture *fixture, enum platform_request request, uint64_t after)
{
	config_source_request(fixture->source, request, after);
	return wait_response(fixture);
}

static void
publish(struct fixture *fixture, unsigned int zones)
{
	json_t *set = json_array();

	for (unsigned int i = 0; i < zones; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "z%u", i);
		json_array_append_new(set,
		    json_pack("{s:i,s:s,s:s,s:s}", "schema", 2, "kind", "zone",
			"name", name, "state", "in"));
	}
	pthread_mutex_lock(&fixture->platform->lock);
	change_log_append(fixture->platform->log, set, NULL);
	pthread_cond_broadcast(&fixture->platform->changed);
	pthread_mutex_unlock(&fixture->platform->lock);
	json_decref(set);
}

static void
set_faults(struct fixture *fixture, const char *json)
{
	json_t *change = json_loads(json, 0, NULL);

	pthread_mutex_lock(&fixture->platform->lock);
	faults_update(&fixture->platform->faults, change);
	change_log_set_limit(
	    fixture->platform->log, fixture->platform->faults.log_limit);
	pthread_mutex_unlock(&fixture->platform->lock);
	json_decref(change);
}

static void
test_changes(void)
{
	struct config_response *response;
	struct fixture fixture;
	json_t *counts;

	fixture_init(&fixture, serve_request, NULL);
	publish(&fixture, 1);
	publish(&fixture, 2);
	response = request_and_wait(&fixture, PLATFORM_READ_CHANGES, 1);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_CHANGES);
	CU_ASSERT_EQUAL(response->head, 2);
	CU_ASSERT_EQUAL(response->publications->len, 1);
	config_response_free(response);
	counts = read_counts_to_json(&fixture.platform->counts, 0);
	CU_ASSERT_EQUAL(json_integer_value(json_object_get(
			    json_object_get(counts, "by_node"), "node-1")),
	    1);
	json_decref(counts);
	fixture_clear(&fixture);
}

static void
test_watch_sees_change(void)
{
	struct config_response *response;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	config_source_request(fixture.source, PLATFORM_WATCH_CHANGES, 0);
	sleep_ms(TIMEOUT_MS);
	sleep_ms(TIMEOUT_MS);
	CU_ASSERT_PTR_NULL(response_queue_pop(&fixture.queue, 0));
	publish(&fixture, 1);
	response = wait_response(&fixture);
	CU_ASSERT_EQUAL(response->request, PLATFORM_WATCH_CHANGES);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_CHANGES);
	CU_ASSERT_EQUAL(response->head, 1);
	config_response_free(response);
	fixture_clear(&fixture);
}

/* A cancelled watch ends at once and delivers no response. */
static void
test_cancel(void)
{
	struct config_response *response;
	struct timespec begin;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	config_source_request(fixture.source, PLATFORM_WATCH_CHANGES, 0);
	sleep_ms(TIMEOUT_MS);
	config_source_cancel(fixture.source, PLATFORM_WATCH_CHANGES);
	response = request_and_wait(&fixture, PLATFORM_READ_HOSTS, 0);
	CU_ASSERT_EQUAL(response->request, PLATFORM_READ_HOSTS);
	config_response_free(response);
	publish(&fixture, 1);
	sleep_ms(TIMEOUT_MS);
	CU_ASSERT_PTR_NULL(response_queue_pop(&fixture.queue, 0));
	config_source_request(fixture.source, PLATFORM_WATCH_CHANGES, 1);
	sleep_ms(TIMEOUT_MS);
	begin = clock_now(clock_system());
	config_source_free(fixture.source);
	fixture.source = NULL;
	CU_ASSERT(timespec_ms_between(begin, clock_now(clock_system())) <
	    CANCEL_MAX_MS);
	fixture_clear(&fixture);
}

static void
test_record_pages(void)
{
	struct config_response *response;
	struct snapshot *snapshot;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	publish(&fixture, MANY_RECORDS);
	response = request_and_wait(&fixture, PLATFORM_READ_RECORDS, 0);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_RECORDS);
	CU_ASSERT_EQUAL(response->head, 1);
	CU_ASSERT_EQUAL(response->record_count, MANY_RECORDS);
	snapshot = snapshot_from_raw(
	    response->records, response->record_count, response->head);
	CU_ASSERT_EQUAL(snapshot_count(snapshot, RECORD_ZONE), MANY_RECORDS);
	snapshot_unref(snapshot);
	config_response_free(response);
	fixture_clear(&fixture);
}

static void
test_compacted(void)
{
	struct config_response *response;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	for (int i = 0; i < 5; i++)
		publish(&fixture, 1);
	set_faults(&fixture, "{\"log_limit\":2}");
	response = request_and_wait(&fixture, PLATFORM_READ_CHANGES, 0);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_COMPACTED);
	CU_ASSERT_EQUAL(response->head, 4);
	config_response_free(response);
	fixture_clear(&fixture);
}

static void
test_hosts(void)
{
	struct config_response *response;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	json_decref(fixture.platform->hosts);
	fixture.platform->hosts = json_loads(
	    "[{\"name\":\"h1\",\"zone\":\"za\",\"node\":\"127.0.0.1:1\","
	    "\"state\":\"live\"},{\"name\":\"h2\",\"zone\":\"za\","
	    "\"node\":\"127.0.0.1:2\",\"state\":\"leaving\"}]",
	    0, NULL);
	response = request_and_wait(&fixture, PLATFORM_READ_HOSTS, 0);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_HOSTS);
	CU_ASSERT_EQUAL_FATAL(response->host_count, 2);
	CU_ASSERT(!response->hosts[0].leaving);
	CU_ASSERT(response->hosts[1].leaving);
	CU_ASSERT(str_equal(response->hosts[1].name, str_from("h2")));
	config_response_free(response);
	fixture_clear(&fixture);
}

static void
expect_failure(struct fixture *fixture, enum platform_request request,
    enum platform_error code)
{
	struct config_response *response =
	    request_and_wait(fixture, request, 0);

	CU_ASSERT_EQUAL(response->request, request);
	CU_ASSERT_EQUAL(response->kind, CONFIG_RESPONSE_FAILED);
	CU_ASSERT(g_error_matches(response->error, PLATFORM_ERROR, (int)code));
	config_response_free(response);
}

static void
test_platform_down(void)
{
	struct config_response *response;
	struct fixture fixture;

	fixture_init(&fixture, serve_request, NULL);
	set_faults(&fixture, "{\"down\":true}");
	expect_failure(
	    &fixture, PLATFORM_READ_CHANGES, PLATFORM_ERROR_UNREACHABLE);
	expect_failure(
	    &fixture, PLATFORM_WATCH_CHANGES, PLATFORM_ERROR_UNREACHABLE);
	set_faults(&fixture, "{\"down\":false}");
	response = request_and_wait(&fixture, PLATFORM_READ_HOSTS, 0);
	CU_ASSERT(response->kind == CONFIG_RESPONSE_HOSTS);
	config_response_free(response);
	fixture_clear(&fixture);
}

static void
test_platform_slow(void)
{
	struct config_response *response;
	bool recovered = false;
	struct fixture fixture;

	fixture_init_timeout(&fixture, serve_request, NULL, TIMEOUT_MS);
	set_faults(&fixture, "{\"delay_ms\":2000}");
	expect_failure(&fixture, PLATFORM_READ_HOSTS, PLATFORM_ERROR_TIMEOUT);
	set_faults(&fixture, "{\"delay_ms\":0}");
	/* On a busy host some reads may still time out. */
	for (int i = 0; i < RECOVERY_READS_MAX && !recovered; i++) {
		response = request_and_wait(&fixture, PLATFORM_READ_HOSTS, 0);
		recovered = response->kind == CONFIG_RESPONSE_HOSTS;
		config_response_free(response);
	}
	CU_ASSERT(recovered);
	fixture_clear(&fixture);
}

/* Serves the same response to each request. */
struct canned_response {
	int status;
	const char *body;
	size_t len;
};

static int
serve_canned_response(struct mg_connection *conn, void *arg)
{
	struct canned_response *canned = arg;

	return standin_http_reply(
	    conn, canned->status, "", canned->body, canned->len);
}

static void
test_invalid_responses(void)
{
	static const struct {
		enum platform_request request;
		int status;
		const char *body;
	} cases[] = {
		{ PLATFORM_READ_HOSTS, 200, "" },
		{ PLATFORM_READ_HOSTS, 200, "{\"hosts\":[" },
		{ PLATFORM_READ_HOSTS, 200, "{\"hosts\":[{}]}" },
		{ PLATFORM_READ_HOSTS, 200, "{\"hosts\":7}" },
		{ PLATFORM_READ_RECORDS, 200, "[]" },
		{ PLATFORM_READ_RECORDS, 200,
		    "{\"revision\":1,\"records\":[{\"revision\":1}]}" },
		{ PLATFORM_READ_RECORDS, 200,
		    "{\"revision\":-1,\"records\":[]}" },
		/* a continuation key that does not advance */
		{ PLATFORM_READ_RECORDS, 200,
		    "{\"revision\":1,\"records\":[],\"next\":\"zone/a\"}" },
		/* records that change during each read */
		{ PLATFORM_READ_RECORDS, 410, "{}" },
	};
	static struct canned_response canned;
	struct fixture fixture;

	fixture_init(&fixture, serve_canned_response, &canned);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		canned = (struct canned_response){ cases[i].status,
			cases[i].body, strlen(cases[i].body) };
		expect_failure(
		    &fixture, cases[i].request, PLATFORM_ERROR_RESPONSE);
	}
	canned = (struct canned_response){ 500, "x", 1 };
	expect_failure(&fixture, PLATFORM_READ_CHANGES, PLATFORM_ERROR_STATUS);
	/* Status 410 means compaction only for the log. */
	canned = (struct canned_response){ 410, "{\"oldest\":7}", 12 };
	expect_failure(&fixture, PLATFORM_READ_HOSTS, PLATFORM_ERROR_STATUS);
	fixture_clear(&fixture);
}

static void
test_large_response(void)
{
	static const char big[LARGE_BODY_BYTES];
	static struct canned_response canned = { 200, big, LARGE_BODY_BYTES };
	struct fixture fixture;

	fixture_init(&fixture, serve_canned_response, &canned);
	expect_failure(
	    &fixture, PLATFORM_READ_CHANGES, PLATFORM_ERROR_TOO_LARGE);
	fixture_clear(&fixture);
}

/* Serves an endless sequence of pages, each of another revision. */
static int
serve_pages_of_changing_revision(struct mg_connection *conn, void *arg)
{
	unsigned int *page = arg;
	char body[128];

	(*page)++;
	g_snprintf(body, sizeof(body),
	    "{\"revision\":%u,\"records\":[],\"next\":\"zone/%u\"}", *page,
	    *page);
	return standin_http_reply(conn, 200, "", body, strlen(body));
}

static void
test_pages_of_two_revisions(void)
{
	static unsigned int page;
	struct fixture fixture;

	fixture_init(&fixture, serve_pages_of_changing_revision, &page);
	expect_failure(
	    &fixture, PLATFORM_READ_RECORDS, PLATFORM_ERROR_RESPONSE);
	CU_ASSERT_EQUAL(page, 2);
	fixture_clear(&fixture);
}

static void
test_invalid_url(void)
{
	static const char *const urls[] = { "", "127.0.0.1:1",
		"https://127.0.0.1:1", "http://127.0.0.1:1/v1", "http://",
		"http://127.0.0.1:1/", "http://127.0.0.1:1?a=b",
		"http://127.0.0.1:1#a", "http://a:b@127.0.0.1:1" };

	for (size_t i = 0; i < G_N_ELEMENTS(urls); i++) {
		struct http_config_source_settings settings = { .url = str_from(
								    urls[i]) };
		GError *error = NULL;

		CU_ASSERT_PTR_NULL(http_config_source_new(&settings, &error));
		CU_ASSERT(
		    g_error_matches(error, PLATFORM_ERROR, PLATFORM_ERROR_URL));
		g_clear_error(&error);
	}
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "changes are read", test_changes },
		{ "a watch sees a change", test_watch_sees_change },
		{ "a request is cancelled at once", test_cancel },
		{ "pages of records are joined", test_record_pages },
		{ "a compacted log is reported", test_compacted },
		{ "hosts are read", test_hosts },
		{ "an unreachable platform is reported", test_platform_down },
		{ "a slow platform is reported", test_platform_slow },
		{ "invalid responses are rejected", test_invalid_responses },
		{ "large responses are rejected", test_large_response },
		{ "pages of two revisions are rejected",
		    test_pages_of_two_revisions },
		{ "invalid URLs are rejected", test_invalid_url },
		{ NULL, NULL },
	};
	int status;

	status = harness_run("http config source", cases);
	join_servers();
	return status;
}
