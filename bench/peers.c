#include <errno.h>
#include <malloc.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include <zmq.h>

#include "wire/transport.h"

/*
 * Measures the cost of a node's connections to other nodes: one transport sends
 * to a growing number of peers, and one socket, bound to a loopback address for
 * each peer, receives. Memory and CPU time include both ends.
 */
enum {
	RECEIVE_PORT = 17411,
	HIGH_WATER_FRAMES = 1024,
	PEER_IDLE_MS = 600000,
	FRAMES = 20000,
	FRAME_BYTES = 100,
	IN_FLIGHT_MAX = 64,
	SETTLE_US = 1000000,
	POLL_US = 200,
	IDLE_S = 5,
	ADDRESS_MAX = 24,
	HOSTS_PER_SUBNET = 250,
	BYTES_PER_KB = 1024,
	US_PER_S = 1000000,
};

#define SENDER_ADDRESS "127.0.0.1:17410"

struct bench {
	struct transport *sender;
	void *zmq;
	void *receiver; /* bound to one address per peer */
	pthread_t thread;
	atomic_uint_fast64_t received;
	uint64_t sent;
};

struct results {
	size_t peers;
	double resident_kb;    /* per peer */
	double heap_kb;        /* per peer */
	double frame_us;       /* CPU time per frame */
	double idle_cpu_share; /* of one core */
	uint64_t lost;         /* frames */
};

/* Count frames; each is one message part after the sender's identity. */
static void *
receive_frames(void *arg)
{
	struct bench *bench = arg;
	char bytes[FRAME_BYTES * 2];
	int more;
	size_t len = sizeof(more);

	while (zmq_recv(bench->receiver, bytes, sizeof(bytes), 0) >= 0) {
		zmq_getsockopt(bench->receiver, ZMQ_RCVMORE, &more, &len);
		if (!more)
			atomic_fetch_add(&bench->received, 1);
	}
	zmq_close(bench->receiver);
	return NULL;
}

static void
peer_address(size_t peer, char *out)
{
	g_snprintf(out, ADDRESS_MAX, "127.1.%zu.%zu:%d",
	    peer / HOSTS_PER_SUBNET, peer % HOSTS_PER_SUBNET + 1, RECEIVE_PORT);
}

static void
receiver_start(struct bench *bench, size_t peers)
{
	char address[ADDRESS_MAX], endpoint[ADDRESS_MAX + 8];

	bench->zmq = zmq_ctx_new();
	bench->receiver = zmq_socket(bench->zmq, ZMQ_ROUTER);
	for (size_t i = 0; i < peers; i++) {
		peer_address(i, address);
		g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
		if (zmq_bind(bench->receiver, endpoint) != 0) {
			fprintf(stderr, "bench-peers: %s: %s\n", address,
			    zmq_strerror(errno));
			exit(EXIT_FAILURE);
		}
	}
	pthread_create(&bench->thread, NULL, receive_frames, bench);
}

static double
resident_kb(void)
{
	unsigned long size, resident = 0;
	FILE *file = fopen("/proc/self/statm", "r");

	if (file == NULL || fscanf(file, "%lu %lu", &size, &resident) != 2)
		resident = 0;
	if (file != NULL)
		fclose(file);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / BYTES_PER_KB;
}

static double
heap_kb(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / BYTES_PER_KB;
}

static double
cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
	    US_PER_S +
	    (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static struct transport *
sender_start(void)
{
	struct transport_settings settings = {
		.address = str_from(SENDER_ADDRESS),
		.high_water_frames = HIGH_WATER_FRAMES,
		.peer_idle_ms = PEER_IDLE_MS,
	};
	GError *error = NULL;
	struct transport *transport = transport_new(&settings, &error);

	if (transport != NULL && transport_start(transport, &error) == 0)
		return transport;
	fprintf(stderr, "bench-peers: %s\n", error->message);
	exit(EXIT_FAILURE);
}

static void
send_frame(struct bench *bench, size_t peer)
{
	static const char bytes[FRAME_BYTES];
	char address[ADDRESS_MAX];

	peer_address(peer, address);
	transport_send(bench->sender, str_from(address), FRAME_MESH,
	    g_bytes_new_static(bytes, sizeof(bytes)), NULL);
	bench->sent++;
}

/* Wait until at most in_flight frames are undelivered, or SETTLE_US passed. */
static void
wait_in_flight(struct bench *bench, uint64_t in_flight)
{
	for (int waited = 0; waited < SETTLE_US; waited += POLL_US) {
		if (bench->sent - atomic_load(&bench->received) <= in_flight)
			return;
		usleep(POLL_US);
	}
}

static struct results
measure(size_t peers)
{
	struct bench bench = { 0 };
	struct results results = { .peers = peers };
	double resident, heap, cpu;

	receiver_start(&bench, peers);
	bench.sender = sender_start();
	usleep(SETTLE_US / 4);
	resident = resident_kb();
	heap = heap_kb();
	for (size_t i = 0; i < peers; i++) {
		send_frame(&bench, i);
		wait_in_flight(&bench, IN_FLIGHT_MAX / 2);
	}
	wait_in_flight(&bench, 0);
	results.resident_kb = (resident_kb() - resident) / (double)peers;
	results.heap_kb = (heap_kb() - heap) / (double)peers;
	cpu = cpu_us();
	for (size_t i = 0; i < FRAMES; i++) {
		send_frame(&bench, i % peers);
		wait_in_flight(&bench, IN_FLIGHT_MAX);
	}
	wait_in_flight(&bench, 0);
	results.frame_us = (cpu_us() - cpu) / FRAMES;
	cpu = cpu_us();
	sleep(IDLE_S);
	results.idle_cpu_share = (cpu_us() - cpu) / IDLE_S / US_PER_S;
	results.lost = bench.sent - atomic_load(&bench.received);
	transport_stop(bench.sender);
	transport_free(bench.sender);
	zmq_ctx_shutdown(bench.zmq);
	pthread_join(bench.thread, NULL);
	zmq_ctx_term(bench.zmq);
	return results;
}

int
main(int argc, char **argv)
{
	static const size_t sizes[] = { 50, 200, 400, 800 };

	if (argc > 1) {
		printf("usage: bench-peers\n\nMeasure the cost of "
		       "connections between nodes, both ends included.\n");
		return strcmp(argv[1], "--help") == 0 ? EXIT_SUCCESS : 2;
	}
	printf("%8s %14s %10s %10s %12s %6s\n", "peers", "resident KB",
	    "heap KB", "frame us", "core at rest", "lost");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct results results = measure(sizes[i]);

		printf("%8zu %14.1f %10.1f %10.1f %11.2f%% %6lu\n",
		    results.peers, results.resident_kb, results.heap_kb,
		    results.frame_us, results.idle_cpu_share * 100,
		    (unsigned long)results.lost);
	}
	return EXIT_SUCCESS;
}
