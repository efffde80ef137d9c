/**
 * @file
 * The allowance for sending requests a second time: a share of the requests
 * taken lately and a fixed number besides, over a sliding window.
 *
 * All entries of a system keep one each, with a part of the fixed number, so
 * that the sum holds without talk between them. A decision core: time is
 * passed in. One thread owns an instance.
 */
#ifndef RADISHDEAL_REPEATS_H
#define RADISHDEAL_REPEATS_H

#include <stdbool.h>
#include <stdint.h>

#define REPEATS_SLOTS 20

struct repeats_opts {
	uint32_t permille; /* repeats allowed for 1,000 requests */
	int32_t window_ms;
};

/** Counts in a part of the window. */
struct repeats_slot {
	int64_t number; /* of the part, counted from the clock's start */
	uint32_t requests, repeats;
};

struct repeats {
	struct repeats_opts opts;
	uint32_t slack; /* repeats allowed whatever the requests */
	struct repeats_slot slots[REPEATS_SLOTS];
};

void repeats_init(struct repeats *repeats, const struct repeats_opts *opts);

/** Sets the fixed number, as the count of entries changes. */
void repeats_set_slack(struct repeats *repeats, uint32_t slack);

/** Counts a request taken from a caller. */
void repeats_request(struct repeats *repeats, int64_t now_ms);

/** Whether one more repeat is allowed now; counts it if so. */
bool repeats_take(struct repeats *repeats, int64_t now_ms);

#endif
