#ifndef TREFOILHILL_GUARD_LATENCY_ESTIMATE_H
#define TREFOILHILL_GUARD_LATENCY_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Mean run time of an upstream's requests, and its ratio to the run times that
 * the senders expected. Answers two load patterns: a fresh upstream, whose
 * first results must replace the assumed value, and an upstream that receives
 * no requests, whose last result must not count for long. Pure; times are
 * milliseconds of a monotonic clock.
 */
struct latency_estimate {
	double mean_us;
	double expected_us; /* mean of what the senders expected; 0: none */
	double weight;      /* number of results in the mean, aged */
	bool known;         /* there has been a result */
	int64_t updated_ms; /* time of the last result */
};

void latency_estimate_reset(struct latency_estimate *estimate);
/* Add a result; work_ms is the run time that its sender expected, 0: none. */
void latency_estimate_add(struct latency_estimate *estimate,
    uint32_t latency_us, uint32_t work_ms, int64_t now_ms);
/* The expected run time of a request whose sender expects work_ms. */
uint32_t latency_estimate_run_us(
    const struct latency_estimate *estimate, uint32_t work_ms);
uint32_t latency_estimate_mean_us(const struct latency_estimate *estimate);
/* The time since the last result; UINT32_MAX before the first. */
uint32_t latency_estimate_age_ms(
    const struct latency_estimate *estimate, int64_t now_ms);
/* The mean for peers; 0 if there is none, or it is too old. */
uint32_t latency_estimate_report_us(
    const struct latency_estimate *estimate, int64_t now_ms);

#endif
