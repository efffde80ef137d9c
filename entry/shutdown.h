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

#include "entry/entry_internal.h"

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

/** Advances the stop, if there is one. */
void shutdown_tick(struct entry *entry);

#endif
