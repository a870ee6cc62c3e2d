#ifndef TREFOILHILL_TESTS_CONFIG_ORACLE_H
#define TREFOILHILL_TESTS_CONFIG_ORACLE_H

#include "common/rng.h"
#include "config/snapshot.h"

/*
 * Reference model of the platform's records and of the accepted ones, which is
 * simple and slow. Tests compare it with the snapshots.
 */
struct oracle {
	GHashTable *platform; /* "kind/name" to struct oracle_record */
	GHashTable *accepted;
	uint64_t revision;
};

struct oracle *oracle_new(void);
void oracle_free(struct oracle *oracle);
/* Generate a random publication, sometimes an invalid one; freed by g_free. */
char *oracle_generate(struct oracle *oracle, struct rng *rng);
/* Apply a publication; returns whether nodes must accept it. */
bool oracle_publish(struct oracle *oracle, const char *json);
/* One publication that sets every accepted record; freed by free. */
char *oracle_full_publication(struct oracle *oracle);
/* A raw read of the given records, in random order. */
GArray *oracle_raw_records(GHashTable *records, struct rng *rng);
/* Number of records that a snapshot from a raw read must contain. */
size_t oracle_raw_record_count(struct oracle *oracle);

#endif
