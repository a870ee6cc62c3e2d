#ifndef TREFOILHILL_ACCOUNT_TURNS_H
#define TREFOILHILL_ACCOUNT_TURNS_H

#include "account/account.h"

/*
 * Whose input is processed next, without I/O. Load pattern: connections on
 * which thousands of requests arrive at once. In one iteration of the event
 * loop, each class of connections gets a number of turns, and a connection that
 * has more input waits behind the others of its class. What ends in an
 * iteration is freed only after it, so this also bounds that memory.
 */

struct turns_class {
	GQueue waiting; /* links of connections */
	uint32_t left;  /* turns, in this iteration */
};

/* Initialized by turns_init. */
struct turns {
	struct turns_class classes[CONNECTION_CLASSES];
};

void turns_init(struct turns *turns);
/* An iteration begins. */
void turns_begin(struct turns *turns);
/* Could turns_take be successful? */
bool turns_is_free(const struct turns *turns, enum connection_class class);
/*
 * Take a turn immediately; false if none is left, or if others of the class
 * wait for theirs.
 */
bool turns_take(struct turns *turns, enum connection_class class);
/* So many bytes were processed in a turn; much input costs several turns. */
void turns_charge(
    struct turns *turns, enum connection_class class, size_t bytes);
/* Wait for a turn. */
void turns_wait(struct turns *turns, enum connection_class class, GList *link);
/* Wait no more. */
void turns_cancel(
    struct turns *turns, enum connection_class class, GList *link);
/*
 * Take a turn for the first that waits; NULL if there is none, or no turn is
 * left.
 */
GList *turns_next(struct turns *turns, enum connection_class class);
/* Does any connection wait? */
bool turns_any_waits(const struct turns *turns);

#endif
