#include <xxhash.h>

#include "quota/quota_private.h"

enum {
	MS_PER_S = 1000,
	PER_MILLE = 1000,
	PERCENT = 100,
	/* Announcements of a node: at least so far apart, and a budget. */
	ANNOUNCE_INTERVAL_MS = 200,
	ANNOUNCES_MAX = 5,
	RETRY_MIN_MS = 20,
	/* Of the rate, that becomes free in the first window. */
	RELEASED_PERCENT = 75,
};

#define ANNOUNCES_PER_S 0.5

static void
free_usage(void *usage)
{
	usage_free(usage);
}

/*
 * Return the quotas of a node that has just started.
 */
struct quota *
quota_new(const struct quota_settings *settings, uint32_t node, int64_t now_ms)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->settings = *settings;
	quota->node = node;
	quota->started_ms = now_ms;
	quota->nodes = 1;
	quota->reached = 1;
	quota->announced_ms = now_ms;
	quota->usages = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, free_usage);
	quota->usage_list = g_ptr_array_new();
	return quota;
}

/*
 * Free the quotas. NULL is allowed.
 */
void
quota_free(struct quota *quota)
{
	if (quota == NULL)
		return;
	g_ptr_array_unref(quota->usage_list);
	g_hash_table_destroy(quota->usages);
	g_free(quota);
}

/*
 * Replace the settings but for the window, whose slots are in use.
 */
void
quota_set_settings(struct quota *quota, const struct quota_settings *settings)
{
	uint32_t window_ms = quota->settings.window_ms;

	quota->settings = *settings;
	quota->settings.window_ms = window_ms;
}

/*
 * Set the number of nodes, and of those that this one reaches.
 */
void
quota_set_reach(struct quota *quota, uint32_t nodes, uint32_t reached)
{
	quota->nodes = MAX(nodes, 1);
	quota->reached = CLAMP(reached, 1, quota->nodes);
}

static uint32_t
hash_name(const char *name)
{
	struct str text = str_from(name);

	return XXH32(text.ptr, text.len, 0);
}

/*
 * Count the window of a workspace that this node has just learned of as used
 * but for a part of the slack: its earlier requests, here before a restart or
 * at other nodes, are unknown. They may have come late in the window, so that
 * only a part becomes free before it is over, enough for the usual load.
 */
static void
fill_window(struct quota *quota, struct usage *usage, int64_t now_ms)
{
	double free =
	    (double)quota->settings.slack * QUOTA_SLACK_USED_PERCENT / PERCENT;
	double used = MAX(quota_window_limit(quota, usage) - free, 0);
	double released = MIN(used,
	    usage->rate_per_s * quota->settings.window_ms / MS_PER_S *
		RELEASED_PERCENT / PERCENT);

	usage_advance(usage, quota->settings.window_ms, now_ms);
	for (size_t i = 0; i <= USAGE_SLOTS; i++)
		usage->slots[i] = released / (USAGE_SLOTS + 1);
	usage->admitted = released;
	usage_add_own(usage, used - released);
	usage->expected = 0;
	usage->expected_slots[usage->slot % (USAGE_SLOTS + 1)] = 0;
	usage->expected_ms = now_ms;
}

static struct usage *
usage_for(
    struct quota *quota, const struct workspace *workspace, int64_t now_ms)
{
	uint32_t id = hash_name(workspace->name);
	struct usage *usage =
	    g_hash_table_lookup(quota->usages, GUINT_TO_POINTER(id));

	if (usage == NULL) {
		usage = usage_new(workspace->name, id);
		/* Nodes that refuse most requests admit them at random. */
		usage->draw =
		    (double)(XXH32(&quota->node, sizeof(quota->node), id) %
			PER_MILLE) /
		    PER_MILLE;
		usage->credit = usage->draw;
		usage->rate_per_s = workspace->rate_per_s;
		usage->burst = workspace->burst;
		usage->share = 1;
		usage->rises_ms = now_ms - quota->settings.window_ms;
		fill_window(quota, usage, now_ms);
		g_hash_table_insert(quota->usages, GUINT_TO_POINTER(id), usage);
		g_ptr_array_add(quota->usage_list, usage);
	}
	usage->rate_per_s = workspace->rate_per_s;
	usage->burst = workspace->burst;
	usage_advance(usage, quota->settings.window_ms, now_ms);
	return usage;
}

/*
 * Follow the workspaces of a configuration, and forget all others. NULL: none.
 */
void
quota_set_config(
    struct quota *quota, const struct mesh_config *config, int64_t now_ms)
{
	GHashTableIter iter;
	void *value;

