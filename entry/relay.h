/**
 * @file
 * Requests through another entry: an entry that reaches no endpoint sends its
 * callers' requests to an entry that does, in the callers' own protocol. See
 * docs/design/relay.md. Runs on the entry task.
 *
 * The other entry treats such a request as a caller's, with the caller's own
 * key, so the header that marks it gives no rights.
 */
#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "entry/call.h"

struct relay;

/** Marks a request as another entry's, and errors in the answer to one. */
#define RELAY_HEADER "Radishdeal-Relay"

struct relay *relay_create(struct entry *entry);
void relay_destroy(struct relay *relay);

/** Whether the call's next attempt is better made through another entry. */
bool relay_wanted(const struct call *call);

/** Whether there is another entry that may take the call's next attempt. */
bool relay_possible(const struct call *call);

/**
 * Chooses the entry for the call's next attempt and notes it in the call.
 * Returns false if there is none.
 */
bool relay_choose(struct call *call);

/** The entry of the call's attempt took no connection. */
void relay_peer_failed(const struct call *call);

/** Adds the header that marks the call's request. */
void relay_add_header(const struct call *call, struct evkeyvalq *out);

/** Classifies the response of another entry by its status and headers. */
enum response_class relay_classify(struct call *call, int status,
				   struct evkeyvalq *headers);

/* ---- at the entry that gets the request ---- */

/** What the sender of a request says of it; all zero for a caller's. */
struct relay_hop {
	uint32_t attempts; /* that are left */
	uint64_t revision; /* of the deployment by which it was accepted */
};

void relay_read_hop(struct evhttp_request *req, struct relay_hop *hop);

/** Returns why this entry can't take another's request, or RD_OK. */
enum rd_result relay_check_hop(const struct entry_service *service,
			       const struct relay_hop *hop);

/** Marks an error response, if the request is another entry's. */
void relay_mark_error(struct evhttp_request *req);

#endif
