#include <curl/curl.h>
#include <string.h>

#include "trefoilhillctl/error.h"
#include "trefoilhillctl/node_client.h"

enum {
	PARALLEL = 64, /* nodes asked at once */
	ANSWER_BYTES_MAX = 64 * 1024 * 1024,
	POLL_MS = 100,
	STATUS_GOOD_MIN = 200,
	STATUS_GOOD_MAX = 299,
};

/*
 * Return an answer without content for a node.
 */
struct node_answer *
node_answer_new(const char *address)
{
	struct node_answer *answer = g_new0(struct node_answer, 1);

	answer->address = g_strdup(address);
	answer->body = g_string_new(NULL);
	return answer;
}

/*
 * Free an answer. NULL is allowed.
 */
void
node_answer_free(struct node_answer *answer)
{
	if (answer == NULL)
		return;
	g_free(answer->address);
	g_string_free(answer->body, TRUE);
	json_decref(answer->json);
	g_clear_error(&answer->error);
	g_free(answer);
}

/* Keep a part of the body; 0 ends the transfer when it grows too large. */
static size_t
handle_body(char *data, size_t size, size_t count, void *arg)
{
	struct node_answer *answer = arg;

	if (answer->body->len + count > ANSWER_BYTES_MAX) {
		g_set_error(&answer->error, CTL_ERROR, CTL_ERROR_TOO_LARGE,
		    "%s: the answer is over %d bytes", answer->address,
		    ANSWER_BYTES_MAX);
		return 0;
	}
	g_string_append_len(answer->body, data, (gssize)count);
	return size * count;
}

static CURL *
transfer_new(const struct node_request *request, struct node_answer *answer)
{
	CURL *easy = curl_easy_init();
	char *url =
	    g_strdup_printf("http://%s%s", answer->address, request->target);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, answer);
	if (request->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)strlen(request->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
	g_free(url);
	return easy;
}

/* Turn an answer with a bad status into an error with the node's words. */
static void
judge_status(struct node_answer *answer, long status)
{
	json_t *json;
	const char *type = "error", *detail = "";

	if (status >= STATUS_GOOD_MIN && status <= STATUS_GOOD_MAX)
		return;
	json = json_loadb(answer->body->str, answer->body->len, 0, NULL);
	json_unpack(json, "{s?s,s?s}", "error", &type, "detail", &detail);
	g_set_error(&answer->error, CTL_ERROR, CTL_ERROR_STATUS,
	    "%s: HTTP status %ld, %s: %s", answer->address, status, type,
	    detail);
	json_decref(json);
}

static void
judge(CURL *easy, CURLcode result)
{
	struct node_answer *answer;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &answer);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (answer->error != NULL)
		return;
	if (result == CURLE_OK)
		judge_status(answer, status);
	else
		g_set_error(&answer->error, CTL_ERROR,
		    result == CURLE_OPERATION_TIMEDOUT ? CTL_ERROR_TIMEOUT
						       : CTL_ERROR_UNREACHABLE,
		    "%s: %s", answer->address, curl_easy_strerror(result));
}

static void
run_transfers(CURLM *multi)
{
	int running = 1, left;
	CURLMsg *message;

	while (running > 0) {
		if (curl_multi_perform(multi, &running) != CURLM_OK ||
		    curl_multi_poll(multi, NULL, 0, running > 0 ? POLL_MS : 0,
			NULL) != CURLM_OK)
			break;
	}
	while ((message = curl_multi_info_read(multi, &left)) != NULL)
		if (message->msg == CURLMSG_DONE)
			judge(message->easy_handle, message->data.result);
}

/* Ask a few nodes at once, so that silent ones cost one timeout together. */
static void
ask_batch(
    const struct node_request *request, struct node_answer **answers, guint n)
{
	CURLM *multi = curl_multi_init();
	CURL *easy[PARALLEL];

	for (guint i = 0; i < n; i++) {
		easy[i] = transfer_new(request, answers[i]);
		curl_multi_add_handle(multi, easy[i]);
	}
	run_transfers(multi);
	for (guint i = 0; i < n; i++) {
		curl_multi_remove_handle(multi, easy[i]);
		curl_easy_cleanup(easy[i]);
	}
	curl_multi_cleanup(multi);
}

/*
 * Ask every node; a node that fails has an error in its answer. The caller
 * frees the array, which owns the answers.
 */
GPtrArray *
node_client_ask(const struct node_request *request)
{
	GPtrArray *answers =
	    g_ptr_array_new_with_free_func((GDestroyNotify)node_answer_free);

	for (guint i = 0; i < request->nodes->len; i++)
		g_ptr_array_add(
		    answers, node_answer_new(request->nodes->pdata[i]));
	for (guint i = 0; i < answers->len; i += PARALLEL)
		ask_batch(request, (struct node_answer **)answers->pdata + i,
		    MIN(answers->len - i, PARALLEL));
	return answers;
}

/*
 * Parse the body as a JSON object. False with the answer's error set when it
 * is not one.
 */
bool
node_answer_parse(struct node_answer *answer)
{
	json_error_t fault;

	if (answer->error != NULL)
		return false;
	answer->json =
	    json_loadb(answer->body->str, answer->body->len, 0, &fault);
	if (json_is_object(answer->json))
		return true;
	g_set_error(&answer->error, CTL_ERROR, CTL_ERROR_ANSWER,
	    "%s: the answer is not a JSON object: %s", answer->address,
	    answer->json == NULL ? fault.text : "another type");
	return false;
}

/*
 * As node_client_ask, with every body parsed.
 */
GPtrArray *
node_client_ask_json(const struct node_request *request)
{
	GPtrArray *answers = node_client_ask(request);

	for (guint i = 0; i < answers->len; i++)
		node_answer_parse(answers->pdata[i]);
	return answers;
}
