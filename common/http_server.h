/**
 * @file
 * HTTP servers on evhttp, for clients that may exceed every limit.
 *
 * evhttp gets whole requests only, from request_reader.h. Until then a server
 * bounds the size and the time of each request, and for all its connections
 * together their number, the bytes of requests and the bytes of responses that
 * their clients don't read. Who gives way is told in docs/design/clients.md.
 *
 * A server belongs to the thread of its event base.
 */
#ifndef COMMON_HTTP_SERVER_H
#define COMMON_HTTP_SERVER_H

#include "common/counters.h"
#include "common/http.h"

/** Limits on what each client may send. 0 in a field: no limit. */
struct http_client_limits {
	size_t head_bytes, body_bytes;
	int head_ms;	/* from a request's first byte to the end of its head */
	int idle_ms;	/* without a request */
	int receive_ms; /* from a request's first byte to its last */
};

/** Limits on all clients of a server together. 0 in a field: no limit. */
struct http_server_limits {
	int connections;
	size_t request_bytes; /* of requests that are received or in progress */
	size_t unread_bytes;  /* of responses that clients haven't read */
};

struct http_listen_opts {
	struct event_base *base;
	const char *setting; /* key of the address, for errors; or NULL */
	const char *address;
	struct http_client_limits client;
	struct http_server_limits server;
	int timeout_s;		   /* without progress on a connection */
	struct counters *counters; /* may be NULL */
	void (*handle)(struct evhttp_request *req, void *ctx);
	/** Sends an error response; NULL for http_send_problem(). */
	void (*refuse)(struct evhttp_request *req,
		       const struct problem *problem);
	void *ctx;
};

/**
 * Opens an HTTP server on the address and sets *port to its local port.
 * Returns NULL on failure, with errno set and an error text in *why, which the
 * caller frees. `why` may be NULL.
 */
struct evhttp *http_listen(const struct http_listen_opts *opts, int *port,
			   char **why);

/** Closes a server and its connections. Any thread, once its loop has ended. */
void http_close(struct evhttp *http);

/** Replaces the limits for requests that begin from now on. */
void http_set_client_limits(struct evhttp *http,
			    const struct http_client_limits *limits);

/**
 * Returns how many requests to servers of the calling thread are received in
 * part.
 */
unsigned http_receiving_requests(void);

/* ---- for common/http.c ---- */

typedef void (*http_closed_cb)(struct evhttp_connection *conn, void *arg);

/** Sets what is called, at most once, when the connection is closed. */
void http_conn_set_closed(struct evhttp_connection *conn, http_closed_cb closed,
			  void *arg);

/** Tells that a response is sent; what follows its request is read next. */
void http_conn_answered(struct evhttp_connection *conn);

#endif
