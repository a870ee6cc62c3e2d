#include <string.h>

#include "common/histogram.h"
#include "harness.h"

static struct histogram histogram;
static struct histogram other;

static void
test_empty(void)
{
	memset(&histogram, 0, sizeof(histogram));
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.99), 0);
	CU_ASSERT_EQUAL(histogram_mean(&histogram), 0);
}

static void
test_small_values_exact(void)
{
	memset(&histogram, 0, sizeof(histogram));
	for (uint64_t v = 1; v <= 200; v++)
		histogram_record(&histogram, v);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0), 1);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.5), 100);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.99), 198);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 1), 200);
	CU_ASSERT_EQUAL(histogram_mean(&histogram), 100);
}

/* The quantile of a single value exceeds it by at most 1/128. */
static void
test_error_bound(void)
{
	for (uint64_t v = 1; v < UINT64_C(1) << HISTOGRAM_VALUE_BITS;
	     v = v * 3 / 2 + 1) {
		uint64_t read;

		memset(&histogram, 0, sizeof(histogram));
		histogram_record(&histogram, v);
		histogram_record(&histogram, UINT64_MAX);
		read = histogram_quantile(&histogram, 0.5);
		CU_ASSERT(read >= v);
		CU_ASSERT(read - v <= v / 128);
	}
}

static void
test_merge(void)
{
	memset(&histogram, 0, sizeof(histogram));
	memset(&other, 0, sizeof(other));
	histogram_record(&histogram, 10);
	histogram_record(&other, 5000);
	histogram_record(&other, 20);
	histogram_merge(&histogram, &other);
	CU_ASSERT_EQUAL(histogram.count, 3);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 0.5), 20);
	CU_ASSERT_EQUAL(histogram_quantile(&histogram, 1), 5000);
}

int
main(void)
{
	static const struct test_case cases[] = {
		{ "empty", test_empty },
		{ "small values are exact", test_small_values_exact },
		{ "error bound", test_error_bound },
		{ "merge", test_merge },
		{ NULL, NULL },
	};

	return harness_run("histogram", cases);
}
