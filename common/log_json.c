#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "common/log_json.h"

#define REQUEST_PREFIX "request "

static json_t *json_of_value(const char *text)
{
	gint64 number;

	/* A number whose JSON form differs (leading zeros) stays a string. */
	if (g_ascii_string_to_signed(text, 10, G_MININT64, G_MAXINT64, &number,
				     NULL) &&
	    (text[0] != '0' || !text[1]))
		return json_integer(number);
	return json_string(text);
}

static gboolean is_key(const char *word, const char *equals)
{
	if (equals == word)
		return FALSE;
	for (const char *c = word; c < equals; c++)
		if (!g_ascii_isalnum(*c) && *c != '_')
			return FALSE;
	return TRUE;
}

/* Reads the value after a `=` and returns a pointer past it. */
static const char *read_value(const char *at, GString *value)
{
	char end = ' ';

	g_string_truncate(value, 0);
	if (*at == '"') {
		end = '"';
		at++;
	}
	while (*at && *at != end)
		g_string_append_c(value, *at++);
	return *at ? at + 1 : at;
}

static void add_text(GString *event, const char *word, size_t size)
{
	if (event->len)
		g_string_append_c(event, ' ');
	g_string_append_len(event, word, (gssize)size);
}

static void add_words(json_t *line, const char *at, GString *event)
{
	GString *value = g_string_new(NULL);

	while (*at) {
		size_t size = strcspn(at, " ");
		const char *equals = memchr(at, '=', size);

		if (equals && is_key(at, equals)) {
			char *key = g_strndup(at, (gsize)(equals - at));

			at = read_value(equals + 1, value);
			json_object_set_new(line, key,
					    json_of_value(value->str));
			g_free(key);
			continue;
		}
		if (size)
			add_text(event, at, size);
		at += size;
		at += *at ? 1 : 0;
	}
	g_string_free(value, TRUE);
}

/* Moves the ID of the prefix "request ID: " to a member of its own. */
static const char *read_request_prefix(json_t *line, const char *message)
{
	const char *id, *end;
	char *text;

	if (!g_str_has_prefix(message, REQUEST_PREFIX))
		return message;
	id = message + strlen(REQUEST_PREFIX);
	end = strstr(id, ": ");
	if (!end || memchr(id, ' ', (size_t)(end - id)))
		return message;
	text = g_strndup(id, (gsize)(end - id));
	json_object_set_new(line, "request", json_string(text));
	g_free(text);
	return end + 2;
}

char *log_json_line(const char *when, const char *level, const char *object,
		    const char *message)
{
	json_t *line = json_pack("{s:s,s:s,s:s}", "time", when, "level", level,
				 "object", object);
	GString *event = g_string_new(NULL);
	char *text, *terminated;

	if (!line) {
		g_string_free(event, TRUE);
		return NULL;
	}
	add_words(line, read_request_prefix(line, message), event);
	json_object_set_new(line, "event", json_string(event->str));
	text = json_dumps(line, JSON_COMPACT);
	terminated = text ? g_strconcat(text, "\n", NULL) : NULL;
	free(text);
	json_decref(line);
	g_string_free(event, TRUE);
	return terminated;
}
