#ifndef TREFOILHILL_TREFOILHILLD_HEADER_FILTER_H
#define TREFOILHILL_TREFOILHILLD_HEADER_FILTER_H

#include <stdbool.h>

#include "wire/call.h"

bool header_name_equal(struct str a, struct str b);
bool header_is_hop_by_hop(struct str name);
bool header_list_has_token(struct str list, struct str token);
void header_remove_hop_by_hop(struct call_headers *headers);

#endif
