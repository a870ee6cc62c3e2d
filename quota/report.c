#include <math.h>

#include "quota/report.h"

/*
 * Encoding, integers in network order: sender (4), flags (1); groups of a
 * workspace (4), number of reports (1) and the reports; each of node (4), taken
 * (2), offered (2), rate (1), age (1). A group of the sender's own report has
 * no number but GROUP_OWN, and leaves out node and age. A list without sender
 * has no bytes.
 */
enum {
	HEAD_BYTES = 5,
	GROUP_BYTES = 5,
	FIGURES_BYTES = 5,
	REPORT_BYTES = 10,
	GROUP_OWN = 0x80,
	FLAG_SAMPLE = 1,
	FLAG_EARLY = 2,
	AGE_UNIT_MS = 20,
	/* Rates are encoded by their logarithm, to within 5%. */
	RATE_STEPS = 8,  /* for each doubling */
	RATE_UNITS = 16, /* in one request a second */
	RATE_CODE_MAX = 255,
};

static void
append_number(GByteArray *out, uint32_t number, size_t bytes)
{
	for (size_t i = bytes; i > 0; i--) {
		guint8 byte = (guint8)(number >> (8 * (i - 1)));

		g_byte_array_append(out, &byte, 1);
	}
}

static uint32_t
read_number(const guint8 *at, size_t bytes)
{
	uint32_t number = 0;

	for (size_t i = 0; i < bytes; i++)
		number = number << 8 | at[i];
	return number;
}

static uint32_t
rate_encode(double rate)
{
	double units = rate * RATE_UNITS;

	if (!(units >= 1))
		return 0;
	return (uint32_t)MIN(
	    lround(log2(units) * RATE_STEPS) + 1, RATE_CODE_MAX);
}

static double
rate_decode(uint32_t code)
{
	if (code == 0)
		return 0;
	return exp2((double)(code - 1) / RATE_STEPS) / RATE_UNITS;
}

static void
append_figures(GByteArray *out, const struct quota_report *report)
{
	append_number(out, report->taken, 2);
	append_number(out, report->offered, 2);
	append_number(out, rate_encode(report->rate), 1);
}

static void
append_report(GByteArray *out, const struct quota_report *report)
{
	int64_t age_ms = CLAMP(report->age_ms, 0, QUOTA_REPORT_AGE_MAX_MS);

	append_number(out, report->node, 4);
	append_figures(out, report);
	append_number(out, (uint32_t)(age_ms / AGE_UNIT_MS), 1);
}

/* Append the group that begins with a report; returns where the next begins. */
static size_t
append_group(
    GByteArray *out, const struct quota_report_list *list, size_t begin)
{
	const struct quota_report *first = &list->items[begin];
	size_t end = begin + 1;

	append_number(out, first->workspace, 4);
	if (first->node == list->sender) {
		append_number(out, GROUP_OWN, 1);
		append_figures(out, first);
		return end;
	}
	while (end < list->count &&
	    list->items[end].workspace == first->workspace &&
	    list->items[end].node != list->sender)
		end++;
	append_number(out, (uint32_t)(end - begin), 1);
	for (size_t i = begin; i < end; i++)
		append_report(out, &list->items[i]);
	return end;
}

/*
 * Return the encoded list. Reports of one workspace that follow each other
 * share its hash.
 */
GBytes *
quota_report_list_encode(const struct quota_report_list *list)
{
	GByteArray *out = g_byte_array_new();

	if (list->sender != 0) {
		append_number(out, list->sender, 4);
		append_number(out,
		    (list->is_sample ? FLAG_SAMPLE : 0) |
			(list->is_early ? FLAG_EARLY : 0),
		    1);
		for (size_t i = 0; i < list->count;)
			i = append_group(out, list, i);
	}
	return g_byte_array_free_to_bytes(out);
}

static struct quota_report
read_figures(const guint8 *at, uint32_t workspace)
{
	return (struct quota_report){
		.workspace = workspace,
		.taken = (uint16_t)read_number(at, 2),
		.offered = (uint16_t)read_number(at + 2, 2),
		.rate = rate_decode(at[4]),
	};
}

/* Read one group of reports; returns its length, or 0 if it is malformed. */
static size_t
read_group(struct str bytes, struct quota_report_list *list)
{
	const guint8 *at = (const guint8 *)bytes.ptr;
	size_t count, len;
	uint32_t workspace;
	bool own;

	if (bytes.len < GROUP_BYTES)
		return 0;
	workspace = read_number(at, 4);
	own = at[4] == GROUP_OWN;
	count = own ? 1 : at[4];
	len = GROUP_BYTES + (own ? FIGURES_BYTES : count * REPORT_BYTES);
	if (count == 0 || count > QUOTA_REPORTS_MAX - list->count ||
	    bytes.len < len)
		return 0;
	at += GROUP_BYTES;
	for (size_t i = 0; i < count; i++, at += REPORT_BYTES) {
		struct quota_report *report = &list->items[list->count++];

		*report = read_figures(own ? at : at + 4, workspace);
		report->node = own ? list->sender : read_number(at, 4);
		report->age_ms =
		    own ? 0 : (int64_t)at[REPORT_BYTES - 1] * AGE_UNIT_MS;
	}
	return len;
}

/*
 * Decode a list. Returns false, and an empty list, if the bytes are malformed.
 */
bool
quota_report_list_decode(struct str bytes, struct quota_report_list *list)
{
	size_t at = HEAD_BYTES;

	*list = (struct quota_report_list){ 0 };
	if (bytes.len == 0)
		return true;
	if (bytes.len < HEAD_BYTES)
		return false;
	list->sender = read_number((const guint8 *)bytes.ptr, 4);
	list->is_sample = (bytes.ptr[HEAD_BYTES - 1] & FLAG_SAMPLE) != 0;
	list->is_early = (bytes.ptr[HEAD_BYTES - 1] & FLAG_EARLY) != 0;
	while (at < bytes.len) {
		size_t len =
		    read_group(str_make(bytes.ptr + at, bytes.len - at), list);

		if (len == 0) {
			*list = (struct quota_report_list){ 0 };
			return false;
		}
		at += len;
	}
	return true;
}
