#ifndef TREFOILHILL_WIRE_TRANSPORT_COUNTERS_H
#define TREFOILHILL_WIRE_TRANSPORT_COUNTERS_H

#include "common/counter.h"
#include "wire/transport.h"

extern const struct counter_desc
    transport_counter_descs[TRANSPORT_COUNTER_COUNT];

#endif
