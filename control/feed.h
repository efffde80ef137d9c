/**
 * @file
 * What entries are told of the configuration: recent commands, leases, and
 * which entry has applied what. Lives on every control member so that a new
 * leader can serve at once.
 *
 * A part of the control task without sockets; time is passed in.
 */
#ifndef CONTROL_FEED_H
#define CONTROL_FEED_H

#include <radishdeal/state.h>

struct feed;

struct feed_opts {
	int32_t lease_ms;
	int32_t drift_permille;
	uint32_t commands_max; /* commands kept; entries further behind get an
				  image */
	const uint32_t *nodes; /* entries that are known from the start */
	uint32_t node_count;
	bool entries_may_join; /* other entries may come, and may have come
				  before */
};

struct feed *feed_create(const struct feed_opts *opts);
void feed_destroy(struct feed *feed);

/** Records an applied command that concerns entries. */
void feed_add(struct feed *feed, uint64_t index, const struct command *command);

/** Forgets the commands; entries get an image next. */
void feed_reset(struct feed *feed, uint64_t index);

/** This member became the leader: leases of the last one may still run. */
void feed_start_leading(struct feed *feed, int64_t now_ms);

/**
 * Answers a poll as the leader. `state` is that of all commands applied.
 * Fills a zeroed reply, to be freed with CODEC_FREE(poll_reply).
 */
void feed_poll(struct feed *feed, int64_t now_ms, const struct state *state,
	       const struct poll_request *request, struct poll_reply *reply);

/** What callers ask of a service, over all entries; without its name. */
void feed_sum_demand(const struct feed *feed, int64_t now_ms,
		     const char *service, struct service_demand *sum);

/**
 * What all entries have at a replica under an epoch, and for how long none of
 * them got a byte of any answer from it. False if they have nothing there.
 */
bool feed_sum_load(const struct feed *feed, int64_t now_ms, uint32_t replica,
		   uint64_t epoch, struct replica_load *sum);

/** Index of the last command that concerns entries. */
uint64_t feed_last_index(const struct feed *feed);

/**
 * Whether an index is in force on every entry: applied, or the entry's lease
 * has surely run out. Appends the nodes that hold it up to `laggards`.
 */
bool feed_in_force(const struct feed *feed, int64_t now_ms, uint64_t index,
		   GArray *laggards);

/**
 * Below which number the claims of an entry can have no end any more: those
 * of its earlier starts, or all if it has been silent for `wait_ms` beyond its
 * lease.
 */
uint64_t feed_expired_claims_end(const struct feed *feed, int64_t now_ms,
				 uint32_t node, int32_t wait_ms);

/** What is known of an entry. */
struct feed_entry {
	uint32_t node;
	uint64_t incarnation;
	uint64_t member; /* of its data folder, 0 without one */
	uint64_t applied;
	int64_t lease_until_ms; /* surely over after this */
	int64_t last_poll_ms;
	char callers_address[64];
	char endpoints_address[64];
	char data_centre[64];
	uint32_t free_permille;
	bool draining;
	GArray *loads;	 /* of struct replica_load */
	GArray *demands; /* of struct service_demand */
};

/** Visits the entries heard of since this member leads. */
void feed_each_entry(const struct feed *feed,
		     void (*visit)(void *ctx, const struct feed_entry *entry),
		     void *ctx);

#endif
