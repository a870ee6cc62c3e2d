#include <glib.h>

#include "guard/pacer.h"

enum {
	US_PER_MS = 1000,
	US_PER_KS = 1000 * 1000 * 1000,
};

/* How long before it is due a start may come. */
static int64_t
lead_us(const struct pacer *pacer)
{
	return MAX(pacer->burst_us - pacer->interval_us, 0);
}

/*
 * Set the rate. What was started before still counts, as far as the new rate
 * can make up for it within one burst.
 */
void
pacer_set_rate(struct pacer *pacer, uint32_t per_ks, int64_t now_ms)
{
	int64_t interval_us = per_ks == 0
	    ? 0
	    : US_PER_KS / (int64_t)MAX(per_ks, PACER_RATE_MIN_PER_KS);

	if (interval_us == pacer->interval_us)
		return;
	pacer->interval_us = interval_us;
	pacer->due_us = MIN(
	    pacer->due_us, now_ms * US_PER_MS + lead_us(pacer) + interval_us);
}

/*
 * Return the earliest time for the next start.
 */
int64_t
pacer_next_ms(const struct pacer *pacer)
{
	if (pacer->interval_us == 0)
		return 0;
	return (pacer->due_us - lead_us(pacer) + US_PER_MS - 1) / US_PER_MS;
}

/*
 * Return how long a start has to wait that has others before it.
 */
int64_t
pacer_wait_ms(const struct pacer *pacer, uint32_t ahead, int64_t now_ms)
{
	int64_t first_ms = MAX(pacer_next_ms(pacer) - now_ms, 0);

	return first_ms + ahead * pacer->interval_us / US_PER_MS;
}

/*
 * Record a start.
 */
void
pacer_record_start(struct pacer *pacer, int64_t now_ms)
{
	pacer->due_us =
	    MAX(pacer->due_us, now_ms * US_PER_MS) + pacer->interval_us;
}
