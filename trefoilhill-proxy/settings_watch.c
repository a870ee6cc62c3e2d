#include "trefoilhill-proxy/settings_watch.h"

enum {
	/* A file that is being written is left alone for so long. */
	POLL_INTERVAL_MS = 200,
};

struct settings_watch {
	uv_timer_t timer; /* must be the first member */
	struct proxy *proxy;
	char *path;
	struct file_version seen;  /* by the last poll */
	struct file_version tried; /* loaded last, or refused */
};

static void
handle_poll(uv_timer_t *timer)
{
	struct settings_watch *watch = (struct settings_watch *)timer;
	struct file_version now = file_version_read(watch->path);
	bool settled = file_version_equal(&now, &watch->seen);

	watch->seen = now;
	if (!settled || file_version_equal(&now, &watch->tried) ||
	    file_version_equal(&now, &watch->proxy->settings->file))
		return;
	watch->tried = now;
	proxy_reload(watch->proxy, watch->path);
}

/*
 * Start watching the file that the proxy's settings have been loaded from.
 */
struct settings_watch *
settings_watch_new(struct proxy *proxy, const char *path)
{
	struct settings_watch *watch = g_new0(struct settings_watch, 1);

	watch->proxy = proxy;
	watch->path = g_strdup(path);
	watch->seen = proxy->settings->file;
	uv_timer_init(proxy->loop, &watch->timer);
	uv_timer_start(
	    &watch->timer, handle_poll, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
	return watch;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	struct settings_watch *watch = (struct settings_watch *)handle;

	g_free(watch->path);
	g_free(watch);
}

/*
 * Stop watching. NULL is allowed.
 */
void
settings_watch_free(struct settings_watch *watch)
{
	if (watch != NULL)
		uv_close((uv_handle_t *)&watch->timer, handle_timer_closed);
}
