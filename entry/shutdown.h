/**
 * @file
 * The planned stop of an entry. It goes on accepting requests for
 * limits.linger_ms and rejects further ones. Calls have until limits.drain_ms
 * to complete; those that are open then get a final response, except started
 * streams, which are visibly cut off. The stop ends when no call is open, no
 * request is being received (for at most 2 s after limits.linger_ms) and all
 * responses are in their sockets. Everything here runs on the entry task.
 */
#ifndef ENTRY_SHUTDOWN_H
#define ENTRY_SHUTDOWN_H

#include "entry/call_class.h"

/** Starts the stop; done(arg) is called once, from shutdown_tick(). */
void shutdown_begin(struct entry *entry, task_fn done, void *arg);

/** Whether a stop has begun; it is never undone. */
bool shutdown_begun(const struct entry *entry);

/**
 * Whether the stop has finished. Nothing more may be posted to the control task
 * then, which ends before the entry.
 */
bool shutdown_finished(const struct entry *entry);

/** Whether new requests are to be rejected because of a stop. */
bool shutdown_rejects(const struct entry *entry);

/** Asks whether a call can end before its entry does. */
struct shutdown_question {
	const char *id; /* of the request */
	struct call_prospect prospect;
	bool new_stream;    /* that was not accepted yet */
	int64_t ends_by_ms; /* it ends by then in any case; 0: no limit */
};

/**
 * Whether the call is expected to end before limits.drain_ms have passed; true
 * without a stop. If nothing is known, a new stream is expected to take most of
 * limits.drain_ms, and any other call is accepted.
 */
bool shutdown_leaves_time(const struct shutdown_question *question);

/** Advances the stop, if there is one. */
void shutdown_tick(struct entry *entry);

#endif
