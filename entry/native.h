/**
 * @file
 * The native interface's call formats; see entry/call.h.
 */
#ifndef ENTRY_NATIVE_H
#define ENTRY_NATIVE_H

#include "entry/call.h"
#include "entry/sse.h"

/** Data of a native call. */
struct native_data {
	char *content_type;
	json_t *chat; /* parsed body of a chat call; NULL for plain ones */
	struct sse sse;
};

/** Takes the reference of `chat`, which may be NULL. */
struct native_data *native_data_new(const char *content_type, json_t *chat);

extern const struct call_format native_engine_calls;
extern const struct call_format native_plain_calls;

#endif
