#include <string.h>

#include "trefoilhilld/service_call.h"

enum {
	BODY_BYTES_MAX = CALL_WINDOW_BYTES + CALL_CHUNK_BYTES,
};

/*
 * Create a call from its OPEN frame. The result has one reference.
 */
struct service_call *
service_call_new(struct clock *clock, struct call_frame *open,
    GBytes *first_body, struct call_link *link, bool remote)
{
	struct service_call *call = g_new0(struct service_call, 1);
	pthread_condattr_t attr;

	call->refs = 1;
	call->key.entry = open->entry;
	call->key.call = open->call;
	call->open = open;
	call->link = link;
	call->remote = remote;
	call->clock = clock;
	call->last_heard = clock_now(clock);
	call->deadline =
	    timespec_plus_ms(call->last_heard, open->open.timeout_ms);
	call->credit = open->open.credit;
	call->body_ended = open->open.end;
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&call->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_init(&call->lock, NULL);
	g_queue_init(&call->body);
	if (first_body != NULL) {
		call->body_received = g_bytes_get_size(first_body);
		call->body_bytes = call->body_received;
		g_queue_push_tail(&call->body, first_body);
	}
	return call;
}

struct service_call *
service_call_ref(struct service_call *call)
{
	g_atomic_int_inc(&call->refs);
	return call;
}

/*
 * Drop a reference; the last one frees the call.
 */
void
service_call_unref(struct service_call *call)
{
	GBytes *bytes;

	if (!g_atomic_int_dec_and_test(&call->refs))
		return;
	while ((bytes = g_queue_pop_head(&call->body)) != NULL)
		g_bytes_unref(bytes);
	call_frame_free(call->open);
	call_link_free(call->link);
	pthread_mutex_destroy(&call->lock);
	pthread_cond_destroy(&call->changed);
	g_free(call);
}

/*
 * Wake the worker, whether it waits for credit or for the upstream.
 */
static void
wake_locked(struct service_call *call)
{
	pthread_cond_signal(&call->changed);
	if (call->multi != NULL)
		curl_multi_wakeup(call->multi);
}

/*
 * Append the next bytes of the request body. A gap means that a frame was lost;
 * more than was granted means that the entry violates the protocol. Both end
 * the call, because the upstream must not receive a body that differs from the
 * caller's.
 */
void
service_call_add_body(
    struct service_call *call, const struct call_body *body, GBytes *bytes)
{
	size_t len = bytes == NULL ? 0 : g_bytes_get_size(bytes);

	pthread_mutex_lock(&call->lock);
	call->last_heard = clock_now(call->clock);
	if (body->offset + len <= call->body_received && !body->end)
		goto out; /* duplicate */
	if (call->body_ended || body->offset != call->body_received ||
	    call->body_bytes + len > BODY_BYTES_MAX) {
		call->body_invalid = true;
		goto wake;
	}
	call->body_received += len;
	call->body_bytes += len;
	call->body_ended = body->end;
	if (len > 0)
		g_queue_push_tail(&call->body, g_steal_pointer(&bytes));
wake:
	wake_locked(call);
out:
	pthread_mutex_unlock(&call->lock);
	if (bytes != NULL)
		g_bytes_unref(bytes);
}

/*
 * Allow the response up to an offset. A grant below the current one has no
 * effect.
 */
void
service_call_grant(struct service_call *call, uint64_t upto)
{
	pthread_mutex_lock(&call->lock);
	call->last_heard = clock_now(call->clock);
	call->credit = MAX(call->credit, upto);
	wake_locked(call);
	pthread_mutex_unlock(&call->lock);
}

/*
 * Cancel the call, because its response is no longer needed.
 */
void
service_call_cancel(struct service_call *call)
{
	pthread_mutex_lock(&call->lock);
	call->cancelled = true;
	wake_locked(call);
	pthread_mutex_unlock(&call->lock);
}

