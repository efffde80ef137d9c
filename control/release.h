/**
 * @file
 * Release of a VM from a replica. The replicated log and the VM's own report
 * may disagree on what the VM holds, since orders can be lost. Pure functions
 * without I/O; callable from any thread.
 */
#ifndef CONTROL_RELEASE_H
#define CONTROL_RELEASE_H

#include <stdbool.h>

#include "wire/radishdeal.h"

/**
 * Returns the epoch for a release order: the one that the VM reports for this
 * replica, or that of the log if it reports another replica or none.
 */
uint64_t release_epoch(const struct vm_state *held,
		       const struct vm_report *report);

/**
 * Returns whether the VM no longer holds any part of the replica: it accepted
 * a release for the log's epoch or a later one (`released_epoch`), and its
 * report does not name the replica under any epoch.
 */
bool release_confirmed(const struct vm_state *held,
		       const struct vm_report *report, uint64_t released_epoch);

#endif
