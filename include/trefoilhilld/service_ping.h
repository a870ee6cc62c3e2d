#ifndef TREFOILHILL_TREFOILHILLD_SERVICE_PING_H
#define TREFOILHILL_TREFOILHILLD_SERVICE_PING_H

#include "trefoilhilld/call_link.h"
#include "trefoilhilld/locked_guard.h"
#include "trefoilhilld/service_table.h"
#include "wire/call.h"

/* Replies to an entry's periodic check of which of its calls this node has. */
void service_ping_reply(struct service_table *table, struct locked_guard *guard,
    const struct call_frame *ping, struct call_link *link);

#endif
