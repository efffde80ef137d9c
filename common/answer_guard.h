/**
 * @file
 * Limits on what an HTTP client takes of an answer before it is delivered.
 *
 * evhttp bounds a status line and the headers, but no interim answer (1xx), no
 * line of a chunk's length, no chunk, and nothing between two chunks. The guard
 * counts at the connection's input, so it needs no rule for any of them.
 */
#ifndef COMMON_ANSWER_GUARD_H
#define COMMON_ANSWER_GUARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/**
 * Limit on a head, interim answers included, and what was read with it. Bytes
 * that come before the request is sent may be of the body too, so they have the
 * limit on a chunk besides.
 */
#define ANSWER_HEAD_MAX_BYTES 131072
/** For evhttp, whose own limit must not come first. */
#define ANSWER_HEADERS_MAX_BYTES (2 * ANSWER_HEAD_MAX_BYTES)

/* Enough for a chunk's length, with leading spaces and zeros. */
#define ANSWER_LINE_START 32

struct answer_guard {
	struct bufferevent *bev;
	struct evbuffer_cb_entry *input_cb;
	size_t pending_max_bytes;
	/** Called once, in a callback of the input, which is no longer read. */
	void (*exceeded)(void *ctx);
	void *ctx;
	bool in_body, chunked, stopped;
	size_t received;  /* bytes of the head, then of the body */
	size_t early;	  /* of them, before the request was sent */
	size_t delivered; /* bytes of the body */
	/* Of a body in chunks, read up to the end of the input: */
	int64_t chunk_left; /* bytes; 0 within a line, negative at the end */
	size_t line_bytes;
	char line[ANSWER_LINE_START]; /* its first bytes */
};

/**
 * Starts to count. The caller has set `bev`, `exceeded`, `ctx` and
 * `pending_max_bytes`, the limit on a chunk that is not complete.
 */
void answer_guard_start(struct answer_guard *guard);

/** Notes that the head is complete and taken from the input. */
void answer_guard_head_done(struct answer_guard *guard, bool chunked);

/** Notes that bytes of the body were delivered. */
void answer_guard_delivered(struct answer_guard *guard, size_t bytes);

void answer_guard_stop(struct answer_guard *guard);

#endif
