#include "guard/dedup_record.h"

enum dedup_state {
	STATE_ACTIVE,
	STATE_RAN,
	STATE_REFUSED,
};

struct dedup_entry {
	struct str request;
	struct str key;
	uint32_t attempt;
	enum dedup_state state;
	struct timespec expiry;
	GList *link; /* in the queue of its state; NULL if STATE_ACTIVE */
};

struct dedup_record {
	size_t capacity;
	uint32_t ran_lease_ms;
	uint32_t refused_lease_ms;
	GHashTable *by_request; /* request of an entry to the entry; owns it */
	GHashTable *by_key;     /* key of an entry to the entry */
	GQueue ran;             /* oldest first */
	GQueue refused;         /* oldest first */
};

/* The djb2 hash. */
static guint
str_key_hash(gconstpointer ptr)
{
	const struct str *s = ptr;
	guint hash = 5381;

	for (size_t i = 0; i < s->len; i++)
		hash = hash * 33 + (guint)(unsigned char)s->ptr[i];
	return hash;
}

static gboolean
str_key_equal(gconstpointer a, gconstpointer b)
{
	return str_equal(*(const struct str *)a, *(const struct str *)b);
}

static void
dedup_entry_free(gpointer ptr)
{
	struct dedup_entry *entry = ptr;

	str_release(&entry->request);
	str_release(&entry->key);
	g_free(entry);
}

/*
 * Create a record for at most capacity calls, running and ended ones together.
 * The leases are in milliseconds.
 */
struct dedup_record *
dedup_record_new(
    size_t capacity, uint32_t ran_lease_ms, uint32_t refused_lease_ms)
{
	struct dedup_record *record = g_new0(struct dedup_record, 1);

	record->capacity = MAX(capacity, 1);
	record->ran_lease_ms = ran_lease_ms;
	record->refused_lease_ms = refused_lease_ms;
	record->by_request = g_hash_table_new_full(
	    str_key_hash, str_key_equal, NULL, dedup_entry_free);
	record->by_key = g_hash_table_new(str_key_hash, str_key_equal);
	g_queue_init(&record->ran);
	g_queue_init(&record->refused);
	return record;
}

/*
 * Free a record with all its entries. NULL is allowed.
 */
void
dedup_record_free(struct dedup_record *record)
{
	if (record == NULL)
		return;
	g_queue_clear(&record->ran);
	g_queue_clear(&record->refused);
	g_hash_table_destroy(record->by_key);
	g_hash_table_destroy(record->by_request);
	g_free(record);
}

static GQueue *
entry_queue(struct dedup_record *record, const struct dedup_entry *entry)
{
	return entry->state == STATE_RAN ? &record->ran : &record->refused;
}

static void
remove_key(struct dedup_record *record, struct dedup_entry *entry)
{
	if (entry->key.len > 0 &&
	    g_hash_table_lookup(record->by_key, &entry->key) == entry)
		g_hash_table_remove(record->by_key, &entry->key);
}

static void
remove_entry(struct dedup_record *record, struct dedup_entry *entry)
{
	if (entry->link != NULL)
		g_queue_delete_link(entry_queue(record, entry), entry->link);
	remove_key(record, entry);
	g_hash_table_remove(record->by_request, &entry->request);
}

static void
expire_queue(struct dedup_record *record, GQueue *queue, struct timespec now)
{
	struct dedup_entry *oldest;

	while ((oldest = g_queue_peek_head(queue)) != NULL &&
	    timespec_before(oldest->expiry, now))
		remove_entry(record, oldest);
}

static void
retain_entry(struct dedup_record *record, struct dedup_entry *entry,
    enum dedup_state state, struct timespec expiry)
{
	GQueue *queue;

	entry->state = state;
	entry->expiry = expiry;
	queue = entry_queue(record, entry);
	g_queue_push_tail(queue, entry);
	entry->link = g_queue_peek_tail_link(queue);
}

