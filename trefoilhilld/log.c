#include <glib.h>
#include <stdio.h>

#include "trefoilhilld/log.h"

struct log_context {
	struct str node;
	GLogLevelFlags shown;
};

static struct log_context context;

/* One line an entry: time, node, level, then the message. */
static GLogWriterOutput
handle_log(GLogLevelFlags level, const GLogField *fields, gsize field_count,
    gpointer data)
{
	const struct log_context *log = data;
	GDateTime *now;
	char *line, *at;

	if ((level & log->shown) == 0)
		return G_LOG_WRITER_HANDLED;
	now = g_date_time_new_now_utc();
	at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
	line = g_log_writer_format_fields(level, fields, field_count, FALSE);
	fprintf(stderr, "%s node=%.*s %s\n", at, STR_ARG(log->node), line);
	g_free(line);
	g_free(at);
	g_date_time_unref(now);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Send GLib's structured log to standard error, from a threshold upwards.
 * Call once, before threads start; the node's name is borrowed.
 */
void
log_setup(struct str node, enum log_threshold threshold)
{
	static const GLogLevelFlags shown[] = {
		[LOG_THRESHOLD_WARNING] = G_LOG_LEVEL_ERROR |
		    G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING,
		[LOG_THRESHOLD_INFO] = G_LOG_LEVEL_ERROR |
		    G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING |
		    G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO,
		[LOG_THRESHOLD_DEBUG] = G_LOG_LEVEL_MASK,
	};

	context.node = node;
	context.shown = shown[threshold];
	g_log_set_writer_func(handle_log, &context, NULL);
}
