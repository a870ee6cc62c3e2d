#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "common/json_log.h"
#include "harness.h"

enum {
	FLOOD_LINES = 200000,
	BUFFER_BYTES = 64 * 1024,
	BURST_LINES = 500, /* more than the smallest pipe holds */
	READ_DELAY_US = 200,
	FLUSH_MS = 10000,
};

struct fixture {
	int pipe[2];
	struct fake_clock clock;
	struct json_log *log;
};

static void
fixture_init(struct fixture *f, uint32_t lines_per_s)
{
	struct json_log_settings settings = {
		.node = str_from("node-1"),
		.incarnation = 7,
		.lines_per_s = lines_per_s,
		.buffer_bytes = BUFFER_BYTES,
	};

	CU_ASSERT_EQUAL_FATAL(pipe(f->pipe), 0);
	fake_clock_init(&f->clock);
	settings.fd = f->pipe[1];
	f->log = json_log_new(&settings, &f->clock.base);
}

/* Free the log and return all that it wrote; the caller frees the text. */
static char *
fixture_read(struct fixture *f)
{
	GString *text = g_string_new(NULL);
	char part[4096];
	ssize_t count;

	json_log_free(f->log, 2000);
	close(f->pipe[1]);
	while ((count = read(f->pipe[0], part, sizeof(part))) > 0)
		g_string_append_len(text, part, count);
	close(f->pipe[0]);
	return g_string_free(text, FALSE);
}

static void
write_line(struct fixture *f, enum log_class class, const char *event)
{
	struct json_line *line = json_log_begin(f->log, class, event);

	json_line_int(line, "number", -5);
	json_log_end(line);
}

static void
test_lines_are_json(void)
{
	struct fixture f;
	struct json_line *line;
	char *text;
	json_t *json;

	fixture_init(&f, 100);
	line = json_log_begin(f.log, LOG_CLASS_STATE, "started");
	json_line_text(line, "id", str_make("a\"\\\n\0\xff", 6));
	json_line_bool(line, "open", true);
	json_line_cstr(line, "none", NULL);
	json_log_end(line);
	text = fixture_read(&f);
	json = json_loads(text, JSON_ALLOW_NUL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(json);
	CU_ASSERT_STRING_EQUAL(
	    json_string_value(json_object_get(json, "event")), "started");
	CU_ASSERT_STRING_EQUAL(
	    json_string_value(json_object_get(json, "node")), "node-1");
	CU_ASSERT_EQUAL(json_string_length(json_object_get(json, "id")), 7);
	CU_ASSERT_TRUE(json_is_true(json_object_get(json, "open")));
	json_decref(json);
	g_free(text);
}

/*
 * With 10 lines per second, successful requests are left out after 30 %,
 * failures after 100 %, and changes of state never.
 */
static void
test_rate_limit_by_class(void)
{
	struct fixture f;
	char *text;

	fixture_init(&f, 10);
	for (int i = 0; i < 20; i++)
		write_line(&f, LOG_CLASS_SUCCESS, "answered");
	for (int i = 0; i < 20; i++)
		write_line(&f, LOG_CLASS_FAILURE, "refused");
	for (int i = 0; i < 20; i++)
		write_line(&f, LOG_CLASS_STATE, "upstream_in");
	fake_clock_advance_ms(&f.clock, 1000);
	write_line(&f, LOG_CLASS_SUCCESS, "answered");
	CU_ASSERT_EQUAL(json_log_left_out_count(f.log), 17 + 13);
	text = fixture_read(&f);
	CU_ASSERT_PTR_NOT_NULL(g_strstr_len(text, -1, "\"left_out\":30"));
	g_free(text);
}

/* A stalled reader must not block the logging thread; lines are left out. */
static void
test_stalled_reader(void)
{
	struct fixture f;
	char *text;

	fixture_init(&f, UINT32_MAX);
	for (int i = 0; i < FLOOD_LINES; i++)
		write_line(&f, LOG_CLASS_STATE, "flood");
	CU_ASSERT_TRUE(json_log_left_out_count(f.log) > FLOOD_LINES / 2);
	fcntl(f.pipe[0], F_SETPIPE_SZ, 1024 * 1024);
	text = fixture_read(&f);
	CU_ASSERT_TRUE(strlen(text) > 0);
	g_free(text);
}

/* Read until the writer closes the pipe, in small parts with pauses. */
static void *
read_slowly(void *arg)
{
	struct fixture *f = arg;
	GString *text = g_string_new(NULL);
	char part[512];
	ssize_t count;

	while ((count = read(f->pipe[0], part, sizeof(part))) > 0) {
		g_string_append_len(text, part, count);
		g_usleep(READ_DELAY_US);
	}
	return g_string_free(text, FALSE);
}

/* Count the lines of a text; each has to be a whole JSON object. */
static uint64_t
count_whole_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	uint64_t count = 0;

	for (size_t i = 0; lines[i] != NULL; i++) {
		json_t *json = json_loads(lines[i], 0, NULL);

		if (lines[i][0] == '\0')
			continue;
		CU_ASSERT_PTR_NOT_NULL(json);
		json_decref(json);
		count++;
	}
	g_strfreev(lines);
	return count;
}

/*
 * Writing to a pipe that is shared with other processes may fail with EAGAIN,
 * since it may be non-blocking. Each line is whole, or counted as left out.
 */
static void
test_full_pipe(void)
{
	struct fixture f;
	pthread_t reader;
	uint64_t left_out;
	void *text;

	fixture_init(&f, UINT32_MAX);
	fcntl(f.pipe[1], F_SETPIPE_SZ, 4096);
	fcntl(f.pipe[1], F_SETFL, O_NONBLOCK);
	for (int i = 0; i < BURST_LINES; i++)
		write_line(&f, LOG_CLASS_STATE, "burst");
	left_out = json_log_left_out_count(f.log);
	pthread_create(&reader, NULL, read_slowly, &f);
	json_log_free(f.log, FLUSH_MS);
	close(f.pipe[1]);
	pthread_join(reader, &text);
	close(f.pipe[0]);
	CU_ASSERT_EQUAL(count_whole_lines(text) + left_out, BURST_LINES);
	g_free(text);
}

static const struct test_case cases[] = {
	{ "lines are JSON", test_lines_are_json },
	{ "rate limit by class", test_rate_limit_by_class },
	{ "a stalled reader", test_stalled_reader },
	{ "a full pipe", test_full_pipe },
	{ NULL, NULL },
};

int
main(void)
{
	return harness_run("json log", cases);
}
