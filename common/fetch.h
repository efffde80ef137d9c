/**
 * @file
 * One HTTP request at a time, waiting for its answer. For programs without an
 * event loop of their own: the command-line tool, tests and measures.
 */
#ifndef COMMON_FETCH_H
#define COMMON_FETCH_H

#include <stdbool.h>

#include <glib.h>

struct fetch_request {
	const char *address; /* a.b.c.d:port */
	const char *method;
	const char *path;
	const char *key;	    /* bearer key, or NULL */
	const char *type;	    /* content type, or NULL */
	const char *const *headers; /* name, value, ..., NULL; or NULL */
	const char *body;
	gssize body_size; /* -1: to the NUL */
	int timeout_ms;
};

struct fetch_response {
	int status; /* 0: no whole answer */
	bool sent;  /* the request may have reached the server */
	char *type;
	char *body; /* NUL-terminated */
	gsize size;
};

/** Sends and waits. True if a whole answer came; clear it in any case. */
bool fetch(const struct fetch_request *request, struct fetch_response *answer);

void fetch_clear(struct fetch_response *answer);

#endif
