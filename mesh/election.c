#include <glib.h>

#include "common/clock.h"
#include "mesh/election.h"

/*
 * Initialize one host's view of its zone's election, which aims at the given
 * number of readers. host and zone are borrowed.
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
 * Free the records of other hosts.
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

/* Return a free entry, or evict the one whose beat rose longest ago. */
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
 * Record a reader's beat, reported by itself or by another host. Only an
 * increased beat makes its host fresh, dated back by the age in the message. A
 * beat of this host dates from before its restart; the own beat continues above
 * it.
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
 * Return the milliseconds that a host of that rank waits while too few
 * preferred readers are fresh. The wanted readers do not wait at all.
 */
static int64_t
election_wait_ms(const struct election *election, size_t rank)
{
	size_t ranks_behind;

	if (rank < election->wanted_readers)
		return 0;
	ranks_behind = MIN(rank - election->wanted_readers, ELECTION_RANK_MAX);
	return election_fresh_ms(election) +
	    (int64_t)ranks_behind * election->heartbeat_ms / 2;
}

/*
 * Decide whether this host, with that rank in its zone, reads the platform now.
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
 * Increment the own beat. Call it while this host reads the platform and gets
 * responses.
 */
void
election_increment_beat(struct election *election)
{
	election->own_beat++;
}

/*
 * Shift all recorded times by ms milliseconds, during which this process was
 * stopped and received nothing.
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

/* Insert in score order; drops the last entry when full. */
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
 * List the preferred fresh readers for a heartbeat, in score order, including
 * this host if is_active is set. out_max is at most ELECTION_READERS_MAX.
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
