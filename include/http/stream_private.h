#ifndef TREFOILHILL_HTTP_STREAM_PRIVATE_H
#define TREFOILHILL_HTTP_STREAM_PRIVATE_H

#include "http/stream.h"

/* Insides of a stream, shared by its sources alone. */

/* Parse bytes; none at the end of the stream. It may be closed afterwards. */
void stream_parse(struct http_stream *stream, const char *bytes, size_t len);
/* Tell the owner that the stream is of no more use. */
void stream_fail(struct http_stream *stream, enum http_end end);
/* Keep bytes for later; false when too many are waiting. */
bool stream_pending_add(
    struct http_stream *stream, const char *bytes, size_t len);
void stream_read_stop(struct http_stream *stream);
/* The stream is freed here once its handle is closed. */
void stream_handle_closed(uv_handle_t *handle);

#endif
