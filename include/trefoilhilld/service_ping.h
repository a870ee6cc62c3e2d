#ifndef TREFOILHILL_TREFOILHILLD_SERVICE_PING_H
#define TREFOILHILL_TREFOILHILLD_SERVICE_PING_H

#include "trefoilhilld/call_link.h"
#include "trefoilhilld/locked_guard.h"
#include "trefoilhilld/service_table.h"
#include "wire/call.h"

/* An entry asks now and then which of its calls are still at this guard. */
void service_ping_reply(struct service_table *table, struct locked_guard *guard,
    const struct call_frame *ping, struct call_link *link);

#endif
