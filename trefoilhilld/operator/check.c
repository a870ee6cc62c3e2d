#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	STATUS_UNAVAILABLE = 503,
};

static json_t *
refusals_to_json(const struct verdict *verdict)
{
	json_t *refusals = json_array();

	for (guint i = 0;
	     verdict->refusals != NULL && i < verdict->refusals->len; i++) {
		const struct refusal *refusal =
		    g_ptr_array_index(verdict->refusals, i);

		json_array_append_new(refusals,
		    json_pack("{s:s?,s:s?,s:s?}", "record", refusal->record,
			"field", refusal->field, "reason", refusal->reason));
	}
	return refusals;
}

/*
 * POST /v1/check: validates the publication in the body against the current
 * configuration without applying it.
 */
void
handle_check(
    const struct operator_request *request, struct operator_response *response)
{
	struct snapshot *snapshot = node_snapshot(request->node);
	struct publication *publication;
	struct verdict verdict = { 0 };
	struct snapshot *candidate;

	if (snapshot == NULL) {
		operator_response_set_error(response, STATUS_UNAVAILABLE,
		    "not-ready", "no configuration yet");
		return;
	}
	publication = publication_new(snapshot_id(snapshot).version + 1,
	    g_bytes_new(request->body.ptr, request->body.len));
	candidate = snapshot_apply(snapshot, publication, &verdict);
	operator_response_set_json(response,
	    json_pack("{s:b,s:I,s:o}", "accepted",
		verdict.kind == VERDICT_ACCEPTED, "against",
		(json_int_t)snapshot_id(snapshot).version, "refusals",
		refusals_to_json(&verdict)));
	verdict_clear(&verdict);
	snapshot_unref(candidate);
	publication_unref(publication);
	snapshot_unref(snapshot);
}
