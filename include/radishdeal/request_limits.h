/**
 * @file
 * Request limits of endpoints: an endpoint in need names the requests a second
 * that it takes from all entry VMs together. Each entry keeps to its share.
 *
 * An entry learns limits from the answers that it gets, and divides them by the
 * number of entries without asking these, so that no message is lost or late
 * and a lost entry can't make the sum break. Where a limit is too low for all
 * of them, some of the entries share it. The others, and an endpoint that takes
 * nothing, get a request now and then that shows whether the limit still holds.
 *
 * An endpoint may also ask one entry for rest; then that one sends it nothing.
 *
 * The module does no I/O and takes the time as an argument. An instance must
 * be used from one thread only.
 */
#ifndef RADISHDEAL_REQUEST_LIMITS_H
#define RADISHDEAL_REQUEST_LIMITS_H

#include <stdbool.h>
#include <stdint.h>

struct request_limits;

struct request_limits_opts {
	uint32_t node; /* this entry */
	uint32_t seed;
	/** An entry counts for so long after it was last listed. */
	int32_t entry_hold_ms;
};

struct request_limits *request_limits_create(
	const struct request_limits_opts *opts);
void request_limits_destroy(struct request_limits *limits);

/** Lists the entries that now share the limits, this one included or not. */
void request_limits_set_entries(struct request_limits *limits, int64_t now_ms,
				const uint32_t *nodes, uint32_t count);

/** An answer of the endpoint, received now, names its limit. */
void request_limits_put(struct request_limits *limits, int64_t now_ms,
			uint64_t endpoint, double per_s);

/**
 * An answer of the endpoint names no limit. That lifts it if its request was
 * sent after the last answer with one had come: answers overtake each other.
 * Returns whether it did.
 */
bool request_limits_lift(struct request_limits *limits, uint64_t endpoint,
			 int64_t sent_ms);

/**
 * The endpoint wants no request of this entry for a time from now on; of
 * several rests the one that ends last holds.
 */
void request_limits_rest(struct request_limits *limits, int64_t now_ms,
			 uint64_t endpoint, int64_t rest_ms);

/** Returns how much longer an endpoint rests; 0 if it doesn't. */
int64_t request_limits_rest_ms(const struct request_limits *limits,
			       int64_t now_ms, uint64_t endpoint);

/** Number of rests that are known, of which some may be over. */
uint32_t request_limits_rests(const struct request_limits *limits);

/** Parses the value of Retry-After in seconds; dates are not understood. */
bool request_limit_parse_rest(const char *text, int64_t *rest_ms);

/** State of one endpoint's limit at this entry. */
struct request_limit {
	double per_s;	    /* as named */
	double share_per_s; /* of this entry */
	double allowed;	    /* requests that may be sent now */
	int64_t wait_ms;    /* until one may be sent */
};

/** Returns false if the endpoint has no limit. */
bool request_limits_get(const struct request_limits *limits, int64_t now_ms,
			uint64_t endpoint, struct request_limit *out);

/** Whether a request may be sent to the endpoint now. */
bool request_limits_allow(const struct request_limits *limits, int64_t now_ms,
			  uint64_t endpoint);

/** A request is sent to the endpoint; has no effect without a limit. */
void request_limits_take(struct request_limits *limits, int64_t now_ms,
			 uint64_t endpoint);

/** Number of endpoints with a limit. */
uint32_t request_limits_count(const struct request_limits *limits);

/**
 * Reads a limit: digits, with a fraction or without. Returns false for anything
 * else.
 */
bool request_limit_parse(const char *text, double *per_s);

#endif