void
service_call_mark_alive(struct service_call *call)
{
	pthread_mutex_lock(&call->lock);
	call->last_heard = clock_now(call->clock);
	pthread_mutex_unlock(&call->lock);
}

/*
 * Tell whether the entry of a remote call has been silent for lost_ms
 * milliseconds.
 */
bool
service_call_is_silent(struct service_call *call, int64_t lost_ms)
{
	struct timespec now = clock_now(call->clock);
	bool silent;

	pthread_mutex_lock(&call->lock);
	silent = call->remote &&
	    timespec_ms_between(call->last_heard, now) >= lost_ms;
	pthread_mutex_unlock(&call->lock);
	return silent;
}

bool
service_call_is_cancelled(struct service_call *call)
{
	bool cancelled;

	pthread_mutex_lock(&call->lock);
	cancelled = call->cancelled;
	pthread_mutex_unlock(&call->lock);
	return cancelled;
}

/*
 * Set the libcurl handle to wake when a frame arrives for the call; NULL for
 * none.
 */
void
service_call_set_multi(struct service_call *call, CURLM *multi)
{
	pthread_mutex_lock(&call->lock);
	call->multi = multi;
	pthread_mutex_unlock(&call->lock);
}

/*
 * Copy from the first queued buffer and keep the rest of it in the queue.
 */
static size_t
read_body_locked(struct service_call *call, char *out, size_t out_max)
{
	GBytes *first = g_queue_pop_head(&call->body);
	gsize size;
	const char *bytes = g_bytes_get_data(first, &size);
	size_t len = MIN(size, out_max);

	memcpy(out, bytes, len);
	call->body_bytes -= len;
	if (len < size)
		g_queue_push_head(&call->body,
		    g_bytes_new_from_bytes(first, len, size - len));
	g_bytes_unref(first);
	return len;
}

/*
 * See include/trefoilhilld/service_call.h.
 */
enum body_read_status
service_call_read_body(
    struct service_call *call, char *out, size_t out_max, size_t *out_len)
{
	enum body_read_status result = BODY_READ_AGAIN;

	pthread_mutex_lock(&call->lock);
	if (call->body_invalid || call->cancelled) {
		result = BODY_READ_ERROR;
	} else if (!g_queue_is_empty(&call->body)) {
		*out_len = read_body_locked(call, out, out_max);
		result = BODY_READ_DATA;
	} else if (call->body_ended) {
		result = BODY_READ_EOF;
	}
	pthread_mutex_unlock(&call->lock);
	return result;
}

/*
 * See include/trefoilhilld/service_call.h. Waits no longer than until the
 * call's deadline.
 */
bool
service_call_wait_credit(struct service_call *call, uint64_t upto)
{
	bool granted;
	int status = 0;

	pthread_mutex_lock(&call->lock);
	while (call->credit < upto && !call->cancelled && !call->body_invalid &&
	    status == 0)
		status = pthread_cond_timedwait(
		    &call->changed, &call->lock, &call->deadline);
	granted =
	    call->credit >= upto && !call->cancelled && !call->body_invalid;
	pthread_mutex_unlock(&call->lock);
	return granted;
}

/*
 * Send a frame of the call to its entry. The contents are taken from fields;
 * entry and call number are filled in. Takes ownership of body.
 */
void
service_call_send(struct service_call *call, enum call_kind kind,
    const struct call_frame *fields, GBytes *body)
{
	struct call_frame frame = *fields;

	frame.kind = kind;
	frame.entry = call->key.entry;
	frame.call = call->key.call;
	call_link_send(call->link, &frame, body);
}

guint
service_call_key_hash(gconstpointer key)
{
	const struct service_call_key *call_key = key;
	guint64 hash = call_key->entry ^ call_key->call;

	return g_int64_hash(&hash);
}

gboolean
service_call_key_equal(gconstpointer a, gconstpointer b)
{
	const struct service_call_key *key_a = a;
	const struct service_call_key *key_b = b;

	return key_a->entry == key_b->entry && key_a->call == key_b->call;
}
