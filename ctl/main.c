/* radishdealctl, the command-line tool for operators. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "settings/daemon.h"
#include "settings/options.h"

#define WAIT_DEFAULT_MS 10000
#define COMMANDS_MAX 64
#define EXIT_USAGE 64

const char *argp_program_version = "radishdealctl 0.1";

enum {
	ARG_JSON = 256,
	ARG_WAIT,
	ARG_CHANGE_ID,
	ARG_BASE,
};

static const struct argp_option options[] = {
	{ "server", 's', "IP:PORT,...", 0,
	  "operators' addresses, tried in turn (RADISHDEAL_SERVERS)", 0 },
	{ "key-file", 'k', "FILE", 0,
	  "file with the operator's key (RADISHDEAL_KEY_FILE)", 0 },
	{ "json", ARG_JSON, NULL, 0, "print JSON for scripts", 0 },
	{ "wait", ARG_WAIT, "MS", OPTION_ARG_OPTIONAL,
	  "wait until the change is in force everywhere", 0 },
	{ "change-id", ARG_CHANGE_ID, "ID", 0,
	  "id of the change, to repeat one that got no answer", 0 },
	{ "base", ARG_BASE, "REVISION", 0,
	  "revision that the change is based on", 0 },
	{ 0 }
};

struct arguments {
	struct ctl ctl;
	const char *servers;
	const char *key_file;
	GPtrArray *words; /* the command and its arguments */
};

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 's':
		a->servers = arg;
		return 0;
	case 'k':
		a->key_file = arg;
		return 0;
	case ARG_JSON:
		a->ctl.json = true;
		return 0;
	case ARG_WAIT:
		a->ctl.wait_ms = arg ? atoll(arg) : WAIT_DEFAULT_MS;
		return 0;
	case ARG_CHANGE_ID:
		a->ctl.change_id = arg;
		return 0;
	case ARG_BASE:
		a->ctl.base_revision = atoll(arg);
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add(a->words, arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *help_filter(int key, const char *text, void *input)
{
	GString *out;

	(void)input;
	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	out = g_string_new("Commands:\n");
	for (int i = 0; ctl_commands[i].name; i++) {
		char *usage = g_strdup_printf("%s %s", ctl_commands[i].name,
					      ctl_commands[i].arguments);

		g_string_append_printf(out, "  %-30s %s\n", usage,
				       ctl_commands[i].summary);
		g_free(usage);
	}
	g_string_append(out, "\n`radishdealctl help COMMAND` describes a "
			     "command. The exit status depends on the result "
			     "code; docs/RESULTS.md has the table.");
	return strdup(g_string_free(out, FALSE));
}

static const struct argp argp = {
	.options = options,
	.parser = parse_argument,
	.args_doc = "COMMAND [ARGUMENT...]",
	.doc = "Inspects and changes a radishdeal cluster.\v",
	.help_filter = help_filter,
};

/* ---- finding the command ---- */

/* Returns the number of words in the name if they come first, otherwise 0. */
static int match_name(const struct ctl_command *c, const GPtrArray *words)
{
	char **parts = g_strsplit(c->name, " ", 0);
	guint n = g_strv_length(parts);
	int matched = (int)n;

	for (guint i = 0; i < n; i++)
		if (i >= words->len || strcmp(parts[i], words->pdata[i]) != 0)
			matched = 0;
	g_strfreev(parts);
	return matched;
}

static const struct ctl_command *find_command(const GPtrArray *words,
					      int *name_words)
{
	for (int i = 0; ctl_commands[i].name; i++) {
		*name_words = match_name(&ctl_commands[i], words);
		if (*name_words)
			return &ctl_commands[i];
	}
	return NULL;
}

static int report_unknown_command(const GPtrArray *words)
{
	const char *names[COMMANDS_MAX] = { NULL };
	GString *given = g_string_new(NULL);
	const char *suggestion;

	for (int i = 0; ctl_commands[i].name && i < COMMANDS_MAX - 1; i++)
		names[i] = ctl_commands[i].name;
	for (guint i = 0; i < words->len && i < 2; i++)
		g_string_append_printf(given, "%s%s", i ? " " : "",
				       (char *)words->pdata[i]);
	suggestion = nearest_name(given->str, names);
	if (!suggestion && words->len)
		suggestion = nearest_name(words->pdata[0], names);
	fprintf(stderr, "radishdealctl: unknown command \"%s\"", given->str);
	if (suggestion)
		fprintf(stderr, "; did you mean \"%s\"?", suggestion);
	fprintf(stderr, "\n");
	g_string_free(given, TRUE);
	return EXIT_USAGE;
}

static int print_help(GPtrArray *words)
{
	const struct ctl_command *c;
	int name_words;

	g_ptr_array_remove_index(words, 0);
	c = find_command(words, &name_words);
	if (!c)
		return report_unknown_command(words);
	printf("radishdealctl %s %s\n\n%s.\n\n%s\n", c->name, c->arguments,
	       c->summary, c->help);
	return 0;
}

/* ---- running the command ---- */

static bool load_connection_options(struct arguments *a, bool required)
{
	const char *servers = a->servers ? a->servers
					 : getenv("RADISHDEAL_SERVERS");
	const char *key_file = a->key_file ? a->key_file
					   : getenv("RADISHDEAL_KEY_FILE");
	char **list = g_strsplit(servers ? servers : "", ",", 0);
	char *error = NULL;
	GBytes *key;

	for (int i = 0; list[i]; i++)
		if (*list[i])
			g_ptr_array_add(a->ctl.addresses, g_strdup(list[i]));
	g_strfreev(list);
	if (!required)
		return true;
	if (!a->ctl.addresses->len || !key_file) {
		fprintf(stderr, "radishdealctl: --server and --key-file are "
				"required\n");
		return false;
	}
	key = key_file_load(key_file, &error);
	if (!key) {
		fprintf(stderr, "radishdealctl: %s\n", error);
		g_free(error);
		return false;
	}
	a->ctl.key = g_strndup(g_bytes_get_data(key, NULL),
			       g_bytes_get_size(key));
	g_bytes_unref(key);
	return true;
}

static bool accepts_count(const struct ctl_command *c, int count)
{
	return c->argument_count < 0 ? count >= -c->argument_count
				     : count == c->argument_count;
}

static bool sends_requests(const struct ctl_command *c)
{
	return strcmp(c->name, "check") != 0 && strcmp(c->name, "explain") != 0;
}

static int run(struct arguments *a)
{
	const struct ctl_command *c;
	int name_words;

	if (!a->words->len) {
		fprintf(stderr, "radishdealctl: command missing; see --help\n");
		return EXIT_USAGE;
	}
	if (!strcmp(a->words->pdata[0], "help"))
		return print_help(a->words);
	c = find_command(a->words, &name_words);
	if (!c)
		return report_unknown_command(a->words);
	if (!accepts_count(c, (int)a->words->len - name_words)) {
		fprintf(stderr, "radishdealctl: usage: %s %s\n", c->name,
			c->arguments);
		return EXIT_USAGE;
	}
	if (!load_connection_options(a, sends_requests(c)))
		return EXIT_USAGE;
	g_ptr_array_add(a->words, NULL);
	return c->run(&a->ctl, (char **)a->words->pdata + name_words);
}

int main(int argc, char **argv)
{
	struct arguments a = { .ctl = { .base_revision = -1 } };
	int status;

	a.words = g_ptr_array_new();
	a.ctl.addresses = g_ptr_array_new_with_free_func(g_free);
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	status = run(&a);
	g_ptr_array_unref(a.words);
	g_ptr_array_unref(a.ctl.addresses);
	g_free(a.ctl.key);
	return status;
}
