#ifndef TREFOILHILL_STANDIN_PLATFORM_READ_COUNTS_H
#define TREFOILHILL_STANDIN_PLATFORM_READ_COUNTS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum {
	READ_SECONDS_MAX = 3600,
	READ_NODES_MAX = 100000,
};

/* Counts of reads from the platform; the caller locks. */
struct read_counts {
	uint64_t reads;
	uint64_t watches;
	uint64_t waiting;
	GHashTable *by_node; /* name -> count */
	struct {
		int64_t second; /* wall clock */
		uint64_t reads;
	} seconds[READ_SECONDS_MAX];
};

void read_counts_init(struct read_counts *counts);
void read_counts_clear(struct read_counts *counts);
void read_counts_add(
    struct read_counts *counts, const char *node, int64_t second);
json_t *read_counts_to_json(const struct read_counts *counts, int64_t now);

#endif
