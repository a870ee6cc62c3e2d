#ifndef TREFOILHILL_STANDIN_PLATFORM_FAULTS_H
#define TREFOILHILL_STANDIN_PLATFORM_FAULTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* How the platform misbehaves; the caller locks. */
struct faults {
	bool down;
	uint64_t stale_at; /* answer as of this revision, 0 for the newest */
	uint32_t delay_ms;
	uint64_t log_limit;
	GHashTable *cut; /* names of nodes that get no answer */
};

void faults_init(struct faults *faults);
void faults_clear(struct faults *faults);
bool faults_update(struct faults *faults, json_t *change);
bool faults_refuse(const struct faults *faults, const char *node);

#endif
