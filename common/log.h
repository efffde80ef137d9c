/**
 * @file
 * Log handles over GLib's structured logging.
 *
 * One handle per object; a handle is a name and belongs to its owner. Any
 * thread may log. A line is `time level object message key=value ...` or one
 * JSON object, by setting. Bodies and keys are never logged.
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

/** Installs the writer for the process: lowest level shown and format. */
void log_setup(GLogLevelFlags lowest, enum log_format format);

/**
 * From now on lines go to a file descriptor by a thread of their own, so that
 * nobody who logs waits for its reader. Called before other threads start.
 */
void log_start_writer(int fd);

/** Writes out what waits; called after all other threads have ended. */
void log_stop_writer(void);

/** Lines dropped since log_start_writer(), as the reader was slow. */
uint64_t log_dropped_count(void);

/** Writes one line. `fields` is NULL or `key=value ...` text. */
void log_line(const struct log *log, GLogLevelFlags level, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);

/** Returns whether a level would be written, to spare costly arguments. */
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