static struct dedup_entry *
insert_entry(struct dedup_record *record, struct str request, uint32_t attempt)
{
	struct dedup_entry *entry = g_new0(struct dedup_entry, 1);

	entry->request = str_dup(request);
	entry->attempt = attempt;
	g_hash_table_insert(record->by_request, &entry->request, entry);
	return entry;
}

/*
 * Look a call up. A later attempt of a request that was refused counts as new.
 */
enum dedup_verdict
dedup_record_check(struct dedup_record *record, struct str request,
    struct str key, uint32_t attempt, struct timespec now)
{
	struct dedup_entry *entry;

	expire_queue(record, &record->ran, now);
	expire_queue(record, &record->refused, now);
	entry = g_hash_table_lookup(record->by_request, &request);
	if (entry != NULL && entry->state != STATE_REFUSED)
		return DEDUP_DUPLICATE;
	if (key.len > 0 && g_hash_table_contains(record->by_key, &key))
		return DEDUP_DUPLICATE;
	if (entry != NULL && attempt <= entry->attempt)
		return DEDUP_REFUSED;
	return DEDUP_NEW;
}

/*
 * Look up a call that is about to be admitted, and add it if it is new. The
 * entry, owned by the record, is valid until it is passed to
 * dedup_record_mark_ran or dedup_record_mark_not_run.
 */
enum dedup_verdict
dedup_record_insert(struct dedup_record *record, struct str request,
    struct str key, uint32_t attempt, struct timespec now,
    struct dedup_entry **out)
{
	enum dedup_verdict verdict =
	    dedup_record_check(record, request, key, attempt, now);
	struct dedup_entry *entry;

	if (verdict != DEDUP_NEW)
		return verdict;
	entry = g_hash_table_lookup(record->by_request, &request);
	if (entry != NULL)
		remove_entry(record, entry);
	else if (dedup_record_count(record) >= record->capacity)
		return DEDUP_FULL;
	entry = insert_entry(record, request, attempt);
	entry->state = STATE_ACTIVE;
	if (key.len > 0) {
		entry->key = str_dup(key);
		g_hash_table_insert(record->by_key, &entry->key, entry);
	}
	*out = entry;
	return DEDUP_NEW;
}

/*
 * Mark a call that ended as one that may have run. It is kept for the lease,
 * counted from now or from its deadline, whichever is later, as its sender may
 * retry until the deadline.
 */
void
dedup_record_mark_ran(struct dedup_record *record, struct dedup_entry *entry,
    struct timespec now, struct timespec deadline)
{
	struct timespec from = timespec_before(now, deadline) ? deadline : now;

	retain_entry(record, entry, STATE_RAN,
	    timespec_plus_ms(from, record->ran_lease_ms));
}

/*
 * Mark a call that ended as one that did not run. Its key is released, and
 * later attempts of the request may run, but no copy of this attempt.
 */
void
dedup_record_mark_not_run(
    struct dedup_record *record, struct dedup_entry *entry, struct timespec now)
{
	remove_key(record, entry);
	str_release(&entry->key);
	retain_entry(record, entry, STATE_REFUSED,
	    timespec_plus_ms(now, record->refused_lease_ms));
}

/*
 * Add a call that was refused before it was inserted. Returns false when the
 * record is full.
 */
bool
dedup_record_add_refusal(struct dedup_record *record, struct str request,
    uint32_t attempt, struct timespec now)
{
	struct dedup_entry *entry =
	    g_hash_table_lookup(record->by_request, &request);

	if (entry != NULL) {
		if (entry->state != STATE_REFUSED)
			return true;
		attempt = MAX(attempt, entry->attempt);
		remove_entry(record, entry);
	} else if (dedup_record_count(record) >= record->capacity) {
		return false;
	}
	entry = insert_entry(record, request, attempt);
	retain_entry(record, entry, STATE_REFUSED,
	    timespec_plus_ms(now, record->refused_lease_ms));
	return true;
}

/*
 * Return the number of entries.
 */
size_t
dedup_record_count(const struct dedup_record *record)
{
	return g_hash_table_size(record->by_request);
}
