#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "config/field_reader.h"

enum {
	PORT_MAX = 65535,
	PORT_DIGITS = 5,
};

/*
 * Return whether a name has 1 to FIELD_NAME_MAX bytes of a-z, 0-9, '.' and
 * '-'.
 */
bool
name_is_valid(struct str name)
{
	if (name.len == 0 || name.len > FIELD_NAME_MAX)
		return false;
	for (size_t i = 0; i < name.len; i++) {
		char c = name.ptr[i];

		if (!g_ascii_islower(c) && !g_ascii_isdigit(c) && c != '.' &&
		    c != '-')
			return false;
	}
	return true;
}

/*
 * Return whether the text is a decimal port number from 1 to 65535 without
 * leading zeros.
 */
static bool
port_is_valid(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len <= PORT_DIGITS && text[0] != '0' &&
	    strspn(text, "0123456789") == len && atoi(text) <= PORT_MAX;
}

/*
 * Return whether the text is the canonical form of an IP address. Other
 * spellings of the same address would give the record another digest.
 */
static bool
ip_is_canonical(int family, const char *text)
{
	unsigned char binary[sizeof(struct in6_addr)];
	char canonical[INET6_ADDRSTRLEN];

	return inet_pton(family, text, binary) == 1 &&
	    inet_ntop(family, binary, canonical, sizeof(canonical)) != NULL &&
	    strcmp(canonical, text) == 0;
}

/*
 * Return whether the text is IPv4:PORT or [IPv6]:PORT, in its canonical form.
 */
bool
address_is_valid(struct str address)
{
	char text[INET6_ADDRSTRLEN + PORT_DIGITS + sizeof("[]:")];
	size_t ip_len;
	char *colon;

	if (address.len == 0 || address.len >= sizeof(text))
		return false;
	memcpy(text, address.ptr, address.len);
	text[address.len] = '\0';
	colon = strrchr(text, ':');
	if (colon == NULL || !port_is_valid(colon + 1))
		return false;
	*colon = '\0';
	if (text[0] != '[')
		return ip_is_canonical(AF_INET, text);
	ip_len = strlen(text);
	if (text[ip_len - 1] != ']')
		return false;
	text[ip_len - 1] = '\0';
	return ip_is_canonical(AF_INET6, text + 1);
}

/*
 * Return whether the text has 1 to FIELD_AUTHORITY_MAX bytes, each of which is
 * valid in a lower-case host name, an IP address or a port.
 */
static bool
authority_is_valid(struct str authority)
{
	if (authority.len == 0 || authority.len > FIELD_AUTHORITY_MAX)
		return false;
	for (size_t i = 0; i < authority.len; i++) {
		char c = authority.ptr[i];

		if (!g_ascii_islower(c) && !g_ascii_isdigit(c) &&
		    strchr(".-_:[]", c) == NULL)
			return false;
	}
	return true;
}

/*
 * Return whether the text is an absolute path of at most FIELD_PREFIX_MAX bytes
 * without query or fragment.
 */
static bool
prefix_is_valid(struct str prefix)
{
	if (prefix.len == 0 || prefix.len > FIELD_PREFIX_MAX ||
	    prefix.ptr[0] != '/')
		return false;
	for (size_t i = 0; i < prefix.len; i++) {
		char c = prefix.ptr[i];

		if (!g_ascii_isgraph(c) || c == '?' || c == '#')
			return false;
	}
	return true;
}

/*
 * Initialize a reader for an object, which must outlive the reader. Any other
 * JSON value is an error.
 */
void
field_reader_init(struct field_reader *reader, const json_t *object)
{
	memset(reader, 0, sizeof(*reader));
	reader->object = object;
	if (!json_is_object(object))
		reader->refusal = refusal_new(
		    CONFIG_ERROR_SYNTAX, "", "a record must be an object");
}

/*
 * Return whether the object has a field. The field does not count as read.
 */
bool
field_reader_has(const struct field_reader *reader, const char *field)
{
	return json_object_get(reader->object, field) != NULL;
}

/*
 * Return a field and mark it as read; NULL after an error. An absent field is
 * an error.
 */
