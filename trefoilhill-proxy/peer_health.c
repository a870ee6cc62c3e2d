#include <arpa/inet.h>

#include "trefoilhill-proxy/peer_health.h"

static void
log_change(struct proxy *proxy, const struct fleet_peer *peer,
    const char *event, const char *reason)
{
	struct json_line *line =
	    json_log_begin(proxy->log, LOG_CLASS_STATE, event);
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &peer->host, host, sizeof(host));
	json_line_cstr(line, "peer", host);
	json_line_cstr(line, "zone", peer->zone->name);
	json_line_cstr(line, "reason", reason);
	json_line_int(line, "silent_ms",
	    peer->last_contact_ms == 0
		? -1
		: proxy_now_ms(proxy) - peer->last_contact_ms);
	json_log_end(line);
}

/*
 * Record that a peer did not respond to a request or heartbeat, for reason.
 */
void
peer_health_failed(
    struct proxy *proxy, struct fleet_peer *peer, const char *reason)
{
	if (peer->consecutive_failures == 0)
		log_change(proxy, peer, "peer_lost", reason);
	if (fleet_peer_mark_failed(peer, proxy_now_ms(proxy)))
		log_change(proxy, peer, "zone_suspected", reason);
}

/*
 * Record that a peer responded.
 */
void
peer_health_responded(struct proxy *proxy, struct fleet_peer *peer)
{
	if (peer->consecutive_failures > 0)
		log_change(proxy, peer, "peer_back", "");
	if (fleet_peer_mark_alive(peer, proxy_now_ms(proxy)))
		log_change(proxy, peer, "zone_reached", "");
}
