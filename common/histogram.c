#include <math.h>
#include <stddef.h>

#include "common/histogram.h"

enum {
	SUB_BUCKETS = 1 << HISTOGRAM_SUB_BITS,
	WORD_TOP_BIT = 63,
};

static const uint64_t value_max = (UINT64_C(1) << HISTOGRAM_VALUE_BITS) - 1;

/* The right shift that reduces a value below 2 * SUB_BUCKETS. */
static unsigned int
value_shift(uint64_t value)
{
	if (value < SUB_BUCKETS)
		return 0;
	return WORD_TOP_BIT - (unsigned int)__builtin_clzll(value) -
	    HISTOGRAM_SUB_BITS;
}

static size_t
value_bucket(uint64_t value)
{
	unsigned int shift = value_shift(value);

	return ((size_t)shift << HISTOGRAM_SUB_BITS) + (value >> shift);
}

/* The largest value in a bucket. */
static uint64_t
bucket_max(size_t bucket)
{
	uint64_t shift = bucket >> HISTOGRAM_SUB_BITS;
	uint64_t low = bucket;

	if (shift > 0)
		shift--;
	low -= shift << HISTOGRAM_SUB_BITS;
	return ((low + 1) << shift) - 1;
}

/*
 * Add one value. Values above 2^40 - 1 are counted as 2^40 - 1.
 */
void
histogram_record(struct histogram *histogram, uint64_t value)
{
	if (value > value_max)
		value = value_max;
	histogram->count++;
	histogram->sum += value;
	if (value > histogram->max)
		histogram->max = value;
	histogram->buckets[value_bucket(value)]++;
}

/*
 * Add the counts of one histogram to another.
 */
void
histogram_merge(struct histogram *into, const struct histogram *from)
{
	into->count += from->count;
	into->sum += from->sum;
	if (from->max > into->max)
		into->max = from->max;
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		into->buckets[i] += from->buckets[i];
}

/*
 * Return a quantile, from 0 to 1, of the recorded values: the upper bound of
 * its bucket, but at most the maximum. 0 when the histogram is empty.
 */
uint64_t
histogram_quantile(const struct histogram *histogram, double quantile)
{
	uint64_t rank = (uint64_t)ceil(quantile * (double)histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return 0;
	if (rank == 0)
		rank = 1;
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen >= rank) {
			uint64_t upper = bucket_max(i);

			return upper < histogram->max ? upper : histogram->max;
		}
	}
	return histogram->max;
}

/*
 * Return the mean of the values, rounded down; 0 when the histogram is empty.
 */
uint64_t
histogram_mean(const struct histogram *histogram)
{
	return histogram->count == 0 ? 0 : histogram->sum / histogram->count;
}
