#include <string.h>

#include <glib.h>

#include "consensus/membership.h"

/* A learner may replace a voter if it lags by at most this many entries. */
#define PROMOTION_MAX_LAG 64u
/* One that is added to voters that are well has all that there is. */
#define GROWTH_MAX_LAG 0u

/** A configuration with what is known of its members. */
struct group_view {
	const struct membership_opts *opts;
	const struct member *members;
	const struct member_health *health;
	u_int count;
};

bool membership_is_lost(const struct membership_opts *opts,
			const struct member_health *health)
{
	return health->ended || health->silent_ms > opts->replace_after_ms;
}

static u_int count_voters(const struct group_view *view)
{
	u_int voters = 0;

	for (u_int i = 0; i < view->count; i++)
		voters += view->members[i].voter ? 1 : 0;
	return voters;
}

static bool is_well(const struct member_health *health)
{
	return health->live && !health->ended;
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
	change->voter = true;
	change->what = "learner promoted to voter";
	return found;
}

static bool find_lost_voter(const struct group_view *view, u_int *at)
{
	for (u_int i = 0; i < view->count; i++) {
		if (!view->members[i].voter ||
		    !membership_is_lost(view->opts, &view->health[i]))
			continue;
		*at = i;
		return true;
	}
	return false;
}

static bool all_voters_are_well(const struct group_view *view)
{
	for (u_int i = 0; i < view->count; i++)
		if (view->members[i].voter && !is_well(&view->health[i]))
			return false;
	return true;
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
	       all_voters_are_well(view) &&
	       count_promotable(view, GROWTH_MAX_LAG) >= missing;
}

bool membership_next(const struct membership_opts *opts,
		     const struct member_config *config,
		     const struct member_health *health,
		     struct membership_change *change)
{
	struct group_view view = { opts, config->members.members_val, health,
				   config->members.members_len };
	u_int voters = count_voters(&view);
	bool lost = find_lost_voter(&view, &change->at);

	if (lost && voters > opts->target_voters) {
		change->voter = false;
		change->what = "lost voter demoted";
		return true;
	}
	if (lost || voters < opts->target_voters)
		return promote(&view, PROMOTION_MAX_LAG, change);
	return may_grow(&view, voters) &&
	       promote(&view, GROWTH_MAX_LAG, change);
}
