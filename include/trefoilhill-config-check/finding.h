#ifndef TREFOILHILL_CONFIG_CHECK_FINDING_H
#define TREFOILHILL_CONFIG_CHECK_FINDING_H

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

enum finding_level {
	FINDING_ERROR,   /* nodes refuse the configuration */
	FINDING_WARNING, /* valid, but not likely what is meant */
	FINDING_CHANGE,  /* difference from the version in force */
	FINDING_LEVELS,
};

struct finding {
	enum finding_level level;
	const char *check; /* static name, stable for scripts */
	char *place;       /* as in errors of the decoder: "route r-1" */
	char *text;        /* never contains a key */
};

/* Findings in the order in which they were added. */
struct finding_list {
	GPtrArray *items; /* struct finding * */
	unsigned counts[FINDING_LEVELS];
};

void finding_list_init(struct finding_list *list);
void finding_list_clear(struct finding_list *list);
/* Takes over place and text, which must not be NULL. */
void finding_list_add(struct finding_list *list, enum finding_level level,
    const char *check, char *place, char *text);
/* One line for each finding, "LEVEL: PLACE: TEXT [CHECK]". */
void finding_list_print(const struct finding_list *list, FILE *out);
json_t *finding_list_to_json(const struct finding_list *list);
/* 2 if there is an error, 1 if there is a warning, otherwise 0. */
int finding_list_exit_status(const struct finding_list *list);

#endif
