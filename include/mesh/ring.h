#ifndef TREFOILHILL_MESH_RING_H
#define TREFOILHILL_MESH_RING_H

#include <stddef.h>
#include <stdint.h>

#include "config/publication.h"

/* Recent publications with consecutive versions, bounded in count and bytes. */
struct publication_ring {
	struct publication **slots;
	size_t capacity;
	size_t start;
	size_t count;
	size_t bytes;
	size_t bytes_max;
};

void publication_ring_init(
    struct publication_ring *ring, size_t capacity, size_t bytes_max);
void publication_ring_release(struct publication_ring *ring);
void publication_ring_clear(struct publication_ring *ring);
void publication_ring_push(
    struct publication_ring *ring, struct publication *publication);
struct publication *publication_ring_find(
    const struct publication_ring *ring, uint64_t version);

#endif
