#include <setjmp.h>
#include <signal.h>
#include <dirent.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "test/script.h"

void script_fail(const struct script *script, const char *fmt, ...)
{
	va_list ap;

	fprintf(stderr, "%s:%d: ", script->path, script->line);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fprintf(stderr, "\n");
	exit(1);
}

void script_print(struct script *script, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	g_string_append_vprintf(script->output, fmt, ap);
	va_end(ap);
	g_string_append_c(script->output, '\n');
}

const char *script_value(const struct script *script, const char *key,
			 const char *fallback)
{
	size_t size = strlen(key);

	for (int i = 1; i < script->word_count; i++)
		if (!strncmp(script->words[i], key, size) &&
		    script->words[i][size] == '=')
			return script->words[i] + size + 1;
	return fallback;
}

gint64 script_number(const struct script *script, const char *key,
		     gint64 fallback)
{
	const char *text = script_value(script, key, NULL);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

int script_signal(const struct script *script, const char *name)
{
	static const struct {
		const char *name;
		int number;
	} signals[] = {
		{ "SIGTERM", SIGTERM }, { "SIGINT", SIGINT },
		{ "SIGHUP", SIGHUP },	{ "SIGSTOP", SIGSTOP },
		{ "SIGCONT", SIGCONT },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++)
		if (!strcmp(name, signals[i].name))
			return signals[i].number;
	script_fail(script, "unknown signal %s", name);
}

static void split(struct script *script, char *line)
{
	char *save = NULL;

	script->word_count = 0;
	for (char *word = strtok_r(line, " \t", &save); word;
	     word = strtok_r(NULL, " \t", &save)) {
		if (script->word_count == SCRIPT_WORDS_MAX)
			script_fail(script, "more than %d words",
				    SCRIPT_WORDS_MAX);
		script->words[script->word_count++] = word;
	}
	script->words[script->word_count] = NULL;
}

static void run_line(struct script *script,
		     const struct script_command *commands)
{
	const struct script_command *c = commands;

	while (c->name && strcmp(c->name, script->words[0]) != 0)
		c++;
	if (!c->name)
		script_fail(script, "unknown command %s", script->words[0]);
	if (script->word_count - 1 < c->min_args)
		script_fail(script, "%s needs at least %d arguments", c->name,
			    c->min_args);
	if (getenv("TRACE"))
		fprintf(stderr, "%s:%d: %s\n", script->path, script->line,
			script->words[0]);
	c->run(script);
}

void script_run(const char *path, const struct script_command *commands,
		void *ctx, GString *output)
{
	struct script script = { .path = path, .output = output, .ctx = ctx };
	char *text = NULL, **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: cannot be read\n", path);
		exit(1);
	}
	lines = g_strsplit(text, "\n", 0);
	for (int i = 0; lines[i]; i++) {
		char *copy = g_strdup(lines[i]);

		script.line = i + 1;
		split(&script, copy);
		if (script.word_count && *script.words[0] != '#')
			run_line(&script, commands);
		g_free(copy);
	}
	g_strfreev(lines);
	g_free(text);
}

void script_check(const char *path, const struct script_command *commands,
		  void *ctx)
{
	char *expected_path = g_strdup_printf(
		"%.*s.expected", (int)(strlen(path) - strlen(".script")), path);
	GString *output = g_string_new(NULL);
	char *expected = NULL;
	bool same;

	script_run(path, commands, ctx, output);
	if (getenv("UPDATE")) {
		g_file_set_contents(expected_path, output->str, -1, NULL);
		g_string_free(output, TRUE);
		g_free(expected_path);
		return;
	}
	if (!g_file_get_contents(expected_path, &expected, NULL, NULL))
		expected = g_strdup("");
	same = !strcmp(expected, output->str);
	if (!same)
		fprintf(stderr, "%s: expected:\n%s--- actual:\n%s", path,
			expected, output->str);
	g_free(expected);
	g_string_free(output, TRUE);
	g_free(expected_path);
	assert_true(same);
}

void script_check_folder(const char *folder,
			 const struct script_command *commands,
			 void (*run)(const char *path,
				     const struct script_command *commands))
{
	DIR *dir = opendir(folder);
	struct dirent *entry;
	int count = 0;

	assert_non_null(dir);
	while ((entry = readdir(dir))) {
		char *path;

		if (!g_str_has_suffix(entry->d_name, ".script"))
			continue;
		path = g_build_filename(folder, entry->d_name, NULL);
		run(path, commands);
		g_free(path);
		count++;
	}
	closedir(dir);
	assert_true(count > 0);
}
