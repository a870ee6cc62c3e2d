#ifndef TREFOILHILL_HTTP_STREAM_PRIVATE_H
#define TREFOILHILL_HTTP_STREAM_PRIVATE_H

#include "http/stream.h"

/* Stream internals, shared by http/stream*.c. */

/* Parse bytes; len 0 means end of stream. May close the stream. */
void stream_parse(struct http_stream *stream, const char *bytes, size_t len);
/* Get ready to parse the next message. */
void stream_begin_message(struct http_stream *stream);
/* Report to the owner that the stream is unusable. */
void stream_report_end(struct http_stream *stream, enum http_end_reason reason);
/* Store unparsed bytes; false above HTTP_PENDING_MAX_BYTES. */
bool stream_pending_add(
    struct http_stream *stream, const char *bytes, size_t len);
void stream_read_stop(struct http_stream *stream);
/* uv_close callback: frees the stream. */
void stream_handle_closed(uv_handle_t *handle);

#endif
