/* Which parts are held; private to the quarantine. */
#ifndef ROUTING_PART_VERDICT_H
#define ROUTING_PART_VERDICT_H

#include "routing/part_records.h"

struct part_verdict_opts {
	uint32_t ends_min;
	int32_t same_event_ms, hold_ms;
	uint32_t hold_growth;
};

/**
 * Sets the verdict on each entry, and `held` to those that are held. It depends
 * on the evidence alone, not on the order in which it came.
 */
void part_verdict_judge(const struct part_verdict_opts *opts,
			struct part_records *records, GPtrArray *held);

#endif
