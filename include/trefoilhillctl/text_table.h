#ifndef TREFOILHILL_TREFOILHILLCTL_TEXT_TABLE_H
#define TREFOILHILL_TREFOILHILLCTL_TEXT_TABLE_H

#include <glib.h>
#include <stdio.h>

/* A text table whose columns are as wide as their longest cell. */
struct text_table {
	guint columns;
	GPtrArray *cells; /* char *, in row-major order */
};

void text_table_init(
    struct text_table *table, const char *const *headers, guint columns);
void text_table_add_cell(struct text_table *table, const char *format, ...)
    G_GNUC_PRINTF(2, 3);
void text_table_print(const struct text_table *table, FILE *out);
void text_table_clear(struct text_table *table);

#endif
