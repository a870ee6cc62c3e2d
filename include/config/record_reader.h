#ifndef TREFOILHILL_CONFIG_RECORD_READER_H
#define TREFOILHILL_CONFIG_RECORD_READER_H

#include "config/record.h"
#include "config/refusal.h"

/*
 * Like record_parse, but reports the invalid field. Either the result or the
 * refusal is NULL.
 */
struct record *record_read(
    const json_t *json, uint64_t version, struct refusal **refusal);

#endif
