#ifndef TREFOILHILL_COMMON_HISTOGRAM_H
#define TREFOILHILL_COMMON_HISTOGRAM_H

#include <stdint.h>

enum {
	HISTOGRAM_SUB_BITS = 7,
	HISTOGRAM_VALUE_BITS = 40,
	HISTOGRAM_BUCKETS = (HISTOGRAM_VALUE_BITS - HISTOGRAM_SUB_BITS + 1)
	    << HISTOGRAM_SUB_BITS,
};

/*
 * A histogram with logarithmic buckets: the relative error of a quantile is
 * less than 1/128. Values above 2^40 - 1 are counted as 2^40 - 1.
 */
struct histogram {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_record(struct histogram *histogram, uint64_t value);
void histogram_merge(struct histogram *into, const struct histogram *from);
uint64_t histogram_quantile(const struct histogram *histogram, double quantile);
uint64_t histogram_mean(const struct histogram *histogram);

#endif
