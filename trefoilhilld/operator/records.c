#include <inttypes.h>
#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

enum {
	STATUS_UNAVAILABLE = 503,
};

static json_t *
records_to_json(const struct snapshot *snapshot)
{
	json_t *records = json_array();

	for (int kind = 0; kind < RECORD_KIND_COUNT; kind++) {
		size_t count;
		struct record *const *kind_records =
		    snapshot_records(snapshot, kind, &count);

		for (size_t i = 0; i < count; i++)
			json_array_append_new(
			    records, record_to_json(kind_records[i]));
	}
	return records;
}

/*
 * GET /v1/records: returns all records of the current configuration.
 */
void
handle_records(
    const struct operator_request *request, struct operator_response *response)
{
	struct snapshot *snapshot = node_snapshot(request->node);
	struct state_id id;
	char digest[33];

	if (snapshot == NULL) {
		operator_response_set_error(response, STATUS_UNAVAILABLE,
		    "not-ready", "no configuration yet");
		return;
	}
	id = snapshot_id(snapshot);
	g_snprintf(digest, sizeof(digest), "%016" PRIx64 "%016" PRIx64,
	    id.digest.high, id.digest.low);
	operator_response_set_json(response,
	    json_pack("{s:I,s:s,s:o}", "version", (json_int_t)id.version,
		"digest", digest, "records", records_to_json(snapshot)));
	snapshot_unref(snapshot);
}
