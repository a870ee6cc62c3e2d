#include <math.h>

#include "quota/quota.h"
#include "trefoilhill-proxy/exchange.h"
#include "trefoilhill-proxy/heartbeat.h"

/* The quota of the workspace whose key a request carries. */

/*
 * Take the request out of the quota of its workspace, if it has one. Retries,
 * hedges and peers' requests are not counted. Returns false if the request was
 * refused and responded to.
 */
bool
exchange_take_quota(struct exchange *exchange)
{
	struct proxy *proxy = exchange->proxy;
	int64_t retry_ms;

	if (exchange->workspace == NULL || exchange->route->is_public)
		return true;
	exchange->quota_taken =
	    quota_take(proxy->quota, exchange->workspace, proxy_now_ms(proxy),
		&retry_ms) == QUOTA_ADMITTED;
	heartbeat_announce_quota(proxy->heartbeat);
	if (exchange->quota_taken)
		return true;
	exchange->quota_retry_ms = MAX(retry_ms, 1);
	proxy_count(&proxy->stats, STAT_REFUSED_QUOTA);
	exchange_respond(exchange, 429, "quota", true);
	return false;
}

/*
 * Return the request to the quota: it has not reached an upstream and never
 * will.
 */
void
exchange_return_quota(struct exchange *exchange)
{
	if (!exchange->quota_taken)
		return;
	exchange->quota_taken = false;
	quota_return(exchange->proxy->quota, exchange->workspace,
	    proxy_now_ms(exchange->proxy));
}

/*
 * Add what led to a refusal by quota to a log line.
 */
void
exchange_log_quota(const struct exchange *exchange, struct json_line *line)
{
	struct quota_view view;

	if (line == NULL || exchange->quota_retry_ms == 0 ||
	    !quota_view_of(exchange->proxy->quota, exchange->workspace,
		proxy_now_ms(exchange->proxy), &view))
		return;
	json_line_cstr(line, "workspace", view.name);
	json_line_int(line, "retry_ms", exchange->quota_retry_ms);
	json_line_int(line, "window_limit", lround(view.window_limit));
	json_line_int(line, "window_fleet", lround(view.window_fleet));
	json_line_int(line, "offered_fleet_per_s", lround(view.offered_fleet));
	json_line_int(line, "offered_own_per_s", lround(view.offered_own));
	json_line_int(line, "report_age_ms", view.report_age_ms);
}
