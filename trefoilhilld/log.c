#include <glib.h>
#include <stdio.h>

#include "trefoilhilld/log.h"

struct log_context {
	struct str node;
	GLogLevelFlags enabled_levels;
};

static struct log_context context;

/* Write one line per entry: time, node, level and message. */
static GLogWriterOutput
handle_log(GLogLevelFlags level, const GLogField *fields, gsize field_count,
    gpointer data)
{
	const struct log_context *log = data;
	GDateTime *now;
	char *line, *timestamp;

	if ((level & log->enabled_levels) == 0)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	timestamp = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_log_writer_format_fields(level, fields, field_count, FALSE);
	fprintf(
	    stderr, "%s node=%.*s %s\n", timestamp, STR_ARG(log->node), line);
	g_free(line);
	g_free(timestamp);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Write GLib's log messages at or above a level to standard error. Must be
 * called once, before any thread starts. The node's name is borrowed.
 */
void
log_setup(struct str node, enum log_threshold threshold)
{
	static const GLogLevelFlags enabled_levels[] = {
		[LOG_THRESHOLD_WARNING] = G_LOG_LEVEL_ERROR |
		    G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING,
		[LOG_THRESHOLD_INFO] = G_LOG_LEVEL_ERROR |
		    G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING |
		    G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO,
		[LOG_THRESHOLD_DEBUG] = G_LOG_LEVEL_MASK,
	};

	context.node = node;
	context.enabled_levels = enabled_levels[threshold];
	g_log_set_writer_func(handle_log, &context, NULL);
}
