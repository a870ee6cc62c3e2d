#include "quota/quota_private.h"

/* What a node reports to its peers, takes from them, and shows operators. */

enum {
	OWN_REPORTS_PERCENT = 55, /* of a list, at most */
	RELAYED_PERCENT = 75,     /* of the space left, for one workspace */
	PERCENT = 100,
	RELAY_MS = 1000, /* for which news are relayed */
	EXPIRE_INTERVAL_MS = 500,
};

/* Share of its limit from which a workspace is near it. */
#define NEAR_PRESSURE 0.75

/* Below this rate, requests a second, a node doesn't report a workspace. */
#define RATE_REPORTED_MIN 0.05

struct ranked_usage {
	struct usage *usage;
	double rank;
};

static int
compare_rank(const void *a, const void *b)
{
	const struct ranked_usage *left = a, *right = b;

	return (left->rank < right->rank) - (left->rank > right->rank);
}

static struct ranked_usage *
rank_by_pressure(struct quota *quota, int64_t now_ms)
{
	const GPtrArray *list = quota->usage_list;
	struct ranked_usage *ranked = g_new(struct ranked_usage, list->len);

	for (guint i = 0; i < list->len; i++) {
		struct usage *usage = list->pdata[i];

		quota_update(quota, usage, now_ms);
		ranked[i].usage = usage;
		ranked[i].rank = quota_pressure(quota, usage, now_ms);
	}
	qsort(ranked, list->len, sizeof(*ranked), compare_rank);
	return ranked;
}

static void
add_own(const struct quota *quota, const struct usage *usage,
    struct quota_report_list *list, int64_t now_ms)
{
	double rate = usage_offered_own(usage, now_ms);

	if (rate < RATE_REPORTED_MIN)
		return;
	list->items[list->count++] = (struct quota_report){
		.workspace = usage->id,
		.node = quota->node,
		.taken = usage->taken,
		.offered = usage->offered,
		.rate = rate,
	};
}

/* Relay at most so many reports, in turn. */
static void
add_relayed(struct usage *usage, size_t max, struct quota_report_list *list,
    int64_t now_ms)
{
	guint peers = usage->peer_list->len;
	size_t end = list->count + max;

	for (guint i = 0; i < peers && list->count < end; i++) {
		const struct peer_usage *peer =
		    usage->peer_list->pdata[usage->relay_cursor++ % peers];

		if (now_ms - peer->news_ms > RELAY_MS)
			continue;
		list->items[list->count++] = (struct quota_report){
			.workspace = usage->id,
			.node = peer->node,
			.taken = peer->taken,
			.offered = peer->offered,
			.rate = peer->rate,
			.age_ms = now_ms - peer->said_ms,
		};
	}
}

static void
expire(struct quota *quota, int64_t now_ms)
{
	if (now_ms - quota->expired_ms < EXPIRE_INTERVAL_MS)
		return;
	quota->expired_ms = now_ms;
	for (guint i = 0; i < quota->usage_list->len; i++)
		usage_expire(quota->usage_list->pdata[i], now_ms);
}

/*
 * Collect what to report to a peer: own workspaces and then what other nodes
 * have reported, both with those closest to their limits first. The relayed
 * reports of one workspace use at most three quarters of the space left. The
 * list is of no sender if no workspace is limited.
 */
void
quota_collect(struct quota *quota, bool is_sample, size_t max,
    struct quota_report_list *list, int64_t now_ms)
{
	guint count = quota->usage_list->len;
	size_t own_max = max * OWN_REPORTS_PERCENT / PERCENT;
	struct ranked_usage *ranked;

	list->sender = count == 0 ? 0 : quota->node;
	list->is_sample = is_sample;
	list->is_early = quota_is_early(quota, now_ms);
	list->count = 0;
	expire(quota, now_ms);
	ranked = rank_by_pressure(quota, now_ms);
	for (guint i = 0; i < count && list->count < own_max; i++)
		add_own(quota, ranked[i].usage, list, now_ms);
	for (guint i = 0; i < count && list->count < max; i++)
		add_relayed(ranked[i].usage,
		    (max - list->count) * RELAYED_PERCENT / PERCENT + 1, list,
		    now_ms);
	g_free(ranked);
}

