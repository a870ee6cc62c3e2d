#include <sys/stat.h>

#include "common/file_version.h"

/*
 * Return the version of a file, or of none if it can't be read.
 */
struct file_version
file_version_read(const char *path)
{
	struct stat status;

	if (stat(path, &status) != 0)
		return (struct file_version){ 0 };
	return (struct file_version){
		.device = status.st_dev,
		.inode = status.st_ino,
		.size = status.st_size,
		.modified = status.st_mtim,
		.changed = status.st_ctim,
	};
}

static bool
time_equal(struct timespec a, struct timespec b)
{
	return a.tv_sec == b.tv_sec && a.tv_nsec == b.tv_nsec;
}

/*
 * Tell whether two versions are the same.
 */
bool
file_version_equal(const struct file_version *a, const struct file_version *b)
{
	return a->device == b->device && a->inode == b->inode &&
	    a->size == b->size && time_equal(a->modified, b->modified) &&
	    time_equal(a->changed, b->changed);
}
