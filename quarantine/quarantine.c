#include "quarantine/blame.h"
#include "quarantine/crash_log.h"
#include "quarantine/quarantine.h"
#include "quarantine/suspect_table.h"

enum {
	SECOND_MS = 1000,
	/* Forgotten when it hasn't come for so long. */
	SUSPECT_AGE_MS = 3600 * SECOND_MS,
	/* For reports of earlier crashes that are still on their way. */
	CLEARED_AGE_MS = 60 * SECOND_MS,
	/* From the last crash to the first trial, and four times that then. */
	TRIAL_AFTER_MS = 60 * SECOND_MS,
	TRIALS_MAX = 2,
	/*
	 * No trials after so many crashes: with those of two parts of the fleet
	 * that are cut off from each other, they stay within three runs after
	 * the third crash.
	 */
	TRIAL_CRASHES_MAX = 3,
	/* A crash with a suspect of so many others is blamed on it alone. */
	CRASHES_LIKELY = 2,
};

struct quarantine {
	struct quarantine_ops ops;
	struct suspect_table *table;
	struct crash_log crashes;
};

/*
 * Return an empty table.
 */
struct quarantine *
quarantine_new(struct quarantine_ops ops)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->ops = ops;
	quarantine->table = suspect_table_new();
	return quarantine;
}

/*
 * Free a table. NULL is allowed.
 */
void
quarantine_free(struct quarantine *quarantine)
{
	if (quarantine == NULL)
		return;
	suspect_table_free(quarantine->table);
	g_free(quarantine);
}

/*
 * Return what is known of a request.
 */
const struct suspect *
quarantine_find(const struct quarantine *quarantine, struct request_key key)
{
	return suspect_table_find(quarantine->table, key);
}

static struct blame_facts
facts_of(const struct quarantine *quarantine)
{
	return (struct blame_facts){
		.suspects = quarantine->table->all,
		.crashes = &quarantine->crashes,
	};
}

/* Decide anew who is in quarantine, and report the changes. */
static void
evaluate(struct quarantine *quarantine, int64_t now_ms)
{
	struct blame_facts facts = facts_of(quarantine);

	blame_evaluate(&facts);
	for (guint i = 0; i < quarantine->table->all->len; i++) {
		struct suspect *suspect = quarantine->table->all->pdata[i];

		if (suspect->quarantined == suspect->reported)
			continue;
		suspect->reported = suspect->quarantined;
		suspect->changed_ms = now_ms;
		quarantine->ops.handle_verdict(quarantine->ops.arg, suspect);
	}
}

static bool
is_trial_due(const struct suspect *suspect, int64_t now_ms)
{
	int64_t last_ms =
	    MAX(suspect_last_crash_ms(suspect), suspect->trial_ms);
	int64_t delay_ms = (int64_t)TRIAL_AFTER_MS << (2 * suspect->trials);

	return suspect->trials < TRIALS_MAX &&
	    suspect_open_count(suspect) <= TRIAL_CRASHES_MAX &&
	    now_ms - last_ms >= delay_ms;
}

/*
 * Tell whether a request may run, and note that it has come.
 */
enum quarantine_verdict
quarantine_check(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms)
{
	struct suspect *suspect = suspect_table_find(quarantine->table, key);
	struct blame_facts facts = facts_of(quarantine);

	if (suspect == NULL)
		return QUARANTINE_FREE;
	suspect->seen_ms = now_ms;
	if (suspect->quarantined)
		return is_trial_due(suspect, now_ms) ? QUARANTINE_TRIAL
						     : QUARANTINE_BLOCKED;
	return blame_is_possible(suspect, &facts) ? QUARANTINE_SUSPECT
						  : QUARANTINE_FREE;
}

/*
 * Take the run that is due. Others are blocked from now on.
 */
bool
quarantine_begin_trial(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms)
{
	struct suspect *suspect = suspect_table_find(quarantine->table, key);

	if (suspect == NULL || !suspect->quarantined ||
	    !is_trial_due(suspect, now_ms))
		return false;
	suspect->trials++;
	suspect->trial_ms = now_ms;
	suspect->changed_ms = now_ms;
	return true;
}

/* The most crashes that one of the requests is the likely cause of. */
static uint32_t
most_blamed(const struct quarantine *quarantine, const struct crash_run *runs,
    size_t count)
{
	struct blame_facts facts = facts_of(quarantine);
	uint32_t most = 0;

	for (size_t i = 0; i < count; i++) {
		const struct suspect *suspect =
		    suspect_table_find(quarantine->table, runs[i].key);

		if (suspect != NULL)
			most = MAX(most, blame_count(suspect, &facts));
	}
	return most;
}

/*
 * Record a crash. One that a likely culprit was in is not held against the
 * others, which lost their answers with it.
 */
void
quarantine_add_crash(struct quarantine *quarantine, const struct crash *crash,
    const struct crash_run *runs, size_t count, int64_t now_ms)
{
	struct blame_facts facts = facts_of(quarantine);
	uint32_t most = most_blamed(quarantine, runs, count);
	uint32_t needed = most >= CRASHES_LIKELY ? most : 0;

	crash_log_add(&quarantine->crashes, crash);
	for (size_t i = 0; i < count; i++) {
		struct suspect *suspect =
		    suspect_table_find(quarantine->table, runs[i].key);

		if (needed > 0 &&
		    (suspect == NULL || blame_count(suspect, &facts) < needed))
			continue;
		suspect =
		    suspect_table_find_or_add(quarantine->table, runs[i].key);
		suspect->seen_ms = now_ms;
		if (!suspect_add_crash(suspect, *crash))
			continue;
		suspect->has_run_well |= runs[i].has_run_well;
		suspect->changed_ms = now_ms;
	}
	evaluate(quarantine, now_ms);
}

