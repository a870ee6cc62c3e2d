#ifndef TREFOILHILL_BENCH_CONFIG_RESULTS_H
#define TREFOILHILL_BENCH_CONFIG_RESULTS_H

#include "common/histogram.h"
#include "fleet.h"

/* Kind of the record that a single-record change modifies. */
enum change_kind {
	CHANGE_ZONE,
	CHANGE_SERVICE,
	CHANGE_HOST,
	CHANGE_UPSTREAM,
	CHANGE_KIND_COUNT,
};

/* Results of the configuration benchmark for one fleet size. */
struct config_results {
	struct fleet fleet;
	size_t publications;
	size_t records;
	double load_ms;
	double rss_mb;
	double heap_mb;
	double load_peak_mb;     /* peak RSS minus RSS before the load */
	double extra_version_kb; /* heap; the version shares records */
	struct histogram apply[CHANGE_KIND_COUNT]; /* ns */
	struct histogram apply_all_kinds;
	struct histogram apply_cpu; /* ns of CPU time */
	struct histogram release;   /* ns, of the previous version */
	struct histogram refusal;   /* ns */
	double lookup_ns;
	size_t delta_bytes;
	size_t handover_bytes;
	double serialize_ms;
	double deserialize_ms;
	double handover_peak_mb; /* peak RSS minus idle RSS */
};

void config_results_print_table(const struct config_results *results);
void config_results_print_json(const struct config_results *results);

#endif
