#ifndef TREFOILHILL_STANDIN_UPSTREAM_SERVE_H
#define TREFOILHILL_STANDIN_UPSTREAM_SERVE_H

#include <civetweb.h>

#include "standin-upstream/upstream.h"

int serve_request(struct mg_connection *conn, void *arg);
int serve_work(struct mg_connection *conn, struct upstream *upstream);

#endif
