#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_caller.h"

enum {
	STEP_MS = 50,
};

int
raw_connect(const char *address)
{
	const char *colon = strchr(address, ':');
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

void
raw_send(int fd, const char *text)
{
	size_t len = strlen(text);

	while (len > 0) {
		ssize_t sent = send(fd, text, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return;
		text += sent;
		len -= (size_t)sent;
	}
}

/* Bodies hold any byte; a NUL would hide what comes after it. */
static void
show_bytes(char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (bytes[i] == '\0')
			bytes[i] = '.';
}

int
raw_expect(int fd, const char *wanted, int ms, char *out, size_t out_max)
{
	size_t len = 0;

	out[0] = '\0';
	for (; ms > 0 && len + 1 < out_max; ms -= STEP_MS) {
		struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
		ssize_t got;

		if (poll(&poll_fd, 1, STEP_MS) <= 0)
			continue;
		got = recv(fd, out + len, out_max - len - 1, 0);
		if (got <= 0)
			break;
		show_bytes(out + len, (size_t)got);
		len += (size_t)got;
		out[len] = '\0';
		if (strstr(out, wanted) != NULL)
			return 1;
	}
	return strstr(out, wanted) != NULL;
}
