#ifndef TREFOILHILL_QUARANTINE_BLAME_H
#define TREFOILHILL_QUARANTINE_BLAME_H

#include "quarantine/crash_log.h"

/*
 * Which requests crash upstreams, from which were in progress at which crash.
 * Answers a load in which one request crashes each upstream that runs it, while
 * many others lose their answers with it, some of them more than once, and one
 * in which upstreams crash by themselves. Depends on nothing but the crashes,
 * so that nodes that know the same agree.
 */
struct blame_facts {
	GPtrArray *suspects;             /* struct suspect */
	const struct crash_log *crashes; /* of all services */
};

/* Has it been in a crash that no quarantined request explains? */
bool blame_is_possible(
    const struct suspect *suspect, const struct blame_facts *facts);
/* The number of such crashes of which it is known what else was in them. */
uint32_t blame_count(
    const struct suspect *suspect, const struct blame_facts *facts);
/* Set which of the suspects are quarantined. */
void blame_evaluate(const struct blame_facts *facts);

#endif
