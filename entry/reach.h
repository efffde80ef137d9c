/**
 * @file
 * Whether this entry itself reaches the endpoints of a service at all: gathers
 * what its attempts show, and probes endpoints if they show nothing good. An
 * entry may lose its links to some services only. Runs on the entry task.
 */
#ifndef ENTRY_REACH_H
#define ENTRY_REACH_H

#include <radishdeal/links.h>

#include "entry/call.h"

struct reach;

struct reach *reach_create(struct entry_service *service);
void reach_destroy(struct reach *reach);

/** The call's attempt was given to a connection to an endpoint. */
void reach_sent(const struct call *call);

/** The head of the response to the call's attempt came. */
void reach_answered(const struct call *call);

/** Further bytes of that response came. */
void reach_heard(const struct call *call);

/** The connection of the call's attempt could not be opened, or broke. */
void reach_failed(const struct call *call);

/** The call's attempt is over. After reach_failed(). */
void reach_ended(const struct call *call);

/** For all services, applies time limits and sends probes that are due. */
void reach_tick(struct entry *entry);

/** Whether the call's next attempt may be made at an endpoint. */
bool reach_allows(const struct call *call);

enum links_state reach_state(const struct reach *reach);

/** Whether reach_state() may soon be LINKS_DOWN. */
bool reach_in_doubt(const struct reach *reach);

/** Whether the entry reaches less than half of all usable endpoints. */
bool reach_lost_most(const struct entry *entry);

#endif
