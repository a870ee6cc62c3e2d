#include <glib.h>

#include "trefoilhill-load/result.h"

/*
 * Returns an empty result with a row for each second and each kind of a run, to
 * be freed with result_free.
 */
struct result *
result_new(size_t second_count, size_t kind_count)
{
	struct result *result = g_new0(struct result, 1);

	result->seconds = g_new0(struct result_row, second_count);
	result->second_count = second_count;
	result->kinds = g_new0(struct result_row, kind_count);
	result->kind_count = kind_count;
	return result;
}

/*
 * Frees a result. NULL is allowed.
 */
void
result_free(struct result *result)
{
	if (result == NULL)
		return;
	g_free(result->seconds);
	g_free(result->kinds);
	g_free(result);
}

static void
row_add(struct result_row *row, enum outcome outcome, uint64_t latency_us)
{
	row->outcomes[outcome]++;
	if (outcome == OUTCOME_OK)
		histogram_record(&row->latency_us, latency_us);
}

static void
row_merge(struct result_row *into, const struct result_row *from)
{
	for (int i = 0; i < OUTCOME_COUNT; i++)
		into->outcomes[i] += from->outcomes[i];
	histogram_merge(&into->latency_us, &from->latency_us);
}

/*
 * Records a finished request in the total, in the row of the second in which it
 * was due and in the row of its kind.
 */
void
result_add(struct result *result, size_t second, size_t kind,
    enum outcome outcome, uint64_t latency_us)
{
	row_add(&result->total, outcome, latency_us);
	row_add(&result->seconds[MIN(second, result->second_count - 1)],
	    outcome, latency_us);
	row_add(&result->kinds[kind], outcome, latency_us);
	if (outcome == OUTCOME_NOT_RUN || outcome == OUTCOME_UNKNOWN)
		histogram_record(&result->refused_us, latency_us);
}

/*
 * Adds the result of another thread, which must have the same number of rows.
 */
void
result_merge(struct result *into, const struct result *from)
{
	row_merge(&into->total, &from->total);
	histogram_merge(&into->refused_us, &from->refused_us);
	histogram_merge(&into->late_us, &from->late_us);
	for (size_t i = 0; i < into->second_count; i++)
		row_merge(&into->seconds[i], &from->seconds[i]);
	for (size_t i = 0; i < into->kind_count; i++)
		row_merge(&into->kinds[i], &from->kinds[i]);
}
