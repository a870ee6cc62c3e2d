#ifndef TREFOILHILL_QUOTA_REPORT_H
#define TREFOILHILL_QUOTA_REPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/*
 * Reports of nodes on the usage of workspaces, as they travel in heartbeats.
 */

enum {
	QUOTA_REPORTS_MAX = 44, /* in a list */
	QUOTA_REPORT_AGE_MAX_MS = 5100,
};

/* What a node has said of one workspace. */
struct quota_report {
	uint32_t workspace; /* hash of its name */
	uint32_t node;      /* drawn by the node at its start */
	/* Requests since then, modulo 65536. */
	uint16_t taken;   /* admitted */
	uint16_t offered; /* admitted or not */
	double rate;      /* offered a second, lately */
	int64_t age_ms;   /* since the node said so */
};

struct quota_report_list {
	uint32_t sender; /* 0: none, from a node without quotas */
	/* The sender was met at random, not because it has requests. */
	bool is_sample;
	bool is_early; /* the sender has just started */
	size_t count;
	struct quota_report items[QUOTA_REPORTS_MAX];
};

/* Returns the encoded list, to be released with g_bytes_unref. */
GBytes *quota_report_list_encode(const struct quota_report_list *list);
/* Returns false, and an empty list, if the bytes are malformed. */
bool quota_report_list_decode(struct str bytes, struct quota_report_list *list);

#endif
