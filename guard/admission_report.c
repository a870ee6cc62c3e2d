#include "guard/admission_private.h"

/* What an admission tells of itself. */

enum {
	HALVINGS_MAX = 16, /* after so many half-lives any rate is 0 */
};

static const char *const reason_names[] = {
	[ADMISSION_OK] = "ok",
	[ADMISSION_FULL] = "full",
	[ADMISSION_TOO_LATE] = "too_late",
	[ADMISSION_EXPIRED] = "expired",
	[ADMISSION_DISPLACED] = "displaced",
	[ADMISSION_CLOSED] = "closed",
	[ADMISSION_UNREACHABLE] = "unreachable",
};

/*
 * Return the name of a reason in logs and in messages to peers.
 */
const char *
admission_reason_name(enum admission_reason reason)
{
	return reason_names[reason];
}

/*
 * Return the failures per thousand requests, which decay over time.
 */
uint32_t
admission_failures_per_mille(const struct admission *admission, int64_t now_ms)
{
	int64_t halvings =
	    (now_ms - admission->failures_updated_ms) / FAILURE_HALF_LIFE_MS;

	return halvings >= HALVINGS_MAX
	    ? 0
	    : admission->failures_per_mille >> halvings;
}

/*
 * Return the present load, to be reported to peers.
 */
struct load_report
admission_report(const struct admission *admission, int64_t now_ms)
{
	uint32_t limit = admission_limit(admission);

	if (admission_is_cold(admission, now_ms)) {
		double rate = admission->cold_per_s *
		    latency_estimate_mean_us(&admission->latency) / 1e6;

		limit = MIN(limit, MAX(1, (uint32_t)rate));
	}
	return (struct load_report){
		.limit = limit,
		.in_flight = admission->in_flight,
		.queued = g_queue_get_length((GQueue *)&admission->queue),
		.latency_us =
		    latency_estimate_report_us(&admission->latency, now_ms),
		.latency_age_ms =
		    latency_estimate_age_ms(&admission->latency, now_ms),
		.failures_per_mille =
		    admission_failures_per_mille(admission, now_ms),
		.bulk_waiting = admission_is_bulk_full(admission)
		    ? admission->bulk_queued + 1
		    : admission->bulk_queued,
		.bulk_transfer_ms = admission->bulk_transfer_ms,
		.rate_wait_ms = (uint32_t)pacer_wait_ms(&admission->pacer,
		    g_queue_get_length((GQueue *)&admission->queue), now_ms),
		.accepting =
		    admission->open && admission->paused_until_ms <= now_ms,
	};
}

/*
 * Tell whether no request is running or queued.
 */
bool
admission_is_idle(const struct admission *admission)
{
	return admission->in_flight == 0 &&
	    g_queue_is_empty((GQueue *)&admission->queue);
}

/*
 * Return how many requests were refused.
 */
uint64_t
admission_refused_count(const struct admission *admission,
    enum admission_reason reason, uint32_t class)
{
	return admission->refused[reason][class];
}
