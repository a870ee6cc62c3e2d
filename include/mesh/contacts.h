#ifndef TREFOILHILL_MESH_CONTACTS_H
#define TREFOILHILL_MESH_CONTACTS_H

#include <stdbool.h>
#include <stddef.h>

#include "common/rng.h"
#include "common/str.h"

enum {
	CONTACTS_MAX = 64,
};

struct contact {
	struct str address; /* owned */
	bool seed;
	bool notify_when_ready; /* joined through this node */
};

/* Addresses to join through. Seeds are never evicted by other contacts. */
struct contacts {
	struct contact items[CONTACTS_MAX];
	size_t count;
	struct str own_address;
	bool self_is_seed;
};

void contacts_init(struct contacts *contacts, struct str own_address,
    const struct str *seeds, size_t seed_count);
void contacts_release(struct contacts *contacts);
struct contact *contacts_add(
    struct contacts *contacts, struct str address, struct rng *rng);
const struct contact *contacts_pick(
    const struct contacts *contacts, struct rng *rng);

#endif
