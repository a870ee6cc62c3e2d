#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/follower.h"

/* Workspaces and their keys, as an exchange meets them. */

enum {
	/*
	 * A key may be in a configuration that this node doesn't have yet. Its
	 * copy is current if the store or a peer confirmed it within this time
	 * and no newer one is being decoded.
	 */
	CURRENT_MAX_AGE_MS = 3000,
};

static bool
config_is_confirmed(const struct proxy *proxy)
{
	int64_t age_ms = follower_age_ms(proxy->follower);

	return age_ms >= 0 && age_ms <= CURRENT_MAX_AGE_MS &&
	    !follower_has_pending_config(proxy->follower);
}

/*
 * Refuse a request without a known key. 401 is final for callers, so it isn't
 * sent while a newer configuration may hold the key.
 */
static void
refuse_key(struct exchange *exchange, bool is_missing)
{
	struct proxy_stats *stats = &exchange->proxy->stats;

	exchange->key_refused = true;
	if (!config_is_confirmed(exchange->proxy)) {
		proxy_count(stats, STAT_REFUSED_KEY_UNCONFIRMED);
		exchange_respond(exchange, 503, "key_unconfirmed", true);
		return;
	}
	proxy_count(stats,
	    is_missing ? STAT_REFUSED_KEY_MISSING : STAT_REFUSED_KEY_UNKNOWN);
	exchange_respond(
	    exchange, 401, is_missing ? "key_missing" : "key_unknown", false);
}

/*
 * Find the workspace of a caller's key in the configuration of this request, so
 * that a key removed since the connection was opened is refused. Returns false,
 * having responded, if the route needs a key and the request has none that is
 * known.
 */
bool
exchange_check_key(struct exchange *exchange)
{
	struct str key;

	if (!mesh_config_has_workspaces(exchange->config))
		return true;
	key = platform_request_key(exchange->head);
	exchange->workspace = mesh_config_find_key(exchange->config, key);
	if (exchange->workspace != NULL || exchange->route->is_public)
		return true;
	refuse_key(exchange, key.len == 0);
	return false;
}

/*
 * Append the name of the workspace to a log line. Of a key that was refused the
 * line has the digest: keys never appear in logs.
 */
void
exchange_log_key(const struct exchange *exchange, struct json_line *line)
{
	struct str workspace = exchange_workspace_name(exchange);
	char digest[KEY_DIGEST_TEXT_MAX];
	struct str key;

	if (workspace.len > 0)
		json_line_text(line, "workspace", workspace);
	if (!exchange->key_refused)
		return;
	key = platform_request_key(exchange->head);
	if (key.len == 0)
		return;
	key_digest_format(key, digest);
	json_line_cstr(line, "key_digest", digest);
}

/*
 * Tell whether the header fields of keys and workspaces are the proxy's own.
 * The current configuration counts too: it may have gained workspaces since the
 * request began, or be newer than that of the node that sent the request.
 */
bool
exchange_has_workspaces(const struct exchange *exchange)
{
	return mesh_config_has_workspaces(exchange->config) ||
	    mesh_config_has_workspaces(
		catalog_config(exchange->proxy->catalog)) ||
	    exchange->hop.workspace.len > 0;
}

/*
 * Return the name of the workspace that the request's key is of, as found by
 * this node or told by the one that accepted the request; empty if there is
 * none.
 */
struct str
exchange_workspace_name(const struct exchange *exchange)
{
	if (exchange->origin == CALLER_PEER)
		return exchange->hop.workspace;
	if (exchange->workspace == NULL)
		return (struct str){ 0 };
	return str_from(exchange->workspace->name);
}
