#ifndef TREFOILHILL_TREFOILHILLD_WORKER_POOL_H
#define TREFOILHILL_TREFOILHILLD_WORKER_POOL_H

#include <stddef.h>

/* A pool of threads that are created on demand, up to a maximum. */
struct worker_pool;

struct worker_pool_ops {
	void *(*open)(void *arg); /* returns the state of one worker */
	void (*run)(void *arg, void *worker, void *job);
	void (*close)(void *arg, void *worker);
};

struct worker_pool *worker_pool_new(
    const struct worker_pool_ops *ops, void *arg, size_t workers_max);
void worker_pool_submit(struct worker_pool *pool, void *job);
/* Runs the queued jobs, then joins the threads. */
void worker_pool_free(struct worker_pool *pool);

#endif
