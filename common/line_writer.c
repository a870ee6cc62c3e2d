#include <errno.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "common/line_writer.h"

enum {
	/* In case poll does not report that the pipe has room. */
	POLL_MAX_MS = 100,
};

/*
 * The length of the whole lines at the start of text, at most PIPE_BUF bytes
 * unless the first line is longer.
 */
static size_t
batch_len(struct str text)
{
	size_t len = PIPE_BUF;

	if (text.len <= PIPE_BUF)
		return text.len;
	while (len > 0 && text.ptr[len - 1] != '\n')
		len--;
	if (len > 0)
		return len;
	while (len < text.len && text.ptr[len] != '\n')
		len++;
	return MIN(len + 1, text.len);
}

static size_t
count_lines(struct str text)
{
	const char *end = text.ptr + text.len;
	const char *at = text.ptr;
	size_t count = 0;

	while (
	    at < end && (at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
		at++;
		count++;
	}
	return count;
}

static bool
write_batch(struct line_writer *writer, struct str batch)
{
	struct pollfd writable = { .fd = writer->fd, .events = POLLOUT };

	while (batch.len > 0 && !atomic_load(&writer->give_up)) {
		ssize_t count = write(writer->fd, batch.ptr, batch.len);

		if (count > 0) {
			batch.ptr += count;
			batch.len -= (size_t)count;
		} else if (count < 0 && errno == EAGAIN) {
			(void)poll(&writable, 1, POLL_MAX_MS);
		} else if (count < 0 && errno != EINTR) {
			return false;
		}
	}
	return batch.len == 0;
}

/*
 * Write lines in batches of at most PIPE_BUF bytes. The kernel writes such a
 * batch to a pipe as a whole, so that no line of another process ends up within
 * one of these lines.
 */
void
line_writer_write(struct line_writer *writer, struct str text)
{
	while (text.len > 0) {
		struct str batch = str_make(text.ptr, batch_len(text));
		size_t lines = count_lines(batch);

		if (write_batch(writer, batch))
			writer->written += lines;
		else
			writer->lost += lines;
		text.ptr += batch.len;
		text.len -= batch.len;
	}
}
