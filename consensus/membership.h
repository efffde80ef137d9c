/**
 * @file
 * Which member of a consensus group should get or lose its vote next, as its
 * leader sees it. No I/O and no state; any thread may call.
 *
 * The group has a target number of voters. While more members are well it has
 * up to twice the target less one, in steps of two, of which all but one of the
 * target may end at once. Voters that are lost are demoted down to the target,
 * and at the target replaced. A voter that is stopping is treated alike if a
 * learner can take its place, so that it gives its vote up before it ends.
 * Learners that are silent for long are removed; one that comes back, with its
 * disk, is added again. No quorum counts on a learner, so a removal takes
 * nothing from the group, whatever is lost meanwhile.
 */
#ifndef CONSENSUS_MEMBERSHIP_H
#define CONSENSUS_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include <radishdeal/raft.h>

#include "wire/radishdeal.h"

/** The leader's own connection to a member's process. */
struct member_link {
	int64_t lost_ms; /* since when there is none; 0: there is one */
	bool closed;	 /* the process closed or refused it */
	bool stopping;	 /* the process has said that it is about to end */
};

/** What the leader knows of a member. */
struct member_health {
	bool live;	   /* it has replied lately; the leader is live */
	bool ended;	   /* its process has ended */
	bool stopping;	   /* it has said that it is about to end */
	int64_t silent_ms; /* since its last reply; 0 for the leader */
	uint64_t lag;	   /* log entries that it lacks */
};

struct membership_opts {
	uint32_t target_voters;
	uint32_t members_max; /* voters and learners; RD_MEMBERS_MAX at most */
	int64_t replace_after_ms; /* silence of a voter that is lost */
	int64_t forget_after_ms;  /* silence of a learner that is removed */
};

enum membership_action {
	MEMBERSHIP_PROMOTE,
	MEMBERSHIP_DEMOTE,
	MEMBERSHIP_REMOVE,
};

/** A change of one member. */
struct membership_change {
	enum membership_action action;
	u_int at;	  /* in the configuration */
	const char *what; /* for the log */
};

/** Whether a member can be added to a configuration. */
enum membership_room {
	MEMBERSHIP_HAS_ROOM,
	MEMBERSHIP_REMOVE_FIRST, /* a learner that doesn't reply */
	MEMBERSHIP_FULL,
};

/**
 * Returns since when a member has been silent. One that has not replied to this
 * leader may have been silent before its election: at least since `lost_ms`,
 * when its connection was lost (0: it was not).
 */
int64_t membership_silent_since_ms(const struct raft_progress *progress,
				   int64_t lost_ms);

/**
 * Returns what a leader knows of a member. One to which it doesn't replicate
 * yet is neither live nor lost.
 */
struct member_health membership_health(const struct raft *leader, uint64_t id,
				       int64_t now_ms,
				       const struct member_link *link);

/**
 * Finds the first voter that is lost: its process has ended, or it has been
 * silent for too long. `health` is as for membership_next().
 */
bool membership_find_lost(const struct membership_opts *opts,
			  const struct member_config *config,
			  const struct member_health *health, u_int *at);

/**
 * Finds the next change. `health` has an element for each member of the
 * configuration, in its order. Returns false if there is nothing to change.
 */
bool membership_next(const struct membership_opts *opts,
		     const struct member_config *config,
		     const struct member_health *health,
		     struct membership_change *change);

/**
 * Tells whether a member can be added. `health` is as for membership_next().
 * Sets `change` to the removal that makes room, if one has to come first.
 */
enum membership_room membership_find_room(const struct membership_opts *opts,
					  const struct member_config *config,
					  const struct member_health *health,
					  struct membership_change *change);

/**
 * Whether a member that is stopping should still wait until its vote is taken:
 * it votes in the configuration that it knows to be committed, and a learner
 * can take its place, or the group has more voters than it needs.
 */
bool membership_awaits_successor(const struct raft *raft, uint64_t id,
				 uint32_t target_voters);

u_int membership_count_voters(const struct member_config *config);

/** Makes a change in a configuration that was decoded or copied. */
void membership_apply(const struct membership_change *change,
		      struct member_config *config);

/** Removes a member from such a configuration. */
void membership_remove(struct member_config *config, u_int at);

#endif
