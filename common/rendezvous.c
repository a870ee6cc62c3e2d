#include <xxhash.h>

#include "common/rendezvous.h"

/*
 * Return the rendezvous hash score of a host for a salt and a number (a
 * version, or 0). All nodes compute the same score.
 */
struct rendezvous_score
rendezvous_score(struct str salt, uint64_t number, struct str host)
{
	uint64_t seed = XXH3_64bits_withSeed(salt.ptr, salt.len, number);
	struct rendezvous_score score = {
		.hash = XXH3_64bits_withSeed(host.ptr, host.len, seed),
		.host = host,
	};

	return score;
}

/*
 * Tell whether a precedes b. The order is strict and total for hosts with
 * different names.
 */
bool
rendezvous_before(struct rendezvous_score a, struct rendezvous_score b)
{
	if (a.hash != b.hash)
		return a.hash < b.hash;
	return str_compare(a.host, b.host) < 0;
}