/*
 * Tell whether a workspace is near its limit, as far as this node knows.
 */
bool
quota_is_any_near(struct quota *quota, int64_t now_ms)
{
	for (guint i = 0; i < quota->usage_list->len; i++) {
		struct usage *usage = quota->usage_list->pdata[i];

		quota_update(quota, usage, now_ms);
		if (quota_pressure(quota, usage, now_ms) >= NEAR_PRESSURE)
			return true;
	}
	return false;
}

/* Rate that the sender reports of a workspace by itself; 0: none. */
static double
sender_rate(const struct quota_report_list *list, uint32_t workspace)
{
	for (size_t i = 0; i < list->count; i++)
		if (list->items[i].workspace == workspace &&
		    list->items[i].node == list->sender)
			return list->items[i].rate;
	return 0;
}

/*
 * Take over a peer's reports.
 */
void
quota_apply(
    struct quota *quota, const struct quota_report_list *list, int64_t now_ms)
{
	if (list->sender == 0 || list->sender == quota->node)
		return;
	quota->heard += !list->is_early;
	for (guint i = 0; list->is_sample && i < quota->usage_list->len; i++) {
		struct usage *usage = quota->usage_list->pdata[i];

		usage_add_sample(usage, sender_rate(list, usage->id),
		    quota->reached - 1, now_ms);
	}
	for (size_t i = 0; i < list->count; i++) {
		const struct quota_report *report = &list->items[i];
		struct usage *usage = g_hash_table_lookup(
		    quota->usages, GUINT_TO_POINTER(report->workspace));

		if (usage == NULL || report->node == quota->node)
			continue;
		usage_advance(usage, quota->settings.window_ms, now_ms);
		usage_apply(usage, report, quota->settings.window_ms, now_ms);
		if (i + 1 == list->count ||
		    list->items[i + 1].workspace != report->workspace)
			quota_update(quota, usage, now_ms);
	}
}

static int64_t
oldest_report_ms(const struct usage *usage, uint32_t window_ms, int64_t now_ms)
{
	int64_t age_ms = -1;

	for (guint i = 0; i < usage->peer_list->len; i++) {
		const struct peer_usage *peer = usage->peer_list->pdata[i];

		if (now_ms - peer->said_ms <= (int64_t)window_ms)
			age_ms = MAX(age_ms, now_ms - peer->said_ms);
	}
	return age_ms;
}

static struct quota_view
make_view(const struct quota *quota, const struct usage *usage, int64_t now_ms)
{
	return (struct quota_view){
		.name = usage->name,
		.rate_per_s = usage->rate_per_s,
		.burst = usage->burst,
		.window_limit = quota_window_limit(quota, usage),
		.window_fleet = usage_admitted(usage),
		.offered_fleet = usage_offered(usage, now_ms),
		.offered_own = usage_offered_own(usage, now_ms),
		.report_age_ms =
		    oldest_report_ms(usage, quota->settings.window_ms, now_ms),
	};
}

/*
 * Find what is known of a workspace, by its name.
 */
bool
quota_view_of(const struct quota *quota, const struct workspace *workspace,
    int64_t now_ms, struct quota_view *view)
{
	for (guint i = 0; i < quota->usage_list->len; i++) {
		const struct usage *usage = quota->usage_list->pdata[i];

		if (g_strcmp0(usage->name, workspace->name) != 0)
			continue;
		*view = make_view(quota, usage, now_ms);
		return true;
	}
	return false;
}

/*
 * Return the workspaces that are offered the most requests, most first.
 */
size_t
quota_busiest(const struct quota *quota, struct quota_view *views,
    size_t views_max, int64_t now_ms)
{
	const GPtrArray *list = quota->usage_list;
	struct ranked_usage *ranked = g_new(struct ranked_usage, list->len);
	size_t count = MIN(list->len, views_max);

	for (guint i = 0; i < list->len; i++) {
		ranked[i].usage = list->pdata[i];
		ranked[i].rank = usage_offered(list->pdata[i], now_ms);
	}
	qsort(ranked, list->len, sizeof(*ranked), compare_rank);
	for (size_t i = 0; i < count; i++)
		views[i] = make_view(quota, ranked[i].usage, now_ms);
	g_free(ranked);
	return count;
}
