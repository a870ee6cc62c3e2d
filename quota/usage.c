#include <math.h>

#include "quota/usage.h"

enum {
	RATE_DECAY_MS = 250,      /* time constant of offered rates */
	PEER_MAX_AGE_MS = 60000,  /* then a node is forgotten */
	SAMPLE_MAX_AGE_MS = 1200, /* of a peer's own report */
	RATE_LAG_MS = 50, /* until peers' rates are known, per log2 of nodes */
	SAMPLES_ENOUGH = 4,
	SAMPLED_RATE_ENOUGH = 24,
	SAMPLES_MIN = 3,       /* to judge all peers by them */
	SAMPLED_RATE_MIN = 12, /* sum of the samples; three requests */
	/*
	 * The reports are more exact than the samples, unless too few arrive:
	 * the samples are used from this percentage of the reports.
	 */
	SAMPLED_EXCESS_PERCENT = 150,
	PERCENT = 100,
	/*
	 * Of many nodes, few are heard in a window, and each has a few requests
	 * at most: their usual rate is the mean over so many samples. It counts
	 * up to a part of the limit, as few requests make it.
	 */
	USUAL_SAMPLES = 100,
	USUAL_LIMIT_PERCENT = 60,
	MS_PER_S = 1000,
};

/*
 * Return the empty usage of a workspace.
 */
struct usage *
usage_new(const char *name, uint32_t id)
{
	struct usage *usage = g_new0(struct usage, 1);

	usage->name = g_strdup(name);
	usage->id = id;
	usage->peers = g_hash_table_new(g_direct_hash, g_direct_equal);
	usage->peer_list = g_ptr_array_new_with_free_func(g_free);
	return usage;
}

/*
 * Free a usage.
 */
void
usage_free(struct usage *usage)
{
	g_hash_table_destroy(usage->peers);
	g_ptr_array_unref(usage->peer_list);
	g_free(usage->name);
	g_free(usage);
}

static size_t
slot_index(int64_t number)
{
	return (size_t)(number % (USAGE_SLOTS + 1));
}

/*
 * Clear the slots that have left the window. One slot more than a window is
 * kept, so that each span of a window's length lies within the slots.
 */
void
usage_advance(struct usage *usage, uint32_t window_ms, int64_t now_ms)
{
	int64_t number = now_ms * USAGE_SLOTS / window_ms;

	if (number - usage->slot > USAGE_SLOTS + 1)
		usage->slot = number - USAGE_SLOTS - 1;
	while (usage->slot < number) {
		size_t index = slot_index(++usage->slot);

		usage->admitted -= usage->slots[index];
		usage->slots[index] = 0;
		usage->expected -= usage->expected_slots[index];
		usage->expected_slots[index] = 0;
	}
	usage->admitted = MAX(usage->admitted, 0);
	usage->expected = MAX(usage->expected, 0);
}

/*
 * Count requests that were admitted at a time up to now; nothing if it is
 * outside the window.
 */
void
usage_add(struct usage *usage, double count, uint32_t window_ms, int64_t at_ms)
{
	int64_t number = at_ms * USAGE_SLOTS / window_ms;

	if (number > usage->slot)
		number = usage->slot;
	if (number < 0 || usage->slot - number > USAGE_SLOTS)
		return;
	usage->slots[slot_index(number)] += count;
	usage->admitted += count;
}

/* Count requests in the present slot of those expected. */
static void
add_expected(struct usage *usage, double count)
{
	usage->expected_slots[slot_index(usage->slot)] += count;
	usage->expected += count;
}

/*
 * Count requests that this node has admitted now; fewer than 0: returned.
 */
void
usage_add_own(struct usage *usage, double count)
{
	usage->slots[slot_index(usage->slot)] += count;
	usage->admitted += count;
	add_expected(usage, count);
}

/*
 * Count what the peers have probably admitted since the last time: the share
 * that is admitted here of what they are offered. Their rates are known late,
 * so that a rise has lasted for a while.
 */
void
usage_expect(struct usage *usage, uint32_t nodes, double normal_rate,
    uint32_t window_ms, int64_t now_ms)
{
	double lag_ms = RATE_LAG_MS * log2(nodes), excess;
	int64_t elapsed_ms = now_ms - usage->expected_ms;
	double peers =
	    usage_offered(usage, now_ms) - usage_offered_own(usage, now_ms);

	excess = MAX(peers - normal_rate, 0);
	add_expected(usage,
	    usage->share *
		(peers * (double)MIN(elapsed_ms, window_ms) +
		    (excess - usage->expected_excess) * lag_ms) /
		MS_PER_S);
	usage->expected_ms = now_ms;
	usage->expected_excess = excess;
}

/*
 * Return the requests admitted in the last window, as far as known.
 */
double
usage_admitted(const struct usage *usage)
{
	return MAX(usage->admitted, usage->expected);
}

/* A rate that decays since a time. */
static double
decayed(double rate, int64_t since_ms, int64_t now_ms)
{
	return rate * exp((double)(since_ms - now_ms) / RATE_DECAY_MS);
}

/*
 * Return the requests offered to this node a second.
 */
double
usage_offered_own(const struct usage *usage, int64_t now_ms)
{
	return decayed(usage->own_rate, usage->own_rate_ms, now_ms);
}

/*
 * Count one request offered to this node.
 */
void
usage_count_offered(struct usage *usage, int64_t now_ms)
{
	usage->offered++;
	usage->own_rate =
	    usage_offered_own(usage, now_ms) + (double)MS_PER_S / RATE_DECAY_MS;
	usage->own_rate_ms = now_ms;
}

