#ifndef TREFOILHILL_ACCOUNT_BUFFER_H
#define TREFOILHILL_ACCOUNT_BUFFER_H

#include "account/account.h"
#include "common/str.h"

/*
 * Bytes that are kept for a connection, and counted there: what the buffer
 * occupies, whatever part of it is in use. Bytes are added at the end and
 * dropped at the start.
 */
struct account_buffer {
	/* Private; zeros are an empty buffer that is counted nowhere. */
	struct account_holder *holder;
	char *memory;
	size_t start;
	size_t end;
	size_t capacity;
};

/* An empty buffer; holder may be NULL. Free it with account_buffer_release. */
void account_buffer_init(
    struct account_buffer *buffer, struct account_holder *holder);
/* Free the memory; the buffer is empty afterwards and can be used again. */
void account_buffer_clear(struct account_buffer *buffer);
/* Free the memory and drop the reference to the holder. */
void account_buffer_release(struct account_buffer *buffer);
/* Count the buffer at another holder, which may be NULL. */
void account_buffer_assign(
    struct account_buffer *buffer, struct account_holder *holder);
/* Move the contents of a buffer to a new one, and leave it empty. */
struct account_buffer account_buffer_steal(struct account_buffer *buffer);

/* Get room for so many more bytes, to be appended in small pieces. */
void account_buffer_reserve(struct account_buffer *buffer, size_t more);
void account_buffer_append(struct account_buffer *buffer, struct str bytes);
/* Drop all bytes; the memory stays as it is. */
void account_buffer_empty(struct account_buffer *buffer);
/*
 * Drop bytes at the start. Views stay valid until the buffer is changed
 * otherwise.
 */
void account_buffer_consume(struct account_buffer *buffer, size_t len);
/* Free the memory if the buffer is empty and occupies much. */
void account_buffer_trim(struct account_buffer *buffer);
size_t account_buffer_len(const struct account_buffer *buffer);
/* View of the bytes, valid until the buffer is changed. */
struct str account_buffer_view(const struct account_buffer *buffer);

#endif
