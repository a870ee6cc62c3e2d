#include <xxhash.h>

#include "config/digest.h"

/*
 * Hash the canonical form of one record with XXH3-128. The digest of a set of
 * records is the sum of their digests modulo 2^128: it does not depend on the
 * order, and updating it takes time proportional to the change.
 */
struct digest
digest_of_bytes(struct str bytes)
{
	XXH128_hash_t hash = XXH3_128bits(bytes.ptr, bytes.len);
	struct digest digest = { .low = hash.low64, .high = hash.high64 };

	return digest;
}

/*
 * Return a + b modulo 2^128.
 */
struct digest
digest_add(struct digest a, struct digest b)
{
	struct digest sum = { .low = a.low + b.low, .high = a.high + b.high };

	if (sum.low < a.low)
		sum.high++;
	return sum;
}

/*
 * Return a - b modulo 2^128.
 */
struct digest
digest_subtract(struct digest a, struct digest b)
{
	struct digest difference = { .low = a.low - b.low,
		.high = a.high - b.high };

	if (a.low < b.low)
		difference.high--;
	return difference;
}

/*
 * Compare two digests as 128-bit numbers; negative, zero or positive.
 */
int
digest_compare(struct digest a, struct digest b)
{
	if (a.high != b.high)
		return a.high < b.high ? -1 : 1;
	return (a.low > b.low) - (a.low < b.low);
}
