#ifndef TREFOILHILL_LOAD_PLAN_H
#define TREFOILHILL_LOAD_PLAN_H

#include <stddef.h>
#include <stdint.h>

#include "trefoilhill-load/options.h"
#include "trefoilhill-load/outcome.h"

enum {
	REQUEST_ID_DIGITS = 16,
};

/* One request of the run, and its outcome once it has ended. */
struct planned_request {
	uint16_t kind;
	uint16_t target;
	uint8_t outcome; /* enum outcome */
};

/* Kind and target of every request, determined by the options and the seed. */
struct plan {
	struct planned_request *requests;
	size_t count;
	uint32_t run_tag; /* distinguishes request ids of different runs */
};

struct plan *plan_new(const struct load_options *options, uint32_t run_tag);
void plan_free(struct plan *plan);
void plan_request_id(const struct plan *plan, size_t index, char *out);
int plan_find(const struct plan *plan, const char *id, size_t *index);

#endif
