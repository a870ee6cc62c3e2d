#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/hop.h"
#include "trefoilhill-proxy/quota_link.h"

enum {
	HOP_REPORTS_MAX = 24,
	HOP_TEXT_MAX = 4096, /* longer fields are malformed */
	/* For which encoded reports are used again. */
	TEXT_MS = 50,
	ZONE_LOST_FAILURES = 3, /* in a row, at any hosts of the zone */
	PEER_LOST_FAILURES = 2, /* in a row; one alone is often a timeout */
	WORKSPACES_SHOWN_MAX = 64,
};

/* Reports as they were last encoded for a hop. */
struct encoded_reports {
	char *text; /* NULL: none */
	int64_t made_ms;
};

struct quota_link {
	struct proxy *proxy;
	struct encoded_reports requests;
	struct encoded_reports responses;
};

/*
 * Return an object that connects a node's quotas to its peers.
 */
struct quota_link *
quota_link_new(struct proxy *proxy)
{
	struct quota_link *link = g_new0(struct quota_link, 1);

	link->proxy = proxy;
	link->requests.made_ms = -TEXT_MS;
	link->responses.made_ms = -TEXT_MS;
	return link;
}

/*
 * Free it. NULL is allowed.
 */
void
quota_link_free(struct quota_link *link)
{
	if (link == NULL)
		return;
	g_free(link->requests.text);
	g_free(link->responses.text);
	g_free(link);
}

/*
 * Return the settings of the quotas.
 */
struct quota_settings
quota_link_settings(const struct settings *settings)
{
	return (struct quota_settings){
		.window_ms = settings->quota.window_ms,
		.overage_per_mille = settings->quota.overage_per_mille,
		.slack = settings->quota.slack,
	};
}

/*
 * Follow the settings of the proxy. The window can't change while it runs.
 */
void
quota_link_reload(struct quota_link *link)
{
	struct quota_settings settings =
	    quota_link_settings(link->proxy->settings);

	quota_set_settings(link->proxy->quota, &settings);
}

/*
 * Encode the reports anew. While no workspace is near its limit, heartbeats are
 * enough, and hops carry none: they would be a third of the bytes of a hop.
 */
static void
refresh_reports(
    struct quota_link *link, struct encoded_reports *reports, bool is_sample)
{
	int64_t now_ms = proxy_now_ms(link->proxy);
	struct quota_report_list list;
	GBytes *bytes;
	size_t len;
	const void *data;

	if (!quota_is_any_near(link->proxy->quota, now_ms)) {
		g_clear_pointer(&reports->text, g_free);
		reports->made_ms = now_ms;
		return;
	}
	quota_collect(
	    link->proxy->quota, is_sample, HOP_REPORTS_MAX, &list, now_ms);
	bytes = quota_report_list_encode(&list);
	data = g_bytes_get_data(bytes, &len);
	g_free(reports->text);
	reports->text = len == 0 ? NULL : g_base64_encode(data, len);
	reports->made_ms = now_ms;
	g_bytes_unref(bytes);
}

/*
 * Append reports to a request to a peer, or to a response to one. Busy nodes
 * send more requests than others, so that only responders are a random sample.
 */
void
quota_link_write(struct quota_link *link, bool response, GString *text)
{
	struct encoded_reports *reports =
	    response ? &link->responses : &link->requests;

	if (proxy_now_ms(link->proxy) - reports->made_ms >= TEXT_MS)
		refresh_reports(link, reports, response);
	if (reports->text != NULL)
		hop_write_quota(text, str_from(reports->text));
}

/*
 * Take over the reports of a peer, and tell others at once if they show that a
 * workspace has turned hot.
 */
void
quota_link_apply_list(
    struct quota_link *link, const struct quota_report_list *list)
{
	quota_apply(link->proxy->quota, list, proxy_now_ms(link->proxy));
	heartbeat_announce_quota(link->proxy->heartbeat);
}

/*
 * Take over the reports of a peer, encoded for a hop; malformed ones are
 * ignored.
 */
void
quota_link_apply(struct quota_link *link, struct str text)
{
	struct quota_report_list list;
	char *copy;
	guchar *bytes;
	gsize len;

	if (text.len == 0 || text.len > HOP_TEXT_MAX)
		return;
	copy = str_dup_cstr(text);
	bytes = g_base64_decode(copy, &len);
	if (quota_report_list_decode(str_make(bytes, len), &list))
		quota_link_apply_list(link, &list);
	g_free(bytes);
	g_free(copy);
}

/*
 * Count the peers that are known, and those that can be reached: a peer that
 * did not respond, or whose whole zone did not, is cut off.
 */
void
quota_link_tick(struct quota_link *link)
{
	struct proxy *proxy = link->proxy;
	uint32_t nodes = 1, reached = 1;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog_peers(proxy->catalog));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_peer *peer = value;

		if (peer->host.s_addr == proxy->host.s_addr)
			continue;
		nodes++;
		reached += peer->consecutive_failures < PEER_LOST_FAILURES &&
		    peer->zone->consecutive_failures < ZONE_LOST_FAILURES;
	}
	quota_set_reach(proxy->quota, nodes, reached);
}

static void
render_view(const struct quota_view *view, GString *out)
{
	/* A label value must not contain quotes, backslashes or line ends. */
	char *name = g_strescape(view->name, NULL);

	g_string_append_printf(out,
	    "trefoilhill_quota_rate_limit{workspace=\"%s\"} %.3f\n"
	    "trefoilhill_quota_window_limit{workspace=\"%s\"} %.1f\n"
	    "trefoilhill_quota_window_fleet{workspace=\"%s\"} %.1f\n"
	    "trefoilhill_quota_offered_fleet_per_s{workspace=\"%s\"} %.2f\n"
	    "trefoilhill_quota_offered_own_per_s{workspace=\"%s\"} %.2f\n"
	    "trefoilhill_quota_report_age_ms{workspace=\"%s\"} "
	    "%" G_GINT64_FORMAT "\n",
	    name, view->rate_per_s, name, view->window_limit, name,
	    view->window_fleet, name, view->offered_fleet, name,
	    view->offered_own, name, (gint64)view->report_age_ms);
	g_free(name);
}

/*
 * Append gauges of the busiest workspaces.
 */
void
quota_link_render(struct quota_link *link, GString *out)
{
	struct quota_view *views =
	    g_new(struct quota_view, WORKSPACES_SHOWN_MAX);
	size_t count = quota_busiest(link->proxy->quota, views,
	    WORKSPACES_SHOWN_MAX, proxy_now_ms(link->proxy));

	for (size_t i = 0; i < count; i++)
		render_view(&views[i], out);
	g_free(views);
}
