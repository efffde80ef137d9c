/**
 * @file
 * One caller's request on its way: waiting, dispatched, answered.
 *
 * A call ends in exactly one of: a whole answer, a refusal that says whether
 * it may have run, or a visibly broken stream. On the entry task.
 */
#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include "entry/entry_internal.h"
#include "entry/sse.h"

#define CALL_ATTEMPTS_MAX 4

enum call_kind {
	CALL_CHAT,	  /* whole JSON answer */
	CALL_CHAT_STREAM, /* server-sent events */
	CALL_PLAIN,	  /* any call to a plain service */
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
	enum call_kind kind;
	enum call_state state;
	enum rd_result refusal; /* why it did not run, if it did not */
	int64_t parked_until_ms;
	char id[REQUEST_ID_MAX];
	char *account;
	uint32_t priority;
	int64_t started_us;
	int64_t deadline_ms;

	enum evhttp_cmd_type method;
	char *path; /* at the endpoint */
	char *content_type;
	GBytes *body;
	json_t *chat; /* the parsed body of a chat call */

	bool once_only;
	char *booking_key; /* NULL without one */
	uint64_t claim_id;
	uint64_t body_hash;

	struct admission_ticket ticket;
	bool admitted; /* the ticket was taken and must be finished */
	struct router_request route;
	uint32_t attempts;
	uint32_t replica;
	uint64_t epoch;
	char address[64];
	struct upstream *upstream;
	int64_t sent_us;
	int64_t paced_us; /* when the pace was last measured */
	uint32_t paced_tokens;
	uint32_t counted; /* tokens taken off the router's account */

	int status; /* of the endpoint's answer */
	char *answer_type;
	struct evbuffer *answer; /* collected answer, or rest of an event */
	bool answer_too_large;
	struct sse sse;
	bool started_reply; /* bytes have gone to the caller */
	bool paused;
};

/** What a caller asked for, checked. Strings and references are taken over. */
struct call_opts {
	struct entry_service *service;
	struct evhttp_request *req;
	enum call_kind kind;
	const char *id;
	const struct account_spec *account;
	int64_t deadline_ms;
	const char *path;
	const char *content_type;
	GBytes *body;
	json_t *chat;
	bool once_only;
	const char *booking_key;
	struct router_request route;
};

/** Starts a call; it ends and frees itself. */
void call_start(struct entry *entry, const struct call_opts *opts);

/** Puts a call into its service's queue, or refuses it. */
void call_enter(struct call *call);

/** Sends a call to a replica chosen for it. */
void call_dispatch(struct call *call, const struct router_choice *choice);

/** Refuses a call; frees it. */
void call_refuse(struct call *call, enum rd_result code, enum outcome outcome,
		 const char *detail, int retry_after_s);

/** Takes a waiting call out of the queue and refuses it as not run. */
void call_give_up(struct call *call, enum rd_result code);

/** Answers with a collected answer; frees it. */
void call_answer(struct call *call, int status, const char *type,
		 const void *body, size_t size);

/** The replica it is at lost a VM or its epoch: goes on elsewhere. */
void call_replica_lost(struct call *call, const char *why);

/** Checks a call's times. */
void call_tick(struct call *call, int64_t now_ms);

/** Frees a call without answering; used when the entry ends. */
void call_destroy(struct call *call);

/* booking.c */
void booking_begin(struct call *call);
void booking_end(struct call *call, booking_outcome outcome, int status,
		 const char *type, const void *body, size_t size);

#endif
