/**
 * @file
 * A connection of a client to an HTTP server, between its socket and evhttp.
 * For common/http_server.c and common/http_conn.c only.
 *
 * A connection belongs to its server and frees itself when evhttp closes it.
 */
#ifndef COMMON_HTTP_CONN_H
#define COMMON_HTTP_CONN_H

#include <event2/bufferevent.h>

#include "common/accept_rest.h"
#include "common/http_server.h"
#include "common/request_reader.h"
#include "common/room.h"

enum conn_state {
	CONN_RECEIVING, /* or idle, if the reader has nothing */
	CONN_ANSWERING, /* evhttp has the request */
	CONN_ENDING,	/* shut down; evhttp hears of it next */
};

struct http_conn {
	struct http_server *server;
	struct evhttp_connection *conn; /* NULL until it is adopted */
	struct bufferevent *bev;
	GList link, due_link; /* due_link.data is NULL while it isn't due */
	enum conn_state state;
	struct request_reader reader;
	struct evbuffer *behind; /* received after the present request */
	enum rd_result refusal;	 /* RD_OK for none */
	bool handing_over;
	bool receiving;	      /* counted in receiving_requests */
	uint32_t since_sweep; /* of the request's first byte, or of idleness */
	struct room_holder request, unread;
	http_closed_cb closed;
	void *closed_arg;
};

struct http_server {
	struct evhttp *http;
	struct http_listen_opts opts;
	GQueue conns;	    /* of struct http_conn; the first is the oldest */
	GHashTable *by_bev; /* bufferevent -> struct http_conn */
	GQueue due; /* of struct http_conn with bytes behind a response */
	struct event *later, *sweep;
	struct accept_rest rest;
	uint32_t sweeps;
	struct room requests, unread;
	uint32_t refused, ended; /* since the last sweep */
	size_t shown_request_bytes, shown_unread_bytes; /* by the gauges */
};

/** Returns the server's connection that evhttp has, or NULL. */
struct http_conn *http_conn_find(struct evhttp_connection *conn);

/** Adds to a counter, if the server has any. */
void http_server_count(const struct http_server *server, enum counter which,
		       int64_t n);

/** Adds a connection, whose first request is refused unless RD_OK. */
void http_conn_create(struct http_server *server, struct bufferevent *bev,
		      enum rd_result refusal);

/**
 * Watches for the connection's end. Call it once evhttp has set its callbacks
 * on a new connection, in the same turn of the event loop.
 */
void http_conn_adopt(struct http_conn *c);

/** Closes a connection; evhttp hears of it later. */
void http_conn_end(struct http_conn *c);

/** Refuses the request that is being received; evhttp answers later. */
void http_conn_refuse(struct http_conn *c, enum rd_result code,
		      enum counter kind);

/** Reads what waits behind responses that are sent. */
void http_conn_read_due(struct http_server *server);

#endif
