#include <jansson.h>
#include <string.h>

#include "trefoilhill-proxy/follower.h"
#include "trefoilhill-proxy/status.h"

/*
 * Tell whether a request target is the one of a node's status.
 */
bool
status_is_target(struct str target)
{
	return str_equal(target, str_from("/v1/status"));
}

static const char *
state_name(const struct proxy *proxy)
{
	if (proxy->stopping)
		return "draining";
	return proxy_is_ready(proxy) ? "ready" : "starting";
}

/*
 * Return the status of a node as JSON. The digest tells copies of different
 * eras apart, in which a revision stands for different changes.
 */
char *
status_render(struct proxy *proxy)
{
	const struct settings *settings = proxy->settings;
	const struct follower *follower = proxy->follower;
	struct store_position config = catalog_config_position(proxy->catalog);
	char *digest =
	    g_strdup_printf("era %" G_GUINT64_FORMAT, (guint64)config.era);
	json_t *status =
	    json_pack("{s:s%,s:s%,s:s,s:I,s:s,s:b,s:s,s:I,s:I,s:s}", "node",
		settings->node.host.ptr, settings->node.host.len, "zone",
		settings->node.zone.ptr, settings->node.zone.len, "state",
		state_name(proxy), "version", (json_int_t)config.revision,
		"digest", digest, "reader", follower_is_reader(follower),
		"platform", follower_store_is_lost(follower) ? "lost" : "up",
		"age_ms", (json_int_t)follower_age_ms(follower), "behind_ms",
		(json_int_t)follower_behind_ms(follower), "behind_reason",
		follower_behind_reason(follower));
	char *text = status == NULL ? NULL : json_dumps(status, JSON_COMPACT);

	if (text == NULL) {
		g_warning("cannot render the status: settings are not UTF-8");
		text = strdup("{}");
	}
	json_decref(status);
	g_free(digest);
	return text;
}
