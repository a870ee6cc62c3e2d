#ifndef TREFOILHILL_TESTS_DAEMON_RAW_CALLER_H
#define TREFOILHILL_TESTS_DAEMON_RAW_CALLER_H

#include <stddef.h>

/* A caller that sends raw bytes. Returns the socket, or -1. */
int raw_connect(const char *address);
void raw_send(int fd, const char *text);
/* Reads into out until wanted appears or timeout_ms have passed. */
int raw_expect(
    int fd, const char *wanted, int timeout_ms, char *out, size_t out_max);

#endif
