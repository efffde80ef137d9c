/**
 * @file
 * Checks the head of an endpoint's response beyond what evhttp does, which
 * passes on whatever it can split into names and values. No I/O; any thread may
 * call.
 */
#ifndef ENTRY_RESPONSE_HEAD_H
#define ENTRY_RESPONSE_HEAD_H

#include <stdbool.h>

#include <event2/buffer.h>
#include <event2/http.h>

/**
 * Returns why a response cannot be passed on to a caller, as a word for the
 * log, or NULL if it can. A reader that follows RFC 9112 would reject it, or
 * would find another end of its body.
 */
const char *response_head_fault(int status, struct evkeyvalq *headers);

/**
 * Whether the rest of a head at the start of `input`, which may be incomplete,
 * has a NUL, at which evhttp would silently cut a line off.
 */
bool response_head_has_nul(struct evbuffer *input);

#endif
