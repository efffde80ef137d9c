/**
 * @file
 * Distribution of the configuration to entries: keeps recent commands, grants
 * leases and tracks the index that each entry has applied. Every control
 * member keeps one, so that a new leader can serve polls at once.
 *
 * Runs on the control task; has no sockets, and takes the time as an argument.
 */
#ifndef CONTROL_FEED_H
#define CONTROL_FEED_H

#include <radishdeal/state.h>

struct feed;

struct feed_opts {
	int32_t lease_ms;
	int32_t drift_permille;
	/** Commands kept; entries that lag further behind get a snapshot. */
	uint32_t commands_max;
	/** Entries that are listed in the settings. */
	const uint32_t *nodes;
	uint32_t node_count;
	/** Names this feed's evidence on prompt parts; random. */
	uint64_t parts_source;
	/** Whether entries outside that list may exist or join later. */
	bool entries_may_join;
};

struct feed *feed_create(const struct feed_opts *opts);
void feed_destroy(struct feed *feed);

/** Records an applied command of a kind that is sent to entries. */
void feed_add(struct feed *feed, uint64_t index, const struct command *command);

/** Drops all commands up to `index`; entries behind it get a snapshot. */
void feed_reset(struct feed *feed, uint64_t index);

/**
 * Drops all entries and starts a grace period, as this member became the
 * leader: leases granted by the previous leader may still be valid.
 */
void feed_start_leading(struct feed *feed, int64_t now_ms);

/**
 * While this member leads, each entry gets the whole state with all replies of
 * its first lease, also if its index is current: what it holds may come from a
 * leader of an earlier build, which read the stored deployment in another way.
 */
void feed_send_state_first(struct feed *feed);

/**
 * Answers an entry's poll; to be called on the leader. `state` has all commands
 * applied. `reply` must be zeroed; free it with CODEC_FREE(poll_reply). Its
 * code is RD_TOO_LARGE, and it gives the entry no lease, if the entry needs a
 * snapshot that exceeds a bound of its encoding.
 */
void feed_poll(struct feed *feed, int64_t now_ms, const struct state *state,
	       const struct poll_request *request, struct poll_reply *reply);

/**
 * Sums the demand for a service over all entries with a valid lease. The name
 * in `sum` is left NULL.
 */
void feed_sum_demand(const struct feed *feed, int64_t now_ms,
		     const char *service, struct service_demand *sum);

/**
 * Sums the requests that all entries with a valid lease have in flight at a
 * replica under an epoch. `sum->last_byte_age_ms` is the time since any of
 * them received a byte of any answer from it. Returns false if there are no
 * requests.
 */
bool feed_sum_load(const struct feed *feed, int64_t now_ms, uint32_t replica,
		   uint64_t epoch, struct replica_load *sum);

/** Returns the index of the last command of a kind sent to entries. */
uint64_t feed_last_index(const struct feed *feed);

/**
 * Returns whether an index is in force everywhere: each entry has applied it,
 * or its lease has expired even under the largest clock drift. Appends the
 * nodes that fail this to `laggards` (uint32_t, may be NULL). Where entries may
 * join, the result is false during the grace period: a previous leader may have
 * granted leases to entries that are unknown here.
 */
bool feed_in_force(const struct feed *feed, int64_t now_ms, uint64_t index,
		   GArray *laggards);

/**
 * Returns the claim id below which the entry can no longer complete its booking
 * claims: those of its earlier incarnations, or all (UINT64_MAX) if its lease
 * expired more than `wait_ms` ago.
 */
uint64_t feed_expired_claims_end(const struct feed *feed, int64_t now_ms,
				 uint32_t node, int32_t wait_ms);

/** State of an entry as of its last poll. */
struct feed_entry {
	uint32_t node;
	uint64_t incarnation;
	uint64_t member; /* id stored in its data folder; 0 without one */
	uint64_t former_member; /* id of the folder before that; 0: none */
	uint64_t applied;	/* index */
	int64_t lease_until_ms; /* includes the allowance for clock drift */
	int64_t last_poll_ms;
	int64_t first_poll_ms; /* of those since, none was a lease apart */
	char callers_address[64];
	char endpoints_address[64];
	char data_centre[64];
	uint32_t free_permille;
	bool draining;
	GArray *loads;	 /* of struct replica_load */
	GArray *demands; /* of struct service_demand */
};

/** Returns the entry on a node if it has polled this leader, or NULL. */
const struct feed_entry *feed_find_entry(const struct feed *feed,
					 uint32_t node);

/**
 * Visits, in order of node number, the entries that have polled since this
 * member became the leader.
 */
void feed_each_entry(const struct feed *feed,
		     void (*visit)(void *ctx, const struct feed_entry *entry),
		     void *ctx);

#endif
