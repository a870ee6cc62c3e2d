#ifndef TREFOILHILL_TESTS_ADMISSION_FIXTURE_H
#define TREFOILHILL_TESTS_ADMISSION_FIXTURE_H

#include <glib.h>

#include "guard/admission.h"

enum {
	SLOTS = 4,
	QUEUE_MAX = 3,
	FOREVER_MS = 1000000,
	WAITERS_MAX = 64,
};

/* A request that records the call of its handler. */
struct offered_request {
	struct admission_waiter waiter; /* first */
	bool notified;
	enum admission_reason reason;
};

struct fixture {
	struct admission *admission;
	struct offered_request requests[WAITERS_MAX];
	size_t offered_count;
};

/* Records the reason in the offered request. */
void handle_dequeue(
    struct admission_waiter *waiter, enum admission_reason reason);
void fixture_init(struct fixture *f);
/* Offer the next of the fixture's requests. */
enum admission_verdict offer(struct fixture *f, uint32_t priority,
    int64_t latest_ms, int64_t now_ms, struct offered_request **out);
/* Finish a running request without a large response; any of them will do. */
void finish(struct fixture *f, enum admission_outcome outcome,
    uint32_t latency_us, int64_t now_ms);
void fill_slots(struct fixture *f, int64_t now_ms);

#endif
