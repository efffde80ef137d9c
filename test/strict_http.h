/**
 * @file
 * An HTTP/1.1 client that accepts only what the RFCs allow a server to send,
 * for tests of what callers get. Blocking; no HTTP library is involved.
 */
#ifndef TEST_STRICT_HTTP_H
#define TEST_STRICT_HTTP_H

#include <stdbool.h>

#include <glib.h>

enum strict_result {
	STRICT_COMPLETE,  /* one whole response */
	STRICT_CLOSED,	  /* closed before the first byte */
	STRICT_CUT,	  /* closed within a response that has an end */
	STRICT_MALFORMED, /* not HTTP/1.1; `why` says what is wrong */
	STRICT_TIMEOUT,	  /* neither a whole response nor a close */
};

struct strict_response {
	int status; /* 0: the head is not whole */
	char *seal; /* Response-Seal, or NULL */
	bool close; /* no further request can follow */
	GString *body;
	char *why;
};

/** Connects to `a.b.c.d:port` with a timeout for reads; -1 on failure. */
int strict_connect(const char *address, int timeout_s);

/**
 * Reads one response. `input` keeps what was read, but not used, for the next
 * call. Free the response in any case.
 */
enum strict_result strict_read(int fd, GString *input,
			       struct strict_response *response);

void strict_clear(struct strict_response *response);

/** Whether bytes have arrived that no call of strict_read() has used. */
bool strict_has_bytes(int fd, const GString *input);

#endif
