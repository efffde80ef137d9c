/**
 * @file
 * Endpoints that answer each request with a stream of events, one at a time,
 * and can fall silent with their connections open.
 *
 * They run on a thread of their own; every function may be called from any
 * thread.
 */
#ifndef TEST_STREAM_ENDPOINTS_H
#define TEST_STREAM_ENDPOINTS_H

#include <stdbool.h>

#define STREAM_ENDPOINTS_MAX 2

struct stream_endpoints;

struct stream_endpoints_opts {
	const char *address; /* "IP:0", of all */
	int count;	     /* up to STREAM_ENDPOINTS_MAX */
	int events;	     /* of a stream */
	int gap_ms;	     /* between two events */
};

struct stream_endpoints *stream_endpoints_start(
	const struct stream_endpoints_opts *opts);
void stream_endpoints_stop(struct stream_endpoints *all);

int stream_endpoints_port(struct stream_endpoints *all, int number);

/** Number of the endpoint that got the first request; -1 before it. */
int stream_endpoints_first(struct stream_endpoints *all);

/** Whether that endpoint sends nothing from now on; the others go on. */
void stream_endpoints_set_silent(struct stream_endpoints *all, bool silent);

/** Whether that endpoint sends half a chunk before it falls silent. */
void stream_endpoints_set_half(struct stream_endpoints *all, bool half);

/** Whether all other endpoints send no events from now on. */
void stream_endpoints_set_others_silent(struct stream_endpoints *all,
					bool silent);

/** Whether all other endpoints refuse requests, as not run, from now on. */
void stream_endpoints_set_full(struct stream_endpoints *all, bool full);

/** Numbers of events sent and of requests received, by all. */
int stream_endpoints_sent(struct stream_endpoints *all);
int stream_endpoints_requests(struct stream_endpoints *all);

#endif
