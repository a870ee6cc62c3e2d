#include <string.h>

#include "common/body_pattern.h"

enum {
	WORD_BYTES = sizeof(uint64_t),
	COMPARE_CHUNK_BYTES = 4096,
};

static const uint64_t fnv_offset = 0xcbf29ce484222325U;
static const uint64_t fnv_prime = 0x100000001b3U;
static const uint64_t golden_ratio = 0x9e3779b97f4a7c15U;

/* The finalizer of SplitMix64. */
static uint64_t
mix64(uint64_t x)
{
	x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
	x = (x ^ x >> 27) * 0x94d049bb133111ebU;
	return x ^ x >> 31;
}

/*
 * Initialize the pattern of the response body for a request id and a size in
 * bytes.
 */
void
body_pattern_init(
    struct body_pattern *pattern, struct str request, uint64_t size)
{
	uint64_t hash = fnv_offset;

	for (size_t i = 0; i < request.len; i++)
		hash = (hash ^ (unsigned char)request.ptr[i]) * fnv_prime;
	pattern->seed = mix64(hash ^ mix64(size));
	pattern->size = size;
}

/*
 * Write len bytes of the body, starting at offset, to out.
 */
void
body_pattern_fill(
    const struct body_pattern *pattern, uint64_t offset, void *out, size_t len)
{
	unsigned char *to = out;

	while (len > 0) {
		uint64_t word =
		    mix64(pattern->seed + (offset / WORD_BYTES) * golden_ratio);
		size_t skip = offset % WORD_BYTES;
		size_t part = WORD_BYTES - skip;

		if (part > len)
			part = len;
		memcpy(to, (const unsigned char *)&word + skip, part);
		to += part;
		offset += part;
		len -= part;
	}
}

/*
 * Tell whether bytes equal the len bytes of the body at offset and lie within
 * its size.
 */
bool
body_pattern_matches(const struct body_pattern *pattern, uint64_t offset,
    const void *bytes, size_t len)
{
	unsigned char expected[COMPARE_CHUNK_BYTES];
	const unsigned char *from = bytes;

	if (offset > pattern->size || len > pattern->size - offset)
		return false;
	while (len > 0) {
		size_t part = len < sizeof(expected) ? len : sizeof(expected);

		body_pattern_fill(pattern, offset, expected, part);
		if (memcmp(expected, from, part) != 0)
			return false;
		from += part;
		offset += part;
		len -= part;
	}
	return true;
}
