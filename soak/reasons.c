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
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		cluster_fail("%s: cannot be read", path);
	lines = g_strsplit(text, "\n", 0);
	for (int i = 0; lines[i]; i++) {
		json_t *line = strstr(lines[i], "\"refused\"")
				       ? json_loads(lines[i], 0, NULL)
				       : NULL;

		add_line(reasons, line);
		json_decref(line);
	}
	g_strfreev(lines);
	g_free(text);
}
