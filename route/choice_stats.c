#include "route/choice_stats.h"

#define PICKED(zone, class)                                                          \
	{                                                                            \
		"trefoilhill_choice_picked_total{zone=\"" zone                       \
		"\",load=\"" class "\"}",                                            \
		    "Upstreams picked, by zone and by what was known of their load." \
	}
#define REFUSED(reason)                                                    \
	{                                                                  \
		"trefoilhill_choice_refused_total{reason=\"" reason "\"}", \
		    "Requests for which no upstream was picked."           \
	}

static const struct counter_desc descs[CHOICE_COUNTER_COUNT] = {
	[CHOICE_PICKED_LOCAL + LOAD_FREE] = PICKED("own", "free"),
	[CHOICE_PICKED_LOCAL + LOAD_UNKNOWN] = PICKED("own", "unknown"),
	[CHOICE_PICKED_LOCAL + LOAD_BUSY] = PICKED("own", "busy"),
	[CHOICE_PICKED_REMOTE + LOAD_FREE] = PICKED("other", "free"),
	[CHOICE_PICKED_REMOTE + LOAD_UNKNOWN] = PICKED("other", "unknown"),
	[CHOICE_PICKED_REMOTE + LOAD_BUSY] = PICKED("other", "busy"),
	[CHOICE_REFUSED_NO_SERVICE] = REFUSED("no_service"),
	[CHOICE_REFUSED_NONE_IN_SERVICE] = REFUSED("none_in_service"),
	[CHOICE_REFUSED_NO_ROOM] = REFUSED("no_room"),
	[CHOICE_HINT_ACCEPTED] = { "trefoilhill_choice_hints_total",
	    "Hints of guards taken in." },
	[CHOICE_HINT_OUTDATED] = { "trefoilhill_choice_hints_old_total",
	    "Hints passed over, as a later one had come before them." },
	[CHOICE_UPSTREAM_LOST] = { "trefoilhill_choice_lost_total",
	    "Times that an upstream's node gave no answer." },
	[CHOICE_UPSTREAM_PRUNED] = { "trefoilhill_choice_pruned_total",
	    "Upstreams forgotten that the configuration no longer has." },
};

/*
 * Initialize the counters of a chooser to zero.
 */
void
choice_stats_init(struct counter_set *set)
{
	counter_set_init(set, descs, CHOICE_COUNTER_COUNT);
}
