#include "fleet/zone_outages.h"

enum {
	/* Operators and upstreams write their state again within seconds. */
	HOLD_MS = 5000,
};

struct zone_state {
	bool out;
	int64_t held_until_ms; /* the opposite state is due then; 0: none */
};

struct zone_outages {
	GHashTable *zones; /* name to struct zone_state */
};

/*
 * Return a table in which all zones are in service.
 */
struct zone_outages *
zone_outages_new(void)
{
	struct zone_outages *outages = g_new0(struct zone_outages, 1);

	outages->zones =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return outages;
}

/*
 * Free a table. NULL is allowed.
 */
void
zone_outages_free(struct zone_outages *outages)
{
	if (outages == NULL)
		return;
	g_hash_table_destroy(outages->zones);
	g_free(outages);
}

static enum zone_change
state_change(struct zone_state *state)
{
	state->out = !state->out;
	state->held_until_ms = 0;
	return state->out ? ZONE_TAKEN_OUT : ZONE_TAKEN_IN;
}

/*
 * Apply the state of a zone as the store has it. A zone about which this
 * process knows nothing yet follows a backup at once.
 */
enum zone_change
zone_outages_set(struct zone_outages *outages, const char *zone, bool out,
    bool from_backup, int64_t now_ms)
{
	struct zone_state *state = g_hash_table_lookup(outages->zones, zone);
	bool is_new = state == NULL;

	if (is_new && !out)
		return ZONE_UNCHANGED;
	if (is_new) {
		state = g_new0(struct zone_state, 1);
		g_hash_table_insert(outages->zones, g_strdup(zone), state);
	}
	if (state->out == out) {
		state->held_until_ms = 0;
		return ZONE_UNCHANGED;
	}
	if (!from_backup || is_new)
		return state_change(state);
	state->held_until_ms = now_ms + HOLD_MS;
	return ZONE_HELD;
}

/*
 * Put one held change whose time is up in force.
 */
const char *
zone_outages_expire(struct zone_outages *outages, int64_t now_ms, bool *out)
{
	GHashTableIter iter;
	void *name, *value;

	g_hash_table_iter_init(&iter, outages->zones);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct zone_state *state = value;

		if (state->held_until_ms == 0 || state->held_until_ms > now_ms)
			continue;
		state_change(state);
		*out = state->out;
		return name;
	}
	return NULL;
}

/*
 * Tell whether a zone is out of service.
 */
bool
zone_outages_is_out(const struct zone_outages *outages, const char *zone)
{
	const struct zone_state *state =
	    g_hash_table_lookup(outages->zones, zone);

	return state != NULL && state->out;
}
