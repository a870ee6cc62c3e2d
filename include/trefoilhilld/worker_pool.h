#ifndef TREFOILHILL_TREFOILHILLD_WORKER_POOL_H
#define TREFOILHILL_TREFOILHILLD_WORKER_POOL_H

#include <stddef.h>

/* Threads made when they are first needed, at most a given number. */
struct worker_pool;

struct worker_pool_ops {
	void *(*open)(void *arg); /* state of one worker */
	void (*run)(void *arg, void *worker, void *job);
	void (*close)(void *arg, void *worker);
};

struct worker_pool *worker_pool_new(
    const struct worker_pool_ops *ops, void *arg, size_t workers_max);
void worker_pool_submit(struct worker_pool *pool, void *job);
/* Runs what is queued, then joins the threads. */
void worker_pool_free(struct worker_pool *pool);

#endif
