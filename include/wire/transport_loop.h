#ifndef TREFOILHILL_WIRE_TRANSPORT_LOOP_H
#define TREFOILHILL_WIRE_TRANSPORT_LOOP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <urcu/wfcqueue.h>

#include "wire/transport.h"

/* Transport internals; sockets and peers are used only on its thread. */
struct transport {
	struct transport_settings settings;
	char *address;
	void *zmq;
	void *router;
	int wake_fd;
	int epoll_fd;
	GHashTable *peers; /* address to struct transport_peer */
	uint32_t peers_with_pending;
	struct cds_wfcq_head queue_head;
	struct cds_wfcq_tail queue_tail;
	struct frame_handler handlers[FRAME_CLASS_COUNT];
	struct drop_handler drop_handlers[FRAME_CLASS_COUNT];
	struct counter_set counters;
	pthread_t thread;
	bool started;
	atomic_bool stopping;
	int64_t last_sweep_us;
	int64_t turn_us; /* when the loop's present turn began */
	/* Time in which the loop ran; frames wait for a connection by it. */
	int64_t running_us;
};

void *transport_run(void *transport);
void transport_watch(struct transport *transport, int fd, void *ptr);

#endif
