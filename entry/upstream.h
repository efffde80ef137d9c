/**
 * @file
 * HTTP requests to endpoints, over evhttp, each sent at most once.
 *
 * Connections are kept and reused for requests that may be repeated; a
 * request that may not gets a connection of its own, so that nothing can be
 * resent on its behalf. On the entry task.
 */
#ifndef ENTRY_UPSTREAM_H
#define ENTRY_UPSTREAM_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

struct upstream_pool;
struct upstream;

struct upstream_pool *upstream_pool_create(struct event_base *base);
void upstream_pool_destroy(struct upstream_pool *pool);

/** How a request ended. */
enum upstream_result {
	UPSTREAM_COMPLETE, /* the answer came to its stated end */
	UPSTREAM_NOT_SENT, /* no byte of the request left this process */
	UPSTREAM_FAILED,   /* anything else */
};

struct upstream_request {
	const char *address;
	enum evhttp_cmd_type method;
	const char *path; /* with the query */
	/** Adds the request's headers; called before the send returns. */
	void (*add_headers)(void *ctx, struct evkeyvalq *out);
	GBytes *body; /* may be NULL */
	bool once_only;
	bool close_delimited; /* an answer may end with its connection */
	int idle_timeout_ms;  /* without any byte of the answer */
	/**
	 * Status and headers are there; returns whether the connection may be
	 * used again. May be NULL.
	 */
	bool (*head)(void *ctx, int status, struct evkeyvalq *headers);
	/** Bytes of the body; drains what it takes. */
	void (*data)(void *ctx, struct evbuffer *data);
	/** Called last, once, unless cancelled. */
	void (*end)(void *ctx, enum upstream_result end);
	void *ctx;
};

/** Sends; never calls back before it returns. */
struct upstream *upstream_send(struct upstream_pool *pool,
			       const struct upstream_request *request);

/** Gives a request up: no callback follows; the endpoint sees a close. */
void upstream_cancel(struct upstream *upstream);

/** Stops or continues reading the answer. */
void upstream_pause(struct upstream *upstream, bool paused);

#endif
