#ifndef TREFOILHILL_QUOTA_QUOTA_H
#define TREFOILHILL_QUOTA_QUOTA_H

#include "fleet/mesh_config.h"
#include "quota/report.h"

/*
 * Limits the requests of each workspace over all nodes, without shared state:
 * nodes report what they admitted and what they were offered, and each decides
 * by what it has heard. Answers these load patterns: many workspaces that send
 * less than one request a second to each node, so that an even share of a limit
 * is below one request; a workspace that turns from its usual rate to many
 * times that, at all nodes or at one, within a moment; and parts of the fleet
 * that can't hear each other. See docs/design/quota.md. Does no I/O; times are
 * milliseconds of a monotonic clock.
 */
struct quota;

struct quota_settings {
	uint32_t window_ms;
	/* Of a window's limit, and a number of requests, by which the requests
	 * admitted in a window may exceed it. */
	uint32_t overage_per_mille;
	uint32_t slack;
};

enum quota_verdict {
	QUOTA_ADMITTED,
	QUOTA_REFUSED,
};

/* What a node knows of a workspace. */
struct quota_view {
	const char *name;
	double rate_per_s;
	double burst;
	double window_limit; /* requests in a window, at the nodes in reach */
	double window_fleet; /* requests admitted in the last window */
	double offered_fleet;
	double offered_own; /* requests a second */
	/* Of the oldest report that the figures depend on; -1: none. */
	int64_t report_age_ms;
};

/* node: drawn at random by the process, not 0. */
struct quota *quota_new(
    const struct quota_settings *settings, uint32_t node, int64_t now_ms);
/* NULL is allowed. */
void quota_free(struct quota *quota);
/* The window stays as it was at the start. */
void quota_set_settings(
    struct quota *quota, const struct quota_settings *settings);
/* Follow the workspaces of a configuration; those not in it are forgotten. */
void quota_set_config(
    struct quota *quota, const struct mesh_config *config, int64_t now_ms);
/*
 * Number of nodes, and of those that this node can exchange messages with, both
 * with itself.
 */
void quota_set_reach(struct quota *quota, uint32_t nodes, uint32_t reached);
/*
 * Take one request. If it is refused, retry_ms is the time until the workspace
 * may send it again.
 */
enum quota_verdict quota_take(struct quota *quota,
    const struct workspace *workspace, int64_t now_ms, int64_t *retry_ms);
/* A request that was admitted did not reach an upstream. */
void quota_return(
    struct quota *quota, const struct workspace *workspace, int64_t now_ms);
/* Should peers be told at once, as a workspace has turned hot? */
bool quota_take_announcement(struct quota *quota, int64_t now_ms);
/* Is a workspace near its limit, as far as this node knows? */
bool quota_is_any_near(struct quota *quota, int64_t now_ms);
/*
 * Collect at most max reports for a peer, with max up to QUOTA_REPORTS_MAX.
 * is_sample: the peer meets this node at random, not because of requests or of
 * quota_take_announcement, so that it may judge others by this one.
 */
void quota_collect(struct quota *quota, bool is_sample, size_t max,
    struct quota_report_list *list, int64_t now_ms);
void quota_apply(
    struct quota *quota, const struct quota_report_list *list, int64_t now_ms);
/* False if the workspace is unknown or unlimited. */
bool quota_view_of(const struct quota *quota, const struct workspace *workspace,
    int64_t now_ms, struct quota_view *view);
/* The busiest workspaces, most offered first; returns their number. */
size_t quota_busiest(const struct quota *quota, struct quota_view *views,
    size_t views_max, int64_t now_ms);

#endif
