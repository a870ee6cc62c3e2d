#ifndef TREFOILHILL_HTTP_STREAM_H
#define TREFOILHILL_HTTP_STREAM_H

#include <http_parser.h>
#include <uv.h>

#include "http/head.h"

/*
 * One HTTP/1.1 connection on an event loop, of either side. It reads one
 * message at a time: after the end of one, reading of the next waits until
 * http_stream_next is called. Not thread-safe: it belongs to its loop.
 */
struct http_stream;

enum http_side {
	HTTP_SIDE_SERVER, /* reads requests */
	HTTP_SIDE_CLIENT, /* reads answers */
};

/* Why a connection ended, or a message could not be read. */
enum http_end {
	HTTP_END_EOF,     /* the other side closed it in order */
	HTTP_END_RESET,   /* reset, or a write failed */
	HTTP_END_CONNECT, /* the connection was never established */
	HTTP_END_MALFORMED,
	HTTP_END_TOO_LARGE, /* header above the limit */
};

struct http_stream_ops {
	/* The head is whole; it is valid until http_stream_next. */
	void (*handle_head)(struct http_stream *stream);
	/* Bytes are borrowed. */
	void (*handle_body)(struct http_stream *stream, struct str bytes);
	/* The message is whole. */
	void (*handle_message)(struct http_stream *stream);
	/* The connection is of no more use; the owner closes it. */
	void (*handle_end)(struct http_stream *stream, enum http_end end);
	/* The write queue has drained below its low mark. May be NULL. */
	void (*handle_drain)(struct http_stream *stream);
	/* First byte of a message came. May be NULL. */
	void (*handle_first_byte)(struct http_stream *stream);
	/* The connection is established. May be NULL. */
	void (*handle_connect)(struct http_stream *stream);
};

enum {
	HTTP_WRITE_HIGH_BYTES = 256 * 1024, /* a source is paused above this */
	HTTP_WRITE_LOW_BYTES = 64 * 1024,
	HTTP_PENDING_MAX_BYTES = 64 * 1024, /* unread next messages kept */
};

struct http_stream {
	uv_tcp_t tcp; /* first: the handle is the stream */
	const struct http_stream_ops *ops;
	void *owner; /* of the ops' caller */
	enum http_side side;
	http_parser parser;
	struct http_head *head;
	uint32_t head_max_bytes;
	uint32_t head_bytes;
	GByteArray *pending; /* bytes of the next messages; NULL: none */
	GString *name;       /* field under construction */
	GString *value;
	bool in_value;
	bool connected;
	bool message_begun;
	bool head_done;
	bool message_done; /* waits for http_stream_next */
	bool skip_body;    /* answer to HEAD */
	bool has_length;   /* of the message's body */
	uint64_t length;
	bool keep_alive; /* after this message */
	bool eof;
	bool reading;
	bool closing;
	bool parsing;
	bool over_high;
	uint64_t body_bytes; /* of this message so far */
};

/* A new stream for an accepted or a dialled connection. */
struct http_stream *http_stream_new(uv_loop_t *loop, enum http_side side,
    const struct http_stream_ops *ops, void *owner);
/* Dial; handle_connect or handle_end follows. False: no socket. */
bool http_stream_connect(
    struct http_stream *stream, const struct sockaddr_in *address);
/* Begin to read; the connection is established. */
void http_stream_start(struct http_stream *stream);
/* Get ready for the next message; kept bytes may be delivered at once. */
void http_stream_next(struct http_stream *stream);
/* Stop and resume delivering body bytes. */
void http_stream_pause(struct http_stream *stream);
void http_stream_resume(struct http_stream *stream);
/* Send; the bytes are copied where the socket does not take them at once. */
void http_stream_write(struct http_stream *stream, struct str bytes);
void http_stream_write2(
    struct http_stream *stream, struct str first, struct str second);
/* Bytes written and not yet taken by the socket. */
size_t http_stream_queued(const struct http_stream *stream);
/* Close after what is queued has been sent; no more callbacks. */
void http_stream_finish(struct http_stream *stream);
/* Close at once with a reset, so that nothing looks complete. */
void http_stream_abort(struct http_stream *stream);

#endif
