/*
 * Membership of the state group, as the leader keeps it: new data folders
 * become learners, a voter that stays lost makes way for a learner.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/address.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

/* A learner may vote once it lacks no more than this. */
#define CAUGHT_UP_ENTRIES 64u
#define HEARD_LIMIT_MS 1000

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

static enum rd_result change(struct control *control,
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

static bool silence_of(const struct control *control, const struct member *m,
		       int64_t *silent_ms, uint64_t *lag)
{
	const struct raft *raft = group_raft(control->group);
	int64_t heard_ms;
	uint64_t match;

	*silent_ms = 0;
	*lag = 0;
	if (m->id == group_member_id(control->group))
		return true;
	if (!raft_progress(raft, m->id, &heard_ms, &match))
		return false;
	*silent_ms = control_now_ms(control) - heard_ms;
	*lag = raft_last_index(raft) - match;
	return true;
}

static bool has_live_voter(const struct control *control,
			   const struct member_config *config,
			   const char *data_centre)
{
	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		int64_t silent_ms;
		uint64_t lag;

		if (m->voter && !strcmp(m->data_centre, data_centre) &&
		    silence_of(control, m, &silent_ms, &lag) &&
		    silent_ms < HEARD_LIMIT_MS)
			return true;
	}
	return false;
}

/* A learner fit to vote, best in a data centre without a live voter. */
static struct member *fit_learner(const struct control *control,
				  struct member_config *config)
{
	struct member *best = NULL;

	for (u_int i = 0; i < config->members.members_len; i++) {
		struct member *m = &config->members.members_val[i];
		int64_t silent_ms;
		uint64_t lag;

		if (m->voter || !silence_of(control, m, &silent_ms, &lag) ||
		    silent_ms >= HEARD_LIMIT_MS || lag > CAUGHT_UP_ENTRIES)
			continue;
		if (!best ||
		    (has_live_voter(control, config, best->data_centre) &&
		     !has_live_voter(control, config, m->data_centre)))
			best = m;
	}
	return best;
}

static struct member *lost_voter(const struct control *control,
				 struct member_config *config)
{
	int64_t limit_ms = control->opts.settings->cluster.replace_after_ms;

	for (u_int i = 0; i < config->members.members_len; i++) {
		struct member *m = &config->members.members_val[i];
		int64_t silent_ms;
		uint64_t lag;

		if (m->voter && silence_of(control, m, &silent_ms, &lag) &&
		    silent_ms > limit_ms) {
			log_info(&members_log,
				 "voter on node %u silent %d ms, limit %d ms",
				 m->node, (int)silent_ms, (int)limit_ms);
			return m;
		}
	}
	return NULL;
}

static u_int wanted_voters(const struct control *control)
{
	return daemon_settings_voters(control->opts.settings);
}

static u_int count_voters(const struct member_config *config)
{
	u_int count = 0;

	for (u_int i = 0; i < config->members.members_len; i++)
		count += config->members.members_val[i].voter ? 1 : 0;
	return count;
}

/*
 * A lost voter is replaced in two steps, each of one voter: the learner is
 * promoted, then the lost one demoted. In between four vote, so three live
 * ones are needed, which is what there is.
 */
static bool replace_lost(struct control *control, struct member_config *config)
{
	struct member *lost = lost_voter(control, config);
	struct member *learner;

	if (lost && count_voters(config) > wanted_voters(control)) {
		lost->voter = FALSE;
		(void)change(control, config, "lost voter demoted", lost->node);
		return true;
	}
	if (!lost && count_voters(config) >= wanted_voters(control))
		return false;
	learner = fit_learner(control, config);
	if (!learner)
		return false;
	learner->voter = TRUE;
	(void)change(control, config, "learner promoted to voter",
		     learner->node);
	return true;
}

static const struct peer_settings *settings_of(const struct control *control,
					       uint32_t node)
{
	const GPtrArray *peers = control->opts.settings->cluster.peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		if (p->id == (int64_t)node)
			return p;
	}
	return NULL;
}

struct newcomer {
	struct member_config *config;
	uint64_t id;
	uint32_t node;
	char data_centre[64];
};

static void append_member(const struct control *control,
			  struct member_config *config,
			  const struct newcomer *newcomer)
{
	const struct daemon_settings *settings = control->opts.settings;
	const struct peer_settings *listed = settings_of(control,
							 newcomer->node);
	u_int n = config->members.members_len;
	char address[ADDRESS_MAX];
	struct member *m;

	if (listed)
		g_strlcpy(address, listed->peers, sizeof(address));
	else
		daemon_settings_node_address(settings, newcomer->node, address,
					     sizeof(address));
	config->members.members_val = realloc(config->members.members_val,
					      (n + 1) * sizeof(struct member));
	m = &config->members.members_val[n];
	memset(m, 0, sizeof(*m));
	m->id = newcomer->id;
	m->node = newcomer->node;
	m->address = strdup(address);
	m->data_centre = strdup(newcomer->data_centre);
	config->members.members_len++;
}

