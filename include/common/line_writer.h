#ifndef TREFOILHILL_COMMON_LINE_WRITER_H
#define TREFOILHILL_COMMON_LINE_WRITER_H

#include <stddef.h>

#include "common/str.h"

/*
 * Write text, which ends with a newline, to a pipe or file that other processes
 * may write to as well. Blocks until it is written. Returns how many lines were
 * not written because of an error.
 */
size_t line_writer_write(int fd, struct str text);

#endif
