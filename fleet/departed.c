#include "fleet/departed.h"

enum {
	DEPARTED_MAX = 4096,
};

struct departure {
	char *id;
	uint64_t started_ms;
	uint64_t sequence;
};

struct departed {
	GHashTable *by_id; /* id to struct departure, owned by order */
	GQueue order;      /* struct departure, oldest first */
};

static void
departure_free(void *data)
{
	struct departure *departure = data;

	g_free(departure->id);
	g_free(departure);
}

/*
 * Return an empty table.
 */
struct departed *
departed_new(void)
{
	struct departed *departed = g_new0(struct departed, 1);

	departed->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	g_queue_init(&departed->order);
	return departed;
}

/*
 * Free a table. NULL is allowed.
 */
void
departed_free(struct departed *departed)
{
	if (departed == NULL)
		return;
	g_hash_table_destroy(departed->by_id);
	g_queue_clear_full(&departed->order, departure_free);
	g_free(departed);
}

/* Is the first report no newer than the second, of the same upstream? */
static bool
is_no_newer(
    uint64_t started_ms, uint64_t sequence, const struct departure *departure)
{
	if (started_ms != departure->started_ms)
		return started_ms < departure->started_ms;
	return sequence <= departure->sequence;
}

/* A start of 0 can't be told from a later one, and is not remembered. */
static void
departure_put(struct departed *departed, const char *id, uint64_t started_ms,
    uint64_t sequence)
{
	struct departure *departure = g_hash_table_lookup(departed->by_id, id);

	if (started_ms == 0)
		return;
	if (departure == NULL) {
		departure = g_new0(struct departure, 1);
		departure->id = g_strdup(id);
		g_hash_table_insert(departed->by_id, departure->id, departure);
		g_queue_push_tail(&departed->order, departure);
	} else if (is_no_newer(started_ms, sequence, departure)) {
		return;
	}
	departure->started_ms = started_ms;
	departure->sequence = sequence;
	if (g_queue_get_length(&departed->order) <= DEPARTED_MAX)
		return;
	departure = g_queue_pop_head(&departed->order);
	g_hash_table_remove(departed->by_id, departure->id);
	departure_free(departure);
}

/*
 * Remember the last registration of an upstream.
 */
void
departed_add(struct departed *departed, const struct upstream_entry *entry)
{
	departure_put(departed, entry->id, entry->started_ms, entry->sequence);
}

/*
 * Remember an upstream whose further registrations say nothing, up to its next
 * start.
 */
void
departed_add_leaving(
    struct departed *departed, const char *id, uint64_t started_ms)
{
	departure_put(departed, id, started_ms, UINT64_MAX);
}

/*
 * Tell whether a registration is no newer than the last one of an upstream that
 * has left.
 */
bool
departed_covers(
    const struct departed *departed, const struct upstream_entry *entry)
{
	const struct departure *departure =
	    g_hash_table_lookup(departed->by_id, entry->id);

	return departure != NULL &&
	    is_no_newer(entry->started_ms, entry->sequence, departure);
}
