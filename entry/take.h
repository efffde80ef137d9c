/**
 * @file
 * Routing of requests according to the current deployment, and their admission.
 * Called on the entry task by the drivers that accept callers' requests.
 */
#ifndef ENTRY_TAKE_H
#define ENTRY_TAKE_H

#include "entry/call.h"
#include "entry/relay.h"

/**
 * A decoded request. Strings are borrowed; ownership of `data` passes to the
 * entry.
 */
struct caller_request {
	struct evhttp_request *req;
	const struct call_format *format;
	void *data;
	const char *id; /* of this attempt by the caller */
	const char *host;
	const char *target; /* path and query, as received */
	const char *key;    /* API key of the client account; NULL for none */
	const char *model;  /* NULL for none */
	int64_t caller_timeout_ms; /* timeout stated by the caller; 0 if none */
	int64_t arrived_ms;	   /* arrival at this entry; 0 for now */
	struct relay_hop hop;	   /* if it is another entry's */
	struct router_request route;
	struct prompt_parts parts;
};

/**
 * Starts a call, rejects the request, or holds it until there is a
 * configuration.
 */
void entry_handle_request(struct entry *entry,
			  const struct caller_request *request);

/** Starts a call or rejects the request, but does not hold it. */
void entry_handle_held_request(struct entry *entry,
			       const struct caller_request *request);

/** Returns the account name to send to endpoints, or NULL for none. */
const char *call_account_name(const struct call *call);

/* early.c: requests received before any configuration */

/**
 * Holds a request until a configuration arrives. Returns false if the request
 * should be rejected at once.
 */
bool early_hold_request(struct entry *entry,
			const struct caller_request *request);

/**
 * Admits or rejects all held requests; called once there is a configuration.
 */
void early_release(struct entry *entry);

/** Admits or rejects the requests whose longest wait has passed. */
void early_tick(struct entry *entry, int64_t now_ms);

/**
 * Frees all held requests without a response; used when the entry is destroyed.
 */
void early_drop(struct entry *entry);

#endif
