/**
 * @file
 * HTTP client for requests to endpoints, over evhttp. Each request is sent at
 * most once.
 *
 * Idempotent requests share a pool of keep-alive connections. A request that
 * must not be repeated gets its own connection, so that no connection reuse can
 * cause a resend. Runs on the entry task.
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

/** Outcome of a request. */
enum upstream_result {
	UPSTREAM_COMPLETE, /* the response was received completely */
	UPSTREAM_NOT_SENT, /* no byte of the request was sent */
	UPSTREAM_EXCEEDED, /* cut: over the limits on a head or on framing */
	UPSTREAM_CLOSED,   /* the endpoint closed the connection before that */
	UPSTREAM_FAILED,   /* any other failure; the request may have run */
};

/** How the end of a response's body is marked. */
enum upstream_framing {
	FRAMING_UNKNOWN, /* no head was received */
	FRAMING_BODILESS,
	FRAMING_LENGTH,
	FRAMING_CHUNKS,
	FRAMING_CLOSE, /* ends with its connection */
};

/** How a request to an endpoint ended. */
struct upstream_end {
	enum upstream_result result;
	enum upstream_framing framing;
	const char *failure;	/* of the connection; NULL for none */
	bool reused_connection; /* it had carried another request before */
};

/** Returns the name of a framing for the log. */
const char *upstream_framing_name(enum upstream_framing framing);

struct upstream_request {
	const char *id; /* for the log; may be NULL */
	const char *address;
	enum evhttp_cmd_type method;
	const char *path; /* with the query */
	/** Adds the request's headers; called within upstream_send(). */
	void (*add_headers)(void *ctx, struct evkeyvalq *out);
	GBytes *body; /* may be NULL */
	bool once_only;
	bool close_delimited;  /* a response may end with its connection */
	int unsent_timeout_ms; /* limit on the time until it is sent */
	int idle_timeout_ms;   /* then, limit on the time without response bytes
				*/
	size_t pending_max_bytes; /* limit on an incomplete chunk */
	/**
	 * Called with the status and headers of the response. Returns whether
	 * the connection may be reused. May be NULL.
	 */
	bool (*head)(void *ctx, int status, struct evkeyvalq *headers);
	/** Called with body bytes; must drain what it consumes. */
	void (*data)(void *ctx, struct evbuffer *data);
	/** Called once, after all other callbacks, unless cancelled. */
	void (*end)(void *ctx, const struct upstream_end *end);
	void *ctx;
};

/**
 * Sends a request. Apart from add_headers, no callback runs before this
 * returns.
 */
struct upstream *upstream_send(struct upstream_pool *pool,
			       const struct upstream_request *request);

/**
 * Cancels a request: no callback follows, and its connection is closed. NULL is
 * allowed.
 */
void upstream_cancel(struct upstream *upstream);

/** Whether the request waits for its connection to be opened. */
bool upstream_is_connecting(const struct upstream *upstream);

/** Whether the request's connection has carried earlier ones. */
bool upstream_is_reused(const struct upstream *upstream);

/** Returns how much of the response has arrived, but was not delivered. */
size_t upstream_unread_bytes(const struct upstream *upstream);

/** Whether the response has ended, but the `end` callback is still due. */
bool upstream_end_pending(const struct upstream *upstream);

/**
 * Whether no callback runs while reading is paused: the request was sent, and
 * its response has not ended.
 */
bool upstream_can_wait(const struct upstream *upstream);

/** Pauses or resumes reading the response. */
void upstream_pause(struct upstream *upstream, bool paused);

#endif
