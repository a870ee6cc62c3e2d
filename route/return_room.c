#include "route/return_room.h"

enum {
	REPORT_MAX_AGE_MS = 3000, /* as in balance.c */
	/*
	 * Of the capacity in use, the part that returns may count on: new
	 * requests take the rest as it becomes free.
	 */
	BUSY_SHARE_PERCENT = 25,
	US_PER_S = 1000 * 1000,
	US_PER_MS = 1000,
	PER_KS = 1000,
};

struct sums {
	double per_s;      /* for all nodes */
	uint64_t requests; /* at the upstreams */
	uint64_t own;      /* of these, from this node */
	int64_t opens_ms;
};

static void
add_upstream(
    struct sums *sums, const struct upstream *upstream, uint32_t run_ms)
{
	const struct load_report *load = &upstream->load;
	double limit = MAX(load->limit, 1);
	double latency_us = load->latency_us > 0
	    ? load->latency_us
	    : (double)MAX(run_ms, 1) * US_PER_MS;
	double rate = limit * US_PER_S / latency_us;
	double busy = MIN(load->in_flight / limit, 1);
	int64_t wait_ms =
	    (int64_t)(load->queued * latency_us / limit) / US_PER_MS;

	if (load->rate_limit_per_ks > 0) {
		rate = MIN(rate, (double)load->rate_limit_per_ks / PER_KS);
		wait_ms = MAX(wait_ms, load->rate_wait_ms);
	}
	if (sums->per_s == 0 || wait_ms < sums->opens_ms)
		sums->opens_ms = wait_ms;
	sums->per_s += rate * (1 - busy + busy * BUSY_SHARE_PERCENT / 100);
	sums->requests += load->in_flight + load->queued;
	sums->own += upstream->own_in_flight;
}

/*
 * Return the room for returns. This node takes an even share, or its share of
 * the present requests if that is larger.
 */
struct return_room
return_room_of(const struct upstream_group *group, uint32_t nodes,
    uint32_t run_ms, int64_t now_ms)
{
	struct return_room room = { 0 };
	struct sums sums = { 0 };
	double share = 1.0 / MAX(nodes, 1);

	for (guint i = 0; group != NULL && i < group->upstreams->len; i++) {
		const struct upstream *upstream = group->upstreams->pdata[i];

		if (!upstream->listed || upstream->load_ms == 0 ||
		    now_ms - upstream->load_ms > REPORT_MAX_AGE_MS)
			continue;
		room.known = true;
		if (upstream->load.accepting && !upstream_is_leaving(upstream))
			add_upstream(&sums, upstream, run_ms);
	}
	if (sums.requests > 0)
		share = MAX(
		    share, MIN((double)sums.own / (double)sums.requests, 1));
	room.per_s = sums.per_s * share;
	room.opens_ms = sums.opens_ms;
	return room;
}
