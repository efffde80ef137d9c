#include <inttypes.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "settings/options.h"

/* Greatest edit distance of a name suggested for a misspelt one. */
#define MS_PER_S 1000
#define MAX_SUGGESTION_DISTANCE 3
#define MAX_WORD_BYTES 64

void option_errors_init(struct option_errors *errors, const char *file)
{
	errors->file = file;
	errors->lines = g_ptr_array_new_with_free_func(g_free);
}

void option_errors_clear(struct option_errors *errors)
{
	g_ptr_array_unref(errors->lines);
}

void option_errors_add(struct option_errors *errors, int line, const char *key,
		       const char *fmt, ...)
{
	va_list ap;
	char *message;

	va_start(ap, fmt);
	message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_ptr_array_add(errors->lines,
			g_strdup_printf("%s:%d: %s: %s", errors->file, line,
					key, message));
	g_free(message);
}

gboolean option_errors_has_key(const struct option_errors *errors,
			       const char *key)
{
	char *label = g_strdup_printf(": %s:", key);
	gboolean found = FALSE;

	for (guint i = 0; !found && i < errors->lines->len; i++)
		found = strstr(errors->lines->pdata[i], label) != NULL;
	g_free(label);
	return found;
}

char *option_errors_text(const struct option_errors *errors)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < errors->lines->len; i++)
		g_string_append_printf(out, "%s%s", i ? "\n" : "",
				       (char *)errors->lines->pdata[i]);
	return g_string_free(out, FALSE);
}

/* Words over MAX_WORD_BYTES count as similar to no other word. */
static int edit_distance(const char *a, const char *b)
{
	int row[MAX_WORD_BYTES + 1];
	int la = (int)strlen(a), lb = (int)strlen(b);

	if (la > MAX_WORD_BYTES || lb > MAX_WORD_BYTES)
		return MAX_WORD_BYTES;
	for (int j = 0; j <= lb; j++)
		row[j] = j;
	for (int i = 1; i <= la; i++) {
		int diagonal = row[0];

		row[0] = i;
		for (int j = 1; j <= lb; j++) {
			int replace = diagonal + (a[i - 1] != b[j - 1]);
			int insert = MIN(row[j], row[j - 1]) + 1;

			diagonal = row[j];
			row[j] = MIN(replace, insert);
		}
	}
	return row[lb];
}

const char *nearest_name(const char *word, const char *const *names)
{
	const char *best = NULL;
	int best_distance = MAX_SUGGESTION_DISTANCE + 1;

	for (; *names; names++) {
		int d = edit_distance(word, *names);

		if (d < best_distance) {
			best = *names;
			best_distance = d;
		}
	}
	return best;
}

static const char *type_name(enum toml_type type)
{
	static const char *const names[] = {
		[TOML_TABLE] = "a table",	 [TOML_ARRAY] = "an array",
		[TOML_STRING] = "a string",	 [TOML_INTEGER] = "an integer",
		[TOML_FLOAT] = "a float",	 [TOML_BOOLEAN] = "a boolean",
		[TOML_OTHER] = "a date or time",
	};

	return names[type];
}

static char *choices_text(const char *const *choices)
{
	return g_strjoinv(" | ", (char **)choices);
}

static void add_type_error(struct option_errors *errors,
			   const struct toml_node *n, const char *key,
			   const char *expected)
{
	option_errors_add(errors, n->line, key, "is %s, must be %s",
			  type_name(n->type), expected);
}

static void *field_pointer(const struct option_spec *o, void *target)
{
	return (char *)target + o->offset;
}

static void set_defaults(const struct option_group *group, void *target);

