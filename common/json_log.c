#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "common/json_line.h"
#include "common/json_log.h"
#include "common/line_writer.h"

enum {
	BATCH_DELAY_MS = 100, /* time to collect lines for one write */
	FLUSH_SLICE_MS = 20,  /* see wait_for_writer */
};

struct json_log {
	struct json_log_settings settings;
	char *origin; /* the members that all lines share */
	size_t origin_len;
	struct clock *clock;
	struct json_line line;
	/* Rate limit; second is the current second of the clock. */
	int64_t second;
	uint32_t lines_this_second;
	uint64_t left_out;
	uint64_t left_out_reported;
	uint64_t accepted; /* lines passed to the writer thread */
	/* Shared with the writer thread; protected by lock. */
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GString *pending;
	bool stopping;
	bool done;
	struct line_writer output; /* used by the writer thread */
	pthread_t thread;
	bool started;
};

/*
 * A line of a class is written while the lines of this second are fewer than
 * this share of lines_per_s, in percent.
 */
static const uint32_t class_share_percent[] = {
	[LOG_CLASS_STATE] = UINT32_MAX,
	[LOG_CLASS_FAILURE] = 100,
	[LOG_CLASS_DECISION] = 60,
	[LOG_CLASS_SUCCESS] = 30,
};

static void
log_release(struct json_log *log)
{
	pthread_mutex_destroy(&log->lock);
	pthread_cond_destroy(&log->changed);
	g_string_free(log->pending, TRUE);
	g_free(log->origin);
	g_free(log);
}

static void *
writer_run(void *arg)
{
	struct timespec batch = { .tv_nsec = BATCH_DELAY_MS * 1000000L };
	GString *batch_text = g_string_new(NULL);
	struct json_log *log = arg;
	bool stopping;
	bool abandoned;

	do {
		pthread_mutex_lock(&log->lock);
		while (log->pending->len == 0 && !log->stopping)
			pthread_cond_wait(&log->changed, &log->lock);
		stopping = log->stopping;
		pthread_mutex_unlock(&log->lock);
		if (!stopping)
			nanosleep(&batch, NULL);
		pthread_mutex_lock(&log->lock);
		GString *filled = log->pending;

		log->pending = batch_text;
		pthread_mutex_unlock(&log->lock);
		line_writer_write(
		    &log->output, str_make(filled->str, filled->len));
		g_string_truncate(filled, 0);
		batch_text = filled;
	} while (!stopping);
	g_string_free(batch_text, TRUE);
	pthread_mutex_lock(&log->lock);
	log->done = true;
	abandoned = log->output.give_up;
	pthread_cond_broadcast(&log->changed);
	pthread_mutex_unlock(&log->lock);
	if (abandoned)
		log_release(log);
	return NULL;
}

/* Format the members that all lines share. */
static void
origin_init(struct json_log *log, const struct json_log_settings *settings)
{
	struct json_line *line = &log->line;

	json_line_append(line, "{", 1);
	json_line_text(line, "node", settings->node);
	json_line_int(line, "incarnation", (int64_t)settings->incarnation);
	log->origin_len = line->len - 1;
	log->origin = g_strndup(line->text + 1, log->origin_len);
}

/*
 * Return a log whose writer thread is running. The caller frees it with
 * json_log_free.
 */
struct json_log *
json_log_new(const struct json_log_settings *settings, struct clock *clock)
{
	struct json_log *log = g_new0(struct json_log, 1);
	pthread_condattr_t condition;

	log->settings = *settings;
	log->output.fd = settings->fd;
	log->clock = clock;
	log->line.log = log;
	origin_init(log, settings);
	log->pending = g_string_new(NULL);
	pthread_mutex_init(&log->lock, NULL);
	/* The time of day may jump while the last lines are flushed. */
	pthread_condattr_init(&condition);
	pthread_condattr_setclock(&condition, CLOCK_MONOTONIC);
	pthread_cond_init(&log->changed, &condition);
	pthread_condattr_destroy(&condition);
	log->started = pthread_create(&log->thread, NULL, writer_run, log) == 0;
	return log;
}

/*
 * Wait up to flush_ms for the writer thread to finish; true when it has. The
 * time is counted in slices, of which a pause of the whole process takes only
 * one: when the process goes on, the writer thread still gets its time. Called
 * with the lock held.
 */
