#ifndef TREFOILHILL_BENCH_PLATFORM_LOAD_H
#define TREFOILHILL_BENCH_PLATFORM_LOAD_H

#include <stdint.h>

/*
 * Reads of the platform, aggregated by second. A pending watch counts as one
 * read in each second.
 */
struct platform_load {
	uint64_t current_second_reads;
	uint64_t total_reads;
	uint64_t peak_reads;
	uint64_t seconds;
};

void platform_load_add_read(struct platform_load *load);
void platform_load_end_second(
    struct platform_load *load, uint64_t pending_watches);
double platform_load_mean(const struct platform_load *load);

#endif
