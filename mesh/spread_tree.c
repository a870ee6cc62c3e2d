#include <glib.h>
#include <stdlib.h>

#include "common/rendezvous.h"
#include "mesh/spread_tree.h"

struct tree_entry {
	struct rendezvous_score score;
	const struct record *host;
};

static int
tree_entry_compare(const void *a, const void *b)
{
	const struct tree_entry *left = a;
	const struct tree_entry *right = b;

	if (rendezvous_before(left->score, right->score))
		return -1;
	return rendezvous_before(right->score, left->score);
}

/*
 * Score all hosts; returns this node's position, or count if it is not listed.
 */
static size_t
score_hosts(
    const struct members *members, uint64_t version, struct tree_entry *entries)
{
	struct rendezvous_score own =
	    rendezvous_score(members->zone, version, members->host);
	size_t position = 0;

	for (size_t i = 0; i < members->host_count; i++) {
		const struct record *host = members->hosts[i];

		entries[i].host = host;
		entries[i].score =
		    rendezvous_score(members->zone, version, host->name);
		if (rendezvous_before(entries[i].score, own))
			position++;
	}
	return members->is_listed ? position : members->host_count;
}

/*
 * List the children of this node in the tree of a version. Position p sends to
 * the fanout positions from fanout * (p + 1); the first fanout positions are
 * the roots. out has room for SPREAD_TARGETS_MAX; the result is the number of
 * targets. Takes time proportional to the number of hosts in the zone, and
 * sorts only if there are targets.
 */
size_t
spread_tree_targets(const struct members *members, uint64_t version,
    size_t fanout, bool include_roots, const struct record **out)
{
	size_t count = members->host_count;
	struct tree_entry *entries = g_new(struct tree_entry, count);
	size_t position = score_hosts(members, version, entries);
	size_t found = 0;
	size_t first;

	fanout = CLAMP(fanout, 1, SPREAD_FANOUT_MAX);
	first = fanout * (position + 1);
	if (!include_roots && first >= count)
		goto out;
	qsort(entries, count, sizeof(*entries), tree_entry_compare);
	for (size_t i = 0; include_roots && i < fanout && i < count; i++)
		if (i != position)
			out[found++] = entries[i].host;
	for (size_t i = first; i < first + fanout && i < count; i++)
		out[found++] = entries[i].host;
out:
	g_free(entries);
	return found;
}
