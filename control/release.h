/**
 * @file
 * When a VM has let go of a replica: what the log says that it holds and what
 * it says itself may differ, as orders get lost. No I/O; any thread.
 */
#ifndef CONTROL_RELEASE_H
#define CONTROL_RELEASE_H

#include <stdbool.h>

#include "wire/radishdeal.h"

/** The epoch that a release order must name: the one the VM says it holds. */
uint64_t release_epoch(const struct vm_state *held,
		       const struct vm_report *report);

/**
 * Whether the VM holds nothing of the replica any more: it accepted a release
 * of the log's epoch, and does not say that it holds another one.
 */
bool release_confirmed(const struct vm_state *held,
		       const struct vm_report *report, uint64_t released_epoch);

#endif
