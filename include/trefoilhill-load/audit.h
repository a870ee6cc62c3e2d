#ifndef TREFOILHILL_LOAD_AUDIT_H
#define TREFOILHILL_LOAD_AUDIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "trefoilhill-load/options.h"
#include "trefoilhill-load/plan.h"

/* Comparison of request outcomes with the execution counts of upstreams. */
struct audit {
	bool done;
	uint64_t runs;
	uint64_t double_runs;    /* non-idempotent, executed more than once */
	uint64_t reruns;         /* idempotent, executed more than once */
	uint64_t false_not_runs; /* reported as not run, but executed */
	uint64_t ok_without_run;
	uint32_t upstreams_lost; /* did not return their counts */
};

void audit_run(struct audit *audit, const struct load_options *options,
    const struct plan *plan);

#endif
