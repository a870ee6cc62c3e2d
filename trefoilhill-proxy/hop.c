#include <stdio.h>
#include <string.h>

#include "trefoilhill-proxy/hop.h"

#define NAME(text)                     \
	{                              \
		sizeof(text) - 1, text \
	}

static const struct str request_field = NAME("X-Trefoilhill-Hop");
static const struct str caller_field = NAME("X-Trefoilhill-Caller");
static const struct str instance_field = NAME("X-Trefoilhill-Instance");
static const struct str workspace_field = NAME("X-Trefoilhill-Workspace");
static const struct str load_field = NAME("X-Trefoilhill-Load");
static const struct str not_run_field = NAME("X-Trefoilhill-Not-Run");
static const struct str failed_field = NAME("X-Trefoilhill-Failed");
static const struct str leaving_field = NAME("X-Trefoilhill-Leaving");
static const struct str suspect_field = NAME("X-Trefoilhill-Suspect");
static const struct str quota_field = NAME("X-Trefoilhill-Quota");
static const struct str lag_field = NAME("X-Trefoilhill-Lag");
static const struct str read_ttl_field = NAME("X-Trefoilhill-Read-Ttl");
static const struct str rejected_field = NAME("X-Trefoilhill-Reached");

enum {
	FIELD_TEXT_MAX = 192,
};

/*
 * Tell whether a header field is internal to the nodes.
 */
bool
hop_field_is_internal(struct str name)
{
	static const char prefix[] = "x-trefoilhill-";

	return name.len >= strlen(prefix) &&
	    g_ascii_strncasecmp(name.ptr, prefix, strlen(prefix)) == 0;
}

/*
 * Append the fields of a request to the upstream's node.
 */
void
hop_write_request(GString *text, const struct hop_request *request)
{
	char value[FIELD_TEXT_MAX];
	int len = g_snprintf(value, sizeof(value),
	    "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %u %d %d %d %d %d "
	    "%" G_GINT64_FORMAT " %u %" G_GINT64_MODIFIER
	    "x %" G_GINT64_MODIFIER "x %d %u",
	    (gint64)request->remaining_ms, (gint64)request->queue_timeout_ms,
	    request->priority, request->idempotent ? 1 : 0,
	    request->bulk ? 1 : 0, request->late ? 1 : 0,
	    request->repeat ? 1 : 0, request->confirm ? 1 : 0,
	    (gint64)request->body_length, request->rate_limit_per_ks,
	    (guint64)request->key.high, (guint64)request->key.low,
	    request->suspect ? 1 : 0, request->work_ms);

	http_field_append(text, request_field, str_make(value, (size_t)len));
	http_field_append(text, instance_field, request->instance);
	http_field_append(text, caller_field, request->caller);
	if (request->workspace.len > 0)
		http_field_append(text, workspace_field, request->workspace);
}

/* Copy a value as a string; returns false if it is empty or too long. */
static bool
value_copy(
    const struct http_head *head, struct str name, char *out, size_t out_max)
{
	struct str value = http_head_find(head, name);

	if (value.len == 0 || value.len >= out_max)
		return false;
	memcpy(out, value.ptr, value.len);
	out[value.len] = '\0';
	return true;
}

/*
 * Read the fields of a request from another node. Strings point into the head.
 */
