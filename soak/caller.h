/**
 * @file
 * A caller of a soak, for the rigs, which make its requests. Used on the
 * caller's thread only.
 */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <glib.h>

#include "soak/soak.h"
#include "test/response.h"

#define CALLER_THINK_MAX_MS 150
/* One of so many responses is followed by a new connection. */
#define CALLER_LEAVE_EVERY 8

struct caller {
	struct callers *all;
	struct soak *soak;
	GThread *thread;
	GRand *random;
	int number;
	bool slow;	 /* reads responses slowly */
	int patience_ms; /* abandons a response without a byte so long; or 0 */
	int fd;		 /* -1 without a connection */
	int node;	 /* to connect to; 0 for none */
	struct process *process; /* at the other end */
	GPtrArray *requests;	 /* of struct request */
	struct response response;
	void *rig_state; /* of the rig */
};

int caller_draw(struct caller *caller, int from, int to);
void caller_disconnect(struct caller *caller);
/** Disconnects and has the rig choose another entry. */
void caller_go_elsewhere(struct caller *caller);

struct request *caller_new_request(struct caller *caller,
				   enum request_kind kind, int deadline_ms);
void caller_send(struct caller *caller, struct request *request,
		 const char *text);
/** Returns how an incomplete response ended; NULL for a complete one. */
const char *caller_receive(struct caller *caller, struct request *request);
/** Notes the end; `why` is NULL for a complete response. */
void caller_record_end(const struct caller *caller, struct request *request,
		       const char *why);

#endif
