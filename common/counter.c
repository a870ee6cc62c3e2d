#include <inttypes.h>
#include <string.h>

#include "common/counter.h"

/*
 * Initialize a set of counters to zero. descs must outlive the set and have at
 * most COUNTER_SET_MAX entries.
 */
void
counter_set_init(
    struct counter_set *set, const struct counter_desc *descs, size_t count)
{
	g_assert(count <= COUNTER_SET_MAX);
	set->descs = descs;
	set->count = count;
	for (size_t i = 0; i < COUNTER_SET_MAX; i++)
		atomic_init(&set->values[i], 0);
}

/*
 * Add amount to a counter. Thread-safe.
 */
void
counter_add(struct counter_set *set, size_t index, uint64_t amount)
{
	atomic_fetch_add_explicit(
	    &set->values[index], amount, memory_order_relaxed);
}

/*
 * Return the value of a counter. Thread-safe.
 */
uint64_t
counter_get(const struct counter_set *set, size_t index)
{
	return atomic_load_explicit(&set->values[index], memory_order_relaxed);
}

/*
 * Append the set in the Prometheus text format. Counters of a family
 * must be adjacent in the table, so that HELP and TYPE are written only once.
 */
void
counter_set_render(const struct counter_set *set, GString *out)
{
	size_t family_len = 0;
	const char *family = "";

	for (size_t i = 0; i < set->count; i++) {
		const struct counter_desc *desc = &set->descs[i];
		size_t len = strcspn(desc->name, "{");

		if (len != family_len ||
		    strncmp(desc->name, family, len) != 0) {
			family = desc->name;
			family_len = len;
			g_string_append_printf(out,
			    "# HELP %.*s %s\n# TYPE %.*s counter\n", (int)len,
			    family, desc->help, (int)len, family);
		}
		g_string_append_printf(
		    out, "%s %" PRIu64 "\n", desc->name, counter_get(set, i));
	}
}
