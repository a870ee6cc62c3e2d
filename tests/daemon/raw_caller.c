#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw_caller.h"

enum {
	POLL_INTERVAL_MS = 50,
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

/*
 * Bodies contain arbitrary bytes. A NUL would hide the bytes after it from
 * strstr.
 */
static void
replace_nul_bytes(char *bytes, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (bytes[i] == '\0')
			bytes[i] = '.';
}

int
raw_expect(
    int fd, const char *wanted, int timeout_ms, char *out, size_t out_max)
{
	size_t len = 0;

	out[0] = '\0';
	for (; timeout_ms > 0 && len + 1 < out_max;
	     timeout_ms -= POLL_INTERVAL_MS) {
		struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
		ssize_t read_len;

		if (poll(&poll_fd, 1, POLL_INTERVAL_MS) <= 0)
			continue;
		read_len = recv(fd, out + len, out_max - len - 1, 0);
		if (read_len <= 0)
			break;
		replace_nul_bytes(out + len, (size_t)read_len);
		len += (size_t)read_len;
		out[len] = '\0';
		if (strstr(out, wanted) != NULL)
			return 1;
	}
	return strstr(out, wanted) != NULL;
}
