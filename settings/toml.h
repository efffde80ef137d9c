/**
 * @file
 * Parses TOML with the toml++ library into a tree of C structs.
 *
 * The caller owns the tree and frees it with toml_free(). The functions are
 * thread-safe, but a tree must be used from one thread at a time.
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

/** A value of the document. */
struct toml_node {
	enum toml_type type;
	char *key; /* NULL for array elements and the root */
	int line;  /* in the document, from 1 */
	char *string;
	int64_t integer;
	double number;
	bool boolean;
	struct toml_node *children; /* of a table or an array */
	struct toml_node *next;
};

/**
 * Parses a document. On a syntax error returns NULL and sets *error, which the
 * caller frees with free(), and *error_line.
 */
struct toml_node *toml_parse(const char *text, char **error, int *error_line);

/** Frees a tree; NULL is allowed. */
void toml_free(struct toml_node *node);

/** Returns the child of a table with this key, or NULL. */
struct toml_node *toml_find(const struct toml_node *table, const char *key);

#ifdef __cplusplus
}
#endif

#endif
