#ifndef TREFOILHILL_COMMON_RENDEZVOUS_H
#define TREFOILHILL_COMMON_RENDEZVOUS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Position of a host in an order that every node computes independently. */
struct rendezvous_score {
	uint64_t hash;
	struct str host; /* tie-breaker for equal hashes */
};

struct rendezvous_score rendezvous_score(
    struct str salt, uint64_t number, struct str host);
bool rendezvous_before(struct rendezvous_score a, struct rendezvous_score b);

#endif
