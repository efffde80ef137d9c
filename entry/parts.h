/**
 * @file
 * Containment of prompt parts, and of requests as a whole, that end replicas:
 * feeds this entry's evidence and that of other entries to the quarantine, and
 * refuses requests with a part or content that it holds. Runs on the entry
 * task.
 */
#ifndef ENTRY_PARTS_H
#define ENTRY_PARTS_H

#include "entry/call.h"
#include "entry/ends.h"

struct config_update;
struct entry_status;
struct parts;

struct parts *parts_create(struct entry *entry);
void parts_destroy(struct parts *parts);

/** Whether the call would be refused for one of its parts. */
bool parts_are_held(const struct call *call);

/**
 * Refuses and frees a call that isn't at an endpoint if one of its parts is
 * held. Returns whether it did. `dispatched` makes an allowed call with a held
 * part the trial of that part.
 */
bool parts_refuse(struct call *call, bool dispatched);

/** The call was answered completely. */
void parts_answered(struct call *call);

/** The call's attempt is over; a trial without a result may be repeated. */
void parts_attempt_over(struct call *call);

/** A replica ended while a call with these parts was in flight there. */
void parts_add_end(struct parts *parts, const struct replica_ended *end,
		   const struct broken_call *broken);

/** The connection of a trial broke, but its replica lives. */
void parts_trial_undecided(struct parts *parts, uint64_t part);

/** Refuses and cancels calls once other parts are held than before. */
void parts_tick(struct parts *parts);

/** Applies what the reply to a poll says. */
void parts_apply_reply(struct parts *parts, const struct config_update *update);

/** Adds the evidence that the leader may not have to a status. */
void parts_fill_status(struct parts *parts, struct entry_status *status);

#endif
