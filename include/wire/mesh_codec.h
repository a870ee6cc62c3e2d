#ifndef TREFOILHILL_WIRE_MESH_CODEC_H
#define TREFOILHILL_WIRE_MESH_CODEC_H

#include <glib.h>

#include "common/str.h"
#include "mesh/message.h"

#define MESH_CODEC_ERROR (mesh_codec_error_quark())

enum mesh_codec_error {
	MESH_CODEC_ERROR_TOO_LARGE,
	MESH_CODEC_ERROR_MALFORMED,
	MESH_CODEC_ERROR_PROTOCOL, /* newer than this node understands */
	MESH_CODEC_ERROR_KIND,
	MESH_CODEC_ERROR_FIELD,
	MESH_CODEC_ERROR_COUNT,
};

GQuark mesh_codec_error_quark(void);
const char *mesh_codec_error_name(enum mesh_codec_error code);
GBytes *mesh_message_encode(const struct mesh_message *message);
struct mesh_message *mesh_message_decode(struct str head, GError **error);

#endif
