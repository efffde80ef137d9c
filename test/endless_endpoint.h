/**
 * @file
 * Endpoint that sends bytes without end, or one a second, over raw sockets. The
 * header X-Play, or the last part of the path, names what it plays; `whole` is
 * a sound answer. Each connection has a thread of its own.
 */
#ifndef TEST_ENDLESS_ENDPOINT_H
#define TEST_ENDLESS_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

struct endless_endpoint;

/**
 * Listens at `address`, whose port may be 0. A `sound` endpoint plays `whole`
 * for all paths.
 */
struct endless_endpoint *endless_endpoint_create(const char *address,
						 bool sound);
void endless_endpoint_destroy(struct endless_endpoint *endpoint);

int endless_endpoint_port(const struct endless_endpoint *endpoint);

/** Returns how many plays other than `whole` have begun. */
int endless_endpoint_plays(struct endless_endpoint *endpoint);

/**
 * Waits until the peers of all plays have closed their connections. Returns the
 * bytes that they took since the last call, or -1 if one remains open.
 */
int64_t endless_endpoint_wait(struct endless_endpoint *endpoint,
			      int timeout_ms);

#endif
