#include "account/account.h"

enum {
	PERCENT = 100,
};

/* What only a class can use, in percent of the limit; the rest is shared. */
static const uint32_t reserve_percent[CONNECTION_CLASSES][ACCOUNT_RESOURCES] = {
	[CONNECTION_CALLER] = { 25, 25 },
	[CONNECTION_NODE] = { 25, 25 },
	[CONNECTION_OPERATOR] = { 5, 4 },
	[CONNECTION_METRICS] = { 5, 2 },
	[CONNECTION_UPSTREAM] = { 5, 15 },
	[CONNECTION_CONTROL] = { 5, 4 },
};

static const char *const class_names[CONNECTION_CLASSES] = {
	[CONNECTION_CALLER] = "caller",
	[CONNECTION_NODE] = "node",
	[CONNECTION_OPERATOR] = "operator",
	[CONNECTION_METRICS] = "metrics",
	[CONNECTION_UPSTREAM] = "upstream",
	[CONNECTION_CONTROL] = "control",
};

struct account {
	struct account_settings settings;
	uint64_t reserves[CONNECTION_CLASSES][ACCOUNT_RESOURCES];
	uint64_t used[CONNECTION_CLASSES][ACCOUNT_RESOURCES];
	/* The part of it that revoked connections occupy. */
	uint64_t revoked[CONNECTION_CLASSES][ACCOUNT_RESOURCES];
	GQueue open[CONNECTION_CLASSES]; /* struct account_holder */
	uint64_t memory;      /* of all, also of revoked connections */
	uint64_t memory_peak; /* since account_take_memory_peak */
};

/*
 * Return the name of a class, as shown in metrics and logs.
 */
const char *connection_class_name(enum connection_class class)
{
	return class_names[class];
}

/*
 * Return an account of which nothing is occupied. The caller frees it with
 * account_free.
 */
struct account *
account_new(const struct account_settings *settings)
{
	struct account *account = g_new0(struct account, 1);

	account_configure(account, settings);
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		g_queue_init(&account->open[i]);
	return account;
}

/*
 * Free an account. NULL is allowed.
 */
void
account_free(struct account *account)
{
	g_free(account);
}

/*
 * Replace the limits.
 */
void
account_configure(
    struct account *account, const struct account_settings *settings)
{
	account->settings = *settings;
	for (size_t i = 0; i < CONNECTION_CLASSES; i++)
		for (size_t j = 0; j < ACCOUNT_RESOURCES; j++)
			account->reserves[i][j] = settings->limits[j] *
			    reserve_percent[i][j] / PERCENT;
}

/* Count more or less of a resource; more is negative when it is freed. */
static void
count_used(
    struct account_holder *holder, enum account_resource resource, int64_t more)
{
	struct account *account = holder->account;

	holder->used[resource] += (uint64_t)more;
	if (account == NULL)
		return;
	account->used[holder->class][resource] += (uint64_t)more;
	if (resource == ACCOUNT_MEMORY) {
		account->memory += (uint64_t)more;
		account->memory_peak =
		    MAX(account->memory_peak, account->memory);
	}
	if (holder->revoked)
		account->revoked[holder->class][resource] += (uint64_t)more;
}

/*
 * Count a connection and its descriptor.
 */
struct account_holder *
account_open(struct account *account, enum connection_class class,
    const struct account_holder_ops *ops, void *owner, int64_t now_ms)
{
	struct account_holder *holder = g_new0(struct account_holder, 1);

	holder->ops = ops;
	holder->owner = owner;
	holder->account = account;
	holder->class = class;
	holder->progress_ms = now_ms;
	holder->open = true;
	holder->refs = 1;
	holder->link.data = holder;
	count_used(holder, ACCOUNT_DESCRIPTORS, 1);
	account_charge(holder, sizeof(*holder));
	if (account != NULL)
		g_queue_push_tail_link(&account->open[class], &holder->link);
	return holder;
}

/*
 * The connection is closed. What is still occupied for it stays counted.
 */
