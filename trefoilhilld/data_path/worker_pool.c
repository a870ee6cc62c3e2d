#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "trefoilhilld/worker_pool.h"

struct worker_pool {
	const struct worker_pool_ops *ops;
	void *arg;
	size_t workers_max;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GQueue jobs;
	GArray *threads; /* pthread_t */
	size_t idle;
	bool stopping;
};

/*
 * Return a pool without threads. ops must outlive it.
 */
struct worker_pool *
worker_pool_new(
    const struct worker_pool_ops *ops, void *arg, size_t workers_max)
{
	struct worker_pool *pool = g_new0(struct worker_pool, 1);

	pool->ops = ops;
	pool->arg = arg;
	pool->workers_max = MAX(workers_max, 1);
	pool->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
	g_queue_init(&pool->jobs);
	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->changed, NULL);
	return pool;
}

/*
 * Wait for the next job. Returns NULL when the pool is stopping and the queue
 * is empty.
 */
static void *
take_job(struct worker_pool *pool)
{
	void *job;

	pthread_mutex_lock(&pool->lock);
	pool->idle++;
	while (g_queue_is_empty(&pool->jobs) && !pool->stopping)
		pthread_cond_wait(&pool->changed, &pool->lock);
	pool->idle--;
	job = g_queue_pop_head(&pool->jobs);
	pthread_mutex_unlock(&pool->lock);
	return job;
}

static void *
run_worker(void *arg)
{
	struct worker_pool *pool = arg;
	void *worker = pool->ops->open(pool->arg);
	void *job;

	while ((job = take_job(pool)) != NULL)
		pool->ops->run(pool->arg, worker, job);
	pool->ops->close(pool->arg, worker);
	return NULL;
}

/*
 * Add a thread if there are more queued jobs than idle threads.
 */
static void
grow_locked(struct worker_pool *pool)
{
	pthread_t thread;

	if (g_queue_get_length(&pool->jobs) <= pool->idle ||
	    pool->threads->len >= pool->workers_max)
		return;
	if (pthread_create(&thread, NULL, run_worker, pool) == 0)
		g_array_append_val(pool->threads, thread);
}

/*
 * Queue a job for the next idle worker.
 */
void
worker_pool_submit(struct worker_pool *pool, void *job)
{
	pthread_mutex_lock(&pool->lock);
	g_queue_push_tail(&pool->jobs, job);
	grow_locked(pool);
	pthread_cond_signal(&pool->changed);
	pthread_mutex_unlock(&pool->lock);
}

/*
 * See include/trefoilhilld/worker_pool.h. NULL is allowed.
 */
void
worker_pool_free(struct worker_pool *pool)
{
	if (pool == NULL)
		return;
	pthread_mutex_lock(&pool->lock);
	pool->stopping = true;
	pthread_cond_broadcast(&pool->changed);
	pthread_mutex_unlock(&pool->lock);
	for (guint i = 0; i < pool->threads->len; i++)
		pthread_join(g_array_index(pool->threads, pthread_t, i), NULL);
	g_array_unref(pool->threads);
	pthread_mutex_destroy(&pool->lock);
	pthread_cond_destroy(&pool->changed);
	g_free(pool);
}
