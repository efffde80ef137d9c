/**
 * @file
 * Formats a log message as a line of JSON.
 *
 * Messages have the form `[request ID: ]text key=value key="a value" ...`. The
 * members of the object are `time`, `level`, `object`, `request` if the message
 * has one, `event` (the text) and each key. Integers become JSON numbers.
 */
#ifndef COMMON_LOG_JSON_H
#define COMMON_LOG_JSON_H

/**
 * Returns the line, which ends with a newline; free it with g_free(). Returns
 * NULL if it cannot be encoded.
 */
char *log_json_line(const char *when, const char *level, const char *object,
		    const char *message);

#endif