static void set_default(const struct option_spec *o, void *target)
{
	void *field = field_pointer(o, target);

	switch (o->type) {
	case OPT_INT:
		*(int64_t *)field = o->default_value;
		break;
	case OPT_SECONDS:
		*(int64_t *)field = o->default_value * MS_PER_S;
		break;
	case OPT_BOOL:
		*(bool *)field = o->default_value != 0;
		break;
	case OPT_CHOICE:
		*(int32_t *)field = (int32_t)o->default_value;
		break;
	case OPT_FLAGS:
		*(uint32_t *)field = (uint32_t)o->default_value;
		break;
	case OPT_STRING:
		*(char **)field = g_strdup(o->default_string ? o->default_string
							     : "");
		break;
	case OPT_STRINGS:
		*(GPtrArray **)field = g_ptr_array_new_with_free_func(g_free);
		break;
	case OPT_TABLES:
		*(GPtrArray **)field = g_ptr_array_new();
		break;
	case OPT_TABLE:
		set_defaults(o->subtable, field);
		break;
	}
}

static void set_defaults(const struct option_group *group, void *target)
{
	for (const struct option_spec *o = group->options; o->key; o++)
		set_default(o, target);
}

static void read_int(const struct option_spec *o, const struct toml_node *n,
		     void *field, struct option_errors *errors)
{
	const char *unit = o->unit ? o->unit : "";

	if (n->type != TOML_INTEGER) {
		add_type_error(errors, n, o->key, "an integer");
		return;
	}
	if (n->integer < o->min || n->integer > o->max) {
		option_errors_add(errors, n->line, o->key,
				  "is %" PRId64 ", must be %" PRId64
				  " to %" PRId64 "%s%s",
				  n->integer, o->min, o->max, *unit ? " " : "",
				  unit);
		return;
	}
	*(int64_t *)field = n->integer;
}

static void read_seconds(const struct option_spec *o, const struct toml_node *n,
			 void *field, struct option_errors *errors)
{
	double seconds = n->type == TOML_FLOAT ? n->number : (double)n->integer;

	if (n->type != TOML_INTEGER && n->type != TOML_FLOAT) {
		add_type_error(errors, n, o->key, "a number");
		return;
	}
	if (!(seconds >= (double)o->min && seconds <= (double)o->max)) {
		option_errors_add(errors, n->line, o->key,
				  "is %g, must be %" PRId64 " to %" PRId64 " s",
				  seconds, o->min, o->max);
		return;
	}
	*(int64_t *)field = (int64_t)(seconds * MS_PER_S);
}

static bool length_allowed(const struct option_spec *o,
			   const struct toml_node *n,
			   struct option_errors *errors)
{
	int64_t length = (int64_t)strlen(n->string);

	if (length >= o->min && (!o->max || length <= o->max))
		return true;
	option_errors_add(errors, n->line, o->key,
			  "has %" PRId64 " bytes, must have %" PRId64
			  " to %" PRId64,
			  length, o->min, o->max);
	return false;
}

static void read_string(const struct option_spec *o, const struct toml_node *n,
			void *field, struct option_errors *errors)
{
	if (n->type != TOML_STRING) {
		add_type_error(errors, n, o->key, "a string");
		return;
	}
	if (!length_allowed(o, n, errors))
		return;
	g_free(*(char **)field);
	*(char **)field = g_strdup(n->string);
}

static int read_choice(const struct option_spec *o, const struct toml_node *n,
		       struct option_errors *errors)
{
	char *allowed;

	if (n->type != TOML_STRING) {
		add_type_error(errors, n, o->key, "a string");
		return -1;
	}
	for (int i = 0; o->choices[i]; i++)
		if (!strcmp(o->choices[i], n->string))
			return i;
	allowed = choices_text(o->choices);
	option_errors_add(errors, n->line, o->key, "is \"%s\", must be %s",
			  n->string, allowed);
	g_free(allowed);
	return -1;
}

static void read_flags(const struct option_spec *o, const struct toml_node *n,
		       void *field, struct option_errors *errors)
{
	uint32_t flags = 0;

	if (n->type != TOML_ARRAY) {
		add_type_error(errors, n, o->key, "an array of strings");
		return;
	}
	for (struct toml_node *c = n->children; c; c = c->next) {
		int i = read_choice(o, c, errors);

		if (i >= 0)
			flags |= 1u << i;
	}
	*(uint32_t *)field = flags;
}

