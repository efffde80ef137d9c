#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/json_text.h"

/* Returns the position after a string that begins at `at`. */
static size_t skip_string(const char *text, size_t size, size_t at)
{
	for (at++; at < size && text[at] != '"'; at++)
		if (text[at] == '\\')
			at++;
	return at + 1;
}

/* Counts what separates or opens values, as far as the limit. */
static bool has_too_many_values(const char *text, size_t size)
{
	size_t count = 0, at = 0;

	while (at < size && count <= JSON_TEXT_VALUES_MAX) {
		if (text[at] == '"') {
			at = skip_string(text, size, at);
			continue;
		}
		if (text[at] && strchr(",:[{", text[at]))
			count++;
		at++;
	}
	return count > JSON_TEXT_VALUES_MAX;
}

json_t *json_text_load(const char *text, size_t size, size_t flags,
		       json_error_t *error)
{
	if (!has_too_many_values(text, size))
		return json_loadb(text, size, flags, error);
	if (error) {
		memset(error, 0, sizeof(*error));
		snprintf(error->text, sizeof(error->text),
			 "has more than %u values", JSON_TEXT_VALUES_MAX);
	}
	return NULL;
}
