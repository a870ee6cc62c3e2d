#ifndef TREFOILHILL_BENCH_PLATFORM_LOAD_H
#define TREFOILHILL_BENCH_PLATFORM_LOAD_H

#include <stdint.h>

/* Reads of the platform by second; a waiting watch is one in each second. */
struct platform_load {
	uint64_t this_second;
	uint64_t total;
	uint64_t peak;
	uint64_t seconds;
};

void platform_load_read(struct platform_load *load);
/* A second has ended, with that many watches waiting into the next. */
void platform_load_end_second(struct platform_load *load, uint64_t waiting);
double platform_load_mean(const struct platform_load *load);

#endif
