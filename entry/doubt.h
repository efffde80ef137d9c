/**
 * @file
 * Attempts whose replica is in doubt: whether to move them or to keep them.
 *
 * A replica is in doubt if its VMs are reported silent, in another epoch or
 * replaced, or if it has sent this entry nothing for limits.stall_ms. Doubt
 * keeps new requests away from a replica; it does not end a response. An
 * attempt is moved only if nothing has come on its own connection for
 * limits.stall_ms and the call can go on elsewhere at once. Otherwise it waits
 * until its connection ends, its deadline, or until it can be moved.
 */
#ifndef ENTRY_DOUBT_H
#define ENTRY_DOUBT_H

#include "entry/call.h"

/** Moves the attempt of a call that was sent, if it is in doubt and can be. */
void doubt_check(struct call *call, int64_t now_ms);

#endif
