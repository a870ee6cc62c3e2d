#include <glib.h>

#include "common/clock.h"
#include "mesh/election.h"

/*
 * Set up the election of a zone as one host takes part in it: readers hosts
 * are wanted. The names are borrowed.
 */
void
election_init(struct election *election, struct str host, struct str zone,
    uint32_t heartbeat_ms, size_t readers)
{
	*election = (struct election){
		.host = host,
		.zone = zone,
		.own = rendezvous_score(zone, 0, host),
		.heartbeat_ms = heartbeat_ms,
		.readers = readers,
	};
}

/*
 * Free what the election remembers of other hosts.
 */
void
election_release(struct election *election)
{
	for (size_t i = 0; i < election->seen_count; i++)
		str_release(&election->seen[i].score.host);
	election->seen_count = 0;
}

static int64_t
election_fresh_ms(const struct election *election)
{
	return (int64_t)election->heartbeat_ms * ELECTION_FRESH_BEATS;
}

static bool
election_is_fresh(const struct election *election,
    const struct election_seen *seen, struct timespec now)
{
	return timespec_ms_between(seen->risen, now) <
	    election_fresh_ms(election);
}

static struct election_seen *
election_find(struct election *election, struct str host)
{
	for (size_t i = 0; i < election->seen_count; i++)
		if (str_equal(election->seen[i].score.host, host))
			return &election->seen[i];
	return NULL;
}

/* Room for one more: a free place, or that of the beat that rose first. */
static struct election_seen *
election_make_room(struct election *election)
{
	struct election_seen *oldest = &election->seen[0];

	if (election->seen_count < ELECTION_SEEN_MAX)
		return &election->seen[election->seen_count++];
	for (size_t i = 1; i < election->seen_count; i++)
		if (timespec_before(election->seen[i].risen, oldest->risen))
			oldest = &election->seen[i];
	str_release(&oldest->score.host);
	return oldest;
}

/*
 * Learn of a reader's beat, from itself or from another host. Only a beat
 * that rises makes its host fresh, by the age that the message gives it. A
 * beat of this very host is from before its restart; it goes on above it.
 */
void
election_learn(struct election *election, const struct reader_beat *beat,
    struct timespec now)
{
	struct timespec risen = timespec_plus_ms(now, -(int64_t)beat->age_ms);
	struct election_seen *seen;

	if (str_equal(beat->host, election->host)) {
		election->own_beat = MAX(election->own_beat, beat->beat);
		return;
	}
	if (beat->age_ms >= election_fresh_ms(election))
		return;
	seen = election_find(election, beat->host);
	if (seen != NULL) {
		if (beat->beat > seen->beat) {
			seen->beat = beat->beat;
			seen->risen = risen;
		}
		return;
	}
	seen = election_make_room(election);
	seen->score = rendezvous_score(election->zone, 0, str_dup(beat->host));
	seen->beat = beat->beat;
	seen->risen = risen;
}

static size_t
election_count_better(const struct election *election, struct timespec now)
{
	size_t better = 0;

	for (size_t i = 0; i < election->seen_count; i++) {
		const struct election_seen *seen = &election->seen[i];

		if (election_is_fresh(election, seen, now) &&
		    rendezvous_before(seen->score, election->own))
			better++;
	}
	return better;
}

/*
 * Time that a host of that rank waits while it sees too few better readers:
 * the wanted ones do not wait at all.
 */
static int64_t
election_wait_ms(const struct election *election, size_t rank)
{
	size_t behind;

	if (rank < election->readers)
		return 0;
	behind = MIN(rank - election->readers, ELECTION_RANK_MAX);
	return election_fresh_ms(election) +
	    (int64_t)behind * election->heartbeat_ms / 2;
}

/*
 * Decide whether this host, of that rank in its zone, reads now.
 */
bool
election_update(struct election *election, size_t rank, struct timespec now)
{
	if (election_count_better(election, now) >= election->readers) {
		election->lacking = false;
		election->reading = false;
		return false;
	}
	if (!election->lacking) {
		election->lacking = true;
		election->lacking_since = now;
	}
	if (timespec_ms_between(election->lacking_since, now) >=
	    election_wait_ms(election, rank))
		election->reading = true;
	return election->reading;
}

/*
 * Let the own beat rise: this host reads the platform and it answers.
 */
void
election_beat(struct election *election)
{
	election->own_beat++;
}

/*
 * Move all that was seen by ms milliseconds, the time in which this process
 * was stopped and could see nothing.
 */
void
election_shift(struct election *election, int64_t ms)
{
	for (size_t i = 0; i < election->seen_count; i++)
		election->seen[i].risen =
		    timespec_plus_ms(election->seen[i].risen, ms);
	election->lacking_since = timespec_plus_ms(election->lacking_since, ms);
}

/* Insert in the order of the scores, dropping the last when full. */
static size_t
report_insert(struct rendezvous_score *order, struct reader_beat *out,
    size_t count, size_t out_max, struct rendezvous_score score,
    struct reader_beat beat)
{
	size_t at = count;

	while (at > 0 && rendezvous_before(score, order[at - 1]))
		at--;
	if (at == out_max)
		return count;
	count = MIN(count + 1, out_max);
	for (size_t i = count - 1; i > at; i--) {
		order[i] = order[i - 1];
		out[i] = out[i - 1];
	}
	order[at] = score;
	out[at] = beat;
	return count;
}

/*
 * List the best fresh readers for a heartbeat, best first, this host among
 * them while it beats. out_max is at most ELECTION_SEEN_MAX.
 */
size_t
election_report(const struct election *election, bool beating,
    struct timespec now, struct reader_beat *out, size_t out_max)
{
	struct rendezvous_score order[ELECTION_SEEN_MAX];
	size_t count = 0;

	if (beating)
		count = report_insert(order, out, count, out_max, election->own,
		    (struct reader_beat){
			.host = election->host,
			.beat = election->own_beat,
		    });
	for (size_t i = 0; i < election->seen_count; i++) {
		const struct election_seen *seen = &election->seen[i];
		int64_t age = timespec_ms_between(seen->risen, now);

		if (!election_is_fresh(election, seen, now))
			continue;
		count = report_insert(order, out, count, out_max, seen->score,
		    (struct reader_beat){
			.host = seen->score.host,
			.beat = seen->beat,
			.age_ms = (uint32_t)MAX(age, 0),
		    });
	}
	return count;
}
