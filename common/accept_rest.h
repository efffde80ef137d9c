/**
 * @file
 * A listener that rests when a connection can't be accepted, for want of
 * descriptors: it would be ready again at once, and its loop would spin.
 *
 * Used on the thread of the listener's event base.
 */
#ifndef COMMON_ACCEPT_REST_H
#define COMMON_ACCEPT_REST_H

#include <event2/event.h>
#include <event2/listener.h>

struct accept_rest {
	struct evconnlistener *listener; /* borrowed */
	const char *address;		 /* for the log; borrowed */
	struct event *resume;
};

void accept_rest_init(struct accept_rest *rest, struct event_base *base,
		      struct evconnlistener *listener, const char *address);

/** Call it before the listener is freed; a zeroed rest is allowed. */
void accept_rest_clear(struct accept_rest *rest);

/** Call it in the listener's error callback. */
void accept_rest_begin(struct accept_rest *rest);

#endif
