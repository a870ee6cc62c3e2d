#include "account/account.h"

/* Who gives way when connections of a class need room. */

enum {
	/*
	 * Added to the time without progress when memory is compared, so that
	 * one that is large and new counts, too.
	 */
	NEW_MS = 1000,
	/*
	 * A connection on which nothing was ever answered counts as idle for so
	 * many times as long. A caller that has just connected and is about to
	 * send its first request still stays before others.
	 */
	UNSERVED_FACTOR = 4,
};

static uint64_t
idle_ms(const struct account_holder *holder, int64_t now_ms)
{
	return (uint64_t)MAX(now_ms - holder->progress_ms, 0);
}

/*
 * How much a connection should give way: 0 for not at all. For a descriptor,
 * those give way that do least with theirs, but none that the process is
 * working for. For memory, those that occupy much and have taken nothing for
 * long.
 */
static uint64_t
rank(const struct account_holder *holder, enum account_resource resource,
    int64_t now_ms)
{
	if (resource == ACCOUNT_MEMORY)
		return holder->used[ACCOUNT_MEMORY] *
		    (idle_ms(holder, now_ms) + NEW_MS);
	if (holder->ops->is_working(holder))
		return 0;
	return 1 +
	    idle_ms(holder, now_ms) * (holder->served ? 1 : UNSERVED_FACTOR);
}

/*
 * Choose the connection of a class that gives way; NULL if none does.
 */
struct account_holder *
account_choose(struct account *account, enum connection_class class,
    enum account_resource resource, int64_t now_ms)
{
	struct account_holder *chosen = NULL;
	uint64_t highest = 0;

	for (struct account_holder *holder = account_first(account, class);
	     holder != NULL; holder = account_next(holder)) {
		uint64_t value =
		    holder->revoked ? 0 : rank(holder, resource, now_ms);

		if (value <= highest)
			continue;
		highest = value;
		chosen = holder;
	}
	return chosen;
}

static bool
has_passed(int64_t max_ms, uint64_t ms)
{
	return max_ms > 0 && ms >= (uint64_t)max_ms;
}

/*
 * Tell whether to close a connection on which nothing happens. Requests of
 * callers and nodes have time limits of their own, but not what is left to send
 * when they have ended.
 */
bool
account_is_expired(const struct account_holder *holder,
    bool has_unread_response, int64_t now_ms)
{
	const struct account_settings *settings =
	    account_settings_of(holder->account);
	uint64_t ms = idle_ms(holder, now_ms);

	if (holder->revoked)
		return false;
	if (has_unread_response)
		return has_passed(settings->unread_max_ms, ms);
	return (holder->class == CONNECTION_OPERATOR ||
		   holder->class == CONNECTION_METRICS) &&
	    has_passed(settings->operator_idle_max_ms, ms);
}
