#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "consensus/membership.h"
#include "consensus/raft_internal.h"

/* A learner may replace a voter if it lags by at most this many entries. */
#define PROMOTION_MAX_LAG 64u
/* One that is added to voters that are well has all that there is. */
#define GROWTH_MAX_LAG 0u
/* A member counts as live if it has replied within this time. */
#define LIVE_TIMEOUT_MS 1000
/* A process that has closed its link for so long has ended. */
#define ENDED_AFTER_MS 500

/** A configuration with what is known of its members. */
struct group_view {
	const struct membership_opts *opts;
	const struct member *members;
	const struct member_health *health;
	u_int count;
};

int64_t membership_silent_since_ms(const struct raft_progress *progress,
				   int64_t lost_ms)
{
	if (progress->replied || !lost_ms)
		return progress->last_reply_ms;
	return MIN(progress->last_reply_ms, lost_ms);
}

static bool has_ended(const struct raft_progress *progress, int64_t now_ms,
		      const struct member_link *link)
{
	int64_t ended_ms = MAX(link->lost_ms, progress->last_reply_ms);

	return link->lost_ms && link->closed &&
	       now_ms - ended_ms >= ENDED_AFTER_MS;
}

struct member_health membership_health(const struct raft *leader, uint64_t id,
				       int64_t now_ms,
				       const struct member_link *link)
{
	struct member_health health = { .live = id == leader->id };
	struct raft_progress progress;

	if (health.live || !raft_progress(leader, id, &progress))
		return health;
	health.silent_ms = now_ms -
			   membership_silent_since_ms(&progress, link->lost_ms);
	health.live = progress.replied && health.silent_ms < LIVE_TIMEOUT_MS;
	health.ended = has_ended(&progress, now_ms, link);
	health.stopping = link->stopping;
	health.lag = raft_last_index(leader) - progress.match;
	return health;
}

static bool is_well(const struct member_health *health)
{
	return health->live && !health->ended && !health->stopping;
}

static bool has_well_voter(const struct group_view *view,
			   const char *data_centre)
{
	for (u_int i = 0; i < view->count; i++)
		if (view->members[i].voter && is_well(&view->health[i]) &&
		    !strcmp(view->members[i].data_centre, data_centre))
			return true;
	return false;
}

static bool is_promotable(const struct group_view *view, u_int at,
			  uint64_t lag_max)
{
	return !view->members[at].voter && is_well(&view->health[at]) &&
	       view->health[at].lag <= lag_max;
}

static u_int count_promotable(const struct group_view *view, uint64_t lag_max)
{
	u_int count = 0;

	for (u_int i = 0; i < view->count; i++)
		count += is_promotable(view, i, lag_max) ? 1 : 0;
	return count;
}

/* A learner in a data centre without a voter that is well goes first. */
static bool is_better(const struct group_view *view, u_int at, u_int than)
{
	return has_well_voter(view, view->members[than].data_centre) &&
	       !has_well_voter(view, view->members[at].data_centre);
}

static bool promote(const struct group_view *view, uint64_t lag_max,
		    struct membership_change *change)
{
	bool found = false;

	for (u_int i = 0; i < view->count; i++) {
		if (!is_promotable(view, i, lag_max) ||
		    (found && !is_better(view, i, change->at)))
			continue;
		change->at = i;
		found = true;
	}
	change->action = MEMBERSHIP_PROMOTE;
	change->what = "learner promoted to voter";
	return found;
}

static bool is_lost(const struct membership_opts *opts,
		    const struct member_health *health)
{
	return health->ended || health->silent_ms > opts->replace_after_ms;
}

bool membership_find_lost(const struct membership_opts *opts,
			  const struct member_config *config,
			  const struct member_health *health, u_int *at)
{
	for (u_int i = 0; i < config->members.members_len; i++) {
		if (!config->members.members_val[i].voter ||
		    !is_lost(opts, &health[i]))
			continue;
		*at = i;
		return true;
	}
	return false;
}

static u_int count_well_voters(const struct group_view *view)
{
	u_int count = 0;

	for (u_int i = 0; i < view->count; i++)
		count += view->members[i].voter && is_well(&view->health[i]);
	return count;
}

static bool find_stopping_voter(const struct group_view *view, u_int *at)
{
	for (u_int i = 0; i < view->count; i++) {
		if (!view->members[i].voter || !view->health[i].stopping)
			continue;
		*at = i;
		return true;
	}
	return false;
}

