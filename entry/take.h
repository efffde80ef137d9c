/**
 * @file
 * Taking a request by the routes of the deployment in force. On the entry
 * task; called by the drivers that face callers.
 */
#ifndef ENTRY_TAKE_H
#define ENTRY_TAKE_H

#include "entry/call.h"

/** A caller's request, decoded. Strings are borrowed; `data` is taken over. */
struct caller_request {
	struct evhttp_request *req;
	const struct call_format *format;
	void *data;
	const char *id; /* of this attempt of the caller */
	const char *host;
	const char *target;	   /* path and query, as they came */
	const char *key;	   /* of the client account; NULL without one */
	const char *model;	   /* NULL without one */
	int64_t caller_timeout_ms; /* the caller waits this long; 0: not said */
	int64_t arrived_ms;	   /* at this entry; 0: now */
	struct router_request route;
};

/** Starts a call, or refuses the request. */
void entry_handle_request(struct entry *entry,
			  const struct caller_request *request);

/** The same for a request that was held: it is not held once more. */
void entry_handle_held_request(struct entry *entry,
			       const struct caller_request *request);

/* early.c: requests that come before any configuration */

/** Holds a request; false if it should be refused at once. */
bool early_hold_request(struct entry *entry,
			const struct caller_request *request);

/** Takes all that are held: there is a configuration now. */
void early_release(struct entry *entry);

/** Refuses those that have waited too long. */
void early_tick(struct entry *entry, int64_t now_ms);

/** Drops all without an answer; used when the entry ends. */
void early_drop(struct entry *entry);

/** The account's name of a taken call, for endpoints; NULL without one. */
const char *call_account_name(const struct call *call);

#endif
