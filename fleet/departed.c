#include "fleet/departed.h"

enum {
	DEPARTED_MAX = 4096,
};

struct departure {
	char *id;
	uint64_t started_ms;
	uint64_t replaced_start_ms; /* see struct upstream */
	uint64_t sequence;
	struct upstream_notice notice; /* last known of that start */
	uint32_t rate_limit_per_ks;    /* in the last load report */
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

/*
 * Return what is remembered of a start of an upstream, after noting a
 * registration of it. What is remembered of another start is dropped.
 */
static struct departure *
departure_note(struct departed *departed, const char *id, uint64_t started_ms,
    uint64_t sequence)
{
	struct departure *departure = g_hash_table_lookup(departed->by_id, id);

	if (departure == NULL) {
		departure = g_new0(struct departure, 1);
		departure->id = g_strdup(id);
		g_hash_table_insert(departed->by_id, departure->id, departure);
		g_queue_push_tail(&departed->order, departure);
	}
	if (started_ms != departure->started_ms) {
		departure->started_ms = started_ms;
		departure->replaced_start_ms = 0;
		departure->sequence = 0;
		departure->notice = (struct upstream_notice){ 0 };
		departure->rate_limit_per_ks = 0;
	}
	departure->sequence = MAX(departure->sequence, sequence);
	return departure;
}

static void
remove_oldest(struct departed *departed)
{
	struct departure *departure;

	if (g_queue_get_length(&departed->order) <= DEPARTED_MAX)
		return;
	departure = g_queue_pop_head(&departed->order);
	g_hash_table_remove(departed->by_id, departure->id);
	departure_free(departure);
}

/*
 * Remember an upstream with its last registration. A start of 0 can't be told
 * from a later one, and isn't remembered.
 */
void
departed_add(struct departed *departed, const struct upstream *upstream)
{
	const struct upstream_entry *entry = &upstream->entry;
	struct departure *departure;

	if (entry->started_ms == 0)
		return;
	departure = departure_note(departed, entry->id, entry->started_ms,
	    upstream->notice.leaving ? UINT64_MAX : entry->sequence);
	departure->replaced_start_ms = upstream->replaced_start_ms;
	departure->notice = upstream->notice;
	departure->rate_limit_per_ks = upstream->load.rate_limit_per_ks;
	remove_oldest(departed);
}

/*
 * Remember an upstream whose further registrations say nothing, up to its next
 * start. The announcement of an earlier start than the known one is late.
 */
void
departed_add_leaving(
    struct departed *departed, const char *id, uint64_t started_ms)
{
	const struct departure *known =
	    g_hash_table_lookup(departed->by_id, id);

	if (started_ms == 0 ||
	    (known != NULL && started_ms < known->started_ms))
		return;
	departure_note(departed, id, started_ms, UINT64_MAX);
	remove_oldest(departed);
}

/*
 * Restore what was known of an upstream that is back without a new start.
 */
void
departed_restore(const struct departed *departed, struct upstream *upstream)
{
	const struct departure *departure =
	    g_hash_table_lookup(departed->by_id, upstream->entry.id);

	if (departure == NULL ||
	    departure->started_ms != upstream->entry.started_ms)
		return;
	upstream->notice = departure->notice;
	upstream->load.rate_limit_per_ks = departure->rate_limit_per_ks;
}

/*
 * Tell whether a registration is no newer than the last one of an upstream that
 * has left.
 */
bool
departed_covers(const struct departed *departed,
    const struct upstream_entry *entry, bool from_backup)
{
	const struct departure *departure =
	    g_hash_table_lookup(departed->by_id, entry->id);

	if (departure == NULL)
		return false;
	if (entry->started_ms == departure->started_ms)
		return entry->sequence <= departure->sequence;
	/* The host's clock may have been set back before a later start. */
	return entry->started_ms < departure->started_ms &&
	    (from_backup || entry->started_ms == departure->replaced_start_ms);
}
