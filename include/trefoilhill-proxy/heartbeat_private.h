#ifndef TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_PRIVATE_H
#define TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_PRIVATE_H

#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/heartbeat_message.h"

/* Private to heartbeat.c and heartbeat_state.c. */
struct heartbeat {
	uv_timer_t *timer;
	struct proxy *proxy;
	GHashTable *pools;              /* host address to struct http_pool */
	struct store_position expected; /* announced by a peer */
	int64_t expected_until_ms;
	int64_t last_update_ms; /* when a peer last sent newer items */
};

struct store_position heartbeat_own_position(const struct heartbeat *heartbeat);
void heartbeat_add_missing_items(struct heartbeat *heartbeat,
    struct heartbeat_message *message, struct store_position peer);
struct heartbeat_message heartbeat_make_message(struct heartbeat *heartbeat);
void heartbeat_set_stopping(
    struct proxy *proxy, struct fleet_peer *peer, bool stopping);
void heartbeat_apply_message(
    struct heartbeat *heartbeat, const struct heartbeat_message *message);

#endif
