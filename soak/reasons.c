/* Reader of the entries' logs: why a request was ended. */
#include <string.h>

#include <jansson.h>

#include "soak/soak.h"

static const char *field(json_t *line, const char *name)
{
	const char *text = json_string_value(json_object_get(line, name));

	return text ? text : "";
}

static void add_line(GHashTable *reasons, json_t *line)
{
	const char *id = field(line, "request");

	if (!*id || strcmp(field(line, "event"), "refused") != 0)
		return;
	g_hash_table_insert(reasons, g_strdup(id),
			    g_strdup_printf("%s (%s)", field(line, "code"),
					    field(line, "detail")));
}

void reasons_read_log(GHashTable *reasons, const char *path)
{
	soak_read_log(path, "\"refused\"", add_line, reasons);
}
