#ifndef TREFOILHILL_COMMON_BODY_PATTERN_H
#define TREFOILHILL_COMMON_BODY_PATTERN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/*
 * Response body of the stand-in upstream. It depends only on the request id and
 * the size, so that a caller can verify any part of it.
 */
struct body_pattern {
	uint64_t seed;
	uint64_t size;
};

void body_pattern_init(
    struct body_pattern *pattern, struct str request, uint64_t size);
void body_pattern_fill(
    const struct body_pattern *pattern, uint64_t offset, void *out, size_t len);
bool body_pattern_matches(const struct body_pattern *pattern, uint64_t offset,
    const void *bytes, size_t len);

#endif
