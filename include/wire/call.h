#ifndef TREFOILHILL_WIRE_CALL_H
#define TREFOILHILL_WIRE_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "guard/guard.h"

/*
 * Typed frames of the call path, between an entry (the node that accepted the
 * caller's request) and a guard (the node that admits it to the upstream).
 */

enum {
	CALL_HEAD_MAX = 96 * 1024, /* bytes of one encoded frame */
	CALL_HEADERS_MAX = 64,
	CALL_HEADER_BYTES_MAX = 32 * 1024, /* names and values together */
	CALL_REQUEST_MAX = 64,
	CALL_KEY_MAX = 256,
	CALL_NAME_MAX = 64,
	CALL_METHOD_MAX = 32,
	CALL_TARGET_MAX = 16 * 1024,
	CALL_PING_MAX = 4096,
	CALL_CHUNK_BYTES = 64 * 1024,
	CALL_WINDOW_BYTES = 512 * 1024,
	CALL_TIMEOUT_MAX_MS = 24 * 3600 * 1000,
};

#define CALL_LENGTH_UNKNOWN UINT64_MAX

#define CALL_ERROR (call_error_quark())

enum call_error {
	CALL_ERROR_MALFORMED,
	CALL_ERROR_TOO_LARGE,
	CALL_ERROR_UNKNOWN_KIND,
	CALL_ERROR_FIELD,
};

enum call_kind {
	CALL_OPEN,
	CALL_BODY,
	CALL_CREDIT,
	CALL_CANCEL,
	CALL_HEAD,
	CALL_REFUSED,
	CALL_PING,
	CALL_PONG,
};

struct call_header {
	struct str name;
	struct str value;
};

struct call_headers {
	size_t count;
	struct call_header list[CALL_HEADERS_MAX];
};

struct call_open {
	struct str request; /* request id */
	struct str key;     /* Idempotency-Key, empty if none */
	struct str upstream;
	struct str method;
	struct str target;
	struct call_headers headers;
	uint32_t timeout_ms;
	uint32_t attempt; /* number of this OPEN frame for the request */
	uint32_t retry; /* try of the request, including the callers' retries */
	bool idempotent;
	uint64_t guard_incarnation;
	uint64_t guard_tick;
	uint64_t length; /* of the body, or CALL_LENGTH_UNKNOWN */
	bool end;        /* this frame carries the whole body */
	uint64_t credit;
};

struct call_body {
	uint64_t offset;
	bool end;
};

struct call_head {
	uint32_t status;
	struct call_headers headers;
	uint64_t length;
	bool end;
};

struct call_refused {
	enum refusal_reason reason;
	bool not_run;
	uint32_t retry_after_ms;
};

struct call_ids {
	size_t count;
	const uint64_t *list;
};

struct call_pong {
	struct call_ids running;
	struct call_ids gone;
};

/* Strings and lists are views; after decoding they point into storage. */
struct call_frame {
	enum call_kind kind;
	uint64_t entry; /* incarnation of the entry */
	uint64_t call;  /* id of the call at the entry, with its generation */
	bool has_hint;
	struct guard_hint hint;
	union {
		struct call_open open;
		struct call_body body;
		uint64_t credit_upto;
		struct call_head head;
		struct call_refused refused;
		struct call_ids ping;
		struct call_pong pong;
	};
	void *storage; /* decoded protobuf message that the views point into */
};

GQuark call_error_quark(void);
GBytes *call_frame_encode(const struct call_frame *frame);
/* Returns a new frame, or NULL with error set. */
struct call_frame *call_frame_decode(struct str head, GError **error);
void call_frame_free(struct call_frame *frame);
const char *call_kind_name(enum call_kind kind);

#endif
