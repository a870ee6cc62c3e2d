#ifndef TREFOILHILL_LOAD_REPORT_H
#define TREFOILHILL_LOAD_REPORT_H

#include <stdint.h>

#include "trefoilhill-load/audit.h"
#include "trefoilhill-load/options.h"
#include "trefoilhill-load/result.h"

struct report {
	const struct load_options *options;
	const struct result *result;
	const struct audit *audit;
	int64_t started_at; /* wall clock, seconds since the Unix epoch */
};

void report_print_text(const struct report *report);
void report_print_json(const struct report *report);

#endif
