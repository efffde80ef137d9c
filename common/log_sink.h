/**
 * @file
 * Where log lines go: a bounded buffer that a thread of its own writes out,
 * so that whoever logs never waits for the reader.
 *
 * When the reader is slow, lines about traffic are dropped from half of the
 * buffer on, others once it is full. How many were dropped is written as soon
 * as there is room. Any thread may write.
 */
#ifndef COMMON_LOG_SINK_H
#define COMMON_LOG_SINK_H

#include <stddef.h>
#include <stdint.h>

/** What a line is about; the first kinds are dropped first. */
enum log_kind {
	LOG_KIND_TRAFFIC, /* a request that goes well */
	LOG_KIND_OTHER,	  /* anything else */
	LOG_KIND_COUNT
};

struct log_sink;

struct log_sink_opts {
	int fd;
	size_t max_queued_bytes; /* waiting to be written; as much may be under
				    way */
	/** Makes the line about what was dropped; g_free(). */
	char *(*format_dropped_line)(const uint64_t *counts);
};

struct log_sink *log_sink_create(const struct log_sink_opts *opts);

/** Takes a line with its end; drops it if there is no room. */
void log_sink_write(struct log_sink *sink, enum log_kind kind, const char *line,
		    size_t size);

/** Lines dropped so far, by kind. */
uint64_t log_sink_dropped_count(struct log_sink *sink, enum log_kind kind);

/** Writes out what waits, unless the reader stands still, and ends. */
void log_sink_destroy(struct log_sink *sink);

#endif
