#include <glib.h>

#include "standin-platform/http.h"
#include "standin-platform/platform.h"

enum {
	WATCH_POLL_MS = 250,
};

/*
 * Return an empty platform, not yet served over HTTP; the caller frees it with
 * platform_free.
 */
struct platform *
platform_new(void)
{
	struct platform *platform = g_new0(struct platform, 1);
	pthread_condattr_t attr;

	platform->clock = clock_system();
	pthread_mutex_init(&platform->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&platform->changed, &attr);
	pthread_condattr_destroy(&attr);
	platform->log = change_log_new();
	faults_init(&platform->faults);
	read_counts_init(&platform->counts);
	platform->hosts = json_array();
	return platform;
}

/*
 * End every watch. Call this before stopping the server.
 */
void
platform_stop(struct platform *platform)
{
	pthread_mutex_lock(&platform->lock);
	platform->stopping = true;
	pthread_cond_broadcast(&platform->changed);
	pthread_mutex_unlock(&platform->lock);
}

/*
 * Free a platform whose server has stopped. NULL is allowed.
 */
void
platform_free(struct platform *platform)
{
	if (platform == NULL)
		return;
	json_decref(platform->hosts);
	read_counts_clear(&platform->counts);
	faults_clear(&platform->faults);
	change_log_free(platform->log);
	pthread_cond_destroy(&platform->changed);
	pthread_mutex_destroy(&platform->lock);
	g_free(platform);
}

/*
 * Return the newest revision visible to reads; the lock is held.
 */
uint64_t
platform_visible_revision(const struct platform *platform)
{
	uint64_t stale_at = platform->faults.stale_at;
	uint64_t head = platform->log->head;

	return stale_at > 0 && stale_at < head ? stale_at : head;
}

/*
 * Wait until a revision after the given one is visible or wait_ms milliseconds
 * have passed; the lock is held. Return false if the node must get no answer.
 */
bool
platform_wait_for_change(struct platform *platform,
    const struct mg_connection *conn, const char *node, uint64_t after,
    uint32_t wait_ms)
{
	struct timespec end =
	    timespec_plus_ms(clock_now(platform->clock), wait_ms);
	int64_t counted_second = clock_wall(platform->clock).tv_sec;
	bool reachable = true;

	platform->counts.watches++;
	platform->counts.waiting++;
	while (platform_visible_revision(platform) <= after) {
		struct timespec now = clock_now(platform->clock);
		struct timespec poll_end = timespec_plus_ms(now, WATCH_POLL_MS);
		int64_t second = clock_wall(platform->clock).tv_sec;

		reachable = !platform->stopping &&
		    !faults_is_unreachable(&platform->faults, node) &&
		    !standin_http_is_peer_closed(conn, 0);
		if (!reachable || !timespec_before(now, end))
			break;
		if (second != counted_second)
			read_counts_add(&platform->counts, node, second);
		counted_second = second;
		if (timespec_before(end, poll_end))
			poll_end = end;
		pthread_cond_timedwait(
		    &platform->changed, &platform->lock, &poll_end);
	}
	platform->counts.waiting--;
	return reachable;
}
