#ifndef TREFOILHILL_QUOTA_QUOTA_PRIVATE_H
#define TREFOILHILL_QUOTA_QUOTA_PRIVATE_H

#include "quota/quota.h"
#include "quota/usage.h"

/* Private to quota/. */

enum {
	/*
	 * Messages of nodes that have not just started, or time, until peers'
	 * rates are judged by what they report. When all nodes start into a hot
	 * load, the first reports say little of it.
	 */
	QUOTA_HEARD_MIN = 3,
	QUOTA_EARLY_MS = 1500,
	/* Of the slack, used before requests are refused. */
	QUOTA_SLACK_USED_PERCENT = 10,
};

struct quota {
	struct quota_settings settings;
	uint32_t node;
	int64_t started_ms;
	GHashTable *usages;    /* hash of the name to struct usage */
	GPtrArray *usage_list; /* the same ones */
	uint32_t nodes;
	uint32_t reached;
	uint32_t heard; /* messages of nodes that have not just started */
	bool announce;  /* a workspace has turned hot since the last one */
	int64_t announced_ms;
	double announce_budget; /* at announced_ms */
	int64_t expired_ms;
};

/* Share of the nodes that this one reaches, with itself. */
double quota_reach(const struct quota *quota);
/* Requests that the nodes in reach may admit in a window. */
double quota_window_limit(const struct quota *quota, const struct usage *usage);
/* Has the node just started, so that it knows little of its peers? */
bool quota_is_early(const struct quota *quota, int64_t now_ms);
/* Requests offered to all nodes a second, as far as that can be told. */
double quota_offered(
    const struct quota *quota, const struct usage *usage, int64_t now_ms);
/* How close a workspace is to its limit; 1: at the limit. */
double quota_pressure(
    const struct quota *quota, const struct usage *usage, int64_t now_ms);
/*
 * Bring what is estimated of a workspace up to date: what was admitted, whether
 * it is hot, and the share of its requests that is admitted.
 */
void quota_update(struct quota *quota, struct usage *usage, int64_t now_ms);

#endif
