#ifndef TREFOILHILL_TESTS_CONFIG_ORACLE_H
#define TREFOILHILL_TESTS_CONFIG_ORACLE_H

#include "common/rng.h"
#include "config/snapshot.h"

/*
 * The platform's records and the accepted ones, kept the slow and plain way,
 * for comparison with the snapshots.
 */
struct oracle {
	GHashTable *platform; /* "kind/name" to struct oracle_record */
	GHashTable *accepted;
	uint64_t revision;
};

struct oracle *oracle_new(void);
void oracle_free(struct oracle *oracle);
/* Invent the next publication; at times it is a bad one. */
char *oracle_invent(struct oracle *oracle, struct rng *rng);
/* Publish it, and tell whether nodes should accept it. */
bool oracle_publish(struct oracle *oracle, const char *json);
/* One publication that sets every accepted record. */
char *oracle_dump(struct oracle *oracle);
/* The raw read of the platform, or of the accepted records, in any order. */
GArray *oracle_raw(GHashTable *records, struct rng *rng);
/* Number of records that a raw read should give. */
size_t oracle_raw_expected(struct oracle *oracle);

#endif
