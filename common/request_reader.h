/**
 * @file
 * Finds the end of a request (RFC 9112) in the bytes of a connection, within
 * limits, before evhttp parses it.
 *
 * Each byte is looked at once, however it arrives. A reader holds the head and
 * the decoded body; framing is dropped, so neither chunks of a byte nor long
 * extensions take memory. No I/O; used on the thread that owns the connection.
 */
#ifndef COMMON_REQUEST_READER_H
#define COMMON_REQUEST_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

/** Largest sizes of a request, in bytes. */
struct request_limits {
	size_t head_bytes; /* with empty lines before it */
	size_t body_bytes; /* without framing */
};

enum request_status {
	REQUEST_INCOMPLETE,
	REQUEST_COMPLETE,
	/* The end can't be found; what follows must not be read: */
	REQUEST_MALFORMED,
	REQUEST_HEAD_TOO_LARGE,
	REQUEST_BODY_TOO_LARGE,
};

/** Internal: what the next byte belongs to. */
enum request_part {
	PART_EMPTY_LINES,
	PART_HEAD,
	PART_BODY,
	PART_CHUNK_LENGTH,
	PART_CHUNK_EXTENSION,
	PART_CHUNK_LENGTH_END, /* the line feed */
	PART_CHUNK,
	PART_CHUNK_END,
	PART_TRAILER,
	PART_DONE,
};

/** All fields are internal; read them by the functions below. */
struct request_reader {
	struct request_limits limits;
	enum request_part part;
	enum request_status status;
	GString *head;	       /* up to and with the empty line at its end */
	struct evbuffer *body; /* decoded */
	size_t empty_bytes;    /* before the head */
	size_t line_bytes;     /* of the present line, without its end */
	uint32_t lines;	       /* of the head */
	bool chunked;
	bool expects_continue;
	uint64_t part_left;   /* bytes of the body or chunk still to come */
	uint32_t digits;      /* of a chunk's length */
	size_t framing_bytes; /* of chunks, and trailers */
};

void request_reader_init(struct request_reader *reader,
			 const struct request_limits *limits);

/** Frees what the reader holds; it may be initialized again. */
void request_reader_clear(struct request_reader *reader);

/**
 * Takes bytes up to the end of the request; *taken is set to their number. Call
 * it with status REQUEST_INCOMPLETE only.
 */
enum request_status request_reader_take(struct request_reader *reader,
					const char *data, size_t size,
					size_t *taken);

/** Whether anything of a request has arrived. */
bool request_reader_has_begun(const struct request_reader *reader);

/** Whether the head is complete. */
bool request_reader_has_head(const struct request_reader *reader);

/** Whether the method is HEAD, as far as it has arrived. */
bool request_reader_is_head(const struct request_reader *reader);

/**
 * Whether the client waits for an interim response before it sends the body;
 * true at most once for a request.
 */
bool request_reader_take_expectation(struct request_reader *reader);

/** Returns the bytes of memory that the request takes, or will when parsed. */
size_t request_reader_held(const struct request_reader *reader);

/**
 * Prepends a complete request to `out`, its body with a length instead of
 * chunks, and clears the reader.
 */
void request_reader_move(struct request_reader *reader, struct evbuffer *out);

#endif
