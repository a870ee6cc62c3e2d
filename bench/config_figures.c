#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "config_figures.h"

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
print_line(const char *name, const struct histogram *histogram)
{
	printf("  %-22s p50 %8.1f us  p99 %8.1f us  max %8.1f us\n", name,
	    quantile_us(histogram, 0.5), quantile_us(histogram, 0.99),
	    max_us(histogram));
}

/*
 * Print the figures of one size for people.
 */
void
config_figures_print_table(const struct config_figures *f)
{
	printf("%zu upstreams, %zu services, %zu records\n", f->fleet.upstreams,
	    f->fleet.services, f->records);
	printf("  full load              %8.1f ms from %zu publications\n",
	    f->load_ms, f->publications);
	print_line("one record", &f->apply_all);
	print_line("of processor time", &f->apply_cpu);
	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++)
		print_line(change_names[i], &f->apply[i]);
	print_line("release of the former", &f->release);
	print_line("refused", &f->refused);
	printf("  route and service      %8.0f ns\n", f->lookup_ns);
	printf("  memory                 %8.2f MB resident, %.2f MB heap, "
	       "%.2f MB peak while loading\n",
	    f->rss_mb, f->heap_mb, f->load_peak_mb);
	printf("  one more version       %8.1f KB heap\n", f->second_kb);
	printf("  delta                  %8zu bytes\n", f->delta_bytes);
	printf("  hand-over              %8zu bytes, write %.1f ms, read "
	       "%.1f ms, peak %.1f MB\n",
	    f->handover_bytes, f->serialize_ms, f->deserialize_ms,
	    f->handover_peak_mb);
}

static json_t *
quantiles_json(const struct histogram *histogram)
{
	return json_pack("{s:f,s:f,s:f}", "p50_us", quantile_us(histogram, 0.5),
	    "p99_us", quantile_us(histogram, 0.99), "max_us",
	    max_us(histogram));
}

/*
 * Print the figures of one size as one line of JSON.
 */
void
config_figures_print_json(const struct config_figures *f)
{
	json_t *root = json_pack("{s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:I,s:I,"
				 "s:f,s:f,s:f,s:f,s:o,s:o,s:o,s:o}",
	    "upstreams", (json_int_t)f->fleet.upstreams, "services",
	    (json_int_t)f->fleet.services, "records", (json_int_t)f->records,
	    "publications", (json_int_t)f->publications, "load_ms", f->load_ms,
	    "rss_mb", f->rss_mb, "heap_mb", f->heap_mb, "second_version_kb",
	    f->second_kb, "lookup_ns", f->lookup_ns, "delta_bytes",
	    (json_int_t)f->delta_bytes, "handover_bytes",
	    (json_int_t)f->handover_bytes, "serialize_ms", f->serialize_ms,
	    "deserialize_ms", f->deserialize_ms, "handover_peak_mb",
	    f->handover_peak_mb, "load_peak_mb", f->load_peak_mb, "apply",
	    quantiles_json(&f->apply_all), "apply_cpu",
	    quantiles_json(&f->apply_cpu), "release",
	    quantiles_json(&f->release), "refused",
	    quantiles_json(&f->refused));
	char *text;

	for (size_t i = 0; i < CHANGE_KIND_COUNT; i++) {
		char *name = g_strdup_printf("apply_%s", change_names[i]);

		json_object_set_new(root, name, quantiles_json(&f->apply[i]));
		g_free(name);
	}
	text = json_dumps(root, JSON_COMPACT);
	printf("%s\n", text);
	free(text);
	json_decref(root);
}
