#ifndef TREFOILHILL_LOAD_AUDIT_H
#define TREFOILHILL_LOAD_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "trefoilhill-load/options.h"
#include "trefoilhill-load/plan.h"

/* What the upstreams' own counts of runs say of a run's requests. */
struct audit {
	bool done;
	uint64_t runs;
	uint64_t double_runs;    /* non-idempotent, run more than once */
	uint64_t reruns;         /* idempotent, run more than once */
	uint64_t false_not_runs; /* refused as not run, yet run */
	uint64_t ok_without_run;
	uint32_t upstreams_lost; /* gave no counts */
};

void audit_run(struct audit *audit, const struct load_options *options,
    const struct plan *plan);

#endif