bool
hop_read_request(const struct http_head *head, struct hop_request *request)
{
	char value[FIELD_TEXT_MAX];
	gint64 remaining_ms, queue_timeout_ms, body_length = 0;
	int idempotent, bulk, late, repeat = 0, confirm = 0;
	uint32_t rate_limit_per_ks = 0, work_ms = 0;
	guint64 key_high = 0, key_low = 0;
	int suspect = 0;

	/* Nodes of earlier versions don't send the last eight numbers. */
	if (!value_copy(head, request_field, value, sizeof(value)) ||
	    sscanf(value,
		"%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %u %d %d %d %d %d "
		"%" G_GINT64_FORMAT " %u %" G_GINT64_MODIFIER
		"x %" G_GINT64_MODIFIER "x %d %u",
		&remaining_ms, &queue_timeout_ms, &request->priority,
		&idempotent, &bulk, &late, &repeat, &confirm, &body_length,
		&rate_limit_per_ks, &key_high, &key_low, &suspect,
		&work_ms) < 6)
		return false;
	if (remaining_ms > HOP_TIME_MAX_MS || remaining_ms < -HOP_TIME_MAX_MS ||
	    queue_timeout_ms > HOP_TIME_MAX_MS || queue_timeout_ms < 0)
		return false;
	request->confirm = confirm != 0;
	request->body_length = MAX(body_length, 0);
	request->rate_limit_per_ks = rate_limit_per_ks;
	request->key = (struct request_key){ key_high, key_low };
	request->suspect = suspect != 0;
	request->work_ms = MIN(work_ms, HOP_TIME_MAX_MS);
	request->suspect_text = http_head_find(head, suspect_field);
	request->quota_text = http_head_find(head, quota_field);
	request->repeat = repeat != 0;
	request->late = late != 0;
	request->bulk = bulk != 0;
	request->remaining_ms = remaining_ms;
	request->queue_timeout_ms = queue_timeout_ms;
	request->idempotent = idempotent != 0;
	request->instance = http_head_find(head, instance_field);
	request->caller = http_head_find(head, caller_field);
	request->workspace = http_head_find(head, workspace_field);
	return request->instance.len > 0;
}

/*
 * Append the load of this node's upstream, and its time until the response
 * head.
 */
void
hop_write_load(GString *text, const struct load_report *load, int64_t run_ms)
{
	char value[FIELD_TEXT_MAX];
	int len = g_snprintf(value, sizeof(value),
	    "%u %u %u %u %u %u %u %d %" G_GINT64_FORMAT " %d %u %u %u %u",
	    load->limit, load->in_flight, load->queued, load->latency_us,
	    load->failures_per_mille, load->bulk_waiting,
	    load->bulk_transfer_ms, load->accepting ? 1 : 0, (gint64)run_ms,
	    load->rate_limit_known ? 1 : 0, load->rate_limit_per_ks,
	    load->rate_wait_ms, load->latency_age_ms, load->lag_ms);

	http_field_append(text, load_field, str_make(value, (size_t)len));
}

/* Append a field with a number; nothing if it is 0. */
static void
number_append(GString *text, struct str field, uint32_t number)
{
	if (number > 0)
		g_string_append_printf(
		    text, "%.*s: %u\r\n", STR_ARG(field), number);
}

/* Return the number in a field; 0 if it is missing or malformed. */
static uint32_t
number_read(const struct http_head *head, struct str field)
{
	char value[FIELD_TEXT_MAX];
	uint32_t number;

	if (!value_copy(head, field, value, sizeof(value)) ||
	    sscanf(value, "%u", &number) != 1)
		return 0;
	return number;
}

/*
 * Append the lag of this node's event loop to the head of a heartbeat; nothing
 * if there is none. Nodes of earlier versions ignore the field.
 */
void
hop_write_lag(GString *text, uint32_t lag_ms)
{
	number_append(text, lag_field, lag_ms);
}

/*
 * Return the lag in the head of a heartbeat; 0 if the field is missing or
 * malformed.
 */
uint32_t
hop_read_lag(const struct http_head *head)
{
	return MIN(number_read(head, lag_field), (uint32_t)HOP_TIME_MAX_MS);
}

/*
 * Append to the head of a heartbeat how many nodes are asked to read the store;
 * nothing if there are none. Nodes of earlier versions ignore the field.
 */
void
hop_write_read_ttl(GString *text, uint32_t ttl)
{
	number_append(text, read_ttl_field, ttl);
}

/*
 * Return how many nodes are asked to read the store; 0 if the field is missing
 * or malformed.
 */
