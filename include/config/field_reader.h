#ifndef TREFOILHILL_CONFIG_FIELD_READER_H
#define TREFOILHILL_CONFIG_FIELD_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "config/refusal.h"

enum {
	FIELD_NAME_MAX = 63,
	FIELD_AUTHORITY_MAX = 253,
	FIELD_PREFIX_MAX = 255,
	FIELD_READER_FIELDS_MAX = 8,
};

/*
 * Strict reader of one JSON object: the first error is kept in refusal, later
 * reads do nothing, and a field that was never read is an error too. The
 * strings that it returns are views of the JSON value.
 */
struct field_reader {
	const json_t *object;
	const char *fields[FIELD_READER_FIELDS_MAX];
	size_t field_count;
	struct refusal *refusal;
};

void field_reader_init(struct field_reader *reader, const json_t *object);
bool field_reader_has(const struct field_reader *reader, const char *field);
void field_read_name(
    struct field_reader *reader, const char *field, struct str *out);
void field_read_address(
    struct field_reader *reader, const char *field, struct str *out);
void field_read_authority(
    struct field_reader *reader, const char *field, struct str *out);
void field_read_prefix(
    struct field_reader *reader, const char *field, struct str *out);
void field_read_number(struct field_reader *reader, const char *field,
    uint32_t min, uint32_t max, uint32_t *out);
void field_read_bool(struct field_reader *reader, const char *field, bool *out);
void field_read_in_or_out(
    struct field_reader *reader, const char *field, bool *out);
void field_reader_finish(struct field_reader *reader);

bool name_is_valid(struct str name);
bool address_is_valid(struct str address);

#endif
