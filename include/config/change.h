#ifndef TREFOILHILL_CONFIG_CHANGE_H
#define TREFOILHILL_CONFIG_CHANGE_H

#include "config/publication.h"
#include "config/record.h"
#include "config/refusal.h"

enum {
	PUBLICATION_BYTES_MAX = 1024 * 1024,
};

/* The changes of one publication, validated without regard to any state. */
struct change {
	GPtrArray *sets[RECORD_KIND_COUNT];    /* struct record * */
	GPtrArray *removes[RECORD_KIND_COUNT]; /* char *, record names */
};

void change_init(struct change *change);
void change_clear(struct change *change);
void change_read(struct change *change, const struct publication *publication,
    GPtrArray *refusals);

#endif
