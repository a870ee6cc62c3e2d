#ifndef TREFOILHILL_COMMON_FILE_VERSION_H
#define TREFOILHILL_COMMON_FILE_VERSION_H

#include <stdbool.h>
#include <sys/types.h>
#include <time.h>

/* Tells one state of a file from another without reading it. */
struct file_version {
	dev_t device;
	ino_t inode;
	off_t size;
	struct timespec modified;
	struct timespec changed; /* also by a rename or a restored mtime */
};

/* All zero if the file can't be read. */
struct file_version file_version_read(const char *path);
bool file_version_equal(
    const struct file_version *a, const struct file_version *b);

#endif
