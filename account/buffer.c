#include <string.h>

#include "account/buffer.h"

enum {
	CAPACITY_MIN = 64,
	/* An empty buffer keeps so much, for the next message. */
	KEPT_CAPACITY_MAX = 4096,
};

/*
 * Initialize an empty buffer, which is counted at holder.
 */
void
account_buffer_init(
    struct account_buffer *buffer, struct account_holder *holder)
{
	*buffer = (struct account_buffer){
		.holder = account_holder_ref(holder),
	};
}

/*
 * Free the memory.
 */
void
account_buffer_clear(struct account_buffer *buffer)
{
	account_refund(buffer->holder, buffer->capacity);
	g_free(buffer->memory);
	buffer->memory = NULL;
	buffer->start = buffer->end = buffer->capacity = 0;
}

/*
 * Free the memory and drop the reference to the holder.
 */
void
account_buffer_release(struct account_buffer *buffer)
{
	account_buffer_clear(buffer);
	account_holder_unref(buffer->holder);
	buffer->holder = NULL;
}

/*
 * Count the buffer at another holder.
 */
void
account_buffer_assign(
    struct account_buffer *buffer, struct account_holder *holder)
{
	struct account_holder *before = buffer->holder;

	buffer->holder = account_holder_ref(holder);
	account_charge(buffer->holder, buffer->capacity);
	account_refund(before, buffer->capacity);
	account_holder_unref(before);
}

/*
 * Move the contents of a buffer to a new one, which the caller releases.
 */
struct account_buffer
account_buffer_steal(struct account_buffer *buffer)
{
	struct account_buffer stolen = *buffer;

	account_buffer_init(buffer, stolen.holder);
	return stolen;
}

/* Move the bytes to the start of the memory. */
static void
compact(struct account_buffer *buffer)
{
	size_t len = account_buffer_len(buffer);

	if (buffer->start > 0)
		memmove(buffer->memory, buffer->memory + buffer->start, len);
	buffer->start = 0;
	buffer->end = len;
}

/*
 * Make room for more bytes at the end.
 */
void
account_buffer_reserve(struct account_buffer *buffer, size_t more)
{
	size_t needed = account_buffer_len(buffer) + more;
	size_t capacity = MAX(buffer->capacity, (size_t)CAPACITY_MIN);

	if (buffer->capacity - buffer->end >= more)
		return;
	/* Little room would be used up soon, and each move copies all bytes. */
	if (needed <= buffer->capacity &&
	    buffer->start >= buffer->capacity / 4) {
		compact(buffer);
		return;
	}
	while (capacity < needed || capacity == buffer->capacity)
		capacity *= 2;
	compact(buffer);
	account_charge(buffer->holder, capacity - buffer->capacity);
	buffer->memory = g_realloc(buffer->memory, capacity);
	buffer->capacity = capacity;
}

/*
 * Add bytes at the end.
 */
void
account_buffer_append(struct account_buffer *buffer, struct str bytes)
{
	if (bytes.len == 0)
		return;
	account_buffer_reserve(buffer, bytes.len);
	memcpy(buffer->memory + buffer->end, bytes.ptr, bytes.len);
	buffer->end += bytes.len;
}

/*
 * Drop bytes at the start. The memory stays as it is.
 */
void
account_buffer_consume(struct account_buffer *buffer, size_t len)
{
	buffer->start += len;
	if (buffer->start == buffer->end)
		buffer->start = buffer->end = 0;
}

/*
 * Drop all bytes.
 */
void
account_buffer_empty(struct account_buffer *buffer)
{
	buffer->start = buffer->end = 0;
}

/*
 * Free the memory of an empty buffer that occupies much.
 */
void
account_buffer_trim(struct account_buffer *buffer)
{
	if (buffer->end == 0 && buffer->capacity > KEPT_CAPACITY_MAX)
		account_buffer_clear(buffer);
}

/*
 * Return the number of bytes.
 */
size_t
account_buffer_len(const struct account_buffer *buffer)
{
	return buffer->end - buffer->start;
}

/*
 * Return a view of the bytes. Its pointer is not NULL, as views of empty texts
 * are compared with absent ones by it.
 */
struct str
account_buffer_view(const struct account_buffer *buffer)
{
	if (buffer->memory == NULL)
		return str_from("");
	return str_make(
	    buffer->memory + buffer->start, account_buffer_len(buffer));
}