/*
 * Record a run that ended well: the request doesn't crash its upstreams.
 */
void
quarantine_add_success(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms)
{
	struct suspect *suspect = suspect_table_find(quarantine->table, key);

	if (suspect == NULL || !suspect_clear(suspect))
		return;
	suspect->changed_ms = now_ms;
	evaluate(quarantine, now_ms);
}

/* Returns whether there was news. Nothing is taken up that is over its age. */
static bool
merge_suspect(struct quarantine *quarantine, struct suspect *other, bool whole,
    int64_t now_ms)
{
	struct suspect *suspect =
	    suspect_table_find(quarantine->table, other->key);
	uint32_t open;
	bool news;

	if (suspect == NULL &&
	    (suspect_open_count(other) == 0 ||
		now_ms - other->seen_ms > SUSPECT_AGE_MS))
		return false;
	if (suspect == NULL)
		suspect =
		    suspect_table_find_or_add(quarantine->table, other->key);
	/* For its verdict the other node used what else it knows. */
	for (uint32_t i = 0; i < other->crash_count; i++) {
		other->crashes[i].whole = whole || other->quarantined;
		crash_log_add(&quarantine->crashes, &other->crashes[i]);
	}
	open = suspect_open_count(suspect);
	news = suspect_merge(suspect, other);
	if (news || suspect_open_count(suspect) != open)
		suspect->changed_ms = now_ms;
	return news;
}

/*
 * Merge another node's knowledge.
 */
bool
quarantine_merge(struct quarantine *quarantine, const struct suspect *suspects,
    size_t count, bool whole, int64_t now_ms)
{
	bool news = false;

	for (size_t i = 0; i < count; i++) {
		struct suspect other = suspects[i];

		news = merge_suspect(quarantine, &other, whole, now_ms) || news;
	}
	if (count > 0)
		evaluate(quarantine, now_ms);
	return news;
}

/*
 * Forget requests that haven't come for long, and those that were cleared.
 */
void
quarantine_expire(struct quarantine *quarantine, int64_t now_ms)
{
	bool removed = false;

	for (guint i = quarantine->table->all->len; i > 0; i--) {
		const struct suspect *suspect =
		    quarantine->table->all->pdata[i - 1];
		int64_t age_ms = now_ms - suspect->seen_ms;

		if (age_ms <= SUSPECT_AGE_MS &&
		    (suspect_open_count(suspect) > 0 ||
			now_ms - suspect->changed_ms <= CLEARED_AGE_MS))
			continue;
		suspect_table_remove_at(quarantine->table, i - 1);
		removed = true;
	}
	if (removed)
		evaluate(quarantine, now_ms);
}

/*
 * Return a hash of which requests are in quarantine.
 */
uint64_t
quarantine_hash(const struct quarantine *quarantine)
{
	uint64_t hash = 0;

	for (guint i = 0; i < quarantine->table->all->len; i++) {
		const struct suspect *suspect =
		    quarantine->table->all->pdata[i];

		if (suspect->quarantined)
			hash += suspect->key.high ^ suspect->key.low;
	}
	return hash;
}

/* Those that matter most to other nodes first. */
static gint
compare_urgency(gconstpointer a, gconstpointer b)
{
	const struct suspect *left = *(const struct suspect *const *)a;
	const struct suspect *right = *(const struct suspect *const *)b;

	if (left->quarantined != right->quarantined)
		return left->quarantined ? -1 : 1;
	if (suspect_open_count(left) != suspect_open_count(right))
		return suspect_open_count(left) > suspect_open_count(right) ? -1
									    : 1;
	return left->changed_ms > right->changed_ms ? -1 : 1;
}

/* Must other nodes know of the suspect to judge as this one does? */
static bool
has_verdict(const struct suspect *suspect)
{
	return suspect->quarantined ||
	    suspect_open_count(suspect) < suspect->crash_count;
}

/*
 * List suspects for other nodes.
 */
void
quarantine_list(const struct quarantine *quarantine, int64_t since_ms,
    bool all_verdicts, size_t max, GPtrArray *out)
{
	for (guint i = 0; i < quarantine->table->all->len; i++) {
		struct suspect *suspect = quarantine->table->all->pdata[i];

		if (suspect->changed_ms >= since_ms ||
		    (all_verdicts && has_verdict(suspect)))
			g_ptr_array_add(out, suspect);
	}
	g_ptr_array_sort(out, compare_urgency);
	if (out->len > max)
		g_ptr_array_set_size(out, (gint)max);
}

/*
 * Return how many requests are in quarantine.
 */
size_t
quarantine_blocked_count(const struct quarantine *quarantine)
{
	size_t count = 0;

	for (guint i = 0; i < quarantine->table->all->len; i++)
		count +=
		    ((const struct suspect *)quarantine->table->all->pdata[i])
			->quarantined;
	return count;
}
