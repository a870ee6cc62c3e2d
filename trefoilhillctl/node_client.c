#include <curl/curl.h>
#include <string.h>

#include "common/json_parse.h"
#include "trefoilhillctl/error.h"
#include "trefoilhillctl/node_client.h"

enum {
	BATCH_NODES_MAX = 64, /* nodes queried concurrently */
	RESPONSE_BYTES_MAX = 64 * 1024 * 1024,
	POLL_TIMEOUT_MS = 100,
	HTTP_SUCCESS_MIN = 200,
	HTTP_SUCCESS_MAX = 299,
};

/*
 * Returns an empty response for a node, to be freed with node_response_free.
 */
struct node_response *
node_response_new(const char *address)
{
	struct node_response *response = g_new0(struct node_response, 1);

	response->address = g_strdup(address);
	response->body = g_string_new(NULL);
	return response;
}

/*
 * Frees a response. NULL is allowed.
 */
void
node_response_free(struct node_response *response)
{
	if (response == NULL)
		return;
	g_free(response->address);
	g_string_free(response->body, TRUE);
	json_decref(response->json);
	g_clear_error(&response->error);
	g_free(response);
}

/* Appends to the body. Returns 0 to abort the transfer if it grows too large.
 */
static size_t
handle_body(char *data, size_t size, size_t count, void *arg)
{
	struct node_response *response = arg;

	if (response->body->len + count > RESPONSE_BYTES_MAX) {
		g_set_error(&response->error, CTL_ERROR, CTL_ERROR_TOO_LARGE,
		    "%s: the answer is over %d bytes", response->address,
		    RESPONSE_BYTES_MAX);
		return 0;
	}
	g_string_append_len(response->body, data, (gssize)count);
	return size * count;
}

static CURL *
transfer_new(const struct node_request *request, struct node_response *response)
{
	CURL *easy = curl_easy_init();
	char *url =
	    g_strdup_printf("http://%s%s", response->address, request->target);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, handle_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, response);
	if (request->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)strlen(request->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
	g_free(url);
	return easy;
}

/* Sets an error from the response body unless the HTTP status is 2xx. */
static void
set_status_error(struct node_response *response, long status)
{
	json_t *json;
	const char *type = "error", *detail = "";

	if (status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX)
		return;
	json = json_parse(
	    str_make(response->body->str, response->body->len), 0, NULL);
	json_unpack(json, "{s?s,s?s}", "error", &type, "detail", &detail);
	g_set_error(&response->error, CTL_ERROR, CTL_ERROR_HTTP_STATUS,
	    "%s: HTTP status %ld, %s: %s", response->address, status, type,
	    detail);
	json_decref(json);
}

static void
complete_transfer(CURL *easy, CURLcode result)
{
	struct node_response *response;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &response);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (response->error != NULL)
		return;
	if (result == CURLE_OK)
		set_status_error(response, status);
	else
		g_set_error(&response->error, CTL_ERROR,
		    result == CURLE_OPERATION_TIMEDOUT ? CTL_ERROR_TIMEOUT
						       : CTL_ERROR_UNREACHABLE,
		    "%s: %s", response->address, curl_easy_strerror(result));
}

static void
run_transfers(CURLM *multi)
{
	int running = 1, queued;
	CURLMsg *message;

	while (running > 0) {
		if (curl_multi_perform(multi, &running) != CURLM_OK ||
		    curl_multi_poll(multi, NULL, 0,
			running > 0 ? POLL_TIMEOUT_MS : 0, NULL) != CURLM_OK)
			break;
	}
	while ((message = curl_multi_info_read(multi, &queued)) != NULL)
		if (message->msg == CURLMSG_DONE)
			complete_transfer(
			    message->easy_handle, message->data.result);
}

/*
 * Queries several nodes concurrently, so that all unresponsive nodes of a batch
 * together cost one timeout.
 */
static void
query_batch(const struct node_request *request,
    struct node_response **responses, guint n)
{
	CURLM *multi = curl_multi_init();
	CURL *easy[BATCH_NODES_MAX];

	for (guint i = 0; i < n; i++) {
		easy[i] = transfer_new(request, responses[i]);
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
 * Sends the request to every node. The response of a failed node has its error
 * set. The caller frees the array, which owns the responses.
 */
GPtrArray *
node_client_query(const struct node_request *request)
{
	GPtrArray *responses =
	    g_ptr_array_new_with_free_func((GDestroyNotify)node_response_free);

	for (guint i = 0; i < request->nodes->len; i++)
		g_ptr_array_add(
		    responses, node_response_new(request->nodes->pdata[i]));
	for (guint i = 0; i < responses->len; i += BATCH_NODES_MAX)
		query_batch(request,
		    (struct node_response **)responses->pdata + i,
		    MIN(responses->len - i, BATCH_NODES_MAX));
	return responses;
}

/*
 * Parses the body as a JSON object. Returns false if the request failed, or
 * sets the response's error and returns false if the body is not an object.
 */
bool
node_response_parse(struct node_response *response)
{
	json_error_t parse_error;

	if (response->error != NULL)
		return false;
	response->json =
	    json_parse(str_make(response->body->str, response->body->len), 0,
		&parse_error);
	if (json_is_object(response->json))
		return true;
	g_set_error(&response->error, CTL_ERROR, CTL_ERROR_RESPONSE,
	    "%s: the answer is not a JSON object: %s", response->address,
	    response->json == NULL ? parse_error.text : "another type");
	return false;
}

/*
 * Like node_client_query, but also parses every body as a JSON object.
 */
GPtrArray *
node_client_query_json(const struct node_request *request)
{
	GPtrArray *responses = node_client_query(request);

	for (guint i = 0; i < responses->len; i++)
		node_response_parse(responses->pdata[i]);
	return responses;
}
