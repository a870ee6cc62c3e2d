#ifndef TREFOILHILL_HTTP_STREAM_PRIVATE_H
#define TREFOILHILL_HTTP_STREAM_PRIVATE_H

#include "http/stream.h"

/* Stream internals, shared by http/stream*.c. */

/* Callbacks of the parser, whose data is the stream. */
extern const http_parser_settings stream_parser_settings;

/* Handle bytes that have been read. */
void stream_receive(struct http_stream *stream, const char *bytes, size_t len);
/* Parse bytes; len 0 means end of stream. May close the stream. */
void stream_parse(struct http_stream *stream, const char *bytes, size_t len);
/* Get ready to parse the next message. */
void stream_begin_message(struct http_stream *stream);
/* Report to the owner that the stream is unusable. */
void stream_report_end(struct http_stream *stream, enum http_end_reason reason);
/*
 * Does the process owe the peer something, and is the peer taking it? An idle
 * connection, or one that waits for the peer, can be closed to make room.
 */
bool stream_is_working(const struct http_stream *stream);
/* Note what the socket has not been read for, and what it has sent. */
void stream_sample(struct http_stream *stream);
/* Close the connection to make room for others. */
void stream_revoke(struct http_stream *stream);
/* The peer has taken bytes. */
void stream_note_progress(struct http_stream *stream);
/* Process no more input, and make no more callbacks. */
void stream_set_closing(struct http_stream *stream);
/* Store bytes that are not parsed yet. */
void stream_pending_add(
    struct http_stream *stream, const char *bytes, size_t len);
/* Start or stop reading, as the state of the stream says. */
void stream_update_reading(struct http_stream *stream);
/* Take a turn for bytes that are dropped. */
void stream_use_turn(struct http_stream *stream, size_t len);
/* Process input that has waited for a turn. */
void stream_take_turn(struct http_turn *turn);
/* Close the socket, and free the stream later. */
void stream_close_handle(struct http_stream *stream);

#endif
