#ifndef TREFOILHILL_CONFIG_RECORD_READER_H
#define TREFOILHILL_CONFIG_RECORD_READER_H

#include "config/record.h"
#include "config/refusal.h"

/* As record_parse, but with the field at fault; one of the two is NULL. */
struct record *record_read(
    const json_t *json, uint64_t version, struct refusal **refusal);

#endif