static void read_strings(const struct option_spec *o, const struct toml_node *n,
			 void *field, struct option_errors *errors)
{
	GPtrArray *strings = *(GPtrArray **)field;

	if (n->type != TOML_ARRAY) {
		add_type_error(errors, n, o->key, "an array of strings");
		return;
	}
	for (struct toml_node *c = n->children; c; c = c->next) {
		if (c->type != TOML_STRING)
			add_type_error(errors, c, o->key, "a string");
		else if (length_allowed(o, c, errors))
			g_ptr_array_add(strings, g_strdup(c->string));
	}
}

static void read_tables(const struct option_spec *o, const struct toml_node *n,
			void *field, struct option_errors *errors)
{
	GPtrArray *items = *(GPtrArray **)field;

	if (n->type != TOML_ARRAY) {
		add_type_error(errors, n, o->key, "an array of tables");
		return;
	}
	for (struct toml_node *c = n->children; c; c = c->next) {
		void *item;

		if (c->type != TOML_TABLE) {
			add_type_error(errors, c, o->key, "a table");
			continue;
		}
		item = g_malloc0(o->subtable->size);
		options_read(o->subtable, c, item, errors);
		g_ptr_array_add(items, item);
	}
	if ((int64_t)items->len < o->min ||
	    (o->max && (int64_t)items->len > o->max))
		option_errors_add(errors, n->line, o->key,
				  "has %u entries, must have %" PRId64
				  " to %" PRId64,
				  items->len, o->min, o->max);
}

static void read_keys(const struct option_group *group,
		      const struct toml_node *table, void *target,
		      struct option_errors *errors);

static void read_option(const struct option_spec *o, const struct toml_node *n,
			void *target, struct option_errors *errors)
{
	void *field = field_pointer(o, target);
	int choice;

	switch (o->type) {
	case OPT_INT:
		read_int(o, n, field, errors);
		break;
	case OPT_SECONDS:
		read_seconds(o, n, field, errors);
		break;
	case OPT_BOOL:
		if (n->type != TOML_BOOLEAN)
			add_type_error(errors, n, o->key, "true or false");
		else
			*(bool *)field = n->boolean;
		break;
	case OPT_STRING:
		read_string(o, n, field, errors);
		break;
	case OPT_CHOICE:
		choice = read_choice(o, n, errors);
		if (choice >= 0)
			*(int32_t *)field = choice;
		break;
	case OPT_FLAGS:
		read_flags(o, n, field, errors);
		break;
	case OPT_STRINGS:
		read_strings(o, n, field, errors);
		break;
	case OPT_TABLE:
		if (n->type != TOML_TABLE)
			add_type_error(errors, n, o->key, "a table");
		else
			read_keys(o->subtable, n, field, errors);
		break;
	case OPT_TABLES:
		read_tables(o, n, field, errors);
		break;
	}
}

static void add_unknown_key_error(const struct option_group *group,
				  const struct toml_node *n,
				  struct option_errors *errors)
{
	const char *names[64] = { NULL };
	const char *suggestion;
	int count = 0;

	for (const struct option_spec *o = group->options; o->key; o++)
		names[count++] = o->key;
	suggestion = nearest_name(n->key, names);
	if (suggestion)
		option_errors_add(errors, n->line, n->key,
				  "unknown key in [%s]; did you mean %s?",
				  group->name, suggestion);
	else
		option_errors_add(errors, n->line, n->key,
				  "unknown key in [%s]", group->name);
}

static const struct option_spec *find_option(const struct option_group *group,
					     const char *key)
{
	for (const struct option_spec *o = group->options; o->key; o++)
		if (!strcmp(o->key, key))
			return o;
	return NULL;
}

static const struct toml_node empty_table = { .type = TOML_TABLE };

