/**
 * @file
 * The response to one caller, as a state machine:
 *
 *     due -> ended
 *     due -> streaming -> ended or cut off
 *     due or streaming -> caller left, or abandoned
 *
 * Only this module gives a call's response to evhttp. Each transition asserts
 * its state, so that a response can't be ended before it has started, start
 * twice, or get a second ending. Runs on the entry task.
 */
#ifndef ENTRY_REPLY_H
#define ENTRY_REPLY_H

#include "common/http.h"

struct reply;

struct reply_opts {
	struct evhttp_request *req;
	const char *request_id; /* for the log; outlives the reply */
	int slow_reader_s;	/* limit for sending the last bytes */
	/** The caller has disconnected; the reply is no longer open. */
	void (*caller_left)(void *ctx);
	void *ctx;
};

/** Begins to watch the caller's connection. */
struct reply *reply_create(const struct reply_opts *opts);

/** Frees a reply that is no longer open. */
void reply_destroy(struct reply *reply);

/** Whether the caller waits for a response, or for more of it. */
bool reply_is_open(const struct reply *reply);

/** Whether a stream has started, even if it has ended since. */
bool reply_has_started(const struct reply *reply);

/** Headers of a response that is due. */
struct evkeyvalq *reply_headers(struct reply *reply);

/** Ends a response that is due with a status and a whole body, moved. */
void reply_send(struct reply *reply, int status, struct evbuffer *body);

/** Ends a response that is due with an error, which `send` puts in a format. */
void reply_send_error(struct reply *reply,
		      void (*send)(struct evhttp_request *req,
				   const struct problem *problem),
		      const struct problem *problem);

/** Sends the head of a stream; the response must be due. */
void reply_start_stream(struct reply *reply);

/**
 * Sends events on a stream that has started. `drained` is called once they are
 * in the socket. Returns how many bytes wait for it.
 */
size_t reply_send_events(struct reply *reply, struct evbuffer *events,
			 void (*drained)(struct evhttp_connection *conn,
					 void *ctx),
			 void *ctx);

/** Ends a stream that has started as complete. */
void reply_end_stream(struct reply *reply);

/**
 * Ends a stream that has started such that its caller can't mistake it for a
 * complete one, after the bytes of `last`.
 */
void reply_cut_off(struct reply *reply, struct evbuffer *last);

/** Leaves an open response to the end of its HTTP server. */
void reply_abandon(struct reply *reply);

#endif
