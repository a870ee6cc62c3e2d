#ifndef TREFOILHILL_STANDIN_PLATFORM_CHANGE_LOG_H
#define TREFOILHILL_STANDIN_PLATFORM_CHANGE_LOG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CHANGES_BYTES_MAX = 4 * 1024 * 1024,
};

/* The retained publications, and by key each record's versions. */
struct change_log {
	uint64_t head;
	uint64_t oldest;     /* revision of the oldest retained publication */
	uint64_t limit;      /* publications to retain, 0 for all */
	GQueue publications; /* GString, oldest first */
	GTree *records;      /* "kind/name" -> GArray of record_version */
};

struct change_log *change_log_new(void);
void change_log_free(struct change_log *log);
uint64_t change_log_append(struct change_log *log, json_t *set, json_t *remove);
void change_log_set_limit(struct change_log *log, uint64_t limit);
char *change_log_changes(const struct change_log *log, uint64_t after,
    uint64_t visible, size_t *len);
json_t *change_log_records(
    const struct change_log *log, const char *after, size_t limit, uint64_t at);

#endif
