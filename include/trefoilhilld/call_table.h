#ifndef TREFOILHILL_TREFOILHILLD_CALL_TABLE_H
#define TREFOILHILL_TREFOILHILLD_CALL_TABLE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/str.h"
#include "wire/call.h"

/* The calls in flight of an entry. Each worker thread has one slot. */

/* A frame received for a call. */
struct call_event {
	struct call_frame *frame;
	GBytes *body; /* may be NULL */
};

enum call_failure {
	CALL_FAILURE_NONE,
	CALL_FAILURE_NOT_SENT,     /* the guard has not received the call */
	CALL_FAILURE_PEER_LOST,    /* the guard's node stopped responding */
	CALL_FAILURE_UNKNOWN_CALL, /* the guard's node does not know the call */
	CALL_FAILURE_PROTOCOL, /* the peer exceeded the flow-control window */
	CALL_FAILURE_STOPPING, /* this node is stopping */
};

struct call_slot {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint64_t index;
	uint64_t generation;
	uint64_t id;  /* 0: free */
	char *peer;   /* node address; NULL: this host */
	GQueue inbox; /* elements are struct call_event * */
	size_t inbox_bytes;
	enum call_failure failure;
	struct timespec started;
	struct timespec last_heard;
};

struct call_table;

struct call_table *call_table_new(struct clock *clock, size_t slots);
void call_table_free(struct call_table *table);
struct call_slot *call_table_slot(struct call_table *table, size_t index);
/*
 * Takes ownership of frame and body. Returns false if no call is waiting for
 * the frame.
 */
bool call_table_deliver(
    struct call_table *table, struct call_frame *frame, GBytes *body);
void call_table_fail(
    struct call_table *table, uint64_t id, enum call_failure failure);
void call_table_fail_all(struct call_table *table, enum call_failure failure);
void call_table_mark_alive(struct call_table *table, uint64_t id);
/*
 * Fail remote calls whose peer has been silent for lost_ms milliseconds. Return
 * the other remote calls that are at least min_age_ms old, as a table from node
 * address to a GArray of uint64_t call ids.
 */
GHashTable *call_table_sweep(
    struct call_table *table, int64_t min_age_ms, int64_t lost_ms);

uint64_t call_slot_begin(
    struct call_slot *slot, struct clock *clock, struct str peer);
/*
 * Return the next frame. NULL with *failure set if the call failed, or with
 * CALL_FAILURE_NONE if the deadline passed.
 */
struct call_event *call_slot_wait(struct call_slot *slot,
    struct timespec deadline, enum call_failure *failure);
void call_slot_end(struct call_slot *slot);
void call_event_free(struct call_event *event);

#endif
