/* Reader of the fakes' logs. */
#include <string.h>

#include <jansson.h>

#include "soak/soak.h"

static struct endpoint_run *find_or_add(GHashTable *runs, const char *id)
{
	struct endpoint_run *run = g_hash_table_lookup(runs, id);

	if (!run) {
		run = g_new0(struct endpoint_run, 1);
		g_hash_table_insert(runs, g_strdup(id), run);
	}
	return run;
}

static void add_event(GHashTable *runs, json_t *line)
{
	const char *id = json_string_value(json_object_get(line, "request"));
	const char *event = json_string_value(json_object_get(line, "event"));
	struct endpoint_run *run;

	if (!id || !event)
		return;
	run = find_or_add(runs, id);
	if (!strcmp(event, "received")) {
		run->received++;
		run->broken = run->stalled = 0;
		return;
	}
	if (!strcmp(event, "stalled")) {
		run->stalled++;
		return;
	}
	if (!strcmp(event, "begun")) {
		run->begun++;
		return;
	}
	if (strcmp(event, "served") != 0 && strcmp(event, "broken") != 0 &&
	    strcmp(event, "cancelled") != 0 && strcmp(event, "rejected") != 0)
		return;
	run->served += !strcmp(event, "served");
	run->broken += !strcmp(event, "broken");
	run->cancelled += !strcmp(event, "cancelled");
	run->ended_us = json_integer_value(json_object_get(line, "t_us"));
}

void soak_read_log(const char *path, const char *only,
		   void (*visit)(GHashTable *table, json_t *line),
		   GHashTable *table)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		cluster_fail("%s: cannot be read", path);
	lines = g_strsplit(text, "\n", 0);
	for (int i = 0; lines[i]; i++) {
		json_t *line = strstr(lines[i], only)
				       ? json_loads(lines[i], 0, NULL)
				       : NULL;

		visit(table, line);
		json_decref(line);
	}
	g_strfreev(lines);
	g_free(text);
}

void endpoints_read_log(GHashTable *runs, const char *path)
{
	soak_read_log(path, "", add_event, runs);
}
