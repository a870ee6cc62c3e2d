#include "trefoilhill-proxy/lost_hosts.h"

/*
 * Add the hosts that this node, or one nearby, has found lost to a message.
 */
void
lost_hosts_collect(struct proxy *proxy, struct heartbeat_message *message)
{
	int64_t now_ms = proxy_now_ms(proxy);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalog_peers(proxy->catalog));
	while (message->lost_count < HEARTBEAT_LOST_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_peer *peer = value;
		int64_t age_ms = fleet_peer_lost_age_ms(peer, now_ms);

		if (age_ms >= 0)
			message->lost[message->lost_count++] =
			    (struct lost_host){ peer->host, (uint32_t)age_ms };
	}
}

/*
 * Avoid the hosts that a node of the same zone has found lost.
 */
void
lost_hosts_apply(struct proxy *proxy, const struct heartbeat_message *message)
{
	for (size_t i = 0; i < message->lost_count; i++) {
		const struct lost_host *lost = &message->lost[i];
		struct fleet_peer *peer =
		    g_hash_table_lookup(catalog_peers(proxy->catalog),
			GUINT_TO_POINTER(lost->host.s_addr));

		if (peer != NULL && peer->host.s_addr != proxy->host.s_addr)
			fleet_peer_mark_reported_lost(
			    peer, lost->age_ms, proxy_now_ms(proxy));
	}
}
