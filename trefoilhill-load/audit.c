#include <curl/curl.h>

#include "common/json_parse.h"
#include "trefoilhill-load/audit.h"
#include "trefoilhill-load/request_kind.h"

enum {
	RESPONSE_BYTES_MAX = 64 * 1024 * 1024,
	FETCH_TIMEOUT_MS = 5000,
};

static size_t
handle_body(char *bytes, size_t size, size_t count, void *arg)
{
	GString *body = arg;
	size_t len = size * count;

	if (body->len + len > RESPONSE_BYTES_MAX)
		return 0;
	g_string_append_len(body, bytes, (gssize)len);
	return len;
}

/* Fetches the execution counts of one upstream. Returns NULL on failure. */
static json_t *
fetch_run_counts(const char *address)
{
	GString *body = g_string_new(NULL);
	char *url = g_strdup_printf("http://%s/standin/runs", address);
	CURL *easy = curl_easy_init();
	json_t *json = NULL;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)FETCH_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
	if (curl_easy_perform(easy) == CURLE_OK)
		json = json_parse(str_make(body->str, body->len), 0, NULL);
	curl_easy_cleanup(easy);
	g_free(url);
	g_string_free(body, TRUE);
	return json;
}

static void
count_runs(const struct plan *plan, json_t *runs, uint32_t *counts)
{
	const char *id;
	json_t *value;
	size_t index;

	for (void *iter = json_object_iter(runs); iter != NULL;
	     iter = json_object_iter_next(runs, iter)) {
		id = json_object_iter_key(iter);
		value = json_object_iter_value(iter);
		if (plan_find(plan, id, &index) == 0)
			counts[index] += (uint32_t)json_integer_value(value);
	}
}

static void
audit_request(struct audit *audit, const struct planned_request *request,
    const struct request_kind *kind, uint32_t runs)
{
	audit->runs += runs;
	if (runs > 1 && kind->idempotent)
		audit->reruns++;
	else if (runs > 1)
		audit->double_runs++;
	if (runs > 0 && request->outcome == OUTCOME_NOT_RUN)
		audit->false_not_runs++;
	if (runs == 0 && request->outcome == OUTCOME_OK)
		audit->ok_without_run++;
}

/*
 * Compares the outcomes that callers received with the execution counts of the
 * upstreams. Does nothing without upstreams. A retried idempotent request that
 * one attempt executed and a later one refused also counts as a false not-run,
 * since not-run promises that no attempt was executed.
 */
void
audit_run(struct audit *audit, const struct load_options *options,
    const struct plan *plan)
{
	uint32_t *counts;

	*audit = (struct audit){ 0 };
	if (options->upstreams->len == 0)
		return;
	counts = g_new0(uint32_t, plan->count);
	for (guint i = 0; i < options->upstreams->len; i++) {
		json_t *json = fetch_run_counts(options->upstreams->pdata[i]);

		if (json == NULL)
			audit->upstreams_lost++;
		count_runs(plan, json_object_get(json, "runs"), counts);
		json_decref(json);
	}
	for (size_t i = 0; i < plan->count; i++)
		audit_request(audit, &plan->requests[i],
		    options->kinds->pdata[plan->requests[i].kind], counts[i]);
	audit->done = true;
	g_free(counts);
}