void
account_close(struct account_holder *holder)
{
	if (!holder->open)
		return;
	holder->open = false;
	count_used(holder, ACCOUNT_DESCRIPTORS, -1);
	if (holder->account != NULL)
		g_queue_unlink(
		    &holder->account->open[holder->class], &holder->link);
	account_holder_unref(holder);
}

/*
 * Take a reference. NULL is allowed.
 */
struct account_holder *
account_holder_ref(struct account_holder *holder)
{
	if (holder != NULL)
		holder->refs++;
	return holder;
}

/*
 * Drop a reference, and free the holder with the last one. NULL is allowed.
 */
void
account_holder_unref(struct account_holder *holder)
{
	if (holder == NULL || --holder->refs > 0)
		return;
	account_refund(holder, sizeof(*holder));
	g_free(holder);
}

/*
 * Count memory that is occupied for a connection. NULL is allowed.
 */
void
account_charge(struct account_holder *holder, size_t bytes)
{
	if (holder != NULL)
		count_used(holder, ACCOUNT_MEMORY, (int64_t)bytes);
}

/*
 * Count memory that was occupied for a connection and is freed. NULL is
 * allowed.
 */
void
account_refund(struct account_holder *holder, size_t bytes)
{
	if (holder != NULL)
		count_used(holder, ACCOUNT_MEMORY, -(int64_t)bytes);
}

/*
 * The peer has taken a part of a response. NULL is allowed.
 */
void
account_progress(struct account_holder *holder, int64_t now_ms)
{
	if (holder == NULL)
		return;
	holder->progress_ms = now_ms;
	holder->served = true;
}

/*
 * A connection is closed or about to be, so that others can have what it
 * occupies.
 */
void
account_revoke(struct account_holder *holder)
{
	if (holder->revoked)
		return;
	holder->revoked = true;
	for (size_t i = 0; holder->account != NULL && i < ACCOUNT_RESOURCES;
	     i++)
		holder->account->revoked[holder->class][i] += holder->used[i];
}

/*
 * Return what a class occupies, without connections that are going to be
 * closed.
 */
uint64_t
account_used(const struct account *account, enum connection_class class,
    enum account_resource resource)
{
	return account->used[class][resource] -
	    account->revoked[class][resource];
}

/*
 * Return the limit of a resource.
 */
uint64_t
account_limit(const struct account *account, enum account_resource resource)
{
	return account->settings.limits[resource];
}

/*
 * Return the settings of an account.
 */
const struct account_settings *
account_settings_of(const struct account *account)
{
	return &account->settings;
}

/*
 * Return the part of a limit that only a class can use.
 */
uint64_t
account_reserve(const struct account *account, enum connection_class class,
    enum account_resource resource)
{
	return account->reserves[class][resource];
}

/*
 * Return the memory that all classes occupy.
 */
uint64_t
account_memory(const struct account *account)
{
	return account->memory;
}

/*
 * Return the most memory that was occupied since the last call.
 */
uint64_t
account_take_memory_peak(struct account *account)
{
	uint64_t peak = account->memory_peak;

	account->memory_peak = account->memory;
	return peak;
}

/*
 * Tell whether connections of a class may occupy more: within the reserve of
 * the class always, and above it while the shared part of the limit lasts.
 */
bool
account_may_take(const struct account *account, enum connection_class class,
    enum account_resource resource, uint64_t amount)
{
	uint64_t own = account_used(account, class, resource) + amount;
	uint64_t needed = own;

	if (own <= account->reserves[class][resource])
		return true;
	for (size_t i = 0; i < CONNECTION_CLASSES; i++) {
		if (i != class)
			needed += MAX(account_used(account, i, resource),
			    account->reserves[i][resource]);
	}
	return needed <= account->settings.limits[resource];
}

/*
 * Return the first connection of a class, the oldest one; NULL if there is
 * none.
 */
struct account_holder *
account_first(const struct account *account, enum connection_class class)
{
	const GList *link = account->open[class].head;

	return link == NULL ? NULL : link->data;
}

/*
 * Return the next connection of the same class; NULL behind the last one.
 */
struct account_holder *
account_next(const struct account_holder *holder)
{
	return holder->link.next == NULL ? NULL : holder->link.next->data;
}
