#ifndef TREFOILHILL_COMMON_EVENT_H
#define TREFOILHILL_COMMON_EVENT_H

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"

/* Kinds of events on a node's timeline; common/event.c has their names. */
enum event_kind {
	EVENT_NODE_STARTED,
	EVENT_NODE_READY,
	EVENT_NODE_DRAINING,
	EVENT_NODE_STOPPED,
	EVENT_VERSION_ACCEPTED,
	EVENT_VERSION_REFUSED,
	EVENT_VERSION_IGNORED,
	EVENT_STATE_ADOPTED,
	EVENT_READER_BEGAN,
	EVENT_READER_ENDED,
	EVENT_PLATFORM_LOST,
	EVENT_PLATFORM_BACK,
	EVENT_PEER_LOST,
	EVENT_PEER_BACK,
	EVENT_CALL_REFUSED,
	EVENT_CALL_UNKNOWN,
	EVENT_CALL_RETRIED,
	EVENT_UPSTREAM_COLD,
	EVENT_UPSTREAM_WARM,
	EVENT_GUARD_CLOSED,
	EVENT_GUARD_OPENED,
	EVENT_KIND_COUNT,
};

enum {
	EVENT_SUBJECT_MAX = 48,
};

struct event {
	uint64_t sequence; /* from 1, increasing within a process */
	struct timespec wall;
	enum event_kind kind;
	uint64_t version; /* configuration version, 0 if none */
	uint64_t request; /* request id, 0 if none */
	int64_t value;    /* meaning depends on the kind */
	char subject[EVENT_SUBJECT_MAX];
};

struct event_slot;

/*
 * A ring buffer: the newest event overwrites the oldest. Writers take no
 * lock, so that no request waits for a reader or for the control thread.
 */
struct event_log {
	struct clock *clock;
	struct event_slot *slots;
	size_t capacity;
	atomic_uint_fast64_t next_sequence;
};

const char *event_kind_name(enum event_kind kind);
struct event_log *event_log_new(struct clock *clock, size_t capacity);
void event_log_free(struct event_log *log);
void event_record(struct event_log *log, enum event_kind kind, uint64_t version,
    uint64_t request, int64_t value, struct str subject);
size_t event_log_copy(
    struct event_log *log, uint64_t after, struct event *out, size_t out_max);

#endif
