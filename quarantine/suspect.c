#include <stdio.h>
#include <string.h>

#include "quarantine/suspect.h"

enum {
	TEXT_MAX = 512,
	/* Older knowledge is not passed on; larger ages are malformed. */
	AGE_MAX_MS = 24 * 3600 * 1000,
};

/*
 * Tell whether a crash is one of those that the request was in.
 */
bool
suspect_has_crash(const struct suspect *suspect, uint64_t id)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		if (suspect->crashes[i].id == id)
			return true;
	}
	return false;
}

/* Note that more is known of a crash; returns whether that is so. */
static bool
complete_crash(struct suspect *suspect, struct crash crash)
{
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		struct crash *known = &suspect->crashes[i];

		if (known->id != crash.id)
			continue;
		if (known->whole || !crash.whole)
			return false;
		known->whole = true;
		return true;
	}
	return false;
}

/*
 * Add a crash.
 */
bool
suspect_add_crash(struct suspect *suspect, struct crash crash)
{
	if (suspect_has_crash(suspect, crash.id))
		return complete_crash(suspect, crash);
	if (suspect->crash_count == SUSPECT_CRASHES_MAX ||
	    (suspect->cleared_ms != 0 && crash.at_ms <= suspect->cleared_ms))
		return false;
	suspect->crashes[suspect->crash_count++] = crash;
	suspect->seen_ms = MAX(suspect->seen_ms, crash.at_ms);
	return true;
}

/*
 * Record that a run has ended well: the crashes until then had another cause.
 */
bool
suspect_clear(struct suspect *suspect, int64_t at_ms)
{
	uint32_t kept = 0, count = suspect->crash_count;

	suspect->cleared_ms = MAX(suspect->cleared_ms, at_ms);
	for (uint32_t i = 0; i < count; i++) {
		if (suspect->crashes[i].at_ms > suspect->cleared_ms)
			suspect->crashes[kept++] = suspect->crashes[i];
	}
	suspect->crash_count = kept;
	if (kept == 0) {
		suspect->trials = 0;
		suspect->has_run_well = false;
	}
	return kept < count;
}

/*
 * Return the time of the last crash; 0 without any.
 */
int64_t
suspect_last_crash_ms(const struct suspect *suspect)
{
	int64_t last_ms = 0;

	for (uint32_t i = 0; i < suspect->crash_count; i++)
		last_ms = MAX(last_ms, suspect->crashes[i].at_ms);
	return last_ms;
}

/*
 * Merge another node's knowledge into this node's.
 */
bool
suspect_merge(struct suspect *suspect, const struct suspect *other)
{
	bool news = false;

	if (other->cleared_ms != 0)
		suspect_clear(suspect, other->cleared_ms);
	for (uint32_t i = 0; i < other->crash_count; i++)
		news = suspect_add_crash(suspect, other->crashes[i]) || news;
	suspect->seen_ms = MAX(suspect->seen_ms, other->seen_ms);
	if (suspect->crash_count > 0)
		suspect->has_run_well |= other->has_run_well;
	if (suspect->crash_count > 0 && other->trials > suspect->trials) {
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
 * Append the text form: the key; the ages of when it came last, of the last run
 * that ended well and of the last trial, -1 for none; the number of trials;
 * whether it had run well and whether it is in quarantine; the id,
 * service and age of each crash.
 */
void
suspect_format(const struct suspect *suspect, int64_t now_ms, GString *out)
{
	char key[REQUEST_KEY_TEXT_MAX];

	request_key_format(suspect->key, key);
	g_string_append(out, key);
	append_age(out, now_ms, suspect->seen_ms);
	append_age(out, now_ms, suspect->cleared_ms);
	append_age(out, now_ms, suspect->trial_ms);
	g_string_append_printf(out, " %u %d %d", suspect->trials,
	    suspect->has_run_well ? 1 : 0, suspect->quarantined ? 1 : 0);
	for (uint32_t i = 0; i < suspect->crash_count; i++) {
		g_string_append_printf(out, " %" G_GINT64_MODIFIER "x %x",
		    (guint64)suspect->crashes[i].id,
		    suspect->crashes[i].service);
		append_age(out, now_ms, suspect->crashes[i].at_ms);
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
	int used;

	while (
	    sscanf(text, " %" G_GINT64_MODIFIER "x %x %" G_GINT64_FORMAT "%n",
		&id, &service, &age_ms, &used) == 3) {
		struct crash crash = { .id = id, .service = service };

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
	gint64 seen_ms, cleared_ms, trial_ms;
	int used = 0, has_run_well, quarantined;

	*suspect = (struct suspect){ 0 };
	if (text.len == 0 || text.len >= sizeof(copy) ||
	    memchr(text.ptr, '\0', text.len) != NULL)
		return false;
	memcpy(copy, text.ptr, text.len);
	copy[text.len] = '\0';
	if (sscanf(copy,
		"%16" G_GINT64_MODIFIER "x%16" G_GINT64_MODIFIER
		"x %" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
		" %u %d %d%n",
		&high, &low, &seen_ms, &cleared_ms, &trial_ms, &suspect->trials,
		&has_run_well, &quarantined, &used) < 8 ||
	    used == 0)
		return false;
	suspect->key = (struct request_key){ .high = high, .low = low };
	suspect->has_run_well = has_run_well != 0;
	suspect->quarantined = quarantined != 0;
	return read_age(seen_ms, now_ms, &suspect->seen_ms) &&
	    read_age(cleared_ms, now_ms, &suspect->cleared_ms) &&
	    read_age(trial_ms, now_ms, &suspect->trial_ms) &&
	    parse_crashes(copy + used, now_ms, suspect);
}
