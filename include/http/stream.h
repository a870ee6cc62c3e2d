#ifndef TREFOILHILL_HTTP_STREAM_H
#define TREFOILHILL_HTTP_STREAM_H

#include <http_parser.h>
#include <uv.h>

#include "account/buffer.h"
#include "http/connections.h"
#include "http/head.h"
#include "http/syntax.h"

/*
 * The client or server side of an HTTP/1.1 connection on an event loop. It
 * reads one message at a time: the next one is not parsed until
 * http_stream_next is called. Not thread-safe: use it only on the thread of its
 * loop.
 */
struct http_stream;

enum http_side {
	HTTP_SIDE_SERVER, /* reads requests */
	HTTP_SIDE_CLIENT, /* reads responses */
};

/* Why a connection ended or a message was rejected. */
enum http_end_reason {
	HTTP_END_EOF,       /* orderly close by the peer */
	HTTP_END_RESET,     /* reset, or a write failed */
	HTTP_END_TIMEOUT,   /* sent data stayed unacknowledged */
	HTTP_END_CONNECT,   /* the connection was never established */
	HTTP_END_MALFORMED, /* see http_stream_defect */
	HTTP_END_TOO_LARGE, /* head exceeds head_max_bytes */
	HTTP_END_REVOKED,   /* others need the room: abort it immediately */
};

struct http_stream_ops {
	/* The head is complete; it is valid until http_stream_next. */
	void (*handle_head)(struct http_stream *stream);
	/* Body bytes; valid during the call only. */
	void (*handle_body)(struct http_stream *stream, struct str bytes);
	/* The message is complete. */
	void (*handle_message)(struct http_stream *stream);
	/* The connection is unusable; the owner must close the stream. */
	void (*handle_end)(
	    struct http_stream *stream, enum http_end_reason reason);
	/* The write queue is short again: see write_high_bytes. May be NULL. */
	void (*handle_drain)(struct http_stream *stream);
	/* The body bytes received at once have been delivered. May be NULL. */
	void (*handle_body_pause)(struct http_stream *stream);
	/* The first byte of a message was received. May be NULL. */
	void (*handle_first_byte)(struct http_stream *stream);
	/* An interim response asks to continue the request. May be NULL. */
	void (*handle_continue)(struct http_stream *stream);
	/* The connection is established. May be NULL. */
	void (*handle_connect)(struct http_stream *stream);
	/*
	 * Would closing the connection cost its peer something? If NULL, only
	 * that of a client would, or one with a complete request.
	 */
	bool (*is_working)(const struct http_stream *stream);
};

enum {
	HTTP_WRITE_HIGH_BYTES = 256 * 1024, /* pause the source above this */
	HTTP_PENDING_MAX_BYTES = 64 * 1024, /* unparsed next messages */
	HTTP_INTERIM_MAX = 16, /* 1xx responses before the final one */
};

struct http_stream {
	uv_tcp_t tcp; /* first member: cast to the stream */
	const struct http_stream_ops *ops;
	void *owner; /* context for ops */
	enum http_side side;
	struct http_connections *connections;
	enum connection_class class;
	struct account_holder *holder;
	struct account_holder *payer; /* whom the memory is counted for */
	struct http_turn turn;        /* to process input */
	/*
	 * TCP_USER_TIMEOUT: the connection is lost when data stays
	 * unacknowledged for so long. Set before it is connected.
	 */
	uint32_t unacknowledged_ms;
	http_parser parser;
	struct http_syntax syntax; /* of the message being received */
	struct http_head *head;
	uint32_t head_max_bytes;
	uint32_t read_max_bytes; /* at once; 0: unlimited */
	/* Of unsent bytes: above_high_mark is set until a quarter is left. */
	uint32_t write_high_bytes;
	uint32_t head_bytes;
	uint32_t interim_count; /* of 1xx responses to the current request */
	struct account_buffer pending;    /* received and not parsed */
	struct account_buffer gathered;   /* sent after the write in progress */
	struct account_buffer field_name; /* header field being parsed */
	struct account_buffer field_value;
	bool in_value;
	bool connected;
	bool message_begun;
	bool head_done;
	bool message_done; /* waits for http_stream_next */
	bool skip_body;    /* response to HEAD */
	bool has_length;   /* length is known */
	uint64_t length;
	bool keep_alive; /* after this message */
	bool eof;
	bool reading;
	bool paused;   /* by the owner */
	bool blocked;  /* doesn't read until its turn */
	bool has_turn; /* taken, and not used yet */
	bool closing;
	bool parsing;
	bool writing;    /* libuv has bytes to send */
	int write_error; /* of the first write that failed, or 0 */
	bool delivering; /* in handle_message */
	bool discarding; /* drops what it receives */
	bool above_high_mark;
	uint64_t body_bytes;   /* received of this message */
	size_t sampled_unread; /* bytes in the socket, while it isn't read */
	size_t sampled_queued; /* bytes that the socket hadn't accepted */
	/* Called with release_arg when the stream is freed. May be NULL. */
	void (*release)(void *release_arg);
	void *release_arg;
};

/* Create a stream for an accepted or an outgoing connection. */
struct http_stream *http_stream_new(struct http_connections *connections,
    enum connection_class class, enum http_side side,
    const struct http_stream_ops *ops, void *owner);
/*
 * Count the memory of a client's stream for the connection whose request it
 * carries, until http_stream_reset_payer.
 */
void http_stream_set_payer(
    struct http_stream *stream, struct account_holder *payer);
void http_stream_reset_payer(struct http_stream *stream);
/* Connect; handle_connect or handle_end follows. False: no socket. */
bool http_stream_connect(
    struct http_stream *stream, const struct sockaddr_in *address);
/* Start reading from an established connection. */
void http_stream_start(struct http_stream *stream);
/* Start reading the next message; pending bytes are parsed immediately. */
void http_stream_next(struct http_stream *stream);
/* Stop and resume delivering body bytes. */
void http_stream_pause(struct http_stream *stream);
void http_stream_resume(struct http_stream *stream);
/*
 * Parse no more messages, but go on reading so that the close of the peer is
 * noticed. What is received is dropped.
 */
void http_stream_discard(struct http_stream *stream);
/* Are there received bytes behind the message? */
bool http_stream_has_pending(const struct http_stream *stream);
/* Has the peer closed the connection, also while reading is paused? */
bool http_stream_is_peer_gone(const struct http_stream *stream);
/* Send bytes; what the socket doesn't accept immediately is copied. */
void http_stream_write(struct http_stream *stream, struct str bytes);
void http_stream_write_pair(
    struct http_stream *stream, struct str first, struct str second);
/* Has the peer closed or reset the connection, even if that is unread? */
bool http_stream_is_peer_closed(const struct http_stream *stream);
/* What was wrong with a malformed message, for logs; may be empty. */
const char *http_stream_defect(const struct http_stream *stream);
/* Bytes written and not yet accepted by the socket. */
size_t http_stream_queued_bytes(const struct http_stream *stream);
/*
 * Close this direction after the queued bytes have been sent, and drop what is
 * received. handle_end follows when the peer closes, and the owner then closes
 * the stream.
 */
void http_stream_finish(struct http_stream *stream);
/* Close after the queued bytes have been sent; no more callbacks. */
void http_stream_close(struct http_stream *stream);
/* Close with a reset, so that the peer sees no complete message. */
void http_stream_abort(struct http_stream *stream);

#endif
