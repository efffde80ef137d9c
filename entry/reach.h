/**
 * @file
 * Whether this entry itself reaches endpoints at all: gathers what its attempts
 * show, and probes endpoints if they show nothing good. Runs on the entry task.
 */
#ifndef ENTRY_REACH_H
#define ENTRY_REACH_H

#include <radishdeal/links.h>

#include "entry/call.h"

struct reach;

struct reach *reach_create(struct entry *entry);
void reach_destroy(struct reach *reach);

/** The call's attempt was given to a connection to an endpoint. */
void reach_sent(const struct call *call);

/** Bytes of the response to the call's attempt came. */
void reach_heard(const struct call *call);

/** The connection of the call's attempt could not be opened, or broke. */
void reach_failed(const struct call *call);

/** The call's attempt is over. */
void reach_ended(const struct call *call);

/** Applies time limits and sends probes that are due. */
void reach_tick(struct reach *reach);

/** Whether the call's next attempt may be made at an endpoint. */
bool reach_allows(const struct call *call);

enum links_state reach_state(const struct reach *reach);

/** Whether reach_state() may soon be LINKS_DOWN. */
bool reach_in_doubt(const struct reach *reach);

#endif
