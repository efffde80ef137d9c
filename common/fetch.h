/**
 * @file
 * Blocking HTTP client that sends one request per connection. For programs
 * without an event loop: the command-line tool, tests and benchmarks.
 */
#ifndef COMMON_FETCH_H
#define COMMON_FETCH_H

#include <stdbool.h>

#include <glib.h>

/** Limit on a response's body; a longer response is cut off. */
#define FETCH_BODY_MAX_BYTES (32 * 1024 * 1024)

struct fetch_request {
	const char *address; /* a.b.c.d:port */
	const char *method;
	const char *path;
	const char *key;	    /* bearer token, or NULL */
	const char *type;	    /* content type, or NULL */
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	const char *wanted_header;  /* of the response; or NULL */
	const char *body;
	gssize body_size; /* in bytes; -1: up to the NUL */
	int timeout_ms;
};

struct fetch_response {
	int status;   /* 0: no complete response */
	bool sent;    /* the request may have reached the server */
	char *type;   /* content type, empty if absent; NULL for no response */
	char *header; /* value of `wanted_header`; NULL if absent */
	char *body;   /* NUL-terminated; NULL for no response */
	gsize size;
};

/**
 * Sends a request and waits for the response. Returns whether a complete
 * response arrived within the timeout. Free the response with fetch_clear() in
 * either case.
 */
bool fetch(const struct fetch_request *request,
	   struct fetch_response *response);

void fetch_clear(struct fetch_response *response);

#endif
