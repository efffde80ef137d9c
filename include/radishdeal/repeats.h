/**
 * @file
 * The allowance for sending requests a second time: a share of the requests
 * taken lately and a fixed index besides, over a sliding window.
 *
 * All entries of a system keep one each, with a part of the fixed index, so
 * that the sum holds without talk between them. A decision core: time is
 * passed in. One thread owns an instance.
 */
#ifndef RADISHDEAL_REPEATS_H
#define RADISHDEAL_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLOTS 20

struct retry_budget_opts {
	uint32_t permille; /* repeats allowed for 1,000 requests */
	int32_t window_ms;
};

/** Counts in a part of the window. */
struct retry_budget_slot {
	int64_t index; /* of the part, counted from the clock's start */
	uint32_t requests, retries;
};

struct retry_budget {
	struct retry_budget_opts opts;
	uint32_t reserve; /* repeats allowed whatever the requests */
	struct retry_budget_slot slots[RETRY_BUDGET_SLOTS];
};

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_budget_opts *opts);

/** Sets the fixed index, as the count of entries changes. */
void retry_budget_set_reserve(struct retry_budget *budget, uint32_t reserve);

/** Counts a request taken from a caller. */
void retry_budget_add_request(struct retry_budget *budget, int64_t now_ms);

/** Whether one more repeat is allowed now; counts it if so. */
bool retry_budget_take(struct retry_budget *budget, int64_t now_ms);

#endif