	for (guint i = quota->usage_list->len; i > 0; i--) {
		const struct usage *usage = quota->usage_list->pdata[i - 1];
		const struct workspace *workspace = config == NULL
		    ? NULL
		    : mesh_config_workspace(config, usage->name);

		if (workspace != NULL && workspace->rate_per_s > 0)
			continue;
		g_ptr_array_remove_index_fast(quota->usage_list, i - 1);
		g_hash_table_remove(quota->usages, GUINT_TO_POINTER(usage->id));
	}
	if (config == NULL)
		return;
	g_hash_table_iter_init(&iter, config->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct workspace *workspace = value;

		if (workspace->rate_per_s > 0)
			usage_for(quota, workspace, now_ms);
	}
}

/*
 * A node that has just started may use its even share of what has become free
 * since then. Nodes chosen at random may use one request more, as many as the
 * slack allows.
 */
static bool
take_early(const struct quota *quota, struct usage *usage, int64_t now_ms)
{
	double window_limit = quota_window_limit(quota, usage);
	double free = window_limit * (double)(now_ms - quota->started_ms) /
	    quota->settings.window_ms;
	double first = usage->draw * quota->reached < quota->settings.slack;

	if (!quota_is_early(quota, now_ms) || quota->nodes == 1 ||
	    usage->taken_early >=
		first + MIN(free, window_limit) / quota->reached)
		return false;
	usage->taken_early++;
	return true;
}

static bool
is_admitted(struct quota *quota, struct usage *usage, int64_t now_ms)
{
	double room = quota_window_limit(quota, usage) - usage_admitted(usage);

	if (room >= 1 &&
	    (usage->share >= 1 || take_early(quota, usage, now_ms)))
		return true;
	usage->credit += usage->share;
	if (usage->credit < 1)
		return false;
	usage->credit--;
	return true;
}

/*
 * Time until a refused request may come back. Those refused by this node are
 * spread over time at its share of the limit, after an overdrawn window has
 * become free.
 */
static int64_t
retry_time_ms(const struct quota *quota, struct usage *usage, int64_t now_ms)
{
	double limit = usage->rate_per_s * quota_reach(quota);
	double offered = quota_offered(quota, usage, now_ms);
	double own_share = usage_offered_own(usage, now_ms) / offered;
	double overdrawn =
	    MAX(usage_admitted(usage) - quota_window_limit(quota, usage), 0);
	int64_t latest_ms = now_ms + quota->settings.window_ms;
	int64_t at_ms = now_ms + RETRY_MIN_MS +
	    (int64_t)MIN(
		overdrawn / limit * MS_PER_S, quota->settings.window_ms);

	at_ms = MAX(at_ms, usage->promised_ms) +
	    (int64_t)MIN(
		MS_PER_S / (limit * own_share), quota->settings.window_ms);
	usage->promised_ms = MIN(at_ms, latest_ms);
	return usage->promised_ms - now_ms;
}

/*
 * Take one request of a workspace.
 */
enum quota_verdict
quota_take(struct quota *quota, const struct workspace *workspace,
    int64_t now_ms, int64_t *retry_ms)
{
	struct usage *usage;

	*retry_ms = 0;
	if (!(workspace->rate_per_s > 0))
		return QUOTA_ADMITTED;
	usage = usage_for(quota, workspace, now_ms);
	usage_count_offered(usage, now_ms);
	quota_update(quota, usage, now_ms);
	if (!is_admitted(quota, usage, now_ms)) {
		*retry_ms = retry_time_ms(quota, usage, now_ms);
		return QUOTA_REFUSED;
	}
	usage_add_own(usage, 1);
	if (usage->returned > 0)
		usage->returned--;
	else
		usage->taken++;
	return QUOTA_ADMITTED;
}

/*
 * Give back a request that did not reach an upstream. Totals only grow, so that
 * the next one is not counted instead.
 */
void
quota_return(
    struct quota *quota, const struct workspace *workspace, int64_t now_ms)
{
	struct usage *usage;

	if (!(workspace->rate_per_s > 0))
		return;
	usage = usage_for(quota, workspace, now_ms);
	usage->returned++;
	usage_add_own(usage, -1);
	usage_uncount_offered(usage, now_ms);
}

/*
 * Tell whether peers should be told at once that a workspace has turned hot.
 */
bool
quota_take_announcement(struct quota *quota, int64_t now_ms)
{
	double elapsed_s = (double)(now_ms - quota->announced_ms) / MS_PER_S;
	double budget =
	    MIN(quota->announce_budget + elapsed_s * ANNOUNCES_PER_S,
		ANNOUNCES_MAX);

	if (!quota->announce || budget < 1 ||
	    now_ms - quota->announced_ms < ANNOUNCE_INTERVAL_MS)
		return false;
	quota->announce = false;
	quota->announce_budget = budget - 1;
	quota->announced_ms = now_ms;
	return true;
}
