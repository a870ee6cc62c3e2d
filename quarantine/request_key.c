#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "quarantine/request_key.h"

enum {
	HOST_MAX_BYTES = 255, /* longest name in the DNS; more is ignored */
	KEY_TOP_DIGIT_SHIFT = 60,
};

static XXH128_hash_t
hash_of(struct str bytes)
{
	return XXH3_128bits(bytes.ptr, bytes.len);
}

static XXH128_hash_t
hash_of_host(struct str host)
{
	char name[HOST_MAX_BYTES];
	size_t len = 0;

	while (len < host.len && len < sizeof(name) && host.ptr[len] != ':') {
		name[len] = g_ascii_tolower(host.ptr[len]);
		len++;
	}
	return hash_of(str_make(name, len));
}

static struct str
path_of(struct str target)
{
	const char *query =
	    target.len == 0 ? NULL : memchr(target.ptr, '?', target.len);

	return query == NULL
	    ? target
	    : str_make(target.ptr, (size_t)(query - target.ptr));
}

/*
 * Return the key of a request. The id, the deadline and other header fields are
 * left out, as they differ each time that a request comes.
 */
struct request_key
request_key_of(const struct request_identity *identity)
{
	struct str body = str_make(identity->body.ptr,
	    MIN(identity->body.len, REQUEST_KEY_BODY_BYTES));
	/* Hashed one by one, so that no two lists of parts are the same. */
	XXH128_hash_t parts[] = {
		hash_of_host(identity->host),
		hash_of(path_of(identity->target)),
		hash_of(identity->caller),
		hash_of(body),
	};
	XXH128_hash_t hash = XXH3_128bits(parts, sizeof(parts));

	return (struct request_key){ .high = hash.high64, .low = hash.low64 };
}

/*
 * Tell whether two keys are of the same request.
 */
bool
request_key_equal(struct request_key a, struct request_key b)
{
	return a.high == b.high && a.low == b.low;
}

static char *
write_hex(char *text, uint64_t value)
{
	static const char digits[] = "0123456789abcdef";

	for (int shift = KEY_TOP_DIGIT_SHIFT; shift >= 0; shift -= 4)
		*text++ = digits[value >> shift & 15];
	return text;
}

/*
 * Write a key as 32 hexadecimal digits. Each log line of a request has one, so
 * this does without printf.
 */
void
request_key_format(struct request_key key, char text[REQUEST_KEY_TEXT_MAX])
{
	char *end = write_hex(write_hex(text, key.high), key.low);

	*end = '\0';
}
