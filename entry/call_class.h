/**
 * @file
 * How long calls take at present. Calls of one service, route and about the
 * same expected output form a class, whose times are measured from what has
 * ended recently and from what is open. Runs on the entry task.
 */
#ifndef ENTRY_CALL_CLASS_H
#define ENTRY_CALL_CLASS_H

#include "entry/entry_internal.h"

struct call_class;

/** Since when a call's time is measured. */
enum call_since {
	SINCE_ARRIVAL,
	SINCE_DISPATCH, /* of its last attempt */
	CALL_SINCE_COUNT
};

/** Creates the table of an entry's classes, for g_hash_table_unref(). */
GHashTable *call_classes_create(void);

/** Returns a reference to a class, which is created if needed. */
struct call_class *call_class_ref(const struct entry_service *service,
				  const char *route, uint32_t output_tokens);

void call_class_unref(struct call_class *call_class);

/** Adds a call whose response is complete, unless that is an error. */
void call_class_add_complete(const struct call *call);

/** A call that is about to begin, or to be sent to an endpoint. */
struct call_prospect {
	const struct call_class *call_class;
	const struct entry_service *service;
	const struct router_request *route;
	enum call_since since;
};

/**
 * Returns how long a call takes, if it isn't among the slowest few; -1 if
 * nothing is known.
 */
int64_t call_class_expected_ms(const struct call_prospect *prospect);

#endif
