#include <stdarg.h>

#include "trefoilhillctl/text_table.h"

/*
 * Initialises a table with a header row.
 */
void
text_table_init(
    struct text_table *table, const char *const *headers, guint columns)
{
	table->columns = columns;
	table->cells = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < columns; i++)
		g_ptr_array_add(table->cells, g_strdup(headers[i]));
}

/*
 * Adds a cell. Rows are filled from left to right.
 */
void
text_table_add_cell(struct text_table *table, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(table->cells, g_strdup_vprintf(format, args));
	va_end(args);
}

static int
column_width(const struct text_table *table, guint column)
{
	glong width = 0;

	for (guint i = column; i < table->cells->len; i += table->columns)
		width = MAX(width, g_utf8_strlen(table->cells->pdata[i], -1));
	return (int)width;
}

/*
 * Prints the header and all rows, with two spaces between columns.
 */
void
text_table_print(const struct text_table *table, FILE *out)
{
	int *widths = g_new(int, table->columns);

	for (guint i = 0; i < table->columns; i++)
		widths[i] = column_width(table, i);
	for (guint i = 0; i < table->cells->len; i++) {
		guint column = i % table->columns;
		const char *cell = table->cells->pdata[i];

		if (column + 1 == table->columns)
			fprintf(out, "%s\n", cell);
		else
			fprintf(out, "%s%*s", cell,
			    widths[column] + 2 - (int)g_utf8_strlen(cell, -1),
			    "");
	}
	g_free(widths);
}

/*
 * Releases the memory held by the table.
 */
void
text_table_clear(struct text_table *table)
{
	g_ptr_array_unref(table->cells);
}