static bool all_voters_are_well(const struct group_view *view, u_int voters)
{
	return count_well_voters(view) == voters;
}

/*
 * An even number of voters bears no more losses than the odd one below it, so
 * learners are added by twos.
 */
static bool may_grow(const struct group_view *view, u_int voters)
{
	u_int target = view->opts->target_voters;
	u_int missing = (voters - target) % 2 ? 1 : 2;

	return voters + missing <= 2 * target - 1 &&
	       all_voters_are_well(view, voters) &&
	       count_promotable(view, GROWTH_MAX_LAG) >= missing;
}

/* Finds the learner that has been silent the longest, over a limit. */
static bool find_silent_learner(const struct group_view *view, int64_t limit_ms,
				u_int *at)
{
	int64_t longest_ms = limit_ms;

	for (u_int i = 0; i < view->count; i++) {
		const struct member_health *health = &view->health[i];

		if (view->members[i].voter || is_well(health) ||
		    health->silent_ms <= longest_ms)
			continue;
		longest_ms = health->silent_ms;
		*at = i;
	}
	return longest_ms > limit_ms;
}

/* With a voter in trouble the next change may be needed for the votes. */
static bool find_gone_learner(const struct group_view *view, u_int voters,
			      struct membership_change *change)
{
	change->action = MEMBERSHIP_REMOVE;
	change->what = "silent learner removed";
	return all_voters_are_well(view, voters) &&
	       find_silent_learner(view, view->opts->forget_after_ms,
				   &change->at);
}

u_int membership_count_voters(const struct member_config *config)
{
	return (u_int)raft_voter_count(config);
}

bool membership_next(const struct membership_opts *opts,
		     const struct member_config *config,
		     const struct member_health *health,
		     struct membership_change *change)
{
	struct group_view view = { opts, config->members.members_val, health,
				   config->members.members_len };
	u_int voters = (u_int)raft_voter_count(config);
	bool lost = membership_find_lost(opts, config, health, &change->at);

	if (lost && voters > opts->target_voters) {
		change->action = MEMBERSHIP_DEMOTE;
		change->what = "lost voter demoted";
		return true;
	}
	if (lost || voters < opts->target_voters)
		return promote(&view, PROMOTION_MAX_LAG, change);
	if (find_stopping_voter(&view, &change->at)) {
		if (voters == opts->target_voters)
			return promote(&view, PROMOTION_MAX_LAG, change);
		change->action = MEMBERSHIP_DEMOTE;
		change->what = "stopping voter demoted";
		/* The others have to commit it. */
		return count_well_voters(&view) > (voters - 1) / 2;
	}
	if (may_grow(&view, voters) && promote(&view, GROWTH_MAX_LAG, change))
		return true;
	return find_gone_learner(&view, voters, change);
}

enum membership_room membership_find_room(const struct membership_opts *opts,
					  const struct member_config *config,
					  const struct member_health *health,
					  struct membership_change *change)
{
	struct group_view view = { opts, config->members.members_val, health,
				   config->members.members_len };

	if (view.count < opts->members_max)
		return MEMBERSHIP_HAS_ROOM;
	change->action = MEMBERSHIP_REMOVE;
	change->what = "silent learner removed for a new member";
	return find_silent_learner(&view, opts->replace_after_ms, &change->at)
		       ? MEMBERSHIP_REMOVE_FIRST
		       : MEMBERSHIP_FULL;
}

bool membership_awaits_successor(const struct raft *raft, uint64_t id,
				 uint32_t target_voters)
{
	const struct member_config *committed =
		raft_config_at(raft, raft_commit_index(raft));
	u_int voters = membership_count_voters(committed);
	bool has_learner = voters < committed->members.members_len;

	return (has_learner || voters > target_voters) &&
	       raft_is_voter(committed, id);
}

void membership_remove(struct member_config *config, u_int at)
{
	struct member *m = &config->members.members_val[at];
	u_int behind = config->members.members_len - at - 1;

	free(m->address);
	free(m->data_centre);
	memmove(m, m + 1, behind * sizeof(*m));
	config->members.members_len--;
}

void membership_apply(const struct membership_change *change,
		      struct member_config *config)
{
	if (change->action == MEMBERSHIP_REMOVE)
		membership_remove(config, change->at);
	else
		config->members.members_val[change->at].voter =
			change->action == MEMBERSHIP_PROMOTE;
}
