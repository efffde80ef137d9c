/**
 * @file
 * Reader of an HTTP response, for tests that need more than fetch().
 */
#ifndef TEST_RESPONSE_H
#define TEST_RESPONSE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct response {
	GString *raw;  /* received and not parsed yet */
	GString *body; /* as far as received */
	char *head;    /* in lower-case letters; NULL until it is complete */
	int status;
	bool head_done;
	bool chunked;
	int64_t length; /* of the body; -1 if it ends with the connection */
	bool close;	/* the server closes the connection after it */
	int retry_after_s;
	bool complete;
	size_t received; /* bytes, with the head */
};

void response_init(struct response *response);
void response_clear(struct response *response);

/** Copies a header's value; the caller frees it. NULL if it is absent. */
char *response_header(const struct response *response, const char *name);

/** Adds received bytes. */
void response_add(struct response *response, const char *data, size_t size);

#endif
