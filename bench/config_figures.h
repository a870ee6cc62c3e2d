#ifndef TREFOILHILL_BENCH_CONFIG_FIGURES_H
#define TREFOILHILL_BENCH_CONFIG_FIGURES_H

#include "common/histogram.h"
#include "fleet.h"

/* One change of one record, by the kind of record. */
enum change_kind {
	CHANGE_ZONE,
	CHANGE_SERVICE,
	CHANGE_HOST,
	CHANGE_UPSTREAM,
	CHANGE_KIND_COUNT,
};

struct config_figures {
	struct fleet fleet;
	size_t publications;
	size_t records;
	double load_ms;
	double rss_mb;
	double heap_mb;
	double load_peak_mb; /* of RSS, above that before */
	double second_kb;    /* of heap, for one more version that shares */
	struct histogram apply[CHANGE_KIND_COUNT]; /* ns */
	struct histogram apply_all;
	struct histogram apply_cpu; /* ns of the processor */
	struct histogram release;   /* ns, of the version before */
	struct histogram refused;   /* ns */
	double lookup_ns;
	size_t delta_bytes;
	size_t handover_bytes;
	double serialize_ms;
	double deserialize_ms;
	double handover_peak_mb; /* of RSS, above that at rest */
};

void config_figures_print_table(const struct config_figures *figures);
void config_figures_print_json(const struct config_figures *figures);

#endif
