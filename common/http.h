/**
 * @file
 * Small helpers over evhttp shared by the daemon's HTTP adapters.
 *
 * Called on the thread that owns the request's event base.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <stdbool.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include <radishdeal/result.h>

/** Whether a refused request can have been acted on. */
enum outcome {
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

/** Fields of an error answer beyond its code. */
struct problem {
	enum rd_result code;
	enum outcome outcome;
	const char *detail;	   /* NULL for the code's own text */
	const char *request_id;	   /* may be NULL */
	int retry_after_ms;	   /* 0 for none */
	json_t *extension_members; /* object merged in; borrowed; may be NULL */
	bool close; /* the caller should use another connection */
};

/** Builds the body of an error answer (RFC 9457). */
char *http_problem_text(const struct problem *problem);

/** Answers with application/problem+json and ends the request. */
void http_send_problem(struct evhttp_request *req,
		       const struct problem *problem);

/** Answers with JSON and ends the request; takes the reference. */
void http_send_json(struct evhttp_request *req, int status, json_t *body);

/** Answers with text and ends the request. */
void http_send_text(struct evhttp_request *req, int status, const char *type,
		    const char *text);

/** Returns a request header or NULL. */
const char *http_header(struct evhttp_request *req, const char *name);

/** Returns the key of `Authorization: Bearer`, or NULL. */
const char *http_bearer(struct evhttp_request *req);

/** Copies the request's body out; NUL-terminated behind its size. */
GBytes *http_body(struct evhttp_request *req);

/**
 * Whether the request frames its body in a way that evhttp does not know, so
 * that what follows on the connection cannot be told from another request.
 */
bool http_has_unknown_framing(struct evhttp_request *req);

/** Returns the method's name. */
const char *http_method(struct evhttp_request *req);

/** Returns the decoded value of a query parameter; caller frees; or NULL. */
char *http_query(struct evhttp_request *req, const char *name);

/** A watch on a caller; owned by whoever answers, lives until unwatched. */
struct http_disconnect_watch {
	void (*closed)(void *ctx);
	void *ctx;
};

/**
 * Watches for the caller going away while its request is being worked on.
 * `closed` is called once at most; afterwards sending on the request only
 * frees it. Data sent ahead by the caller stays unread.
 */
void http_watch_disconnect(struct evhttp_request *req,
			   struct http_disconnect_watch *watch);

/** Ends the watch; call it before the answer is ended. */
void http_unwatch_disconnect(struct evhttp_request *req, int timeout_s);

struct http_listen_opts {
	struct event_base *base;
	const char *setting; /* that gave the address; NULL if none did */
	const char *address;
	size_t header_bytes, body_bytes;
	int timeout_s;
	void (*handle)(struct evhttp_request *req, void *ctx);
	void *ctx;
};

/**
 * Opens an HTTP server on the address; `port` is the one it got. NULL if it
 * cannot, with errno set; `why`, which may be NULL, then says so, and its
 * text is the caller's to free.
 */
struct evhttp *http_listen(const struct http_listen_opts *opts, int *port,
			   char **why);

#endif
