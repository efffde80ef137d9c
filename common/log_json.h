/**
 * @file
 * A log message as one JSON line.
 *
 * Messages are `[request ID: ]text key=value key="value with spaces" ...`.
 * The line has `time`, `level`, `object`, `request` where there is one,
 * `event` (the text) and each key as a member; numbers stay numbers.
 */
#ifndef COMMON_LOG_JSON_H
#define COMMON_LOG_JSON_H

/** Returns the line with its end, to be freed by g_free(); NULL if it cannot
 * be.
 */
char *log_json_line(const char *when, const char *level, const char *object,
		    const char *message);

#endif
