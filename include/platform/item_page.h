#ifndef TREFOILHILL_PLATFORM_ITEM_PAGE_H
#define TREFOILHILL_PLATFORM_ITEM_PAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* What a page of items, or a list of changes, says beside the items. */
struct item_page {
	uint64_t revision; /* of the store, when it was read */
	bool has_more;
	uint32_t skipped_count; /* elements that could not be decoded */
	/* Key of the last element that has one, URI-escaped; NULL: none. */
	char *last_key;
};

/*
 * Decode a page whose elements are in the given list, and append them to items
 * as struct replica_item. An element that can't be decoded doesn't cost the
 * others. False with error set if the page itself is malformed.
 */
bool item_page_read(struct str body, const char *list, GPtrArray *items,
    struct item_page *page, GError **error);
/* Free the contents of a page, also of one that was not read. */
void item_page_clear(struct item_page *page);

#endif
