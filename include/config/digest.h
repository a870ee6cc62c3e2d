#ifndef TREFOILHILL_CONFIG_DIGEST_H
#define TREFOILHILL_CONFIG_DIGEST_H

#include <stdbool.h>

#include "config/record.h"

struct digest digest_of_bytes(struct str bytes);
struct digest digest_add(struct digest a, struct digest b);
struct digest digest_subtract(struct digest a, struct digest b);
int digest_compare(struct digest a, struct digest b);

#endif
