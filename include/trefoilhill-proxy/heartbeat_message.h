#ifndef TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_MESSAGE_H
#define TREFOILHILL_TREFOILHILL_PROXY_HEARTBEAT_MESSAGE_H

#include "fleet/source.h"
#include "fleet/upstream.h"
#include "quota/report.h"

enum {
	HEARTBEAT_LOST_MAX = 64,
	HEARTBEAT_SUSPECTS_MAX = 96,
};

/* A host that did not respond to some node. */
struct lost_host {
	struct in_addr host;
	uint32_t age_ms;
};

/* Content of a heartbeat or of its response; encoded as a GVariant. */
struct heartbeat_message {
	struct store_position position; /* of the sender's copy of the store */
	int64_t age_ms; /* since the store confirmed it; -1: never */
	/* How much longer a removed registration may be restored. */
	int64_t removal_grace_ms;
	/* How long it has been confirmed without an outage of the store. */
	int64_t steady_ms;
	bool stopping;
	char *upstream; /* id of the sender's upstream; empty: none */
	uint64_t upstream_started_ms; /* Unix time of its start */
	bool upstream_leaving;        /* it has announced that it leaves */
	struct load_report load;      /* of that upstream */
	struct lost_host lost[HEARTBEAT_LOST_MAX];
	size_t lost_count;
	/* Requests that may crash upstreams, as the text of struct suspect. */
	char *suspects[HEARTBEAT_SUSPECTS_MAX];
	size_t suspect_count;
	uint64_t quarantine_hash; /* of the requests in quarantine there */
	struct quota_report_list quota; /* usage of workspaces */
	GPtrArray *items; /* struct replica_item; NULL: none included */
	bool is_snapshot; /* items are the complete state, not changes */
	/* Items are the changes of the era after this revision. */
	uint64_t base_revision;
};

GBytes *heartbeat_message_encode(const struct heartbeat_message *message);
/* Returns false, and an empty message, if the bytes are malformed. */
bool heartbeat_message_decode(
    struct str bytes, struct heartbeat_message *message);
void heartbeat_message_clear(struct heartbeat_message *message);
void heartbeat_message_clear_suspects(struct heartbeat_message *message);

#endif
