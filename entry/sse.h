/**
 * @file
 * Splits a server-sent event stream of chat completion chunks into events.
 *
 * No I/O. One thread owns an instance.
 */
#ifndef ENTRY_SSE_H
#define ENTRY_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

/** What a stream has brought so far. */
struct sse {
	uint32_t tokens; /* events with content */
	bool done;	 /* the closing [DONE] came */
	GString *text;	 /* content so far, as JSON-escaped text */
};

/**
 * The bytes of the first event of a stream's next part, with the empty line
 * that ends it; 0 if it is not whole yet.
 */
size_t sse_event_length(struct evbuffer *in);

void sse_init(struct sse *sse);
void sse_clear(struct sse *sse);

/**
 * Moves the whole events at the start of `in` to `out`, counting them; what
 * is behind the last event stays in `in`. Returns the number of tokens moved.
 */
uint32_t sse_move(struct sse *sse, struct evbuffer *in, struct evbuffer *out);

#endif
