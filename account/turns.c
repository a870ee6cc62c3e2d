#include "account/turns.h"

/*
 * Messages, or pieces of one, that are processed in an iteration. A page of
 * metrics takes as long as many requests.
 */
static const uint32_t turns_each[CONNECTION_CLASSES] = {
	[CONNECTION_CALLER] = 64,
	[CONNECTION_NODE] = 64,
	[CONNECTION_OPERATOR] = 16,
	[CONNECTION_METRICS] = 4,
	[CONNECTION_UPSTREAM] = 64,
	[CONNECTION_CONTROL] = 64,
};

enum {
	/* More input takes longer than the handling of a small message. */
	TURN_BYTES = 4096,
};

/*
 * Initialize turns: nobody waits.
 */
void
turns_init(struct turns *turns)
{
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		g_queue_init(&turns->classes[i].waiting);
	turns_begin(turns);
}

/*
 * An iteration begins: all turns are left.
 */
void
turns_begin(struct turns *turns)
{
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		turns->classes[i].left = turns_each[i];
}

/*
 * Tell whether a turn is left, for which no other waits.
 */
bool
turns_is_free(const struct turns *turns, enum connection_class class)
{
	const struct turns_class *own = &turns->classes[class];

	return own->left > 0 && own->waiting.length == 0;
}

/*
 * Take a turn immediately, unless others wait.
 */
bool
turns_take(struct turns *turns, enum connection_class class)
{
	if (!turns_is_free(turns, class))
		return false;
	turns->classes[class].left--;
	return true;
}

/*
 * Take further turns for much input.
 */
void
turns_charge(struct turns *turns, enum connection_class class, size_t bytes)
{
	struct turns_class *own = &turns->classes[class];

	own->left -= (uint32_t)MIN(own->left, bytes / TURN_BYTES);
}

/*
 * Wait behind the others of the class.
 */
void
turns_wait(struct turns *turns, enum connection_class class, GList *link)
{
	g_queue_push_tail_link(&turns->classes[class].waiting, link);
}

/*
 * Wait no more.
 */
void
turns_cancel(struct turns *turns, enum connection_class class, GList *link)
{
	g_queue_unlink(&turns->classes[class].waiting, link);
}

/*
 * Take a turn for the first that waits.
 */
GList *
turns_next(struct turns *turns, enum connection_class class)
{
	struct turns_class *own = &turns->classes[class];

	if (own->left == 0 || g_queue_is_empty(&own->waiting))
		return NULL;
	own->left--;
	return g_queue_pop_head_link(&own->waiting);
}

/*
 * Tell whether any connection waits for a turn.
 */
bool
turns_any_waits(const struct turns *turns)
{
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		if (turns->classes[i].waiting.length > 0)
			return true;
	return false;
}
