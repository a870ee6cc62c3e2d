#ifndef TREFOILHILL_QUARANTINE_SUSPECT_H
#define TREFOILHILL_QUARANTINE_SUSPECT_H

#include <glib.h>
#include <stdint.h>

#include "quarantine/request_key.h"

enum {
	SUSPECT_CRASHES_MAX = 12, /* further ones add nothing */
};

/* A crash of an upstream. */
struct crash {
	uint64_t id;      /* the same on all nodes */
	uint32_t service; /* hash of the upstream's service */
	int64_t at_ms;
	/* It is known here what else was in progress at it. */
	bool whole;
	/* The request has run well since then: it wasn't the cause. */
	bool cleared;
};

/*
 * What is known of a request that was in progress when upstreams crashed. All
 * nodes' knowledge of one request is merged: crashes add up, and a run that
 * ended well cancels the crashes before it. Times are milliseconds of this
 * node's monotonic clock.
 */
struct suspect {
	struct request_key key;
	struct crash crashes[SUSPECT_CRASHES_MAX]; /* cleared ones, too */
	uint32_t crash_count;
	int64_t seen_ms; /* when it came last */
	/* Runs allowed in spite of the quarantine, and the last one's start. */
	uint32_t trials;
	int64_t trial_ms;
	bool has_run_well; /* shortly before a crash that it was in */
	bool quarantined;
	bool reported;      /* as the owner of the table was told last */
	int64_t changed_ms; /* when this node learned the last news */
};

/* Is it, or may it be, the cause of this crash? */
bool suspect_has_crash(const struct suspect *suspect, uint64_t id);
/* The number of crashes that it may be the cause of. */
uint32_t suspect_open_count(const struct suspect *suspect);
/* Returns false if as much was known. */
bool suspect_add_crash(struct suspect *suspect, struct crash crash);
/* A run has ended well. Returns false if there was nothing to clear. */
bool suspect_clear(struct suspect *suspect);
int64_t suspect_last_crash_ms(const struct suspect *suspect);
/* Add another node's knowledge; returns whether that knew of more. */
bool suspect_merge(struct suspect *suspect, const struct suspect *other);
/*
 * As one line of text for other nodes, with times as ages. Parsing returns
 * false if the text is malformed.
 */
void suspect_format(
    const struct suspect *suspect, int64_t now_ms, GString *out);
bool suspect_parse(struct str text, int64_t now_ms, struct suspect *suspect);

#endif
