#ifndef TREFOILHILL_PLATFORM_JSON_TABLE_H
#define TREFOILHILL_PLATFORM_JSON_TABLE_H

#include "platform/json_fields.h"

/* Handles one entry; false with error set if it is invalid. */
typedef bool (*json_entry_fn)(
    void *arg, const char *name, const json_t *value, GError **error);

/*
 * Call handle for each entry of a field that is a table: an object whose
 * members are keyed by name, or an array of objects that each have "name".
 * False with error set, which names the entry, at the first invalid entry, or
 * if the field is missing.
 */
bool json_read_table(const json_t *object, const char *name,
    json_entry_fn handle, void *arg, GError **error);

#endif
