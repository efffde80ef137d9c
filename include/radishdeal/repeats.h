/**
 * @file
 * Retry budget: limits retries to a share of the recent requests plus a fixed
 * reserve, over a sliding window.
 *
 * Each entry VM has a budget of its own with an equal part of the reserve, so
 * that the total is bounded without coordination between them. The module does
 * no I/O and takes the time as an argument. An instance must be used from one
 * thread only.
 */
#ifndef RADISHDEAL_REPEATS_H
#define RADISHDEAL_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLOTS 20

struct retry_budget_opts {
	uint32_t permille; /* retries per 1,000 requests */
	int32_t window_ms;
};

/** Counts for one part of the window. */
struct retry_budget_slot {
	int64_t index; /* of the part, from the clock's origin */
	uint32_t requests, retries;
};

struct retry_budget {
	struct retry_budget_opts opts;
	uint32_t reserve; /* retries allowed regardless of the requests */
	struct retry_budget_slot slots[RETRY_BUDGET_SLOTS];
};

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_budget_opts *opts);

/**
 * Sets the fixed reserve, which depends on the number of entry VMs. It is 0
 * after initialization.
 */
void retry_budget_set_reserve(struct retry_budget *budget, uint32_t reserve);

/** Counts a request accepted from a client. */
void retry_budget_add_request(struct retry_budget *budget, int64_t now_ms);

/** Whether retry_budget_take() would spend a retry now. */
bool retry_budget_available(const struct retry_budget *budget, int64_t now_ms);

/** Spends one retry. Returns false if the budget is exhausted. */
bool retry_budget_take(struct retry_budget *budget, int64_t now_ms);

#endif
