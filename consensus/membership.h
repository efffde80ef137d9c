/**
 * @file
 * Which member of a consensus group should get or lose its vote next, as its
 * leader sees it. No I/O and no state; any thread may call.
 *
 * The group has a target number of voters. While more members are well it has
 * up to twice the target less one, in steps of two, so that as many as the
 * target may be replaced soon after one another, or be lost at once, as long as
 * their successors are voters. Voters that are lost are demoted down to the
 * target, and below it replaced.
 */
#ifndef CONSENSUS_MEMBERSHIP_H
#define CONSENSUS_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "wire/radishdeal.h"

/** What the leader knows of a member. */
struct member_health {
	bool live;  /* it has replied lately; the leader itself is live */
	bool ended; /* its process has ended, or closed its link for good */
	int64_t silent_ms; /* since its last reply; 0 for the leader */
	uint64_t lag;	   /* log entries that it lacks */
};

struct membership_opts {
	uint32_t target_voters;
	int64_t replace_after_ms; /* silence of a voter that is lost */
};

/** A change of one member. */
struct membership_change {
	u_int at; /* in the configuration */
	bool voter;
	const char *what; /* for the log */
};

/**
 * Returns whether the voter is lost: its process has ended, or it has been
 * silent for too long.
 */
bool membership_is_lost(const struct membership_opts *opts,
			const struct member_health *health);

/**
 * Finds the next change. `health` has an element for each member of the
 * configuration, in its order. Returns false if there is nothing to change.
 */
bool membership_next(const struct membership_opts *opts,
		     const struct member_config *config,
		     const struct member_health *health,
		     struct membership_change *change);

#endif