uint32_t
hop_read_read_ttl(const struct http_head *head)
{
	return number_read(head, read_ttl_field);
}

/*
 * Append that an upstream leaves: its start, and its id, which may have any
 * length.
 */
void
hop_write_leaving(GString *text, struct str instance, uint64_t started_ms)
{
	g_string_append_printf(text, "%.*s: %" G_GUINT64_FORMAT " %.*s\r\n",
	    STR_ARG(leaving_field), (guint64)started_ms, STR_ARG(instance));
}

/* Read which upstream leaves, if the field is there and well-formed. */
static void
read_leaving(const struct http_head *head, struct hop_response *response)
{
	struct str value = http_head_find(head, leaving_field);
	const char *space =
	    value.len == 0 ? NULL : memchr(value.ptr, ' ', value.len);
	uint64_t started_ms = 0;

	if (space == NULL)
		return;
	for (const char *at = value.ptr; at < space; at++) {
		if (!g_ascii_isdigit(*at) || started_ms > UINT64_MAX / 10 - 1)
			return;
		started_ms = started_ms * 10 + (uint64_t)(*at - '0');
	}
	response->leaving_started_ms = started_ms;
	response->leaving_instance =
	    str_make(space + 1, value.len - (size_t)(space + 1 - value.ptr));
}

/*
 * Append what is known of a request that may crash upstreams.
 */
void
hop_write_suspect(GString *text, struct str suspect)
{
	http_field_append(text, suspect_field, suspect);
}

/*
 * Append reports on the usage of workspaces.
 */
void
hop_write_quota(GString *text, struct str reports)
{
	http_field_append(text, quota_field, reports);
}

/*
 * Append why there is no response from an upstream; nothing for HOP_RESPONSE.
 */
void
hop_write_outcome(GString *text, enum hop_outcome outcome, const char *reason,
    bool upstream_rejected)
{
	if (outcome == HOP_RESPONSE)
		return;
	http_field_append(text,
	    outcome == HOP_NOT_RUN ? not_run_field : failed_field,
	    str_from(reason));
	if (upstream_rejected)
		http_field_append(text, rejected_field, str_from("1"));
}

/*
 * Read the fields of a response from another node. The reason points into the
 * head.
 */
void
hop_read_response(const struct http_head *head, struct hop_response *response)
{
	char value[FIELD_TEXT_MAX];
	struct load_report *load = &response->load;
	gint64 run_ms;
	int accepting, rate_limit_known = 0;

	*response = (struct hop_response){ .outcome = HOP_RESPONSE };
	response->reason = http_head_find(head, not_run_field);
	if (response->reason.ptr != NULL) {
		response->outcome = HOP_NOT_RUN;
	} else {
		response->reason = http_head_find(head, failed_field);
		if (response->reason.ptr != NULL)
			response->outcome = HOP_FAILED;
	}
	read_leaving(head, response);
	response->suspect_text = http_head_find(head, suspect_field);
	response->quota_text = http_head_find(head, quota_field);
	response->upstream_rejected =
	    http_head_find(head, rejected_field).ptr != NULL;
	/* Nodes of earlier versions don't send the last five numbers. */
	if (!value_copy(head, load_field, value, sizeof(value)) ||
	    sscanf(value,
		"%u %u %u %u %u %u %u %d %" G_GINT64_FORMAT " %d %u %u %u %u",
		&load->limit, &load->in_flight, &load->queued,
		&load->latency_us, &load->failures_per_mille,
		&load->bulk_waiting, &load->bulk_transfer_ms, &accepting,
		&run_ms, &rate_limit_known, &load->rate_limit_per_ks,
		&load->rate_wait_ms, &load->latency_age_ms, &load->lag_ms) < 9)
		return;
	load->lag_ms = MIN(load->lag_ms, (uint32_t)HOP_TIME_MAX_MS);
	load->rate_limit_known = rate_limit_known != 0;
	response->run_ms = run_ms;
	load->accepting = accepting != 0;
	response->has_load = true;
}
