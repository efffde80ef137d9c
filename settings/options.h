/**
 * @file
 * Table-driven parsing of TOML into C structs.
 *
 * An array of `struct option_spec` describes the keys of one TOML table: type,
 * range, unit, default and the field of the target struct. Parsing does not
 * stop at the first error; every error gives the file, line and key. The
 * functions are thread-safe; the target belongs to the caller.
 */
#ifndef SETTINGS_OPTIONS_H
#define SETTINGS_OPTIONS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "settings/toml.h"

enum option_type {
	OPT_INT,     /* int64_t */
	OPT_SECONDS, /* int64_t in ms, from an integer or a float in seconds */
	OPT_BOOL,    /* bool */
	OPT_STRING,  /* char *, owned by the target */
	OPT_CHOICE,  /* int32_t: index into `choices` */
	OPT_FLAGS,   /* uint32_t: a bit for each name of `choices` listed */
	OPT_STRINGS, /* GPtrArray of char * */
	OPT_TABLE,   /* a nested struct of `subtable` */
	OPT_TABLES,  /* GPtrArray of structs of `subtable`, from [[key]] */
};

struct option_group;

/** Describes one key of a TOML table. */
struct option_spec {
	const char *key;
	enum option_type type;
	size_t offset;
	const char *help;
	const char *unit;      /* NULL if none */
	int64_t min, max;      /* of a number, a string's length in bytes or
				* the number of tables; 0 as max: no limit on
				* the length or number */
	int64_t default_value; /* of integers, booleans, choices and flags */
	const char *default_string; /* of strings; NULL: the empty string */
	gboolean required;
	const char *const *choices;
	const struct option_group *subtable;
};

/** Describes a TOML table and the struct it fills. */
struct option_group {
	const char *name;		   /* of the table, for messages */
	size_t size;			   /* of the struct, in bytes */
	const struct option_spec *options; /* ends with a NULL key */
};

/**
 * Collects errors, each as `file:line: key: message`. Line 0 stands for an
 * error that has no line of its own.
 */
struct option_errors {
	const char *file;
	GPtrArray *lines; /* of char * */
};

/** Initializes an empty collection; `file` must outlive it. */
void option_errors_init(struct option_errors *errors, const char *file);

/** Frees the collected lines. */
void option_errors_clear(struct option_errors *errors);

/** Adds an error; `fmt` gives its message. */
void option_errors_add(struct option_errors *errors, int line, const char *key,
		       const char *fmt, ...) G_GNUC_PRINTF(4, 5);

/** Returns whether an error was added for `key`, in any table. */
gboolean option_errors_has_key(const struct option_errors *errors,
			       const char *key);

/** Returns all errors, one per line; the caller frees it with g_free(). */
char *option_errors_text(const struct option_errors *errors);

/**
 * Sets the defaults in a zeroed target, then the values of a TOML table. After
 * errors the target still has to be freed by options_clear().
 */
void options_read(const struct option_group *group,
		  const struct toml_node *table, void *target,
		  struct option_errors *errors);

/**
 * Like options_read(), from TOML text. Returns FALSE if `errors` holds any
 * error afterwards; a syntax error is added under the key "syntax".
 */
gboolean options_read_text(const struct option_group *group, const char *text,
			   void *target, struct option_errors *errors);

/** Frees what options_read() allocated inside the target. */
void options_clear(const struct option_group *group, void *target);

/** Appends a reference of the keys of a group and its subtables. */
void options_append_reference(const struct option_group *group, GString *out);

/**
 * Returns the name with the smallest edit distance to `word`, or NULL if none
 * is similar. `names` ends with NULL.
 */
const char *nearest_name(const char *word, const char *const *names);

#endif
