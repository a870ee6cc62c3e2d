#ifndef TREFOILHILL_STANDIN_PLATFORM_OPTION_NUMBER_H
#define TREFOILHILL_STANDIN_PLATFORM_OPTION_NUMBER_H

#include <stdint.h>

enum {
	EXIT_USAGE = 2,
};

uint32_t option_parse_number(
    const char *option, const char *value, uint32_t low, uint32_t high);

#endif
