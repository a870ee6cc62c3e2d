#include <glib/gstdio.h>
#include <string.h>

#include "common/json_parse.h"
#include "trefoilhill-timeline/timeline.h"

enum {
	FILE_BYTES_MAX = 256 * 1024 * 1024,
	READ_CHUNK_BYTES = 64 * 1024,
	SECOND_US = 1000000,
};

G_DEFINE_QUARK(trefoilhill - timeline - error, timeline_error)

static void
event_free(void *arg)
{
	struct timeline_event *event = arg;

	g_free(event->node);
	g_free(event->kind);
	g_free(event->subject);
	g_free(event);
}

static void
stream_free(void *arg)
{
	struct timeline_stream *stream = arg;

	g_ptr_array_unref(stream->events);
	g_free(stream);
}

/*
 * Initialises an empty timeline.
 */
void
timeline_init(struct timeline *timeline)
{
	timeline->streams = g_ptr_array_new_with_free_func(stream_free);
	timeline->merged = g_ptr_array_new();
	timeline->skip_invalid = false;
	timeline->skipped_lines = timeline->log_lines = 0;
}

/*
 * Makes later reads skip and count lines that are not events.
 */
void
timeline_skip_invalid(struct timeline *timeline)
{
	timeline->skip_invalid = true;
}

/*
 * Releases the memory held by the timeline, including its events.
 */
void
timeline_clear(struct timeline *timeline)
{
	g_ptr_array_unref(timeline->merged);
	g_ptr_array_unref(timeline->streams);
}

/* Parses "seconds.microseconds", with exactly six digits after the dot. */
static bool
time_parse(const char *text, int64_t *us)
{
	char *end = NULL, *rest_end = NULL;
	gint64 seconds = g_ascii_strtoll(text, &end, 10);
	gint64 rest;

	if (end == text || *end != '.' || strlen(end + 1) != 6)
		return false;
	rest = g_ascii_strtoll(end + 1, &rest_end, 10);
	if (*rest_end != '\0' || rest < 0 || seconds < 0 ||
	    seconds > INT64_MAX / SECOND_US - 1)
		return false;
	*us = seconds * SECOND_US + rest;
	return true;
}

static struct timeline_event *
event_from_json(json_t *json)
{
	const char *node, *kind, *at, *subject = "";
	json_int_t seq, version = 0, request = 0, value = 0;
	struct timeline_event *event = NULL;
	int64_t at_us;

	if (json_unpack(json, "{s:I,s:s,s:s,s:s,s?I,s?I,s?I,s?s}", "seq", &seq,
		"at", &at, "node", &node, "kind", &kind, "version", &version,
		"request", &request, "value", &value, "subject",
		&subject) != 0 ||
	    !time_parse(at, &at_us))
		return NULL;
	event = g_new0(struct timeline_event, 1);
	event->node = g_strdup(node);
	event->kind = g_strdup(kind);
	event->subject = g_strdup(subject);
	event->sequence = (uint64_t)seq;
	event->at_us = at_us;
	event->version = (uint64_t)version;
	event->request = (uint64_t)request;
	event->value = value;
	return event;
}

static struct timeline_event *
event_parse(struct timeline *timeline, const char *line)
{
	const char *begin = strchr(line, '{');
	json_t *json = json_parse(
	    str_from(begin == NULL ? line : begin), JSON_ALLOW_NUL, NULL);
	struct timeline_event *event = event_from_json(json);

	if (event == NULL) {
		event = timeline_event_from_log(json);
		if (event != NULL)
			event->sequence = ++timeline->log_lines;
	}
	json_decref(json);
	return event;
}

/*
 * Appends an event to the current stream of its node. A sequence number that
 * does not increase means that the process was replaced; this starts a new
 * stream.
 */
static void
add_event(struct timeline *timeline, GHashTable *current,
    struct timeline_event *event)
{
	struct timeline_stream *stream =
	    g_hash_table_lookup(current, event->node);
	const struct timeline_event *rest_end = stream == NULL
	    ? NULL
	    : stream->events->pdata[stream->events->len - 1];

	if (rest_end == NULL || event->sequence <= rest_end->sequence) {
		stream = g_new0(struct timeline_stream, 1);
		stream->events = g_ptr_array_new_with_free_func(event_free);
		stream->index = timeline->streams->len;
		g_ptr_array_add(timeline->streams, stream);
		g_hash_table_insert(current, event->node, stream);
	}
	g_ptr_array_add(stream->events, event);
}

/*
 * Adds JSON lines of one or more nodes. The lines of each node must be in the
 * order in which it recorded them. Returns false with error set at the first
 * line that is not an event, unless such lines are skipped; events before it
 * are kept.
 */
bool
timeline_read(struct timeline *timeline, const char *name, const char *text,
    GError **error)
{
	GHashTable *current = g_hash_table_new(g_str_hash, g_str_equal);
	char **lines = g_strsplit(text, "\n", 0);
	bool valid = true;

	for (size_t i = 0; valid && lines[i] != NULL; i++) {
		struct timeline_event *event;

		if (*lines[i] == '\0')
			continue;
		event = event_parse(timeline, lines[i]);
		valid = event != NULL || timeline->skip_invalid;
		if (event != NULL)
			add_event(timeline, current, event);
		else if (valid)
			timeline->skipped_lines++;
		else
			g_set_error(error, TIMELINE_ERROR,
			    TIMELINE_ERROR_SYNTAX,
			    "%s:%zu: line is not an event", name, i + 1);
	}
	g_strfreev(lines);
	g_hash_table_unref(current);
	return valid;
}

/* Reads standard input to its end, at most FILE_BYTES_MAX bytes. */
static bool
read_standard_input(char **text, GError **error)
{
	GString *contents = g_string_new(NULL);
	char bytes[READ_CHUNK_BYTES];
	size_t count;

	while ((count = fread(bytes, 1, sizeof(bytes), stdin)) > 0 &&
	    contents->len <= FILE_BYTES_MAX)
		g_string_append_len(contents, bytes, (gssize)count);
	*text = g_string_free(contents, FALSE);
	if (ferror(stdin) == 0 && feof(stdin) != 0)
		return true;
	g_set_error(error, TIMELINE_ERROR, TIMELINE_ERROR_TOO_LARGE,
	    "standard input: larger than %d bytes, or not readable",
	    FILE_BYTES_MAX);
	return false;
}

/*
 * Like timeline_read, but reads a file of at most 256 MiB, or standard input
 * for "-".
 */
bool
timeline_read_file(struct timeline *timeline, const char *path, GError **error)
{
	GStatBuf info;
	char *text = NULL;
	bool valid;

	if (strcmp(path, "-") == 0) {
		valid = read_standard_input(&text, error) &&
		    timeline_read(timeline, "standard input", text, error);
		g_free(text);
		return valid;
	}
	if (g_stat(path, &info) == 0 && info.st_size > FILE_BYTES_MAX) {
		g_set_error(error, TIMELINE_ERROR, TIMELINE_ERROR_TOO_LARGE,
		    "%s: larger than %d bytes", path, FILE_BYTES_MAX);
		return false;
	}
	valid = g_file_get_contents(path, &text, NULL, error) &&
	    timeline_read(timeline, path, text, error);
	g_free(text);
	return valid;
}
