/**
 * @file
 * An attempt that is kept while another one is tried: the connection of a
 * response in doubt stays open, unread, until the other endpoint has begun to
 * answer. If that one fails, or more arrives on the kept connection first, the
 * kept attempt goes on. Runs on the entry task.
 */
#ifndef ENTRY_KEPT_H
#define ENTRY_KEPT_H

#include "entry/call.h"

/** Whether the current attempt can go on after another one was tried. */
bool kept_is_possible(const struct call *call);

/** Sets the current attempt aside; the call has none then. */
void kept_set(struct call *call);

/** Ends the current attempt, if there is one; the kept one is current then. */
void kept_restore(struct call *call, const char *why);

/** Ends the kept attempt, if there is one. */
void kept_drop(struct call *call);

/** Whether a part of the kept attempt's response has arrived. */
bool kept_has_arrived(const struct call *call);

#endif
