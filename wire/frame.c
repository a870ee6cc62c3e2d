#include "wire/frame.h"

enum {
	FRAME_MAGIC_0 = 'T',
	FRAME_MAGIC_1 = 'h',
};

/*
 * Write the preamble of a frame of this protocol version.
 */
void
frame_preamble_write(
    enum frame_class class, unsigned char out[FRAME_PREAMBLE_LEN])
{
	out[0] = FRAME_MAGIC_0;
	out[1] = FRAME_MAGIC_1;
	out[2] = FRAME_PROTOCOL;
	out[3] = (unsigned char)class;
}

/*
 * Check the preamble and the sizes of a received frame. On FRAME_VALID, class
 * and head are set; head is a view into first_part.
 */
enum frame_parse_result
frame_parse(struct str first_part, struct str body, enum frame_class *class,
    struct str *head)
{
	const unsigned char *p = (const unsigned char *)first_part.ptr;

	if (first_part.len < FRAME_PREAMBLE_LEN || p[0] != FRAME_MAGIC_0 ||
	    p[1] != FRAME_MAGIC_1)
		return FRAME_MALFORMED;
	if (p[2] != FRAME_PROTOCOL)
		return FRAME_UNSUPPORTED_VERSION;
	if (p[3] >= FRAME_CLASS_COUNT)
		return FRAME_MALFORMED;
	if (first_part.len - FRAME_PREAMBLE_LEN > FRAME_HEAD_MAX ||
	    body.len > FRAME_BODY_MAX)
		return FRAME_TOO_LARGE;
	*class = (enum frame_class)p[3];
	*head = str_make(first_part.ptr + FRAME_PREAMBLE_LEN,
	    first_part.len - FRAME_PREAMBLE_LEN);
	return FRAME_VALID;
}