static bool
wait_for_writer(struct json_log *log, uint32_t flush_ms)
{
	for (uint32_t ms = 0; !log->done && ms < flush_ms;
	     ms += FLUSH_SLICE_MS) {
		struct timespec until;
		int status = 0;

		clock_gettime(CLOCK_MONOTONIC, &until);
		until = timespec_plus_ms(until, FLUSH_SLICE_MS);
		while (!log->done && status == 0)
			status = pthread_cond_timedwait(
			    &log->changed, &log->lock, &until);
	}
	return log->done;
}

/*
 * Flush the log, stop its writer thread and free it. If the thread doesn't
 * finish within flush_ms because the reader has stalled, the remaining lines
 * are lost, and the thread frees the log once it no longer uses it. What it is
 * writing at that moment may still be written, although it counts as lost.
 */
uint64_t
json_log_free(struct json_log *log, uint32_t flush_ms)
{
	uint64_t lost;
	bool done = true;

	if (log == NULL)
		return 0;
	pthread_mutex_lock(&log->lock);
	log->stopping = true;
	pthread_cond_broadcast(&log->changed);
	if (log->started)
		done = wait_for_writer(log, flush_ms);
	log->output.give_up = !done;
	lost = log->left_out + log->accepted - log->output.written;
	if (!done)
		pthread_detach(log->thread);
	pthread_mutex_unlock(&log->lock);
	if (!done)
		return lost;
	if (log->started)
		pthread_join(log->thread, NULL);
	log_release(log);
	return lost;
}

static void
line_start(struct json_log *log, const char *event)
{
	struct timespec now = clock_now(log->clock);
	struct timespec wall = clock_wall(log->clock);
	struct json_line *line = &log->line;

	json_line_clear(line);
	json_line_append(line, "{", 1);
	json_line_int(line, "steady_ms",
	    (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000);
	json_line_int(line, "wall_ms",
	    (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000);
	json_line_append(line, ",", 1);
	json_line_append(line, log->origin, log->origin_len);
	json_line_cstr(line, "event", event);
}

/* At the start of a second, log how many lines were left out before it. */
static void
report_left_out(struct json_log *log)
{
	struct timespec now = clock_now(log->clock);
	uint64_t left_out = json_log_left_out_count(log);

	if (now.tv_sec == log->second)
		return;
	log->second = now.tv_sec;
	log->lines_this_second = 0;
	if (left_out == log->left_out_reported)
		return;
	line_start(log, "log_thinned");
	json_line_int(&log->line, "left_out",
	    (int64_t)(left_out - log->left_out_reported));
	log->left_out_reported = left_out;
	json_log_end(&log->line);
}

/*
 * Begin a line for an event; NULL when the rate limit leaves it out.
 */
struct json_line *
json_log_begin(struct json_log *log, enum log_class class, const char *event)
{
	report_left_out(log);
	if (class != LOG_CLASS_STATE &&
	    log->lines_this_second >= (uint64_t)log->settings.lines_per_s *
		    class_share_percent[class] / 100) {
		log->left_out++;
		return NULL;
	}
	log->lines_this_second++;
	line_start(log, event);
	return &log->line;
}

/*
 * End a line and pass it to the writer thread. The line is left out when the
 * buffer is full because the reader is too slow, or when it is over PIPE_BUF
 * bytes, since lines of other processes could end up within it.
 */
void
json_log_end(struct json_line *line)
{
	struct json_log *log;
	bool wake = false;

	if (line == NULL)
		return;
	log = line->log;
	json_line_append(line, "}\n", 2);
	pthread_mutex_lock(&log->lock);
	if (!line->is_too_long &&
	    log->pending->len + line->len <= log->settings.buffer_bytes) {
		log->accepted++;
		wake = log->pending->len == 0;
		g_string_append_len(
		    log->pending, line->text, (gssize)line->len);
	} else {
		log->left_out++;
	}
	if (wake)
		pthread_cond_signal(&log->changed);
	pthread_mutex_unlock(&log->lock);
}

/*
 * Return the number of lines left out since the log was created.
 */
uint64_t
json_log_left_out_count(const struct json_log *log)
{
	return log->left_out + log->output.lost;
}
