#ifndef TREFOILHILL_TREFOILHILL_PROXY_QUARANTINE_NEWS_H
#define TREFOILHILL_TREFOILHILL_PROXY_QUARANTINE_NEWS_H

#include "quarantine/quarantine.h"
#include "trefoilhill-proxy/heartbeat_message.h"
#include "trefoilhill-proxy/proxy.h"

/*
 * Spreads what nodes know of requests that crash upstreams: at once when it is
 * new, with heartbeats, and with each request that it is about.
 */
struct quarantine_news;

struct quarantine_news *quarantine_news_new(struct proxy *proxy);
void quarantine_news_free(struct quarantine_news *news);
/* Tell some peers soon; they tell others. */
void quarantine_news_spread(struct quarantine_news *news);
/* Merge a text from a peer, of one request; spreads it if it was news. */
void quarantine_news_read(struct quarantine_news *news, struct str text);
/* Add what is recent to a message. */
void quarantine_news_collect(
    struct quarantine_news *news, struct heartbeat_message *message);
/* Add all that is in quarantine, for a peer that seems to know less. */
void quarantine_news_collect_all(
    struct quarantine_news *news, struct heartbeat_message *message);
void quarantine_news_apply(
    struct quarantine_news *news, const struct heartbeat_message *message);

#endif
