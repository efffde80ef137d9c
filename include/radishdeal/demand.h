/**
 * @file
 * Arrival rate and prompt size of a service's requests over a sliding window
 * of one-second slots.
 *
 * The module does no I/O and takes the time as an argument. An instance must
 * be used from one thread only.
 */
#ifndef RADISHDEAL_DEMAND_H
#define RADISHDEAL_DEMAND_H

#include <stdint.h>

#define DEMAND_SLOTS 6

/** Counts for one second. */
struct demand_slot {
	int64_t second; /* seconds since the clock's origin */
	uint32_t requests;
	uint64_t prompt_tokens;
};

/** All zero: no requests. */
struct demand {
	struct demand_slot slots[DEMAND_SLOTS];
};

/** Counts one request. */
void demand_add(struct demand *demand, int64_t now_ms, uint32_t prompt_tokens);

/**
 * Computes the requests per 1,000 s and the mean prompt tokens of a request
 * from the completed seconds in the window. Both are 0 if there were no
 * requests.
 */
void demand_rate(const struct demand *demand, int64_t now_ms,
		 uint32_t *requests_per_ks, uint32_t *prompt_tokens);

#endif
