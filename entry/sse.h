/**
 * @file
 * Parser for server-sent event streams of chat completion chunks.
 *
 * No I/O. An instance belongs to one thread.
 */
#ifndef ENTRY_SSE_H
#define ENTRY_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

/** State of a stream parsed so far. */
struct sse {
	uint32_t tokens; /* events with content */
	bool done;	 /* the final [DONE] event was received */
	GString *text;	 /* content so far, as JSON-escaped text */
};

/**
 * Returns the length in bytes of the first event in `in`, with the empty line
 * that ends it; 0 if the event is incomplete.
 */
size_t sse_event_length(struct evbuffer *in);

void sse_init(struct sse *sse);
void sse_clear(struct sse *sse);

/**
 * Moves the complete events at the start of `in` to `out`, stopping after
 * [DONE]. Incomplete data stays in `in`. Returns the number of tokens moved.
 */
uint32_t sse_move_events(struct sse *sse, struct evbuffer *in,
			 struct evbuffer *out);

#endif
