#include "trefoilhill-proxy/follower_private.h"

/* What others ask of the copy that the follower keeps. */

/*
 * Return the replica.
 */
struct replica *
follower_replica(struct follower *follower)
{
	return follower->replica;
}

/*
 * Return the time since the store confirmed the copy, to this node or to a peer
 * that reported it; -1 if it never did.
 */
int64_t
follower_age_ms(const struct follower *follower)
{
	if (follower->outage.confirmed_ms == 0)
		return -1;
	return proxy_now_ms(follower->proxy) - follower->outage.confirmed_ms;
}

/*
 * Return for how long peers have known more than the copy.
 */
int64_t
follower_behind_ms(const struct follower *follower)
{
	return copy_lag_ms(&follower->lag, proxy_now_ms(follower->proxy));
}

/*
 * Return why the copy is behind.
 */
const char *
follower_behind_reason(const struct follower *follower)
{
	if (follower_behind_ms(follower) == 0)
		return "";
	if (follower_store_is_lost(follower))
		return "no node has sent the changes, and the store doesn't "
		       "answer";
	return follower->is_reader ? "a read of the store is in progress"
				   : "no node has sent the changes";
}

/*
 * Tell whether this node reads the store.
 */
bool
follower_is_reader(const struct follower *follower)
{
	return follower->is_reader;
}

/*
 * Tell whether the last read of the store failed.
 */
bool
follower_store_is_lost(const struct follower *follower)
{
	return follower->outage.unreachable_since_ms != 0;
}

/*
 * Tell whether the configuration in force is outdated, as a newer one is being
 * decoded.
 */
bool
follower_has_pending_config(const struct follower *follower)
{
	return config_slices_is_pending(follower->config_slices);
}

/*
 * Return how much longer removed registrations may be restored, as they may
 * have expired during an outage of the store; 0 if they are final.
 */
int64_t
follower_removal_grace_ms(const struct follower *follower)
{
	return store_outage_grace_ms(
	    &follower->outage, proxy_now_ms(follower->proxy));
}

/*
 * Return for how long the copy has been confirmed without an outage of the
 * store.
 */
int64_t
follower_steady_ms(const struct follower *follower)
{
	return store_outage_steady_ms(
	    &follower->outage, proxy_now_ms(follower->proxy));
}
