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
		.own_score = rendezvous_score(zone, 0, host),
		.heartbeat_ms = heartbeat_ms,
		.wanted_readers = readers,
	};
}

/*
 * Free what the election remembers of other hosts.
 */
void
election_release(struct election *election)
{
	for (size_t i = 0; i < election->known_reader_count; i++)
		str_release(&election->known_readers[i].score.host);
	election->known_reader_count = 0;
}

static int64_t
election_fresh_ms(const struct election *election)
{
	return (int64_t)election->heartbeat_ms * ELECTION_FRESH_HEARTBEATS;
}

static bool
election_is_fresh(const struct election *election,
    const struct election_reader *reader, struct timespec now)
{
	return timespec_ms_between(reader->beat_raised_at, now) <
	    election_fresh_ms(election);
}

static struct election_reader *
election_find(struct election *election, struct str host)
{
	for (size_t i = 0; i < election->known_reader_count; i++)
		if (str_equal(election->known_readers[i].score.host, host))
			return &election->known_readers[i];
	return NULL;
}

/* Room for one more: a free place, or that of the beat that rose first. */
static struct election_reader *
election_alloc_reader(struct election *election)
{
	struct election_reader *oldest = &election->known_readers[0];

	if (election->known_reader_count < ELECTION_READERS_MAX)
		return &election->known_readers[election->known_reader_count++];
	for (size_t i = 1; i < election->known_reader_count; i++)
		if (timespec_before(election->known_readers[i].beat_raised_at,
			oldest->beat_raised_at))
			oldest = &election->known_readers[i];
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
	struct timespec beat_raised_at =
	    timespec_plus_ms(now, -(int64_t)beat->age_ms);
	struct election_reader *reader;

	if (str_equal(beat->host, election->host)) {
		election->own_beat = MAX(election->own_beat, beat->beat);
		return;
	}
	if (beat->age_ms >= election_fresh_ms(election))
		return;
	reader = election_find(election, beat->host);
	if (reader != NULL) {
		if (beat->beat > reader->beat) {
			reader->beat = beat->beat;
			reader->beat_raised_at = beat_raised_at;
		}
		return;
	}
	reader = election_alloc_reader(election);
	reader->score =
	    rendezvous_score(election->zone, 0, str_dup(beat->host));
	reader->beat = beat->beat;
	reader->beat_raised_at = beat_raised_at;
}

static size_t
election_count_preferred(const struct election *election, struct timespec now)
{
	size_t preferred = 0;

	for (size_t i = 0; i < election->known_reader_count; i++) {
		const struct election_reader *reader =
		    &election->known_readers[i];

		if (election_is_fresh(election, reader, now) &&
		    rendezvous_before(reader->score, election->own_score))
			preferred++;
	}
	return preferred;
}

/*
 * Time that a host of that rank waits while it sees too few better readers:
 * the wanted ones do not wait at all.
 */
static int64_t
election_wait_ms(const struct election *election, size_t rank)
{
	size_t behind;

	if (rank < election->wanted_readers)
		return 0;
	behind = MIN(rank - election->wanted_readers, ELECTION_RANK_MAX);
	return election_fresh_ms(election) +
	    (int64_t)behind * election->heartbeat_ms / 2;
}

/*
 * Decide whether this host, of that rank in its zone, reads now.
 */
bool
election_update(struct election *election, size_t rank, struct timespec now)
{
	if (election_count_preferred(election, now) >=
	    election->wanted_readers) {
		election->has_shortage = false;
		election->is_reader = false;
		return false;
	}
	if (!election->has_shortage) {
		election->has_shortage = true;
		election->shortage_since = now;
	}
	if (timespec_ms_between(election->shortage_since, now) >=
	    election_wait_ms(election, rank))
		election->is_reader = true;
	return election->is_reader;
}

/*
 * Let the own beat rise: this host reads the platform and it answers.
 */
void
election_increment_beat(struct election *election)
{
	election->own_beat++;
}

/*
 * Move all that was seen by ms milliseconds, the time in which this process
 * was stopped and could see nothing.
 */
void
election_shift_times(struct election *election, int64_t ms)
{
	for (size_t i = 0; i < election->known_reader_count; i++)
		election->known_readers[i].beat_raised_at = timespec_plus_ms(
		    election->known_readers[i].beat_raised_at, ms);
	election->shortage_since =
	    timespec_plus_ms(election->shortage_since, ms);
}

/* Insert in the order of the scores, dropping the last when full. */
static size_t
reader_list_insert(struct rendezvous_score *order, struct reader_beat *out,
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
election_list_readers(const struct election *election, bool is_active,
    struct timespec now, struct reader_beat *out, size_t out_max)
{
	struct rendezvous_score order[ELECTION_READERS_MAX];
	size_t count = 0;

	if (is_active)
		count = reader_list_insert(order, out, count, out_max,
		    election->own_score,
		    (struct reader_beat){
			.host = election->host,
			.beat = election->own_beat,
		    });
	for (size_t i = 0; i < election->known_reader_count; i++) {
		const struct election_reader *reader =
		    &election->known_readers[i];
		int64_t age = timespec_ms_between(reader->beat_raised_at, now);

		if (!election_is_fresh(election, reader, now))
			continue;
		count = reader_list_insert(order, out, count, out_max,
		    reader->score,
		    (struct reader_beat){
			.host = reader->score.host,
			.beat = reader->beat,
			.age_ms = (uint32_t)MAX(age, 0),
		    });
	}
	return count;
}
