#include <math.h>

#include "quota/quota_private.h"

/* What a node concludes from its own requests and the reports of others. */

enum {
	MS_PER_S = 1000,
	PER_MILLE = 1000,
	PERCENT = 100,
	/* Of the overage, used before requests are refused. */
	OVERAGE_USED_PERCENT = 30,
	/*
	 * The same while some nodes are not reached, which need less than their
	 * even share, or nothing, if they are down and not cut off.
	 */
	OVERAGE_USED_APART_PERCENT = 60,
	/* Of overage and slack, within which the rest is regulated. */
	OVERAGE_RESERVE_PERCENT = 40,
	SLACK_RESERVE_PERCENT = 50,
	/* Multiple of the limit admitted while the window has room. */
	CATCH_UP_FACTOR = 2,
	/* In which a node that sends all requests may use that room. */
	BURST_MS = 100,
	HOT_DEVIATIONS = 3,
	HOT_MARGIN = 2, /* requests a second, for the smallest limits */
	/* Of the window's limit, below which a workspace isn't hot. */
	HOT_WINDOW_PERCENT = 50,
	/* For which a hot workspace is announced. */
	ANNOUNCE_MS = 1000,
	/* Own rate that makes a sudden rise credible: two requests at once. */
	RISE_RATE_MIN = 6,
};

/*
 * Return the share of the nodes that this one reaches.
 */
double
quota_reach(const struct quota *quota)
{
	return (double)quota->reached / quota->nodes;
}

static double
full_window_limit(const struct quota *quota, const struct usage *usage)
{
	return usage->rate_per_s * quota->settings.window_ms / MS_PER_S +
	    usage->burst;
}

static double
part_of_overage(const struct quota *quota, const struct usage *usage,
    uint32_t overage_percent, uint32_t slack_percent)
{
	return full_window_limit(quota, usage) *
	    quota->settings.overage_per_mille / PER_MILLE * overage_percent /
	    PERCENT +
	    (double)quota->settings.slack * slack_percent / PERCENT;
}

/*
 * Return the requests that the nodes in reach may admit in a window.
 */
double
quota_window_limit(const struct quota *quota, const struct usage *usage)
{
	double limit = full_window_limit(quota, usage);
	double all = limit +
	    part_of_overage(
		quota, usage, OVERAGE_USED_PERCENT, QUOTA_SLACK_USED_PERCENT);
	double apart = limit +
	    part_of_overage(quota, usage, OVERAGE_USED_APART_PERCENT,
		QUOTA_SLACK_USED_PERCENT);

	return MIN(all, quota_reach(quota) * apart);
}

/*
 * Return how close a workspace is to its limit; 1: at the limit.
 */
double
quota_pressure(
    const struct quota *quota, const struct usage *usage, int64_t now_ms)
{
	double reach = quota_reach(quota);
	double rate =
	    usage_offered(usage, now_ms) / MAX(usage->rate_per_s * reach, 1e-6);
	double window =
	    usage_admitted(usage) / MAX(quota_window_limit(quota, usage), 1e-6);
	double own = usage_offered_own(usage, now_ms);

	if (own >= RISE_RATE_MIN)
		rate = MAX(rate, own * quota->reached / usage->rate_per_s);
	return MAX(rate, window);
}

/* Requests a second, at all nodes, from which a workspace is hot. */
static double
hot_rate(const struct quota *quota, const struct usage *usage)
{
	double limit = usage->rate_per_s * quota_reach(quota);

	return limit + HOT_DEVIATIONS * sqrt(limit * 2) + HOT_MARGIN;
}

static bool
is_hot(const struct quota *quota, const struct usage *usage, double offered)
{
	return offered > hot_rate(quota, usage) &&
	    usage_admitted(usage) * PERCENT >
	    quota_window_limit(quota, usage) * HOT_WINDOW_PERCENT;
}

/*
 * Tell whether the node has just started, so that it knows little of its peers.
 */
bool
quota_is_early(const struct quota *quota, int64_t now_ms)
{
	return quota->heard < QUOTA_HEARD_MIN &&
	    now_ms - quota->started_ms < QUOTA_EARLY_MS;
}

/*
 * Return the requests offered to all nodes a second, as far as that can be
 * told.
 */
double
quota_offered(
    const struct quota *quota, const struct usage *usage, int64_t now_ms)
{
	double offered = usage_offered(usage, now_ms);

	if (!quota_is_early(quota, now_ms))
		return offered;
	return MAX(offered, usage_offered_own(usage, now_ms) * quota->reached);
}

/*
 * Share of the requests to be admitted so that all nodes together admit the
 * limit, when they know the same. More while there is room in the window, less
 * when it is overdrawn. A node that is offered most of the requests knows the
 * use best, and may take the room at once.
 */
static double
share_due(const struct quota *quota, const struct usage *usage, double room,
    double offered, double offered_own)
{
	double reach = quota_reach(quota);
	double limit = usage->rate_per_s * reach;
	double reserve = reach *
	    part_of_overage(
		quota, usage, OVERAGE_RESERVE_PERCENT, SLACK_RESERVE_PERCENT);
	double factor = 1 + room / MAX(reserve, 1e-6);
	double burst =
	    offered_own / offered * MAX(room, 0) * MS_PER_S / BURST_MS;

	return (limit * CLAMP(factor, 0, CATCH_UP_FACTOR) + burst) / offered;
}

/* Request an announcement if a workspace has turned hot a moment ago. */
static void
note_rise(struct quota *quota, struct usage *usage, double offered,
    double offered_own, int64_t now_ms)
{
	/* Less than the slack takes does no harm until the usual reports. */
	double margin = quota->settings.slack / 2.0;
	bool rises = is_hot(quota, usage, offered - margin) ||
	    (offered_own >= RISE_RATE_MIN &&
		is_hot(quota, usage, offered_own * quota->reached - margin));

	if (rises && !usage->rises)
		usage->rises_ms = now_ms;
	usage->rises = rises;
	if (rises && now_ms - usage->rises_ms < ANNOUNCE_MS)
		quota->announce = true;
}

/*
 * Bring what is estimated of a workspace up to date.
 */
void
quota_update(struct quota *quota, struct usage *usage, int64_t now_ms)
{
	double offered, offered_own, room;

	usage_advance(usage, quota->settings.window_ms, now_ms);
	usage_expect(usage, quota->reached, hot_rate(quota, usage),
	    quota->settings.window_ms, now_ms);
	offered = quota_offered(quota, usage, now_ms);
	offered_own = usage_offered_own(usage, now_ms);
	room = quota_window_limit(quota, usage) - usage_admitted(usage);
	usage->hot = is_hot(quota, usage, offered);
	usage->share = 1;
	if (usage->hot || room < 1)
		usage->share =
		    MIN(share_due(quota, usage, room, offered, offered_own), 1);
	note_rise(quota, usage, offered, offered_own, now_ms);
}