static void drop_member(struct member_config *config, struct member *m)
{
	struct member *end = config->members.members_val +
			     config->members.members_len;

	free(m->address);
	free(m->data_centre);
	memmove(m, m + 1, (size_t)(end - (m + 1)) * sizeof(*m));
	config->members.members_len--;
}

static void find_newcomer(void *ctx, const struct feed_entry *entry)
{
	struct newcomer *found = ctx;

	if (!entry->member || found->node ||
	    find_member(found->config, entry->member))
		return;
	found->id = entry->member;
	found->node = entry->node;
	g_strlcpy(found->data_centre, entry->data_centre,
		  sizeof(found->data_centre));
}

/* A VM with a new data folder is a new member; its old self goes first. */
static bool take_in_newcomer(struct control *control,
			     struct member_config *config)
{
	struct newcomer found = { .config = config };
	const struct peer_settings *peer = NULL;
	struct member *old;

	feed_each_entry(control->feed, find_newcomer, &found);
	if (!found.node)
		return false;
	old = find_node(config, found.node);
	if (old && old->voter && count_voters(config) == 1)
		return false;
	if (old) {
		drop_member(config, old);
		(void)change(control, config,
			     "its former data folder leaves the group",
			     found.node);
		return true;
	}
	peer = settings_of(control, found.node);
	if (peer ? !peer->control
		 : !daemon_settings_discovers(control->opts.settings))
		return false;
	append_member(control, config, &found);
	(void)change(control, config, "joins as a learner", found.node);
	return true;
}

void members_tick(struct control *control)
{
	struct member_config config = { { 0 } };

	if (!CODEC_COPY(member_config, raft_config(group_raft(control->group)),
			&config))
		return;
	if (!take_in_newcomer(control, &config))
		(void)replace_lost(control, &config);
	CODEC_FREE(member_config, &config);
}

/* ---- by operators ---- */

struct polling {
	uint32_t node;
	int64_t heard_ms;
};

static void note_polling(void *ctx, const struct feed_entry *entry)
{
	struct polling *p = ctx;

	if (entry->node == p->node)
		p->heard_ms = entry->last_poll_ms;
}

static bool still_runs(const struct control *control, uint32_t node)
{
	struct polling p = { .node = node };

	feed_each_entry(control->feed, note_polling, &p);
	return control_now_ms(control) - p.heard_ms < HEARD_LIMIT_MS;
}

/* Whether the voters heard of lately are a majority of all. */
static bool majority_lives(const struct control *control,
			   const struct member_config *config)
{
	u_int live = 0;

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		int64_t silent_ms;
		uint64_t lag;

		if (m->voter && silence_of(control, m, &silent_ms, &lag) &&
		    silent_ms < HEARD_LIMIT_MS)
			live++;
	}
	return live > count_voters(config) / 2;
}

static enum rd_result do_change(struct control *control, const char *action,
				struct member_config *config, struct member *m,
				char **why)
{
	uint32_t node = m->node;

	if (!strcmp(action, "promote")) {
		m->voter = TRUE;
		return change(control, config, "promoted by an operator", node);
	}
	if (!strcmp(action, "demote")) {
		m->voter = FALSE;
		if (!majority_lives(control, config)) {
			*why = g_strdup("too few of the other voters are heard "
					"of; promote a learner first");
			return RD_INVALID;
		}
		return change(control, config, "demoted by an operator", node);
	}
	if (strcmp(action, "remove") != 0) {
		*why = g_strdup("action must be promote, demote or remove");
		return RD_BAD_REQUEST;
	}
	if (still_runs(control, node)) {
		*why = g_strdup("the VM still runs and would join again; "
				"stop it first");
		return RD_INVALID;
	}
	drop_member(config, m);
	return change(control, config, "removed by an operator", node);
}

enum rd_result members_change(struct control *control, const char *action,
			      uint32_t node, char **why)
{
	struct member_config config = { { 0 } };
	struct member *m;
	enum rd_result result = RD_NO_MEMBER;

	if (!control->group || !group_leads(control->group))
		return RD_NOT_LEADER;
	if (!CODEC_COPY(member_config, raft_config(group_raft(control->group)),
			&config))
		return RD_INTERNAL;
	m = find_node(&config, node);
	if (m)
		result = do_change(control, action, &config, m, why);
	CODEC_FREE(member_config, &config);
	return result;
}
