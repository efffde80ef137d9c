/* Prints JSON arrays as tables. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"

#define COLUMNS_MAX 16

static char *format_cell(json_t *row, const char *key)
{
	json_t *value = json_object_get(row, key);
	GString *joined;

	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_integer(value))
		return g_strdup_printf("%lld",
				       (long long)json_integer_value(value));
	if (json_is_boolean(value))
		return g_strdup(json_is_true(value) ? "yes" : "no");
	if (!json_is_array(value))
		return g_strdup("-");
	joined = g_string_new(NULL);
	for (size_t i = 0; i < json_array_size(value); i++) {
		const char *text = json_string_value(json_array_get(value, i));

		g_string_append_printf(joined, "%s%s", i ? "," : "",
				       text ? text : "?");
	}
	return g_string_free(joined, FALSE);
}

static void measure_columns(json_t *rows, const struct ctl_column *columns,
			    size_t *widths)
{
	for (int c = 0; columns[c].heading; c++)
		widths[c] = strlen(columns[c].heading);
	for (size_t i = 0; i < json_array_size(rows); i++)
		for (int c = 0; columns[c].heading; c++) {
			char *text = format_cell(json_array_get(rows, i),
						 columns[c].key);

			widths[c] = MAX(widths[c], strlen(text));
			g_free(text);
		}
}

static void print_rows(json_t *rows, const struct ctl_column *columns)
{
	size_t widths[COLUMNS_MAX];

	measure_columns(rows, columns, widths);
	for (int c = 0; columns[c].heading; c++)
		printf("%-*s%s", (int)widths[c], columns[c].heading,
		       columns[c + 1].heading ? "  " : "\n");
	for (size_t i = 0; i < json_array_size(rows); i++)
		for (int c = 0; columns[c].heading; c++) {
			char *text = format_cell(json_array_get(rows, i),
						 columns[c].key);

			printf("%-*s%s", (int)widths[c], text,
			       columns[c + 1].heading ? "  " : "\n");
			g_free(text);
		}
}

int ctl_print(const struct ctl *ctl, json_t *answer, const char *list,
	      const struct ctl_column *columns)
{
	if (ctl->json) {
		char *text = json_dumps(answer, JSON_INDENT(2));

		printf("%s\n", text);
		free(text);
	} else {
		print_rows(json_object_get(answer, list), columns);
	}
	json_decref(answer);
	return 0;
}
