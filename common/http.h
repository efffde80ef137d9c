/**
 * @file
 * Helpers on top of evhttp for the daemon's HTTP servers.
 *
 * Call them on the thread that owns the request's event base.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include <radishdeal/result.h>

/** Whether a request that ended with an error may have run. */
enum outcome {
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

/** Content of an error response. */
struct problem {
	enum rd_result code;
	enum outcome outcome;
	const char *detail;	   /* NULL for the code's default text */
	const char *request_id;	   /* may be NULL */
	int retry_after_ms;	   /* 0 for none */
	json_t *extension_members; /* merged in; borrowed; may be NULL */
	bool close;		   /* ask the caller to close the connection */
};

/** Returns the body of an error response (RFC 9457); free it with free(). */
char *http_problem_text(const struct problem *problem);

/** Sends an application/problem+json response and ends the request. */
void http_send_problem(struct evhttp_request *req,
		       const struct problem *problem);

/**
 * Sends a JSON response and ends the request. Takes the reference of `body`.
 */
void http_send_json(struct evhttp_request *req, int status, json_t *body);

/** Sends a text response and ends the request. */
void http_send_text(struct evhttp_request *req, int status, const char *type,
		    const char *text);

/**
 * Sends a response whose headers and body are in the request's output, and ends
 * the request. Drops a body where the protocol has none. Replaces a watch of
 * its connection.
 */
void http_send_reply(struct evhttp_request *req, int status,
		     const char *reason);

/**
 * Counts a response in http_unsent_responses(); the functions above do so
 * themselves. Call it before the last part of a response is given to evhttp.
 * Replaces a watch of its connection.
 */
void http_track_response(struct evhttp_request *req);

/**
 * Sends the head of a response in chunks, or, to an HTTP/1.0 client, of one
 * that ends with its connection.
 */
void http_start_response(struct evhttp_request *req, int status,
			 const char *reason);

/**
 * Closes the connection of a started response once what was given to evhttp is
 * sent. Without the last chunk of the chunked encoding, every client sees that
 * the response is incomplete; the connection of an HTTP/1.0 client is reset.
 * Counts it like a complete response until then.
 * Replaces a watch of its connection.
 */
void http_abort_response(struct evhttp_request *req, int timeout_s);

/**
 * Returns how many responses of the calling thread are ended, but not yet
 * written to their sockets as a whole.
 */
unsigned http_unsent_responses(void);

/**
 * Ends the calling thread's event loop once http_unsent_responses() is 0, or
 * `timeout_ms` have passed. No request is read without a response after that.
 */
void http_end_loop(struct event_base *base, int timeout_ms);

/** Returns the value of a request header, or NULL. */
const char *http_header(struct evhttp_request *req, const char *name);

/** Returns the token of `Authorization: Bearer`, or NULL. */
const char *http_bearer(struct evhttp_request *req);

/**
 * Takes the request's body, followed by a NUL that its size does not count.
 * Another call returns an empty body.
 */
GBytes *http_body(struct evhttp_request *req);

/** Whether a header's name is one in the protocol. */
bool http_is_token(const char *name);

/** Whether a Content-Length is one in the protocol, of up to 18 digits. */
bool http_is_length(const char *text);

/**
 * Whether a head states the end of its body in two ways, of which evhttp takes
 * one, or by a malformed length or an unsupported transfer coding.
 */
bool http_has_ambiguous_framing(const struct evkeyvalq *headers);

/** Returns the name of the request's method. */
const char *http_method(struct evhttp_request *req);

/**
 * Returns the decoded value of a query parameter, to be freed by the caller, or
 * NULL.
 */
char *http_query(struct evhttp_request *req, const char *name);

/**
 * Callback for a caller's disconnect. Owned by the request's handler; must live
 * until http_unwatch_disconnect().
 */
struct http_disconnect_watch {
	void (*closed)(void *ctx);
	void *ctx;
};

/**
 * Calls watch->closed, at most once, if the caller disconnects while its
 * request is in progress. After that, sending a response only frees the
 * request. Data that the caller sends before the response is not parsed.
 */
void http_watch_disconnect(struct evhttp_request *req,
			   struct http_disconnect_watch *watch);

/**
 * Ends the watch and sets the connection's timeouts, in seconds. Call it before
 * the response is completed.
 */
void http_unwatch_disconnect(struct evhttp_request *req, int timeout_s);

#endif
