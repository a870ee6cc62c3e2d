#ifndef TREFOILHILL_QUARANTINE_QUARANTINE_H
#define TREFOILHILL_QUARANTINE_QUARANTINE_H

#include "quarantine/suspect.h"

/*
 * The requests that are suspected of crashing upstreams, and those in
 * quarantine, which don't run. A bounded table without I/O; times are
 * milliseconds of a monotonic clock.
 */
struct quarantine;

enum quarantine_verdict {
	QUARANTINE_FREE,
	/* Run it alone among suspects, so that a further crash tells more. */
	QUARANTINE_SUSPECT,
	/* In quarantine; one run is due to find out whether it still is right.
	 */
	QUARANTINE_TRIAL,
	QUARANTINE_BLOCKED, /* it must not run */
};

/* A request that was in progress when an upstream crashed. */
struct crash_run {
	struct request_key key;
	bool has_run_well; /* shortly before */
};

struct quarantine_ops {
	/* A request was put in quarantine, or has left it. */
	void (*handle_verdict)(void *arg, const struct suspect *suspect);
	void *arg;
};

struct quarantine *quarantine_new(struct quarantine_ops ops);
void quarantine_free(struct quarantine *quarantine);
/* What is known of a request; NULL: nothing. */
const struct suspect *quarantine_find(
    const struct quarantine *quarantine, struct request_key key);
/* May a request that has come run? */
enum quarantine_verdict quarantine_check(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms);
/* Take the run that is due; false if another has been taken meanwhile. */
bool quarantine_begin_trial(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms);
/* An upstream has crashed while it ran these requests. */
void quarantine_add_crash(struct quarantine *quarantine,
    const struct crash *crash, const struct crash_run *runs, size_t count,
    int64_t now_ms);
/* A run has ended well. */
void quarantine_add_success(
    struct quarantine *quarantine, struct request_key key, int64_t now_ms);
/*
 * Add another node's knowledge of some requests, with whole if it is all that
 * the node knows of their crashes. Returns whether it had news.
 */
bool quarantine_merge(struct quarantine *quarantine,
    const struct suspect *suspects, size_t count, bool whole, int64_t now_ms);
/* Forget what is old. */
void quarantine_expire(struct quarantine *quarantine, int64_t now_ms);
/* Differs between nodes that don't hold the same requests in quarantine. */
uint64_t quarantine_hash(const struct quarantine *quarantine);
/*
 * Append up to max suspects (borrowed): those with news since a time, and with
 * all_verdicts also the others in quarantine or cleared of a crash.
 */
void quarantine_list(const struct quarantine *quarantine, int64_t since_ms,
    bool all_verdicts, size_t max, GPtrArray *out);
size_t quarantine_blocked_count(const struct quarantine *quarantine);

#endif
