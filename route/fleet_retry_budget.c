#include "route/fleet_retry_budget.h"

enum {
	BUCKET_COUNT = 10, /* in a window */
};

/* Counts of one service over the window, in a ring of buckets. */
struct service_counts {
	int64_t bucket; /* number of the newest bucket */
	uint32_t requests[BUCKET_COUNT];
	uint32_t retries[BUCKET_COUNT];
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

/* The counts of a service, with buckets that have left the window cleared. */
static struct service_counts *
current_counts(
    struct fleet_retry_budget *budget, const char *service, int64_t now_ms)
{
	struct service_counts *counts =
	    g_hash_table_lookup(budget->services, service);
	int64_t bucket = now_ms * BUCKET_COUNT / budget->settings.window_ms;

	if (counts == NULL) {
		counts = g_new0(struct service_counts, 1);
		counts->bucket = bucket;
		g_hash_table_insert(
		    budget->services, g_strdup(service), counts);
	}
	if (bucket - counts->bucket > BUCKET_COUNT)
		counts->bucket = bucket - BUCKET_COUNT;
	while (counts->bucket < bucket) {
		counts->bucket++;
		counts->requests[counts->bucket % BUCKET_COUNT] = 0;
		counts->retries[counts->bucket % BUCKET_COUNT] = 0;
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
	struct service_counts *counts = current_counts(budget, service, now_ms);

	counts->requests[counts->bucket % BUCKET_COUNT]++;
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
	double requests = 0, retries = 0, limit;

	for (size_t i = 0; i < BUCKET_COUNT; i++) {
		requests += counts->requests[i];
		retries += counts->retries[i];
	}
	limit = requests * budget->settings.ratio +
	    budget->settings.allowance / MAX(nodes, 1);
	if (retries + 1 > limit)
		return false;
	counts->retries[counts->bucket % BUCKET_COUNT]++;
	return true;
}
