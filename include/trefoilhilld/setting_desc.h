#ifndef TREFOILHILL_TREFOILHILLD_SETTING_DESC_H
#define TREFOILHILL_TREFOILHILLD_SETTING_DESC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "trefoilhilld/settings.h"

enum setting_type {
	SETTING_NAME,             /* 1 to 63 bytes of a-z 0-9 . - */
	SETTING_NAME_OPTIONAL,    /* a name or empty */
	SETTING_ADDRESS,          /* IP:PORT */
	SETTING_ADDRESS_OPTIONAL, /* IP:PORT or empty */
	SETTING_SEEDS,            /* IP:PORT, comma-separated, may be empty */
	SETTING_HTTP_URL,         /* http://IP:PORT */
	SETTING_NUMBER,           /* a whole number */
	SETTING_AMOUNT,           /* a number, rounded down */
	SETTING_DURATION,         /* a number of ms, or with a unit; in ms */
	SETTING_DECIMAL,          /* a decimal number, stored in thousandths */
	SETTING_CHOICE,
};

struct setting_desc {
	const char *section;
	const char *key;
	const char *default_value; /* NULL: the setting is required */
	enum setting_type type;
	size_t offset; /* of the member in struct settings, in bytes */
	uint32_t min;
	uint32_t max;
	const char *const *choices; /* of SETTING_CHOICE; NULL-terminated */
};

extern const struct setting_desc setting_descs[];
extern const size_t setting_desc_count;

const struct setting_desc *setting_desc_find(
    const char *section, const char *key);
bool setting_section_exists(const char *section);
char *setting_desc_expected(const struct setting_desc *desc);
bool setting_desc_store(const struct setting_desc *desc, const char *text,
    struct settings *settings);

#endif
