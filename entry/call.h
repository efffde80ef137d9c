/**
 * @file
 * One caller's request on its way: waiting, dispatched, answered.
 *
 * A call ends in exactly one of: a whole answer, a refusal that says whether
 * it may have run, or a visibly broken stream. On the entry task.
 */
#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include "common/address.h"
#include "entry/entry_internal.h"

/* Told to callers whose request may come again soon. */
#define RETRY_AFTER_MS 1000

struct call;

/** What the head of an endpoint's answer means. */
enum answer_meaning {
	ANSWER_PASS,	/* goes to the caller as it is */
	ANSWER_NOT_RUN, /* the endpoint says that it did not run the call */
	ANSWER_FAILED,	/* it ran and failed; another endpoint may not */
	ANSWER_FOREIGN, /* belongs to another request */
};

/** How callers and endpoints are spoken to. */
struct call_format {
	/** Adds the headers that an endpoint gets. */
	void (*request_headers)(const struct call *call, struct evkeyvalq *out);
	/** Returns the body an endpoint gets: a reference, may be NULL. */
	GBytes *(*request_body)(const struct call *call);
	/** Takes the head of an answer; may keep what it needs of it. */
	enum answer_meaning (*take_head)(struct call *call, int status,
					 struct evkeyvalq *headers);
	/** Adds the headers of the caller's answer. */
	void (*answer_headers)(const struct call *call, struct evkeyvalq *out);
	/** Moves whole events of a stream; returns the tokens in them. */
	uint32_t (*move_events)(struct call *call, struct evbuffer *in,
				struct evbuffer *out);
	/** Whether a stream that the endpoint ended is complete. */
	bool (*stream_complete)(const struct call *call);
	/** Answers a caller with an error. */
	void (*refuse)(struct evhttp_request *req,
		       const struct problem *problem);
	/** Adds last words to a stream that breaks off. May be NULL. */
	void (*break_off)(const struct problem *problem, struct evbuffer *out);
	/** Frees call->data. */
	void (*free_data)(void *data);
	bool unframed; /* an answer may end with its connection */
};

enum call_state {
	CALL_CLAIMING,	/* its booking is being claimed */
	CALL_WAITING,	/* for its turn */
	CALL_SENT,	/* at an endpoint */
	CALL_PARKED,	/* begun, waiting for any replica to go on at */
	CALL_RECORDING, /* its booking's answer is being recorded */
};

struct call {
	struct entry *entry;
	struct entry_service *service;
	struct evhttp_request *req; /* NULL once answered or left */
	struct http_watch watch;
	const struct call_format *format;
	void *data; /* of the format */
	enum call_state state;
	enum rd_result refusal; /* why it did not run, if it did not */
	int64_t parked_until_ms;
	char id[REQUEST_ID_MAX];
	char *account;
	uint32_t priority;
	int64_t started_us;
	int64_t deadline_ms; /* of the answer, or of a stream's first token */
	int64_t whole_by_ms; /* of a stream's end; 0 for none */
	int64_t objective_deadline_ms; /* sent by then, it can be in time; 0:
					  any */
	bool needs_whole; /* waiting must leave time for all tokens */
	bool stream;	  /* an event stream is expected */
	bool once_only;
	uint32_t attempts_max;

	enum evhttp_cmd_type method;
	char *path; /* at the endpoint, with the query */
	GBytes *body;

	char *booking_key; /* NULL without one */
	uint64_t claim_id;
	uint64_t body_hash;

	struct admission_ticket ticket;
	bool admitted; /* the ticket was taken and must be finished */
	struct router_request route;
	uint32_t attempts;
	bool may_have_run; /* at some endpoint */
	uint32_t replica;
	uint64_t epoch;
	char address[ADDRESS_MAX];
	struct upstream *upstream;
	int64_t sent_us;
	int64_t first_us; /* when a stream's head went to the caller */
	int64_t paced_us; /* when the pace was last measured */
	uint32_t paced_tokens;
	bool late_unread; /* counted as such at the service */
	bool unread;	  /* sent, without a first event yet */
	uint32_t counted; /* tokens taken off the router's account */
	uint32_t tokens;  /* of a stream, passed on so far */

	int status; /* of the endpoint's answer */
	enum answer_meaning meaning;
	char *answer_type;
	struct evbuffer *answer; /* collected answer, or rest of an event */
	bool answer_too_large;
	bool started_reply; /* bytes have gone to the caller */
	bool paused;
};

/** What a caller asked for, checked. `data` and `body` are taken over. */
struct call_opts {
	struct entry_service *service;
	struct evhttp_request *req;
	const struct call_format *format;
	void *data;
	bool stream;
	bool needs_whole;
	const char *id;
	const char *account;
	uint32_t priority;
	int64_t deadline_ms;
	int64_t whole_by_ms;
	int64_t objective_deadline_ms;
	const char *path;
	GBytes *body;
	bool once_only;
	uint32_t attempts_max;
	const char *booking_key;
	struct router_request route;
};

/** Starts a call; it ends and frees itself. */
void call_start(struct entry *entry, const struct call_opts *opts);

/** Puts a call into its service's queue, or refuses it. */
void call_enter(struct call *call);

/** Refuses a call; frees it. */
void call_refuse(struct call *call, enum rd_result code, enum outcome outcome,
		 const char *detail, int retry_after_ms);

/** Ends a call that surely did not run. */
void call_not_run(struct call *call, enum rd_result code, const char *detail,
		  int retry_after_ms);

/** Takes a waiting call out of the queue and refuses it as not run. */
void call_give_up(struct call *call, enum rd_result code);

/** Answers with a collected answer; frees it. */
void call_answer(struct call *call, int status, const char *type,
		 const void *body, size_t size);

/** Ends the caller's stream as complete; frees the call. */
void call_end_stream(struct call *call);

/** Checks a call's times. */
void call_tick(struct call *call, int64_t now_ms);

/** Frees a call without answering; used when the entry ends. */
void call_destroy(struct call *call);

/* attempt.c: a call at an endpoint */

/** Sends a call to a replica chosen for it. */
void attempt_dispatch(struct call *call, const struct router_choice *choice);

/** Takes a call from its endpoint; none of its callbacks follow. */
void attempt_finish(struct call *call);

/** The replica it is at lost a VM or its epoch: goes on elsewhere. */
void attempt_replica_lost(struct call *call, const char *why);

/** Looks for a replica for a parked call. */
void attempt_tick_parked(struct call *call, int64_t now_ms);

/* booking.c */
void booking_begin(struct call *call);
void booking_end(struct call *call, booking_outcome outcome, int status,
		 const char *type, const void *body, size_t size);

#endif
