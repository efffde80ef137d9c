/**
 * @file
 * Recognition of the end of a replica's head VM from the responses that break
 * off there, and of the prompt parts that were in flight.
 *
 * A response that breaks off shows the end of one connection only. The head VM
 * has ended if, for a short time after that, no other response from it goes on.
 * Runs on the entry task.
 */
#ifndef ENTRY_ENDS_H
#define ENTRY_ENDS_H

#include "entry/call.h"

/** A request that was in flight when its replica ended. */
struct broken_call {
	struct prompt_parts parts;
	uint64_t trial_part; /* as of the call */
	bool late;	     /* its first event was received a while before */
	int64_t previous_end_ms; /* the last one under the same call; or 0 */
};

/** The end of a replica, as seen by this entry. */
struct replica_ended {
	const char *service;
	uint32_t replica;
	uint64_t epoch;
	int64_t at_ms;	   /* when the first response broke off */
	uint32_t requests; /* of this entry that broke off */
	GArray *calls;	   /* of struct broken_call, with parts */
};

struct ends;

struct ends *ends_create(struct entry *entry);
void ends_destroy(struct ends *ends);

/**
 * Notes that the endpoint closed the connection of a dispatched call before its
 * response was complete. Returns whether that may be the end of its replica.
 */
bool ends_add_break(struct ends *ends, struct call *call);

/** Whether a replica is known to have ended at about a time. */
bool ends_found(const struct ends *ends, const char *service, uint32_t replica,
		uint64_t epoch, int64_t at_ms);

/** Decides on the breaks that are old enough; logs and reports each end. */
void ends_tick(struct ends *ends);

#endif
