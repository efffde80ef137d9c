/**
 * @file
 * A TOML document as a plain C tree, read by the toml++ library.
 *
 * The caller owns the tree and frees it by toml_free(). Any thread may call;
 * a tree belongs to one thread at a time.
 */
#ifndef SETTINGS_TOML_H
#define SETTINGS_TOML_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum toml_type {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_OTHER, /* dates and times, which no setting uses */
};

/** A value; `key` is NULL for array elements and the root. */
struct toml_node {
	enum toml_type type;
	char *key;
	int line;
	char *string;
	int64_t integer;
	double number;
	bool boolean;
	struct toml_node *children; /* of a table or an array */
	struct toml_node *next;
};

/**
 * Parses text. On a syntax error returns NULL and sets *error (free() it) and
 * *error_line.
 */
struct toml_node *toml_parse(const char *text, char **error, int *error_line);

/** Frees a tree; NULL is allowed. */
void toml_free(struct toml_node *node);

/** Finds a child of a table by its key, or NULL. */
struct toml_node *toml_find(const struct toml_node *table, const char *key);

#ifdef __cplusplus
}
#endif

#endif