static const json_t *
get_field(struct field_reader *reader, const char *field)
{
	const json_t *value;

	if (reader->refusal != NULL)
		return NULL;
	g_assert(reader->field_count < FIELD_READER_FIELDS_MAX);
	reader->fields[reader->field_count++] = field;
	value = json_object_get(reader->object, field);
	if (value == NULL)
		reader->refusal =
		    refusal_new(CONFIG_ERROR_FIELD, field, "is missing");
	return value;
}

static void
read_string(struct field_reader *reader, const char *field,
    bool (*is_valid)(struct str), enum config_error code, const char *expected,
    struct str *out)
{
	const json_t *value = get_field(reader, field);
	struct str text;

	if (value == NULL)
		return;
	text = str_make(json_string_value(value), json_string_length(value));
	if (!json_is_string(value) || !is_valid(text))
		reader->refusal =
		    refusal_new(code, field, "must be %s", expected);
	else
		*out = text;
}

/*
 * Read a record's name.
 */
void
field_read_name(struct field_reader *reader, const char *field, struct str *out)
{
	read_string(reader, field, name_is_valid, CONFIG_ERROR_NAME,
	    "1 to 63 bytes of a-z 0-9 . -", out);
}

/*
 * Read an address: an IP address and a port.
 */
void
field_read_address(
    struct field_reader *reader, const char *field, struct str *out)
{
	read_string(reader, field, address_is_valid, CONFIG_ERROR_FIELD,
	    "IP:PORT in its usual form", out);
}

/*
 * Read the authority that a route matches.
 */
void
field_read_authority(
    struct field_reader *reader, const char *field, struct str *out)
{
	read_string(reader, field, authority_is_valid, CONFIG_ERROR_FIELD,
	    "1 to 253 bytes of a-z 0-9 . - _ : [ ]", out);
}

/*
 * Read the path prefix that a route matches.
 */
void
field_read_prefix(
    struct field_reader *reader, const char *field, struct str *out)
{
	read_string(reader, field, prefix_is_valid, CONFIG_ERROR_FIELD,
	    "an absolute path of at most 255 bytes without ? and #", out);
}

/*
 * Read an integer from min to max, both included.
 */
void
field_read_number(struct field_reader *reader, const char *field, uint32_t min,
    uint32_t max, uint32_t *out)
{
	const json_t *value = get_field(reader, field);
	json_int_t number = json_integer_value(value);

	if (value == NULL)
		return;
	if (!json_is_integer(value) || number < (json_int_t)min ||
	    number > (json_int_t)max)
		reader->refusal = refusal_new(CONFIG_ERROR_FIELD, field,
		    "must be a whole number from %u to %u", min, max);
	else
		*out = (uint32_t)number;
}

/*
 * Read a boolean.
 */
void
field_read_bool(struct field_reader *reader, const char *field, bool *out)
{
	const json_t *value = get_field(reader, field);

	if (value == NULL)
		return;
	if (!json_is_boolean(value))
		reader->refusal = refusal_new(
		    CONFIG_ERROR_FIELD, field, "must be true or false");
	else
		*out = json_is_true(value);
}

/*
 * Read "in" as false and "out" as true.
 */
void
field_read_in_or_out(struct field_reader *reader, const char *field, bool *out)
{
	const json_t *value = get_field(reader, field);
	const char *text = json_string_value(value);

	if (value == NULL)
		return;
	if (text == NULL ||
	    (strcmp(text, "in") != 0 && strcmp(text, "out") != 0))
		reader->refusal = refusal_new(
		    CONFIG_ERROR_FIELD, field, "must be \"in\" or \"out\"");
	else
		*out = strcmp(text, "out") == 0;
}

/*
 * Finish reading: a field that was not read is an error.
 */
void
field_reader_finish(struct field_reader *reader)
{
	const char *key;
	json_t *value;

	if (reader->refusal != NULL)
		return;
	json_object_foreach ((json_t *)reader->object, key, value) {
		size_t i = 0;

		while (i < reader->field_count &&
		    strcmp(reader->fields[i], key) != 0)
			i++;
		if (i < reader->field_count)
			continue;
		reader->refusal = refusal_new(CONFIG_ERROR_FIELD, key,
		    "is not a field of this kind and schema");
		return;
	}
}
