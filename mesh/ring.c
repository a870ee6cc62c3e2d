#include "mesh/ring.h"

/*
 * Initialize an empty ring for at most capacity publications with at most
 * bytes_max bytes of JSON in total. The newest one is kept even if it alone is
 * larger.
 */
void
publication_ring_init(
    struct publication_ring *ring, size_t capacity, size_t bytes_max)
{
	*ring = (struct publication_ring){
		.slots = g_new0(struct publication *, capacity),
		.capacity = capacity,
		.bytes_max = bytes_max,
	};
}

/*
 * Remove all publications and free the ring's memory.
 */
void
publication_ring_release(struct publication_ring *ring)
{
	publication_ring_clear(ring);
	g_free(ring->slots);
	ring->slots = NULL;
}

static struct publication **
ring_slot(const struct publication_ring *ring, size_t index)
{
	return &ring->slots[(ring->start + index) % ring->capacity];
}

static void
ring_drop_oldest(struct publication_ring *ring)
{
	struct publication *oldest = *ring_slot(ring, 0);

	ring->bytes -= g_bytes_get_size(oldest->json);
	publication_unref(oldest);
	ring->start = (ring->start + 1) % ring->capacity;
	ring->count--;
}

/*
 * Remove all publications.
 */
void
publication_ring_clear(struct publication_ring *ring)
{
	while (ring->count > 0)
		ring_drop_oldest(ring);
}

/*
 * Append a publication; the ring takes its own reference. A publication that is
 * not the successor of the newest one empties the ring first.
 */
void
publication_ring_push(
    struct publication_ring *ring, struct publication *publication)
{
	size_t bytes = g_bytes_get_size(publication->json);

	if (ring->count > 0 &&
	    (*ring_slot(ring, ring->count - 1))->version + 1 !=
		publication->version)
		publication_ring_clear(ring);
	while (ring->count > 0 &&
	    (ring->count == ring->capacity ||
		ring->bytes + bytes > ring->bytes_max))
		ring_drop_oldest(ring);
	*ring_slot(ring, ring->count) = publication_ref(publication);
	ring->bytes += bytes;
	ring->count++;
}

/*
 * Return the publication of a version, borrowed, or NULL if the ring does not
 * hold it.
 */
struct publication *
publication_ring_find(const struct publication_ring *ring, uint64_t version)
{
	uint64_t first;

	if (ring->count == 0)
		return NULL;
	first = (*ring_slot(ring, 0))->version;
	if (version < first || version - first >= ring->count)
		return NULL;
	return *ring_slot(ring, version - first);
}
