/**
 * @file
 * Call formats of the native HTTP interface; see entry/call.h.
 */
#ifndef ENTRY_NATIVE_H
#define ENTRY_NATIVE_H

#include "entry/call.h"
#include "entry/sse.h"

/** call->data of the native formats. */
struct native_data {
	char *content_type;
	json_t *chat; /* parsed body of a chat call; NULL for plain services */
	struct sse sse;
};

/** Creates call data; takes the reference of `chat`, which may be NULL. */
struct native_data *native_data_new(const char *content_type, json_t *chat);

extern const struct call_format native_engine_calls;
extern const struct call_format native_plain_calls;

#endif
