#include <inttypes.h>
#include <jansson.h>

#include "trefoilhilld/node.h"
#include "trefoilhilld/operator.h"

static json_t *
peers_to_json(const struct control_status *status)
{
	json_t *peers = json_array();

	for (size_t i = 0; i < status->peer_count; i++) {
		const struct control_peer *peer = &status->peers[i];

		json_array_append_new(peers,
		    json_pack("{s:s,s:I,s:I}", "host", peer->host, "version",
			(json_int_t)peer->version, "age_ms",
			(json_int_t)peer->age_ms));
	}
	return peers;
}

static json_t *
guard_hint_to_json(struct node *node)
{
	struct guard_hint hint;

	if (!node_guard_hint(node, &hint))
		return json_null();
	return json_pack("{s:I,s:i,s:i,s:i,s:i,s:b}", "tick",
	    (json_int_t)hint.tick, "limit", (int)hint.limit, "in_flight",
	    (int)hint.in_flight, "queued", (int)hint.queued, "latency_us",
	    (int)hint.latency_us, "accepting", hint.accepting);
}

/*
 * GET /v1/status: returns the identity and state of this node, its
 * configuration version, its peers and the load of its guard.
 */
void
handle_status(
    const struct operator_request *request, struct operator_response *response)
{
	struct node *node = request->node;
	const struct settings *settings = node_settings(node);
	struct snapshot *snapshot = node_snapshot(node);
	struct state_id id = { 0 };
	struct control_status status;
	char digest[33];

	if (snapshot != NULL) {
		id = snapshot_id(snapshot);
		snapshot_unref(snapshot);
	}
	node_control_status(node, &status);
	g_snprintf(digest, sizeof(digest), "%016" PRIx64 "%016" PRIx64,
	    id.digest.high, id.digest.low);
	operator_response_set_json(response,
	    json_pack("{s:s,s:s,s:s,s:I,s:s,s:I,s:b,s:s,s:I,s:o,s:o}", "node",
		settings->node.host.ptr, "zone", settings->node.zone.ptr,
		"state", node_state_name(node_state(node)), "version",
		(json_int_t)id.version, "digest", digest, "base",
		(json_int_t)id.base, "reader", status.reader, "platform",
		status.platform_up ? "up" : "lost", "incarnation",
		(json_int_t)node_incarnation(node), "peers",
		peers_to_json(&status), "guard", guard_hint_to_json(node)));
}
