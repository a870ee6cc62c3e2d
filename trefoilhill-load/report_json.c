#include <jansson.h>
#include <stdio.h>

#include "trefoilhill-load/report.h"
#include "trefoilhill-load/request_kind.h"

static json_t *
quantiles_to_json(const struct histogram *histogram)
{
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "count",
	    (json_int_t)histogram->count, "p50",
	    (json_int_t)histogram_quantile(histogram, 0.5), "p90",
	    (json_int_t)histogram_quantile(histogram, 0.9), "p99",
	    (json_int_t)histogram_quantile(histogram, 0.99), "p99_9",
	    (json_int_t)histogram_quantile(histogram, 0.999), "max",
	    (json_int_t)histogram->max, "mean",
	    (json_int_t)histogram_mean(histogram));
}

static json_t *
row_to_json(const struct result_row *row)
{
	json_t *json = json_object();

	for (int i = 0; i < OUTCOME_COUNT; i++)
		json_object_set_new(json, outcome_name(i),
		    json_integer((json_int_t)row->outcomes[i]));
	json_object_set_new(
	    json, "latency_us", quantiles_to_json(&row->latency_us));
	return json;
}

static json_t *
seconds_to_json(const struct report *report)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < report->result->second_count; i++) {
		json_t *row = row_to_json(&report->result->seconds[i]);

		json_object_set_new(row, "second", json_integer((json_int_t)i));
		json_object_set_new(row, "at",
		    json_integer(report->started_at + (json_int_t)i));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *
kinds_to_json(const struct report *report)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < report->result->kind_count; i++) {
		const struct request_kind *kind =
		    report->options->kinds->pdata[i];
		json_t *row = row_to_json(&report->result->kinds[i]);

		json_object_set_new(row, "request", json_string(kind->text));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *
audit_to_json(const struct audit *audit)
{
	if (!audit->done)
		return json_null();
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "runs",
	    (json_int_t)audit->runs, "double_runs",
	    (json_int_t)audit->double_runs, "false_not_runs",
	    (json_int_t)audit->false_not_runs, "reruns",
	    (json_int_t)audit->reruns, "ok_without_run",
	    (json_int_t)audit->ok_without_run, "upstreams_lost",
	    (json_int_t)audit->upstreams_lost);
}

/*
 * Prints a report to standard output as one JSON object.
 */
void
report_print_json(const struct report *report)
{
	const struct load_options *options = report->options;
	json_t *json = json_pack("{s:f,s:f,s:I,s:b,s:I,s:o,s:o,s:o,s:o,s:o}",
	    "rate", options->rate, "duration_s", options->duration_s, "seed",
	    (json_int_t)options->seed, "direct", options->direct, "started_at",
	    (json_int_t)report->started_at, "total",
	    row_to_json(&report->result->total), "refused_us",
	    quantiles_to_json(&report->result->refused_us), "late_us",
	    quantiles_to_json(&report->result->late_us), "kinds",
	    kinds_to_json(report), "audit", audit_to_json(report->audit));

	if (options->per_second)
		json_object_set_new(
		    json, "per_second", seconds_to_json(report));
	json_dumpf(json, stdout, JSON_INDENT(1));
	putchar('\n');
	json_decref(json);
}
