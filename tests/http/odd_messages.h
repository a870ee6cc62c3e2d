#ifndef TREFOILHILL_TESTS_HTTP_ODD_MESSAGES_H
#define TREFOILHILL_TESTS_HTTP_ODD_MESSAGES_H

#include <stddef.h>

/* Parts of valid messages. */
#define OK "HTTP/1.1 200 OK\r\n"
#define END "Content-Length: 2\r\n\r\nok"
#define VALID_RESULT "head:200 [ok] message "

/* A message, and the callbacks of a stream that receives it. */
struct message {
	const char *text;
	size_t len; /* 0: up to the NUL */
	const char *expected;
};

struct message_list {
	const struct message *messages;
	size_t count;
};

extern const struct message_list odd_responses;
extern const struct message_list odd_chunked;
extern const struct message_list odd_requests;

#endif
