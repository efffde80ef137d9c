/*
 * Membership of the consensus group, managed by the leader: a node with a new
 * data folder is added as a learner, and consensus/membership.h says who votes.
 * Operators can promote, demote and remove members.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

/* A node counts as running if it polled within this time. */
#define POLL_TIMEOUT_MS 1000
/* Longer than a VM takes to restart. */
#define FORGET_AFTER_MS 60000

static const struct log members_log = { "members" };

static struct member *find_member(struct member_config *config, uint64_t id)
{
	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == id)
			return &config->members.members_val[i];
	return NULL;
}

static struct member *find_node(struct member_config *config, uint32_t node)
{
	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].node == node)
			return &config->members.members_val[i];
	return NULL;
}

static enum rd_result propose_change(struct control *control,
				     const struct member_config *config,
				     const char *what, uint32_t node)
{
	enum rd_result result = group_propose_config(control->group, config);

	if (result == RD_OK)
		log_note(&members_log, "node %u: %s", node, what);
	else if (result != RD_CHANGE_PENDING)
		log_warn(&members_log, "node %u: %s refused: %s", node, what,
			 rd_result_info(result)->name);
	return result;
}

/* Whether the last poll of the member's process said that it is stopping. */
static bool is_stopping(const struct control *control, const struct member *m)
{
	const struct feed_entry *e = feed_find_entry(control->feed, m->node);

	return e && e->member == m->id && e->draining;
}

static struct member_health member_health(const struct control *control,
					  const struct member *m)
{
	struct member_link link = peers_link(control, m->node);

	link.stopping = is_stopping(control, m);
	return membership_health(group_raft(control->group), m->id,
				 control_now_ms(control), &link);
}

char *members_lost_line(uint32_t *reported, uint32_t node,
			const struct member_health *health, int64_t limit_ms)
{
	uint32_t before = *reported;

	*reported = node;
	if (node == before)
		return NULL;
	if (node)
		return g_strdup_printf("voter on node %u is lost silent_ms=%d "
				       "limit_ms=%d process_ended=%s",
				       node, (int)health->silent_ms,
				       (int)limit_ms,
				       health->ended ? "yes" : "no");
	return g_strdup_printf("voter on node %u replies again or was replaced",
			       before);
}

/** The members of the group and what this leader knows of them. */
struct group_members {
	struct membership_opts opts;
	struct member_config config; /* a copy, for the next change */
	struct member_health *health;
};

static bool read_members(const struct control *control,
			 struct group_members *group)
{
	const struct cluster_settings *settings =
		&control->opts.settings->cluster;
	u_int count;

	memset(group, 0, sizeof(*group));
	if (!CODEC_COPY(member_config, raft_config(group_raft(control->group)),
			&group->config))
		return false;
	group->opts = (struct membership_opts){
		.target_voters =
			daemon_settings_voter_count(control->opts.settings),
		.members_max = RD_MEMBERS_MAX,
		.replace_after_ms = settings->replace_after_ms,
		.forget_after_ms = FORGET_AFTER_MS,
	};
	count = group->config.members.members_len;
	group->health = g_new(struct member_health, count);
	for (u_int i = 0; i < count; i++)
		group->health[i] = member_health(
			control, &group->config.members.members_val[i]);
	return true;
}

static void clear_members(struct group_members *group)
{
	CODEC_FREE(member_config, &group->config);
	g_free(group->health);
}

static enum rd_result propose_membership(struct control *control,
					 struct group_members *group,
					 const struct membership_change *change)
{
	uint32_t node = group->config.members.members_val[change->at].node;

	membership_apply(change, &group->config);
	return propose_change(control, &group->config, change->what, node);
}

/* Logs which voter is lost, once for each. */
static void log_lost_voter(struct control *control,
			   const struct group_members *group)
{
	uint32_t node = 0;
	char *line;
	u_int at = 0;

	if (membership_find_lost(&group->opts, &group->config, group->health,
				 &at))
		node = group->config.members.members_val[at].node;
	line = members_lost_line(&control->silent_voter, node,
				 &group->health[at],
				 group->opts.replace_after_ms);
	if (line)
		log_note(&members_log, "%s", line);
	g_free(line);
}

/* Makes the next change, if the rules for the group ask for one. */
static void apply_rules(struct control *control, struct group_members *group)
{
	struct membership_change change;

	log_lost_voter(control, group);
	if (membership_next(&group->opts, &group->config, group->health,
			    &change))
		(void)propose_membership(control, group, &change);
}

static const struct peer_settings *find_peer_settings(
	const struct control *control, uint32_t node)
{
	const GPtrArray *peers = control->opts.settings->cluster.peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		if (p->id == (int64_t)node)
			return p;
	}
	return NULL;
}

/** A polling node whose data folder has the id of no member. */
struct new_member {
	struct member_config *config;
	int64_t now_ms;
	uint64_t id;
	uint32_t node;
	char data_centre[64];
};

