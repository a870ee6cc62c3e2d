#ifndef TREFOILHILL_TREFOILHILLCTL_RECORD_SET_H
#define TREFOILHILL_TREFOILHILLCTL_RECORD_SET_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Records in the schema 2 format, keyed by "kind/name". */
struct record_set {
	json_t *records;
};

void record_set_init(struct record_set *set);
void record_set_init_from(
    struct record_set *set, const struct record_set *base);
void record_set_clear(struct record_set *set);
bool record_set_put(
    struct record_set *set, const json_t *record, GError **error);
bool record_set_put_all(
    struct record_set *set, const json_t *records, GError **error);
void record_set_remove_all(struct record_set *set, const json_t *names);
/*
 * Returns [{"record","change":"added","removed" or "changed","fields":{…}},…].
 */
json_t *record_set_diff(
    const struct record_set *from, const struct record_set *to);

#endif
