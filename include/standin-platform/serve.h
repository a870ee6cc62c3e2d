#ifndef TREFOILHILL_STANDIN_PLATFORM_SERVE_H
#define TREFOILHILL_STANDIN_PLATFORM_SERVE_H

#include <civetweb.h>

#include "standin-platform/platform.h"

int serve_request(struct mg_connection *conn, void *arg);
int serve_changes(struct mg_connection *conn, struct platform *platform);
int serve_records(struct mg_connection *conn, struct platform *platform);
int serve_hosts(struct mg_connection *conn, struct platform *platform);

#endif