static void append_member(const struct control *control,
			  struct member_config *config,
			  const struct new_member *new_member)
{
	const struct daemon_settings *settings = control->opts.settings;
	const struct peer_settings *listed =
		find_peer_settings(control, new_member->node);
	u_int n = config->members.members_len;
	char address[ADDRESS_MAX];
	struct member *m;

	if (listed)
		g_strlcpy(address, listed->address, sizeof(address));
	else
		daemon_settings_node_address(settings, new_member->node,
					     address, sizeof(address));
	config->members.members_val = realloc(config->members.members_val,
					      (n + 1) * sizeof(struct member));
	m = &config->members.members_val[n];
	memset(m, 0, sizeof(*m));
	m->id = new_member->id;
	m->node = new_member->node;
	m->address = strdup(address);
	m->data_centre = strdup(new_member->data_centre);
	config->members.members_len++;
}

/* One that has not polled lately may have been removed since. */
static void find_unknown_member(void *ctx, const struct feed_entry *entry)
{
	struct new_member *found = ctx;

	if (!entry->member || found->node ||
	    found->now_ms - entry->last_poll_ms >= POLL_TIMEOUT_MS ||
	    find_member(found->config, entry->member))
		return;
	found->id = entry->member;
	found->node = entry->node;
	g_strlcpy(found->data_centre, entry->data_centre,
		  sizeof(found->data_centre));
}

static bool may_join(const struct control *control, uint32_t node)
{
	const struct peer_settings *peer = find_peer_settings(control, node);

	return peer ? peer->control
		    : daemon_settings_uses_seeds(control->opts.settings);
}

/* Logs it once for each node, as it goes on polling. */
static void log_no_room(struct control *control, uint32_t node)
{
	if (control->refused_member == node)
		return;
	control->refused_member = node;
	log_error(&members_log,
		  "node %u is not added: the group has %d members, none of "
		  "them a learner that is silent",
		  node, RD_MEMBERS_MAX);
}

/*
 * A node with a new data folder is a new member. If the node is still a member
 * under the id of its former folder, that member is removed first, in a change
 * of its own. Returns false if there is nothing to change.
 */
static bool add_new_member(struct control *control, struct group_members *group)
{
	struct member_config *config = &group->config;
	struct new_member found = { .config = config,
				    .now_ms = control_now_ms(control) };
	struct membership_change change;
	struct member *old;

	feed_each_entry(control->feed, find_unknown_member, &found);
	if (!found.node)
		return false;
	old = find_node(config, found.node);
	if (old && old->voter && membership_count_voters(config) == 1)
		return false;
	if (old) {
		membership_remove(config,
				  (u_int)(old - config->members.members_val));
		(void)propose_change(control, config,
				     "member of its former data folder removed",
				     found.node);
		return true;
	}
	if (!may_join(control, found.node))
		return false;
	switch (membership_find_room(&group->opts, config, group->health,
				     &change)) {
	case MEMBERSHIP_HAS_ROOM:
		append_member(control, config, &found);
		(void)propose_change(control, config, "added as a learner",
				     found.node);
		return true;
	case MEMBERSHIP_REMOVE_FIRST:
		(void)propose_membership(control, group, &change);
		return true;
	case MEMBERSHIP_FULL:
		log_no_room(control, found.node);
	}
	return false;
}

void members_tick(struct control *control)
{
	struct group_members group;

	if (!read_members(control, &group))
		return;
	if (!add_new_member(control, &group))
		apply_rules(control, &group);
	clear_members(&group);
}

/* ---- changes by operators ---- */

static bool is_polling(const struct control *control, uint32_t node)
{
	const struct feed_entry *e = feed_find_entry(control->feed, node);

	return e && control_now_ms(control) - e->last_poll_ms < POLL_TIMEOUT_MS;
}

/* Whether the live voters are a majority of all voters in the configuration. */
static bool majority_is_live(const struct control *control,
			     const struct member_config *config)
{
	u_int live = 0;

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];

		if (m->voter && member_health(control, m).live)
			live++;
	}
	return live > membership_count_voters(config) / 2;
}

static enum rd_result apply_action(struct control *control, const char *action,
				   struct member_config *config,
				   struct member *m, char **why)
{
	uint32_t node = m->node;

	if (!strcmp(action, "promote")) {
		m->voter = TRUE;
		return propose_change(control, config,
				      "promoted by an operator", node);
	}
	if (!strcmp(action, "demote")) {
		m->voter = FALSE;
		if (!majority_is_live(control, config)) {
			*why = g_strdup("too few of the other voters are heard "
					"of; promote a learner first");
			return RD_INVALID;
		}
		return propose_change(control, config, "demoted by an operator",
				      node);
	}
	if (strcmp(action, "remove") != 0) {
		*why = g_strdup("action must be promote, demote or remove");
		return RD_BAD_REQUEST;
	}
	if (is_polling(control, node)) {
		*why = g_strdup("the VM still runs and would join again; "
				"stop it first");
		return RD_INVALID;
	}
	membership_remove(config, (u_int)(m - config->members.members_val));
	return propose_change(control, config, "removed by an operator", node);
}

enum rd_result members_change(struct control *control, const char *action,
			      uint32_t node, char **why)
{
	struct member_config config = { { 0 } };
	struct member *m;
	enum rd_result result = RD_NO_MEMBER;

	if (!control->group || !group_is_ready_leader(control->group))
		return RD_NOT_LEADER;
	if (!CODEC_COPY(member_config, raft_config(group_raft(control->group)),
			&config))
		return RD_INTERNAL;
	m = find_node(&config, node);
	if (m)
		result = apply_action(control, action, &config, m, why);
	CODEC_FREE(member_config, &config);
	return result;
}
