#ifndef TREFOILHILL_STANDIN_PLATFORM_FAULTS_H
#define TREFOILHILL_STANDIN_PLATFORM_FAULTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Injected faults of the platform; the caller locks. */
struct faults {
	bool down;
	uint64_t stale_at; /* serve this revision, 0 for the newest */
	uint32_t delay_ms;
	uint64_t log_limit;
	GHashTable *cut; /* names of nodes whose connections are closed */
};

void faults_init(struct faults *faults);
void faults_clear(struct faults *faults);
bool faults_update(struct faults *faults, json_t *change);
bool faults_is_unreachable(const struct faults *faults, const char *node);

#endif
