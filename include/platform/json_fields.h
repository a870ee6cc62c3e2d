#ifndef TREFOILHILL_PLATFORM_JSON_FIELDS_H
#define TREFOILHILL_PLATFORM_JSON_FIELDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CODEC_ERROR (codec_error_quark())

enum codec_error {
	CODEC_ERROR_SYNTAX, /* not JSON, not base64, not a string of text */
	CODEC_ERROR_FIELD,  /* missing, wrong type or out of range */
	CODEC_ERROR_UNKNOWN_VALUE, /* not one of the known strings */
};

GQuark codec_error_quark(void);

/*
 * Read one field of an object. Each returns false with error set if the field
 * is missing, has the wrong type or is out of range.
 */
bool json_read_object(const json_t *object, const char *name,
    const json_t **value, GError **error);
/* Rejects the empty string. The value is borrowed from the object. */
bool json_read_string(
    const json_t *object, const char *name, const char **value, GError **error);
bool json_read_u64(const json_t *object, const char *name, uint64_t max,
    uint64_t *value, GError **error);
bool json_read_u32(const json_t *object, const char *name, uint32_t max,
    uint32_t *value, GError **error);
/* Integer or real, from 0 to max. */
bool json_read_duration(const json_t *object, const char *name, uint32_t max_ms,
    uint32_t *ms, GError **error);
bool json_read_number(const json_t *object, const char *name, double max,
    double *value, GError **error);

#endif
