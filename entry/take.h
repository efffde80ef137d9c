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
	const char *target;  /* path and query, as they came */
	const char *key;     /* of the client account; NULL without one */
	const char *model;   /* NULL without one */
	int64_t patience_ms; /* the caller waits this long; 0: not said */
	struct router_request route;
};

/** Starts a call, or refuses the request. */
void entry_take(struct entry *entry, const struct caller_request *request);

/** The account's name of a taken call, for endpoints; NULL without one. */
const char *entry_account_name(const struct call *call);

#endif
