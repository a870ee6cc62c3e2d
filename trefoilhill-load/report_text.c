#include <inttypes.h>
#include <stdio.h>

#include "trefoilhill-load/report.h"
#include "trefoilhill-load/request_kind.h"

static void
print_outcomes(const struct result_row *row)
{
	for (int i = 0; i < OUTCOME_COUNT; i++)
		printf(" %s %" PRIu64, outcome_name(i), row->outcomes[i]);
	putchar('\n');
}

static void
print_quantiles(const char *title, const struct histogram *histogram)
{
	printf("%s p50 %" PRIu64 " p90 %" PRIu64 " p99 %" PRIu64
	       " p99.9 %" PRIu64 " max %" PRIu64 " mean %" PRIu64 " us\n",
	    title, histogram_quantile(histogram, 0.5),
	    histogram_quantile(histogram, 0.9),
	    histogram_quantile(histogram, 0.99),
	    histogram_quantile(histogram, 0.999), histogram->max,
	    histogram_mean(histogram));
}

static void
print_seconds(const struct report *report)
{
	const struct result *result = report->result;

	printf("second");
	for (int i = 0; i < OUTCOME_COUNT; i++)
		printf(" %9s", outcome_name(i));
	printf(" %9s %9s\n", "p50_us", "p99_us");
	for (size_t s = 0; s < result->second_count; s++) {
		const struct result_row *row = &result->seconds[s];

		printf("%6zu", s);
		for (int i = 0; i < OUTCOME_COUNT; i++)
			printf(" %9" PRIu64, row->outcomes[i]);
		printf(" %9" PRIu64 " %9" PRIu64 "\n",
		    histogram_quantile(&row->latency_us, 0.5),
		    histogram_quantile(&row->latency_us, 0.99));
	}
}

/*
 * Prints a human-readable report to standard output.
 */
void
report_print_text(const struct report *report)
{
	const struct result *result = report->result;
	const struct audit *audit = report->audit;

	printf("outcomes:");
	print_outcomes(&result->total);
	print_quantiles("latency:", &result->total.latency_us);
	print_quantiles("refused:", &result->refused_us);
	print_quantiles("sent late:", &result->late_us);
	for (size_t i = 0; i < result->kind_count; i++) {
		const struct request_kind *kind =
		    report->options->kinds->pdata[i];

		printf("kind %s:", kind->text);
		print_outcomes(&result->kinds[i]);
		print_quantiles("  latency:", &result->kinds[i].latency_us);
	}
	if (audit->done)
		printf("audit: runs %" PRIu64 " double_runs %" PRIu64
		       " false_not_runs %" PRIu64 " reruns %" PRIu64
		       " ok_without_run %" PRIu64 " upstreams_lost %" PRIu32
		       "\n",
		    audit->runs, audit->double_runs, audit->false_not_runs,
		    audit->reruns, audit->ok_without_run,
		    audit->upstreams_lost);
	else
		puts("audit: not taken, no --upstream");
	if (report->options->per_second)
		print_seconds(report);
}
