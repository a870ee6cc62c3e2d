#ifndef TREFOILHILL_COMMON_COUNTER_H
#define TREFOILHILL_COMMON_COUNTER_H

#include <glib.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

enum {
	COUNTER_SET_MAX = 64,
};

struct counter_desc {
	/* Prometheus name, may have labels: name{reason="queue_full"}. */
	const char *name;
	const char *help;
};

/* The counters of one object, indexed by an enum of that object. */
struct counter_set {
	const struct counter_desc *descs;
	size_t count;
	atomic_uint_fast64_t values[COUNTER_SET_MAX];
};

void counter_set_init(
    struct counter_set *set, const struct counter_desc *descs, size_t count);
void counter_add(struct counter_set *set, size_t index, uint64_t amount);
uint64_t counter_get(const struct counter_set *set, size_t index);
void counter_set_render(const struct counter_set *set, GString *out);

#endif
