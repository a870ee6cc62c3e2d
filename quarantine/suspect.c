#include <stdio.h>
#include <string.h>

#include "quarantine/suspect.h"

enum {
	TEXT_MAX = 1024,
	/* Older knowledge is not passed on; larger ages are malformed. */
	AGE_MAX_MS = 24 * 3600 * 1000,
};

/*
 * Tell whether a crash is one that the request may be the cause of.
 */
bool
suspect_has_crash(const struct suspect *suspect, uint64_t id)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].id == id)
			return !suspect->crashes[i].cleared;
	}
	return false;
}

/*
 * Return the number of crashes that the request may be the cause of.
 */
uint32_t
suspect_open_count(const struct suspect *suspect)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++)
		count += !suspect->crashes[i].cleared;
	return count;
}

/* Note what more is known of a crash; returns whether it is more. */
static bool
update_crash(struct crash *known, const struct crash *crash)
{
	bool news = crash->whole && !known->whole && !known->cleared;

	known->cleared |= crash->cleared;
	known->whole |= crash->whole;
	return news;
}

/* Make room for another crash if one is cleared. */
static void
drop_cleared(struct suspect *suspect)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (!suspect->crashes[i].cleared)
			continue;
		memmove(&suspect->crashes[i], &suspect->crashes[i + 1],
		    (suspect->crash_count - i - 1) * sizeof(struct crash));
		suspect->crash_count--;
		return;
	}
}

/*
 * Add a crash, or what more is known of it. Crashes are told by their ids, as
 * their times shift a little from node to node.
 */
bool
suspect_add_crash(struct suspect *suspect, struct crash crash)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].id == crash.id)
			return update_crash(&suspect->crashes[i], &crash);
	}
	if (suspect->crash_count == SUSPECT_CRASHES_MAX)
		drop_cleared(suspect);
	if (suspect->crash_count == SUSPECT_CRASHES_MAX)
		return false;
	suspect->crashes[suspect->crash_count++] = crash;
	suspect->seen_ms = MAX(suspect->seen_ms, crash.at_ms);
	return !crash.cleared;
}

/*
 * Record that a run has ended well: the crashes until then had another cause.
 */
bool
suspect_clear(struct suspect *suspect)
{
	bool cleared = suspect_open_count(suspect) > 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++)
		suspect->crashes[i].cleared = true;
	suspect->trials = 0;
	suspect->has_run_well = false;
	return cleared;
}

/*
 * Return the time of the last crash that it may be the cause of; 0 without any.
 */
int64_t
suspect_last_crash_ms(const struct suspect *suspect)
{
	int64_t last_ms = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (!suspect->crashes[i].cleared)
			last_ms = MAX(last_ms, suspect->crashes[i].at_ms);
	}
	return last_ms;
}

/*
 * Merge another node's knowledge into this node's.
 */
bool
suspect_merge(struct suspect *suspect, const struct suspect *other)
{
	bool news = false;

	for (uint32_t i = 0; i < other->crash_count; i++)
		news = suspect_add_crash(suspect, other->crashes[i]) || news;
	suspect->seen_ms = MAX(suspect->seen_ms, other->seen_ms);
	if (suspect_open_count(suspect) == 0)
		return news;
	suspect->has_run_well |= other->has_run_well;
	if (other->trials > suspect->trials) {
		suspect->trials = other->trials;
		suspect->trial_ms = MAX(suspect->trial_ms, other->trial_ms);
		news = true;
	}
	return news;
}

static void
append_age(GString *out, int64_t now_ms, int64_t at_ms)
{
	g_string_append_printf(out, " %" G_GINT64_FORMAT,
	    (gint64)(at_ms == 0 ? -1 : MAX(now_ms - at_ms, 0)));
}

/*
 * Append the text form: the key; the ages of when it came last and of the last
 * trial, -1 for none; the number of trials; whether it had run well and whether
 * it is in quarantine; the id, service, age of each crash and whether it is
 * cleared.
 */
void
suspect_format(const struct suspect *suspect, int64_t now_ms, GString *out)
{
	char key[REQUEST_KEY_TEXT_MAX];

	request_key_format(suspect->key, key);
	g_string_append(out, key);
	append_age(out, now_ms, suspect->seen_ms);
	append_age(out, now_ms, suspect->trial_ms);
	g_string_append_printf(out, " %u %d %d", suspect->trials,
	    suspect->has_run_well ? 1 : 0, suspect->quarantined ? 1 : 0);
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		g_string_append_printf(out, " %" G_GINT64_MODIFIER "x %x",
		    (guint64)suspect->crashes[i].id,
		    suspect->crashes[i].service);
		append_age(out, now_ms, suspect->crashes[i].at_ms);
		g_string_append(out, suspect->crashes[i].cleared ? " 1" : " 0");
	}
}

/* The time of an age; 0 for none. Returns false if it is out of range. */
static bool
read_age(gint64 age_ms, int64_t now_ms, int64_t *at_ms)
{
	if (age_ms < -1 || age_ms > AGE_MAX_MS)
		return false;
	*at_ms = age_ms < 0 ? 0 : now_ms - age_ms;
	/* 0 stands for none. */
	if (age_ms >= 0 && *at_ms == 0)
		*at_ms = -1;
	return true;
}

static bool
parse_crashes(const char *text, int64_t now_ms, struct suspect *suspect)
{
	guint64 id;
	unsigned service;
	gint64 age_ms;
	int used, cleared;

	while (sscanf(text,
		   " %" G_GINT64_MODIFIER "x %x %" G_GINT64_FORMAT " %d%n", &id,
		   &service, &age_ms, &cleared, &used) == 4) {
		struct crash crash = {
			.id = id,
			.service = service,
			.cleared = cleared != 0,
		};

		if (suspect->crash_count == SUSPECT_CRASHES_MAX || age_ms < 0 ||
		    !read_age(age_ms, now_ms, &crash.at_ms))
			return false;
		suspect->crashes[suspect->crash_count++] = crash;
		text += used;
	}
	return *text == '\0';
}

/*
 * Parse the text form.
 */
bool
suspect_parse(struct str text, int64_t now_ms, struct suspect *suspect)
{
	char copy[TEXT_MAX];
	guint64 high, low;
	gint64 seen_ms, trial_ms;
	int used = 0, has_run_well, quarantined;

	*suspect = (struct suspect){ 0 };
	if (text.len == 0 || text.len >= sizeof(copy) ||
	    memchr(text.ptr, '\0', text.len) != NULL)
		return false;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	if (sscanf(copy,
		"%16" G_GINT64_MODIFIER "x%16" G_GINT64_MODIFIER
		"x %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %u %d %d%n",
		&high, &low, &seen_ms, &trial_ms, &suspect->trials,
		&has_run_well, &quarantined, &used) < 7 ||
	    used == 0)
		return false;
	suspect->key = (struct request_key){ .high = high, .low = low };
	suspect->has_run_well = has_run_well != 0;
	suspect->quarantined = quarantined != 0;
	return read_age(seen_ms, now_ms, &suspect->seen_ms) &&
	    read_age(trial_ms, now_ms, &suspect->trial_ms) &&
	    parse_crashes(copy + used, now_ms, suspect);
}
