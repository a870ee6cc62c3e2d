#include "trefoilhill-proxy/heartbeat.h"
#include "trefoilhill-proxy/quarantine_news.h"

enum {
	/* For the news of one crash to go out together. */
	SPREAD_DELAY_MS = 2,
	/* Between two spreads, however much there is to tell. */
	SPREAD_INTERVAL_MS = 40,
	/* News are in all messages for so long. */
	RECENT_MS = 1500,
};

struct quarantine_news {
	uv_timer_t *timer;
	struct proxy *proxy;
	int64_t spread_ms; /* when it was done last */
};

/*
 * Return an object that spreads the news of a node's quarantine.
 */
struct quarantine_news *
quarantine_news_new(struct proxy *proxy)
{
	struct quarantine_news *news = g_new0(struct quarantine_news, 1);

	news->proxy = proxy;
	news->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(proxy->loop, news->timer);
	news->timer->data = news;
	return news;
}

static void
handle_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Free it. NULL is allowed.
 */
void
quarantine_news_free(struct quarantine_news *news)
{
	if (news == NULL)
		return;
	uv_close((uv_handle_t *)news->timer, handle_timer_closed);
	g_free(news);
}

static void
handle_timer(uv_timer_t *timer)
{
	struct quarantine_news *news = timer->data;

	news->spread_ms = proxy_now_ms(news->proxy);
	heartbeat_announce_to_all_zones(news->proxy->heartbeat);
}

/*
 * Tell some peers of each zone soon.
 */
void
quarantine_news_spread(struct quarantine_news *news)
{
	int64_t wait_ms =
	    news->spread_ms + SPREAD_INTERVAL_MS - proxy_now_ms(news->proxy);

	if (!uv_is_active((uv_handle_t *)news->timer))
		uv_timer_start(news->timer, handle_timer,
		    (uint64_t)MAX(wait_ms, SPREAD_DELAY_MS), 0);
}

/* Parse a text from a peer; returns false, with a log line, if malformed. */
static bool
parse_text(
    struct quarantine_news *news, struct str text, struct suspect *suspect)
{
	struct json_line *line;

	if (suspect_parse(text, proxy_now_ms(news->proxy), suspect))
		return true;
	line = json_log_begin(
	    news->proxy->log, LOG_CLASS_FAILURE, "suspect_malformed");
	json_line_text(line, "text", text);
	json_log_end(line);
	return false;
}

static void
merge(struct quarantine_news *news, const struct suspect *suspects,
    size_t count, bool whole)
{
	if (quarantine_merge(news->proxy->quarantine, suspects, count, whole,
		proxy_now_ms(news->proxy)))
		quarantine_news_spread(news);
}

/*
 * Merge what a peer knows of one request.
 */
void
quarantine_news_read(struct quarantine_news *news, struct str text)
{
	struct suspect suspect;

	if (parse_text(news, text, &suspect))
		merge(news, &suspect, 1, false);
}

static void
collect(struct quarantine_news *news, struct heartbeat_message *message,
    bool all_verdicts)
{
	int64_t now_ms = proxy_now_ms(news->proxy);
	GPtrArray *suspects = g_ptr_array_new();

	quarantine_list(news->proxy->quarantine, now_ms - RECENT_MS,
	    all_verdicts, HEARTBEAT_SUSPECTS_MAX, suspects);
	heartbeat_message_clear_suspects(message);
	for (guint i = 0; i < suspects->len; i++) {
		GString *text = g_string_new(NULL);

		suspect_format(suspects->pdata[i], now_ms, text);
		message->suspects[i] = g_string_free(text, FALSE);
	}
	message->suspect_count = suspects->len;
	message->quarantine_hash = quarantine_hash(news->proxy->quarantine);
	g_ptr_array_unref(suspects);
}

/*
 * Add what has changed lately to a message.
 */
void
quarantine_news_collect(
    struct quarantine_news *news, struct heartbeat_message *message)
{
	collect(news, message, false);
}

/*
 * Add that, and all requests in quarantine or cleared of a crash, to a message.
 */
void
quarantine_news_collect_all(
    struct quarantine_news *news, struct heartbeat_message *message)
{
	collect(news, message, true);
}

/*
 * Merge what a peer's message says.
 */
void
quarantine_news_apply(
    struct quarantine_news *news, const struct heartbeat_message *message)
{
	struct suspect *suspects =
	    g_new(struct suspect, message->suspect_count);
	size_t count = 0;

	for (size_t i = 0; i < message->suspect_count; i++)
		count += parse_text(
		    news, str_from(message->suspects[i]), &suspects[count]);
	merge(news, suspects, count, true);
	g_free(suspects);
}
