#ifndef TREFOILHILL_TREFOILHILLD_SERVICE_CALL_H
#define TREFOILHILL_TREFOILHILLD_SERVICE_CALL_H

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "trefoilhilld/call_link.h"
#include "wire/call.h"

/*
 * One call at the guard's node, shared by the thread that receives frames and a
 * worker thread.
 */

struct service_call_key {
	uint64_t entry;
	uint64_t call;
};

struct service_call {
	int refs;
	struct service_call_key key;
	struct call_frame *open; /* the OPEN frame */
	struct call_link *link;
	bool remote;
	uint64_t ticket;
	struct clock *clock;
	struct timespec deadline;

	pthread_mutex_t lock; /* protects the members below */
	pthread_cond_t changed;
	struct timespec last_heard;
	bool cancelled;
	bool body_invalid; /* protocol error of the entry, or a lost frame */
	CURLM *multi;      /* of the worker that runs the call, or NULL */
	GQueue body;       /* GBytes * of the request body */
	size_t body_bytes; /* bytes in the queue */
	uint64_t body_received;
	bool body_ended;
	uint64_t credit; /* response bytes that the entry has granted */
};

/* Takes ownership of open, first_body (may be NULL) and link. */
struct service_call *service_call_new(struct clock *clock,
    struct call_frame *open, GBytes *first_body, struct call_link *link,
    bool remote);
struct service_call *service_call_ref(struct service_call *call);
void service_call_unref(struct service_call *call);
/* Takes ownership of bytes. */
void service_call_add_body(
    struct service_call *call, const struct call_body *body, GBytes *bytes);
void service_call_grant(struct service_call *call, uint64_t upto);
void service_call_cancel(struct service_call *call);
void service_call_mark_alive(struct service_call *call);
bool service_call_is_silent(struct service_call *call, int64_t lost_ms);
bool service_call_is_cancelled(struct service_call *call);
void service_call_set_multi(struct service_call *call, CURLM *multi);

enum body_read_status {
	BODY_READ_DATA,
	BODY_READ_EOF,
	BODY_READ_AGAIN,
	BODY_READ_ERROR,
};
/* Copies the next bytes of the request body without blocking. */
enum body_read_status service_call_read_body(
    struct service_call *call, char *out, size_t out_max, size_t *out_len);
/*
 * Waits until upto bytes of the response are granted. Returns false if they
 * will not be.
 */
bool service_call_wait_credit(struct service_call *call, uint64_t upto);
void service_call_send(struct service_call *call, enum call_kind kind,
    const struct call_frame *fields, GBytes *body);

guint service_call_key_hash(gconstpointer key);
gboolean service_call_key_equal(gconstpointer a, gconstpointer b);

#endif
