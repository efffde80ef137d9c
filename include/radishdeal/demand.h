/**
 * @file
 * What callers lately asked of a service: arrivals and sizes over a sliding
 * window of whole seconds.
 *
 * A decision core: time is passed in. One thread owns an instance.
 */
#ifndef RADISHDEAL_DEMAND_H
#define RADISHDEAL_DEMAND_H

#include <stdint.h>

#define DEMAND_SLOTS 6

/** Counts in one second. */
struct demand_slot {
	int64_t second; /* of the second, counted from the clock's start */
	uint32_t requests;
	uint64_t prompt_tokens;
};

/** All zero: nothing was asked. */
struct demand {
	struct demand_slot slots[DEMAND_SLOTS];
};

/** Counts a request taken from a caller. */
void demand_add(struct demand *demand, int64_t now_ms, uint32_t prompt_tokens);

/**
 * Tells requests in 1,000 s and mean prompt tokens of one, over the whole
 * seconds before this one. Both 0 without any.
 */
void demand_rate(const struct demand *demand, int64_t now_ms,
		 uint32_t *requests_per_ks, uint32_t *prompt_tokens);

#endif
