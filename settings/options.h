/**
 * @file
 * Options declared as data tables and filled from a TOML tree.
 *
 * A table of `struct option_row` describes the keys of one TOML table: type,
 * range, unit, default, and where the value goes in the target struct.
 * Errors are collected, all of them, each naming file, line and key. Any
 * thread may call; the target belongs to the caller.
 */
#ifndef SETTINGS_OPTIONS_H
#define SETTINGS_OPTIONS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "settings/toml.h"

enum option_type {
	OPT_INT,     /* int64_t */
	OPT_BOOL,    /* bool */
	OPT_STRING,  /* char *, owned by the target */
	OPT_CHOICE,  /* int32_t: index into `choices` */
	OPT_FLAGS,   /* uint32_t: array of names out of `choices` */
	OPT_STRINGS, /* GPtrArray of char * */
	OPT_TABLE,   /* a nested struct, `sub` */
	OPT_TABLES,  /* GPtrArray of structs of `sub`, from [[key]] */
};

struct option_group;

/** One key. */
struct option_row {
	const char *key;
	enum option_type type;
	size_t offset;
	const char *help;
	const char *unit; /* NULL where it has none */
	int64_t min, max; /* of integers; of lengths for strings */
	int64_t fallback; /* default of integers, booleans, choices */
	const char *fallback_string; /* default of strings, may be NULL */
	gboolean required;
	const char *const *choices;
	const struct option_group *sub;
};

/** A struct's keys; `options` ends with a NULL key. */
struct option_group {
	const char *name;
	size_t size;
	const struct option_row *options;
};

/** Collected errors: `file:line: key: what, allowed`. */
struct option_errors {
	const char *file;
	GPtrArray *lines; /* of char * */
};

/** Starts an empty collection for a file's name. */
void option_errors_init(struct option_errors *errors, const char *file);

/** Frees the collected lines. */
void option_errors_clear(struct option_errors *errors);

/** Adds an error at a line for a key. */
void option_errors_add(struct option_errors *errors, int line, const char *key,
		       const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/** Whether some error was added for a key, whatever table it stands in. */
gboolean option_errors_has_key(const struct option_errors *errors,
			       const char *key);

/** Joins the errors, one a line; the caller frees. */
char *option_errors_text(const struct option_errors *errors);

/** Fills a zeroed target from a TOML table, defaults first. */
void options_read(const struct option_group *group,
		  const struct toml_node *table, void *target,
		  struct option_errors *errors);

/** Parses text and fills the target; FALSE if any error was added. */
gboolean options_read_text(const struct option_group *group, const char *text,
			   void *target, struct option_errors *errors);

/** Frees what options_read() allocated inside the target. */
void options_clear(const struct option_group *group, void *target);

/** Prints a group's keys as reference text. */
void options_append_reference(const struct option_group *group, GString *out);

/** Returns the name nearest to `word` by edit distance, or NULL. */
const char *nearest_name(const char *word, const char *const *names);

#endif
