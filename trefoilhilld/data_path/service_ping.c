#include <string.h>

#include "trefoilhilld/service_ping.h"

/*
 * Tell an entry which of the calls it asked for are on this node.
 */
void
service_ping_reply(struct service_table *table, struct locked_guard *guard,
    const struct call_frame *ping, struct call_link *link)
{
	GArray *running = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *gone = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct call_frame frame;

	for (size_t i = 0; i < ping->ping.count; i++) {
		struct service_call_key key = { ping->entry,
			ping->ping.list[i] };
		struct service_call *call = service_table_find(table, &key);

		g_array_append_val(call == NULL ? gone : running, key.call);
		if (call == NULL)
			continue;
		service_call_mark_alive(call);
		service_call_unref(call);
	}
	memset(&frame, 0, sizeof(frame));
	frame.kind = CALL_PONG;
	frame.entry = ping->entry;
	frame.has_hint = true;
	frame.hint = locked_guard_hint(guard);
	frame.pong.running.count = running->len;
	frame.pong.running.list = (const uint64_t *)(void *)running->data;
	frame.pong.gone.count = gone->len;
	frame.pong.gone.list = (const uint64_t *)(void *)gone->data;
	call_link_send(link, &frame, NULL);
	g_array_unref(running);
	g_array_unref(gone);
}
