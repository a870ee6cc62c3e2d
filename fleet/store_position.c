#include "fleet/store_position.h"

/*
 * Compare two positions: by era, then by revision.
 */
int
store_position_compare(struct store_position a, struct store_position b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.revision > b.revision) - (a.revision < b.revision);
}
