#ifndef TREFOILHILL_QUOTA_USAGE_H
#define TREFOILHILL_QUOTA_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "quota/report.h"

/* Private to quota/: what a node knows of the usage of one workspace. */

enum {
	USAGE_SLOTS = 40, /* in a window */
	USAGE_SAMPLES = 16,
};

/* A node's last report. */
struct peer_usage {
	uint32_t node;
	uint16_t taken;
	uint16_t offered;
	double rate;
	int64_t said_ms; /* when the node said so, by this node's clock */
	int64_t news_ms; /* when this node last heard of more requests */
};

/* Offered rate of a peer, by its own message. */
struct usage_sample {
	double rate;
	int64_t at_ms;
};

struct usage {
	char *name;
	uint32_t id;
	double rate_per_s;
	double burst;
	/* Admitted by all nodes, in slots of the window. */
	int64_t slot; /* number of the newest one */
	double slots[USAGE_SLOTS + 1];
	double admitted; /* sum of the slots */
	/*
	 * The same as it follows from the offered rates: less exact, but known
	 * before the reports of what was admitted.
	 */
	double expected_slots[USAGE_SLOTS + 1];
	double expected;
	double share; /* of the offered requests, admitted at present */
	int64_t expected_ms;
	/* Offered to the peers a second at that time, above what is normal. */
	double expected_excess;
	/* Own requests. */
	uint16_t taken;
	uint16_t offered;
	double draw;        /* 0 to 1, at random */
	double taken_early; /* before enough peers were heard */
	uint32_t returned;  /* to be taken again without being counted */
	double own_rate;    /* offered a second, decaying */
	int64_t own_rate_ms;
	double credit;       /* fraction of the next request that is due */
	int64_t promised_ms; /* when the last refused caller may return */
	/* Reports. */
	GHashTable *peers;    /* node to struct peer_usage */
	GPtrArray *peer_list; /* the same ones */
	guint relay_cursor;   /* into peer_list */
	double reported_rate; /* offered to all peers a second, decaying */
	int64_t reported_rate_ms;
	struct usage_sample samples[USAGE_SAMPLES];
	size_t sample_next;
	double sampled_rate; /* of all peers, by the samples */
	int64_t sampled_ms;
	double usual_rate; /* the same over a longer time */
	bool hot;          /* offered more than its limit */
	bool rises;        /* so that peers are to be told */
	int64_t rises_ms;
};

struct usage *usage_new(const char *name, uint32_t id);
void usage_free(struct usage *usage);
/* Clear the slots that have left the window. */
void usage_advance(struct usage *usage, uint32_t window_ms, int64_t now_ms);
/* Count requests that peers have admitted at a time. */
void usage_add(
    struct usage *usage, double count, uint32_t window_ms, int64_t at_ms);
/* Count requests that this node has admitted now. */
void usage_add_own(struct usage *usage, double count);
/*
 * Count what the peers have probably admitted since the last time. normal_rate:
 * of requests a second that they are offered when nothing is hot, at most.
 */
void usage_expect(struct usage *usage, uint32_t nodes, double normal_rate,
    uint32_t window_ms, int64_t now_ms);
/* Requests admitted in the last window, as far as known. */
double usage_admitted(const struct usage *usage);
/* Requests offered to this node a second. */
double usage_offered_own(const struct usage *usage, int64_t now_ms);
void usage_count_offered(struct usage *usage, int64_t now_ms);
void usage_uncount_offered(struct usage *usage, int64_t now_ms);
/* Requests offered to all nodes a second. */
double usage_offered(const struct usage *usage, int64_t now_ms);
/* Take over a node's report; the window is of window_ms. */
void usage_apply(struct usage *usage, const struct quota_report *report,
    uint32_t window_ms, int64_t now_ms);
/* A peer has said by itself what it is offered; there are so many peers. */
void usage_add_sample(
    struct usage *usage, double rate, uint32_t peers, int64_t now_ms);
/* Forget nodes that were not heard of for long. */
void usage_expire(struct usage *usage, int64_t now_ms);

#endif
