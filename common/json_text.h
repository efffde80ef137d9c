/**
 * @file
 * Parses JSON of clients, with a bound on what a text becomes in memory: a
 * value of two bytes takes about 40, a member of an object more. Any thread.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include <stddef.h>

#include <jansson.h>

/* Values and members of one text. */
#define JSON_TEXT_VALUES_MAX 250000u

/**
 * Like json_loadb(), but returns NULL for a text with more than
 * JSON_TEXT_VALUES_MAX values. `error` may be NULL.
 */
json_t *json_text_load(const char *text, size_t size, size_t flags,
		       json_error_t *error);

#endif
