#include <inttypes.h>
#include <string.h>

#include "common/rng.h"
#include "trefoilhill-load/plan.h"
#include "trefoilhill-load/request_kind.h"

enum {
	INDEX_BITS = 32,
	HEXADECIMAL = 16,
};

static const uint32_t run_tag_top_bit = 0x80000000U;

static uint16_t
choose_kind(const GPtrArray *kinds, uint64_t weight_offset)
{
	for (guint i = 0; i < kinds->len; i++) {
		const struct request_kind *kind = kinds->pdata[i];

		if (weight_offset < kind->weight)
			return (uint16_t)i;
		weight_offset -= kind->weight;
	}
	return 0;
}

/*
 * Returns the plan of a run, to be freed with plan_free. The tag distinguishes
 * request ids of different runs and does not affect the choice of requests.
 */
struct plan *
plan_new(const struct load_options *options, uint32_t run_tag)
{
	const GPtrArray *targets = load_options_targets(options);
	struct plan *plan = g_new0(struct plan, 1);
	struct rng *rng = rng_seeded_new(options->seed);
	uint64_t weights = 0;

	for (guint i = 0; i < options->kinds->len; i++)
		weights +=
		    ((struct request_kind *)options->kinds->pdata[i])->weight;
	plan->run_tag = run_tag | run_tag_top_bit;
	plan->count = (size_t)(options->rate * options->duration_s);
	plan->requests = g_new0(struct planned_request, plan->count);
	for (size_t i = 0; i < plan->count; i++) {
		plan->requests[i].kind =
		    choose_kind(options->kinds, rng_below(rng, weights));
		plan->requests[i].target =
		    (uint16_t)rng_below(rng, targets->len);
		plan->requests[i].outcome = OUTCOME_NO_ANSWER;
	}
	rng_free(rng);
	return plan;
}

/*
 * Frees a plan. NULL is allowed.
 */
void
plan_free(struct plan *plan)
{
	if (plan == NULL)
		return;
	g_free(plan->requests);
	g_free(plan);
}

/*
 * Writes the id of a request to out: REQUEST_ID_DIGITS hexadecimal digits and a
 * NUL.
 */
void
plan_request_id(const struct plan *plan, size_t index, char *out)
{
	g_snprintf(out, REQUEST_ID_DIGITS + 1, "%016" PRIx64,
	    (uint64_t)plan->run_tag << INDEX_BITS | index);
}

/*
 * Looks up the index of a request by its id. Returns 0, or -1 if the id does
 * not belong to this run.
 */
int
plan_find(const struct plan *plan, const char *id, size_t *index)
{
	uint64_t number;
	char *end;

	number = g_ascii_strtoull(id, &end, HEXADECIMAL);
	if (*end != '\0' || strlen(id) != REQUEST_ID_DIGITS ||
	    number >> INDEX_BITS != plan->run_tag)
		return -1;
	*index = number & UINT32_MAX;
	return *index < plan->count ? 0 : -1;
}
