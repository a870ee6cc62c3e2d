#ifndef TREFOILHILL_STANDIN_PLATFORM_HTTP_H
#define TREFOILHILL_STANDIN_PLATFORM_HTTP_H

#include <civetweb.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* HTTP server functions shared by both stand-ins. */

struct standin_http_settings {
	const char *listen;   /* IP:PORT */
	unsigned int threads; /* each keep-alive connection occupies one */
	uint32_t connect_cost_us;
	mg_request_handler handler;
	void *arg;
};

#define STANDIN_ERROR standin_error_quark()

enum standin_error {
	STANDIN_ERROR_LISTEN,
	STANDIN_ERROR_OPTION,
};

GQuark standin_error_quark(void);

struct mg_context *standin_http_start(
    const struct standin_http_settings *settings, GError **error);
void standin_http_wait_for_signal(void);
void standin_http_block_signals(void);

int standin_http_reply(struct mg_connection *conn, int status,
    const char *headers, const char *body, size_t len);
int standin_http_reply_json(
    struct mg_connection *conn, int status, json_t *json);
int standin_http_reply_error(
    struct mg_connection *conn, int status, const char *type);
char *standin_http_read_body(
    struct mg_connection *conn, size_t max, size_t *len);
json_t *standin_http_read_json(struct mg_connection *conn, size_t max);
uint64_t standin_http_query_number(
    const struct mg_connection *conn, const char *name, uint64_t fallback);
bool standin_http_is_peer_closed(const struct mg_connection *conn, int wait_ms);
int standin_http_close(struct mg_connection *conn);
bool standin_http_is_request(
    const struct mg_connection *conn, const char *method, const char *uri);

#endif
