/**
 * @file
 * One sending of a call, to an endpoint or to another entry, and the response
 * to it. What a response leaves, including its headers, belongs to its attempt:
 * a caller gets the response of one attempt, or an error of this entry's own.
 * Runs on the entry task.
 */
#ifndef ENTRY_ATTEMPT_H
#define ENTRY_ATTEMPT_H

#include <event2/keyvalq_struct.h>

#include "common/address.h"
#include "entry/call.h"

/** What an attempt has got so far. */
struct response {
	int status; /* 0: no head yet */
	enum response_class class;
	struct evkeyvalq headers; /* of an endpoint, for the caller */
	char *type;		  /* of its content; NULL: no head yet */
	struct evbuffer *body;	  /* buffered, or a partial event */
	size_t bytes;		  /* of its body, so far */
	bool is_framed;		  /* it has a length or is chunked */
	char leaving_vm[RD_NAME_MAX + 1]; /* that sent it and leaves; or "" */
	int retry_after_ms; /* as another entry's error says; 0: not */
};

struct attempt {
	struct upstream *upstream; /* NULL once it has ended */
	uint32_t peer;		   /* entry that has it; 0: an endpoint */
	uint32_t replica;
	uint64_t epoch;
	char address[ADDRESS_MAX];
	uint64_t endpoint;   /* names it in request limits; 0: none */
	uint64_t trial_part; /* held part that it tries; or 0 */
	int64_t sent_us;
	int64_t first_event_us;	 /* 0: none */
	int64_t rate_sampled_us; /* start of the current decode rate sample */
	uint32_t rate_sample_tokens;
	bool overdue_awaiting_first; /* counted in the service */
	bool awaiting_first;	     /* dispatched, no first event yet */
	uint32_t reported_tokens;    /* reported to the router */
	int64_t data_ms;      /* last data of the body; before, the dispatch */
	int64_t eventless_ms; /* time in which data completed no event */
	bool paused;	      /* reading from the endpoint is paused */
	struct room *answers; /* of the entry */
	struct room_holder held; /* bytes of the response; owner: its call */
	size_t unread_bytes;	 /* when it was set aside, e.g. half a chunk */
	struct response response;
};

/** Returns an attempt of a call that isn't sent yet. */
struct attempt *attempt_create(struct call *call);

/** Frees an attempt that has ended. */
void attempt_free(struct attempt *attempt);

/**
 * Sends a call to another entry. Returns false if there is none that may take
 * it.
 */
bool attempt_relay(struct call *call);

/**
 * Gives up an attempt whose connection isn't open yet; nothing of it was sent.
 */
void attempt_leave_unsent(struct call *call);

/** Dispatches a call to the chosen replica. */
void attempt_dispatch(struct call *call, const struct router_choice *choice);

/**
 * Ends the current attempt: cancels its request and updates the router's
 * counts. No callback of the attempt follows.
 */
void attempt_finish(struct call *call);

/** Whether the call may be sent once more, retry budget aside. */
bool attempt_may_retry(const struct call *call);

/**
 * Dispatches the call to another replica. The current attempt goes on if that
 * one doesn't answer.
 */
void attempt_move(struct call *call, const char *why);

/**
 * Goes on with the kept attempt if more of its response has arrived. Returns
 * whether it does.
 */
bool attempt_check_kept(struct call *call);

/**
 * Dispatches a call that awaits a replica, or fails it once it has waited too
 * long.
 */
void attempt_tick_awaiting(struct call *call, int64_t now_ms);

#endif