static void read_keys(const struct option_group *group,
		      const struct toml_node *table, void *target,
		      struct option_errors *errors)
{
	for (const struct option_spec *o = group->options; o->key; o++) {
		struct toml_node *n = toml_find(table, o->key);

		if (n)
			read_option(o, n, target, errors);
		else if (o->required)
			option_errors_add(errors, table->line, o->key,
					  "missing in [%s]", group->name);
		else if (o->type == OPT_TABLE)
			read_keys(o->subtable, &empty_table,
				  field_pointer(o, target), errors);
	}
	for (struct toml_node *n = table->children; n; n = n->next)
		if (!find_option(group, n->key))
			add_unknown_key_error(group, n, errors);
}

void options_read(const struct option_group *group,
		  const struct toml_node *table, void *target,
		  struct option_errors *errors)
{
	set_defaults(group, target);
	read_keys(group, table, target, errors);
}

gboolean options_read_text(const struct option_group *group, const char *text,
			   void *target, struct option_errors *errors)
{
	char *message = NULL;
	int line = 0;
	struct toml_node *root = toml_parse(text, &message, &line);

	if (!root) {
		set_defaults(group, target);
		option_errors_add(errors, line, "syntax", "%s", message);
		free(message);
		return FALSE;
	}
	options_read(group, root, target, errors);
	toml_free(root);
	return errors->lines->len == 0;
}

void options_clear(const struct option_group *group, void *target)
{
	for (const struct option_spec *o = group->options; o->key; o++) {
		void *field = field_pointer(o, target);
		GPtrArray *items;

		switch (o->type) {
		case OPT_STRING:
			g_free(*(char **)field);
			break;
		case OPT_STRINGS:
			g_ptr_array_unref(*(GPtrArray **)field);
			break;
		case OPT_TABLE:
			options_clear(o->subtable, field);
			break;
		case OPT_TABLES:
			items = *(GPtrArray **)field;
			for (guint i = 0; i < items->len; i++) {
				options_clear(o->subtable, items->pdata[i]);
				g_free(items->pdata[i]);
			}
			g_ptr_array_unref(items);
			break;
		default:
			break;
		}
	}
}

static void append_type(const struct option_spec *o, GString *out)
{
	char *choices = o->choices ? choices_text(o->choices) : NULL;

	switch (o->type) {
	case OPT_INT:
	case OPT_SECONDS:
		g_string_append_printf(out,
				       "%" PRId64 " to %" PRId64 "%s%s, "
				       "default %" PRId64,
				       o->min, o->max, o->unit ? " " : "",
				       o->unit ? o->unit : "",
				       o->default_value);
		break;
	case OPT_BOOL:
		g_string_append_printf(out, "true | false, default %s",
				       o->default_value ? "true" : "false");
		break;
	case OPT_CHOICE:
		g_assert(o->choices);
		g_string_append_printf(out, "%s, default %s", choices,
				       o->choices[o->default_value]);
		break;
	case OPT_FLAGS:
		g_string_append_printf(out, "list of %s", choices);
		break;
	case OPT_STRING:
		g_string_append_printf(out, "string, default \"%s\"",
				       o->default_string ? o->default_string
							 : "");
		break;
	case OPT_STRINGS:
		g_string_append(out, "list of strings");
		break;
	case OPT_TABLE:
		g_string_append_printf(out, "table [%s]", o->subtable->name);
		break;
	case OPT_TABLES:
		g_string_append_printf(out, "tables [[%s]]", o->subtable->name);
		break;
	}
	g_free(choices);
}

void options_append_reference(const struct option_group *group, GString *out)
{
	g_string_append_printf(out, "[%s]\n", group->name);
	for (const struct option_spec *o = group->options; o->key; o++) {
		g_string_append_printf(out, "  %s: %s%s (", o->key, o->help,
				       o->required ? "; required" : "");
		append_type(o, out);
		g_string_append(out, ")\n");
	}
	for (const struct option_spec *o = group->options; o->key; o++)
		if (o->subtable)
			options_append_reference(o->subtable, out);
}
