#ifndef TREFOILHILL_ACCOUNT_ACCOUNT_H
#define TREFOILHILL_ACCOUNT_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the connections of a process occupy together: memory and descriptors,
 * without I/O. Load pattern: crowds of callers that send without reading, that
 * leave messages unfinished, or that only stay connected.
 *
 * Connections are of classes. Each class has a reserve, which no other can use,
 * and all share the rest. So a class that is at its limit makes room only among
 * its own connections: callers never starve nodes or operators.
 */
struct account;

enum connection_class {
	CONNECTION_CALLER,
	CONNECTION_NODE, /* from another node */
	CONNECTION_OPERATOR,
	CONNECTION_METRICS,
	CONNECTION_UPSTREAM, /* to an upstream or a node, for a request */
	CONNECTION_CONTROL,  /* to the platform or a node, for ourselves */
	CONNECTION_CLASSES,
};

enum account_resource {
	ACCOUNT_MEMORY, /* in bytes */
	ACCOUNT_DESCRIPTORS,
	ACCOUNT_RESOURCES,
};

struct account_holder;

struct account_holder_ops {
	/*
	 * Does the process owe the peer something? It doesn't while it waits
	 * for the peer to finish a request or to read a response.
	 */
	bool (*is_working)(const struct account_holder *holder);
};

/*
 * One connection, and what it occupies. It is counted until its memory has been
 * freed, also after it has been closed.
 */
struct account_holder {
	const struct account_holder_ops *ops;
	void *owner; /* context for ops */
	struct account *account;
	enum connection_class class;
	uint64_t used[ACCOUNT_RESOURCES];
	int64_t progress_ms; /* when the peer last took a part of a response */
	bool served;         /* has taken one */
	bool revoked;        /* is closed, or about to be */
	/* Private. */
	bool open;
	uint32_t refs;
	GList link;
};

/* A limit that nothing reaches. */
#define ACCOUNT_UNLIMITED (UINT64_MAX / 1024)

struct account_settings {
	uint64_t limits[ACCOUNT_RESOURCES];
	/*
	 * For how long a peer may read nothing of what there is for it, and an
	 * operator may not ask for anything. 0: without end.
	 */
	int64_t unread_max_ms;
	int64_t operator_idle_max_ms;
};

struct account *account_new(const struct account_settings *settings);
/* NULL is allowed. Holders must not be used afterwards. */
void account_free(struct account *account);
/* Replace the limits; what is occupied already is not affected. */
void account_configure(
    struct account *account, const struct account_settings *settings);

/*
 * Count a connection and its descriptor. account may be NULL: then nothing is
 * counted. The caller ends it with account_close.
 */
struct account_holder *account_open(struct account *account,
    enum connection_class class, const struct account_holder_ops *ops,
    void *owner, int64_t now_ms);
/* The connection is closed: its descriptor is free. Drops the reference. */
void account_close(struct account_holder *holder);
/* Whoever occupies memory for a holder has a reference. NULL is allowed. */
struct account_holder *account_holder_ref(struct account_holder *holder);
void account_holder_unref(struct account_holder *holder);

/* Count memory that is occupied or freed. NULL is allowed. */
void account_charge(struct account_holder *holder, size_t bytes);
void account_refund(struct account_holder *holder, size_t bytes);
/* The peer has taken a part of a response. */
void account_progress(struct account_holder *holder, int64_t now_ms);

/* Memory that all classes occupy, also for connections that are closed. */
uint64_t account_memory(const struct account *account);
/* The most of it since the last call. */
uint64_t account_take_memory_peak(struct account *account);
/* May connections of a class occupy so much more? */
bool account_may_take(const struct account *account,
    enum connection_class class, enum account_resource resource,
    uint64_t amount);
/*
 * Choose a connection of a class that gives way, for the sake of another of the
 * class or because the class occupies too much; NULL if none does.
 */
struct account_holder *account_choose(struct account *account,
    enum connection_class class, enum account_resource resource,
    int64_t now_ms);
/* Is it time to close a connection on which nothing happens? */
bool account_is_expired(const struct account_holder *holder,
    bool has_unread_response, int64_t now_ms);
/* A connection is closed, or about to be: count it as if it were freed. */
void account_revoke(struct account_holder *holder);
/* First connection of a class, and the next one. */
struct account_holder *account_first(
    const struct account *account, enum connection_class class);
struct account_holder *account_next(const struct account_holder *holder);

uint64_t account_used(const struct account *account,
    enum connection_class class, enum account_resource resource);
uint64_t account_limit(
    const struct account *account, enum account_resource resource);
/* Part of a limit that only connections of the class can use. */
uint64_t account_reserve(const struct account *account,
    enum connection_class class, enum account_resource resource);
const struct account_settings *account_settings_of(
    const struct account *account);
const char *connection_class_name(enum connection_class class);

#endif
