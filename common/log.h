/**
 * @file
 * Logging on top of GLib's structured logging.
 *
 * Each module has a handle with its name. Any thread may log. A line is `time
 * level object: message key=value ...` or a JSON object, depending on the
 * settings. Request bodies and keys must not be logged.
 */
#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdint.h>

#include <glib.h>

enum log_format {
	LOG_FORMAT_KEY_VALUE,
	LOG_FORMAT_JSON,
};

/** A named log source. `name` must outlive the handle. */
struct log {
	const char *name;
};

/** Sets the lowest level that is written and the format, for the process. */
void log_setup(GLogLevelFlags lowest, enum log_format format);

/**
 * Starts a thread that writes all further lines to a file descriptor, so that
 * logging never blocks on a slow reader. Call it before other threads start.
 */
void log_start_writer(int fd);

/**
 * Flushes the queued lines and ends the writer thread. Call it after all other
 * threads have ended.
 */
void log_stop_writer(void);

/** Returns the number of lines dropped since log_start_writer(). */
uint64_t log_dropped_count(void);

/** Writes a line, unless its level is disabled. `log` may be NULL. */
void log_line(const struct log *log, GLogLevelFlags level, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

/** Returns whether a level is enabled; used to skip costly arguments. */
gboolean log_enabled(GLogLevelFlags level);

#define log_at(log, level, ...)                            \
	do {                                               \
		if (log_enabled(level))                    \
			log_line(log, level, __VA_ARGS__); \
	} while (0)
#define log_error(log, ...) log_at(log, G_LOG_LEVEL_CRITICAL, __VA_ARGS__)
#define log_warn(log, ...) log_at(log, G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define log_note(log, ...) log_at(log, G_LOG_LEVEL_MESSAGE, __VA_ARGS__)
#define log_info(log, ...) log_at(log, G_LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(log, ...) log_at(log, G_LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
