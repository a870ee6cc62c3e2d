#include <string.h>

#include "common/event.h"

static const char *const kind_names[EVENT_KIND_COUNT] = {
	[EVENT_NODE_STARTED] = "node_started",
	[EVENT_NODE_READY] = "node_ready",
	[EVENT_NODE_DRAINING] = "node_draining",
	[EVENT_NODE_STOPPED] = "node_stopped",
	[EVENT_VERSION_ACCEPTED] = "version_accepted",
	[EVENT_VERSION_REFUSED] = "version_refused",
	[EVENT_VERSION_IGNORED] = "version_ignored",
	[EVENT_STATE_ADOPTED] = "state_adopted",
	[EVENT_READER_BEGAN] = "reader_began",
	[EVENT_READER_ENDED] = "reader_ended",
	[EVENT_PLATFORM_LOST] = "platform_lost",
	[EVENT_PLATFORM_BACK] = "platform_back",
	[EVENT_PEER_LOST] = "peer_lost",
	[EVENT_PEER_BACK] = "peer_back",
	[EVENT_CALL_REFUSED] = "call_refused",
	[EVENT_CALL_UNKNOWN] = "call_unknown",
	[EVENT_CALL_RETRIED] = "call_retried",
	[EVENT_UPSTREAM_COLD] = "upstream_cold",
	[EVENT_UPSTREAM_WARM] = "upstream_warm",
	[EVENT_GUARD_CLOSED] = "guard_closed",
	[EVENT_GUARD_OPENED] = "guard_opened",
};

/*
 * Return the name of an event kind as the time line prints it.
 */
const char *
event_kind_name(enum event_kind kind)
{
	return kind < EVENT_KIND_COUNT ? kind_names[kind] : "unknown";
}

/*
 * Return an empty ring for capacity events, at least one.
 */
struct event_log *
event_log_new(struct clock *clock, size_t capacity)
{
	struct event_log *log = g_new0(struct event_log, 1);

	log->clock = clock;
	log->capacity = MAX(capacity, 1);
	log->ring = g_new0(struct event, log->capacity);
	log->next_sequence = 1;
	pthread_mutex_init(&log->lock, NULL);
	return log;
}

/*
 * Free a ring. NULL is allowed.
 */
void
event_log_free(struct event_log *log)
{
	if (log == NULL)
		return;
	pthread_mutex_destroy(&log->lock);
	g_free(log->ring);
	g_free(log);
}

/*
 * Append one event; safe from any thread. A NULL log drops it, so that tests
 * need none. A subject over EVENT_SUBJECT_MAX - 1 bytes is cut.
 */
void
event_record(struct event_log *log, enum event_kind kind, uint64_t version,
    uint64_t request, int64_t value, struct str subject)
{
	struct event *event;
	size_t len = MIN(subject.len, (size_t)EVENT_SUBJECT_MAX - 1);

	if (log == NULL)
		return;
	pthread_mutex_lock(&log->lock);
	event = &log->ring[log->next_sequence % log->capacity];
	*event = (struct event){
		.sequence = log->next_sequence++,
		.wall = clock_wall(log->clock),
		.kind = kind,
		.version = version,
		.request = request,
		.value = value,
	};
	if (len > 0)
		memcpy(event->subject, subject.ptr, len);
	pthread_mutex_unlock(&log->lock);
}

/*
 * Copy up to out_max events whose sequence is above after, oldest first, and
 * return their number.
 */
size_t
event_log_copy(
    struct event_log *log, uint64_t after, struct event *out, size_t out_max)
{
	size_t copied = 0;
	uint64_t oldest;

	pthread_mutex_lock(&log->lock);
	oldest = log->next_sequence > log->capacity
	    ? log->next_sequence - log->capacity
	    : 1;
	for (uint64_t s = MAX(after + 1, oldest);
	     s < log->next_sequence && copied < out_max; s++)
		out[copied++] = log->ring[s % log->capacity];
	pthread_mutex_unlock(&log->lock);
	return copied;
}
