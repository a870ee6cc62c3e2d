#include "quarantine/blame.h"

enum {
	/* A request in progress at one crash is one of many. */
	CRASHES_MIN = 2,
	/* Among other crashes of the service, two may be a coincidence. */
	CRASHES_AMONG_OTHERS = 3,
	OTHERS_BEFORE_MS = 10 * 1000,
	/* A crash that comes later is another matter. */
	OTHERS_AFTER_MS = 1000,
	/*
	 * Suspects run one at a time at an upstream and so don't share several
	 * crashes; one with so many is not spared for another that does.
	 */
	CRASHES_SURE = 4,
};

/* Does a quarantined request other than the suspect explain a crash? */
static bool
is_explained(uint64_t crash, const struct suspect *suspect,
    const struct blame_facts *facts)
{
	for (guint i = 0; i < facts->suspects->len; i++) {
		const struct suspect *other = facts->suspects->pdata[i];

		if (other != suspect && other->quarantined &&
		    suspect_has_crash(other, crash))
			return true;
	}
	return false;
}

/*
 * Tell whether a suspect may be the cause of a crash.
 */
bool
blame_is_possible(
    const struct suspect *suspect, const struct blame_facts *facts)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (!suspect->crashes[i].cleared &&
		    !is_explained(suspect->crashes[i].id, suspect, facts))
			return true;
	}
	return false;
}

/*
 * Return how many crashes remain for which a suspect may be the cause. One of
 * which only this suspect is known doesn't count: there may be others.
 */
uint32_t
blame_count(const struct suspect *suspect, const struct blame_facts *facts)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++)
		count += suspect->crashes[i].whole &&
		    !suspect->crashes[i].cleared &&
		    !is_explained(suspect->crashes[i].id, suspect, facts);
	return count;
}

static bool
share_crash(const struct suspect *a, const struct suspect *b)
{
	for (uint32_t i = 0; i < a->crash_count; i++) {
		if (!a->crashes[i].cleared &&
		    suspect_has_crash(b, a->crashes[i].id))
			return true;
	}
	return false;
}

/* Was another request in one of the suspect's crashes, and in as many? */
static bool
has_rival(const struct suspect *suspect, uint32_t count,
    const struct blame_facts *facts)
{
	for (guint i = 0; i < facts->suspects->len; i++) {
		const struct suspect *other = facts->suspects->pdata[i];

		if (other != suspect && !other->quarantined &&
		    other->crash_count >= count &&
		    share_crash(suspect, other) &&
		    blame_count(other, facts) >= count)
			return true;
	}
	return false;
}

/*
 * Have upstreams of the same service crashed about when the suspect was in a
 * crash, without it, and with no quarantined request in progress?
 */
static bool
is_among_others(const struct suspect *suspect, const struct blame_facts *facts)
{
	int64_t last_ms = suspect_last_crash_ms(suspect);

	for (size_t i = 0; i < facts->crashes->count; i++) {
		const struct crash *crash = &facts->crashes->crashes[i];

		if (crash->service == suspect->crashes[0].service &&
		    crash->at_ms >= last_ms - OTHERS_BEFORE_MS &&
		    crash->at_ms <= last_ms + OTHERS_AFTER_MS &&
		    !suspect_has_crash(suspect, crash->id) &&
		    !is_explained(crash->id, suspect, facts))
			return true;
	}
	return false;
}

/* How many crashes it takes to quarantine a suspect. */
static uint32_t
crashes_needed(const struct suspect *suspect, const struct blame_facts *facts)
{
	if (suspect->has_run_well)
		return CRASHES_SURE;
	return is_among_others(suspect, facts) ? CRASHES_AMONG_OTHERS
					       : CRASHES_MIN;
}

/* Return the next suspect to quarantine; NULL if there is none. */
static struct suspect *
find_culprit(const struct blame_facts *facts)
{
	struct suspect *found = NULL;
	uint32_t most = 0;

	for (guint i = 0; i < facts->suspects->len; i++) {
		struct suspect *suspect = facts->suspects->pdata[i];
		uint32_t count;

		if (suspect->quarantined || suspect->crash_count < CRASHES_MIN)
			continue;
		count = blame_count(suspect, facts);
		if (count <= most || count < crashes_needed(suspect, facts))
			continue;
		if (count < CRASHES_SURE && has_rival(suspect, count, facts))
			continue;
		found = suspect;
		most = count;
	}
	return found;
}

/*
 * Quarantine each request that was in progress at several crashes which nothing
 * else explains. Two that share a crash and were in as many others can't be
 * told apart; both stay free until a further crash or a run that ends well.
 */
void
blame_evaluate(const struct blame_facts *facts)
{
	struct suspect *culprit;

	for (guint i = 0; i < facts->suspects->len; i++)
		((struct suspect *)facts->suspects->pdata[i])->quarantined =
		    false;
	while ((culprit = find_culprit(facts)) != NULL)
		culprit->quarantined = true;
}
