#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdlib.h>

#include "counted_json.h"

size_t counted_json_bytes, counted_json_peak;

static size_t
block_bytes(void *ptr)
{
	return malloc_usable_size(ptr) + sizeof(size_t);
}

static void *
counting_malloc(size_t size)
{
	void *ptr = malloc(size);

	if (ptr == NULL)
		return NULL;
	counted_json_bytes += block_bytes(ptr);
	counted_json_peak = MAX(counted_json_peak, counted_json_bytes);
	return ptr;
}

static void
counting_free(void *ptr)
{
	if (ptr == NULL)
		return;
	counted_json_bytes -= block_bytes(ptr);
	free(ptr);
}

/*
 * Count what jansson allocates.
 */
void
counted_json_init(void)
{
	json_set_alloc_funcs(counting_malloc, counting_free);
}

/*
 * Start a new peak.
 */
void
counted_json_reset_peak(void)
{
	counted_json_peak = counted_json_bytes;
}
