#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "config_results.h"

static const double ns_per_us = 1e3;

static const char *const change_names[CHANGE_KIND_COUNT] = {
	[CHANGE_ZONE] = "zone",
	[CHANGE_SERVICE] = "service",
	[CHANGE_HOST] = "host",
	[CHANGE_UPSTREAM] = "upstream",
};

static double
quantile_us(const struct histogram *histogram, double quantile)
{
	return (double)histogram_quantile(histogram, quantile) / ns_per_us;
}

static double
max_us(const struct histogram *histogram)
{
	return (double)histogram->max / ns_per_us;
}

static void
print_quantiles(const char *name, const struct histogram *histogram)
{
	printf("  %-22s p50 %8.1f us  p99 %8.1f us  max %8.1f us\n", name,
	    quantile_us(histogram, 0.5), quantile_us(histogram, 0.99),
	    max_us(histogram));
}

/*
 * Print the results for one fleet size as a table.
 */
void
config_results_print_table(const struct config_results *results)
{
	printf("%zu upstreams, %zu services, %zu records\n",
	    results->fleet.upstreams, results->fleet.services,
	    results->records);
	printf("  full load              %8.1f ms from %zu publications\n",
	    results->load_ms, results->publications);
	print_quantiles("one record", &results->apply_all_kinds);
	print_quantiles("CPU time", &results->apply_cpu);
	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++)
		print_quantiles(change_names[i], &results->apply[i]);
	print_quantiles("release of previous", &results->release);
	print_quantiles("refused", &results->refusal);
	printf("  route and service      %8.0f ns\n", results->lookup_ns);
	printf("  memory                 %8.2f MB resident, %.2f MB heap, "
	       "%.2f MB peak while loading\n",
	    results->rss_mb, results->heap_mb, results->load_peak_mb);
	printf("  one more version       %8.1f KB heap\n",
	    results->extra_version_kb);
	printf("  delta                  %8zu bytes\n", results->delta_bytes);
	printf("  hand-over              %8zu bytes, write %.1f ms, read "
	       "%.1f ms, peak %.1f MB\n",
	    results->handover_bytes, results->serialize_ms,
	    results->deserialize_ms, results->handover_peak_mb);
}

static json_t *
quantiles_json(const struct histogram *histogram)
{
	return json_pack("{s:f,s:f,s:f}", "p50_us", quantile_us(histogram, 0.5),
	    "p99_us", quantile_us(histogram, 0.99), "max_us",
	    max_us(histogram));
}

/*
 * Print the results for one fleet size as one line of JSON.
 */
void
config_results_print_json(const struct config_results *results)
{
	json_t *root = json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I,"
				 "s:f,s:f,s:f,s:f,s:o,s:o,s:o,s:o}",
	    "upstreams", (json_int_t)results->fleet.upstreams, "services",
	    (json_int_t)results->fleet.services, "records",
	    (json_int_t)results->records, "publications",
	    (json_int_t)results->publications, "load_ms", results->load_ms,
	    "rss_mb", results->rss_mb, "heap_mb", results->heap_mb,
	    "second_version_kb", results->extra_version_kb, "lookup_ns",
	    results->lookup_ns, "delta_bytes", (json_int_t)results->delta_bytes,
	    "handover_bytes", (json_int_t)results->handover_bytes,
	    "serialize_ms", results->serialize_ms, "deserialize_ms",
	    results->deserialize_ms, "handover_peak_mb",
	    results->handover_peak_mb, "load_peak_mb", results->load_peak_mb,
	    "apply", quantiles_json(&results->apply_all_kinds), "apply_cpu",
	    quantiles_json(&results->apply_cpu), "release",
	    quantiles_json(&results->release), "refused",
	    quantiles_json(&results->refusal));
	char *text;

	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++) {
		char *name = g_strdup_printf("apply_%s", change_names[i]);

		json_object_set_new(
		    root, name, quantiles_json(&results->apply[i]));
		g_free(name);
	}
	text = json_dumps(root, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(root);
}