/*
 * Take one request offered to this node out of the rate: it was refused for
 * want of capacity, and its caller may offer it again. Counting both would take
 * a workspace within its limit for one above it when upstreams are short.
 */
void
usage_uncount_offered(struct usage *usage, int64_t now_ms)
{
	usage->own_rate = MAX(
	    usage_offered_own(usage, now_ms) - (double)MS_PER_S / RATE_DECAY_MS,
	    0);
	usage->own_rate_ms = now_ms;
}

/*
 * Return the requests offered to all nodes a second, as far as known.
 */
double
usage_offered(const struct usage *usage, int64_t now_ms)
{
	double peers =
	    decayed(usage->reported_rate, usage->reported_rate_ms, now_ms);

	if (now_ms - usage->sampled_ms <= SAMPLE_MAX_AGE_MS)
		peers = usage->sampled_rate * PERCENT >
			peers * SAMPLED_EXCESS_PERCENT
		    ? usage->sampled_rate
		    : peers;
	peers = MAX(peers,
	    MIN(usage->usual_rate,
		usage->rate_per_s * USUAL_LIMIT_PERCENT / PERCENT));
	return usage_offered_own(usage, now_ms) + peers;
}

static struct peer_usage *
peer_usage_for(struct usage *usage, uint32_t node)
{
	struct peer_usage *peer =
	    g_hash_table_lookup(usage->peers, GUINT_TO_POINTER(node));

	if (peer != NULL)
		return peer;
	peer = g_new0(struct peer_usage, 1);
	peer->node = node;
	peer->said_ms = INT64_MIN / 2;
	g_hash_table_insert(usage->peers, GUINT_TO_POINTER(node), peer);
	g_ptr_array_add(usage->peer_list, peer);
	return peer;
}

/*
 * Take over a node's report, unless a newer one is known. Totals tell that too:
 * ages leave out the time that messages travel. What the node has
 * admitted since its last report counts when it said so. A node that is new, or
 * was not heard for a window, counts for what its rate makes in a window.
 */
void
usage_apply(struct usage *usage, const struct quota_report *report,
    uint32_t window_ms, int64_t now_ms)
{
	struct peer_usage *peer = peer_usage_for(usage, report->node);
	int64_t said_ms = now_ms - report->age_ms;
	uint16_t taken = (uint16_t)(report->taken - peer->taken);
	uint16_t offered = (uint16_t)(report->offered - peer->offered);
	uint32_t parts = 1;

	if (said_ms <= peer->said_ms)
		return;
	if (said_ms - peer->said_ms > window_ms) {
		double recent = ceil(report->rate * window_ms / MS_PER_S);

		parts = USAGE_SLOTS;
		taken = (uint16_t)MIN(taken, recent);
		offered = (uint16_t)MIN(offered, recent);
	} else if (offered > UINT16_MAX / 2 || taken > UINT16_MAX / 2) {
		return;
	}
	for (uint32_t i = 0; i < parts; i++)
		usage_add(usage, (double)taken / parts, window_ms,
		    said_ms - (int64_t)(i * window_ms / USAGE_SLOTS));
	usage->reported_rate =
	    decayed(usage->reported_rate, usage->reported_rate_ms, now_ms) +
	    (double)offered * MS_PER_S / RATE_DECAY_MS;
	usage->reported_rate_ms = now_ms;
	peer->rate = report->rate;
	peer->taken = report->taken;
	peer->offered = report->offered;
	peer->said_ms = said_ms;
	if (offered > 0)
		peer->news_ms = now_ms;
}

/*
 * Add what a peer, chosen at random, has said by itself that it is offered, and
 * judge all peers by the latest samples, as many as have enough requests behind
 * them. The largest one is left out: it may be the only node that is offered
 * many.
 */
void
usage_add_sample(
    struct usage *usage, double rate, uint32_t peers, int64_t now_ms)
{
	double sum = 0, largest = 0;
	size_t count = 0;

	usage->samples[usage->sample_next] =
	    (struct usage_sample){ rate, now_ms };
	usage->sample_next = (usage->sample_next + 1) % USAGE_SAMPLES;
	for (size_t i = 1; i <= USAGE_SAMPLES; i++) {
		const struct usage_sample *sample =
		    &usage->samples[(usage->sample_next + USAGE_SAMPLES - i) %
			USAGE_SAMPLES];

		if (sample->at_ms == 0 ||
		    now_ms - sample->at_ms > SAMPLE_MAX_AGE_MS ||
		    (count >= SAMPLES_ENOUGH &&
			sum - largest >= SAMPLED_RATE_ENOUGH))
			break;
		sum += sample->rate;
		largest = MAX(largest, sample->rate);
		count++;
	}
	usage->usual_rate += (rate * peers - usage->usual_rate) / USUAL_SAMPLES;
	sum -= largest;
	usage->sampled_ms = now_ms;
	usage->sampled_rate = count < SAMPLES_MIN || sum < SAMPLED_RATE_MIN
	    ? 0
	    : sum / (double)(count - 1) * peers;
}

/*
 * Forget nodes that were not heard of for long.
 */
void
usage_expire(struct usage *usage, int64_t now_ms)
{
	for (guint i = usage->peer_list->len; i > 0; i--) {
		const struct peer_usage *peer = usage->peer_list->pdata[i - 1];

		if (now_ms - peer->said_ms <= PEER_MAX_AGE_MS)
			continue;
		g_hash_table_remove(usage->peers, GUINT_TO_POINTER(peer->node));
		g_ptr_array_remove_index_fast(usage->peer_list, i - 1);
	}
}
