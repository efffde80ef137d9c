/**
 * @file
 * Bounded queue of log lines with a writer thread, so that logging never blocks
 * on a slow reader.
 *
 * Lines about traffic are dropped while the queue is more than half full,
 * others while it is full, and those that could not be written. The number of
 * dropped lines is logged as soon as there is room. Any thread may write.
 */
#ifndef COMMON_LOG_SINK_H
#define COMMON_LOG_SINK_H

#include <stddef.h>
#include <stdint.h>

/** Kinds of lines, in the order in which they are dropped. */
enum log_kind {
	LOG_KIND_TRAFFIC, /* of requests without errors */
	LOG_KIND_OTHER,
	LOG_KIND_COUNT
};

struct log_sink;

struct log_sink_opts {
	int fd;
	size_t max_queued_bytes; /* besides those that the writer has dequeued,
				    which are at most as many */
	/**
	 * Formats the line about dropped lines, given their numbers by kind;
	 * the sink frees it with g_free().
	 */
	char *(*format_dropped_line)(const uint64_t *counts);
};

struct log_sink *log_sink_create(const struct log_sink_opts *opts);

/** Queues a line that ends with a newline, or drops it if there is no room. */
void log_sink_write(struct log_sink *sink, enum log_kind kind, const char *line,
		    size_t size);

/** Returns the number of lines of a kind dropped so far. */
uint64_t log_sink_dropped_count(struct log_sink *sink, enum log_kind kind);

/**
 * Flushes the queue, for as long as the reader makes progress, and frees the
 * sink. NULL is allowed.
 */
void log_sink_destroy(struct log_sink *sink);

#endif
