#ifndef TREFOILHILL_COMMON_LINE_WRITER_H
#define TREFOILHILL_COMMON_LINE_WRITER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Writes lines to a pipe or file that other processes may write to as well. */
struct line_writer {
	int fd;
	/* Set by another thread: write no more, and count the rest as lost. */
	atomic_bool give_up;
	_Atomic uint64_t written;
	_Atomic uint64_t lost; /* because of an error or of give_up */
};

/*
 * Write text, which ends with a newline. Blocks until it is written, or until
 * give_up is set while a non-blocking descriptor has no room.
 */
void line_writer_write(struct line_writer *writer, struct str text);

#endif
