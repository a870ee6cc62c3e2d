#include "route/repeat_budget.h"

enum {
	BUCKETS = 10, /* parts of a window */
};

/* Counts of one service, in parts of the window. */
struct service_counts {
	int64_t part; /* number of the newest part */
	uint32_t fresh[BUCKETS];
	uint32_t repeats[BUCKETS];
};

struct repeat_budget {
	struct repeat_budget_settings settings;
	GHashTable *services; /* name to struct service_counts */
};

/*
 * Return a budget of which nothing has been used.
 */
struct repeat_budget *
repeat_budget_new(const struct repeat_budget_settings *settings)
{
	struct repeat_budget *budget = g_new0(struct repeat_budget, 1);

	budget->settings = *settings;
	budget->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return budget;
}

/*
 * Free a budget. NULL is allowed.
 */
void
repeat_budget_free(struct repeat_budget *budget)
{
	if (budget == NULL)
		return;
	g_hash_table_destroy(budget->services);
	g_free(budget);
}

/* The counts of a service, with parts that have left the window cleared. */
static struct service_counts *
counts_now(struct repeat_budget *budget, const char *service, int64_t now_ms)
{
	struct service_counts *counts =
	    g_hash_table_lookup(budget->services, service);
	int64_t part = now_ms * BUCKETS / budget->settings.window_ms;

	if (counts == NULL) {
		counts = g_new0(struct service_counts, 1);
		counts->part = part;
		g_hash_table_insert(
		    budget->services, g_strdup(service), counts);
	}
	if (part - counts->part > BUCKETS)
		counts->part = part - BUCKETS;
	while (counts->part < part) {
		counts->part++;
		counts->fresh[counts->part % BUCKETS] = 0;
		counts->repeats[counts->part % BUCKETS] = 0;
	}
	return counts;
}

/*
 * Count one fresh request.
 */
void
repeat_budget_fresh(
    struct repeat_budget *budget, const char *service, int64_t now_ms)
{
	struct service_counts *counts = counts_now(budget, service, now_ms);

	counts->fresh[counts->part % BUCKETS]++;
}

/*
 * Take one repeat out of the share of this node, of so many.
 */
bool
repeat_budget_take(struct repeat_budget *budget, const char *service,
    uint32_t nodes, int64_t now_ms)
{
	struct service_counts *counts = counts_now(budget, service, now_ms);
	double fresh = 0, repeats = 0, most;

	for (size_t i = 0; i < BUCKETS; i++) {
		fresh += counts->fresh[i];
		repeats += counts->repeats[i];
	}
	most = fresh * budget->settings.ratio +
	    budget->settings.allowance / MAX(nodes, 1);
	if (repeats + 1 > most)
		return false;
	counts->repeats[counts->part % BUCKETS]++;
	return true;
}
