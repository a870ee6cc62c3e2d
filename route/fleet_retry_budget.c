#include "route/fleet_retry_budget.h"

enum {
	WINDOW_BUCKETS = 10,
	/*
	 * Retries are counted for one bucket more, so that each span of a
	 * window's length lies within the buckets of some moment.
	 */
	RING_BUCKETS = WINDOW_BUCKETS + 1,
	/*
	 * This node's own retries use half of the ratio, and with the calls of
	 * repeated runs three quarters. Those calls can't be limited where they
	 * are made: they come at the ratio of the calling service, for each of
	 * several calls a run. The allowance covers restarted nodes, which
	 * don't know their earlier retries, and is used in part for that.
	 */
	OWN_RATIO_PERCENT = 50,
	TOTAL_RATIO_PERCENT = 75,
	ALLOWANCE_PERCENT = 60,
	PERCENT = 100,
};

struct bucket {
	uint32_t requests;
	uint32_t retries; /* taken by this node */
	uint32_t charged; /* calls of repeated runs */
};

/* Counts of one service over the window. */
struct service_counts {
	int64_t newest; /* number of the newest bucket */
	struct bucket ring[RING_BUCKETS];
};

struct fleet_retry_budget {
	struct fleet_retry_budget_settings settings;
	GHashTable *services; /* name to struct service_counts */
};

/*
 * Return a budget with empty counts.
 */
struct fleet_retry_budget *
fleet_retry_budget_new(const struct fleet_retry_budget_settings *settings)
{
	struct fleet_retry_budget *budget =
	    g_new0(struct fleet_retry_budget, 1);

	budget->settings = *settings;
	budget->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

/*
 * Free a budget. NULL is allowed.
 */
void
fleet_retry_budget_free(struct fleet_retry_budget *budget)
{
	if (budget == NULL)
		return;
	g_hash_table_destroy(budget->services);
	g_free(budget);
}

static struct bucket *
newest_bucket(struct service_counts *counts)
{
	return &counts->ring[counts->newest % RING_BUCKETS];
}

/* The counts of a service, with buckets that have left the window cleared. */
static struct service_counts *
current_counts(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms)
{
	struct service_counts *counts =
	    g_hash_table_lookup(budget->services, service);
	int64_t number = now_ms * WINDOW_BUCKETS / budget->settings.window_ms;

	if (counts == NULL) {
		counts = g_new0(struct service_counts, 1);
		counts->newest = number;
		g_hash_table_insert(
		    budget->services, g_strdup(service), counts);
	}
	if (number - counts->newest > RING_BUCKETS)
		counts->newest = number - RING_BUCKETS;
	while (counts->newest < number) {
		counts->newest++;
		*newest_bucket(counts) = (struct bucket){ 0 };
	}
	return counts;
}

/*
 * Count one fresh request.
 */
void
fleet_retry_budget_add_request(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms)
{
	newest_bucket(current_counts(budget, service, now_ms))->requests++;
}

/*
 * Count the call of a repeated run.
 */
void
fleet_retry_budget_charge(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms)
{
	newest_bucket(current_counts(budget, service, now_ms))->charged++;
}

/* The sums over the window; the oldest bucket of the ring has left it. */
static struct bucket
sum_window(const struct service_counts *counts)
{
	size_t oldest = (size_t)((counts->newest + 1) % RING_BUCKETS);
	struct bucket sum = { 0 };

	for (size_t i = 0; i < RING_BUCKETS; i++) {
		sum.retries += counts->ring[i].retries;
		sum.charged += counts->ring[i].charged;
		if (i != oldest)
			sum.requests += counts->ring[i].requests;
	}
	return sum;
}

/*
 * Take one retry out of this node's share. The allowance is divided by the
 * number of nodes; the ratio applies to this node's own requests.
 */
bool
fleet_retry_budget_withdraw(struct fleet_retry_budget *budget,
    const char *service, uint32_t nodes, int64_t now_ms)
{
	struct service_counts *counts = current_counts(budget, service, now_ms);
	struct bucket sum = sum_window(counts);
	double ratio = budget->settings.ratio * sum.requests / PERCENT;
	double allowance = budget->settings.allowance * ALLOWANCE_PERCENT /
	    PERCENT / MAX(nodes, 1);

	if (sum.retries + 1 > ratio * OWN_RATIO_PERCENT + allowance ||
	    sum.retries + sum.charged + 1 >
		ratio * TOTAL_RATIO_PERCENT + allowance)
		return false;
	newest_bucket(counts)->retries++;
	return true;
}
