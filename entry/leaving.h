/**
 * @file
 * Endpoints that say in their answers that they leave. That holds from the
 * answer on, whatever their announcements still say, until the VM is announced
 * with another start. Runs on the entry task.
 */
#ifndef ENTRY_LEAVING_H
#define ENTRY_LEAVING_H

#include "entry/call.h"

struct leaving;

struct leaving *leaving_create(struct entry *entry);
void leaving_destroy(struct leaving *leaving);

/** Reads the head of the call's current response. */
void leaving_read(struct call *call, const struct evkeyvalq *headers);

/** Tells the entry that sent the call here, if its endpoint leaves. */
void leaving_add_header(const struct call *call, struct evkeyvalq *out);

/** Whether a VM has said that it leaves. */
bool leaving_has(struct leaving *leaving, const char *vm);

/** Names the VM that leaves, in an answer to another entry. */
#define LEAVING_HEADER "Radishdeal-Leaving"

#endif
