#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "standin-platform/option_number.h"

enum {
	DECIMAL = 10,
};

/*
 * Return the value of a numeric command line option. Exits with status 2 if it
 * is not a number from low to high.
 */
uint32_t
option_parse_number(
    const char *option, const char *value, uint32_t low, uint32_t high)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(
		value, DECIMAL, low, high, &number, NULL)) {
		fprintf(stderr, "--%s %s: expected a number from %u to %u\n",
		    option, value, low, high);
		exit(EXIT_USAGE);
	}
	return (uint32_t)number;
}
