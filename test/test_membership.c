/*
 * Scripted histories of a consensus group: who may become a candidate after
 * membership changes, crashes and restarts. Time and messages are simulated.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/raft.h>

#include "control/control_internal.h"
#include "wire/codec.h"

#define SERVERS 4
#define STEP_MS 10
#define ELECTION_MS 300
#define HEARTBEAT_MS 50
#define DRIFT_PERMILLE 50
#define KEEP_ENTRIES 1000
/* Enough for several elections, one after the other. */
#define LIMIT_MS (20 * ELECTION_MS)

struct network;

/** A member with its disk. Its id is its place in the network plus one. */
struct server {
	struct network *network;
	uint64_t id;
	struct raft *raft; /* NULL while it is down */
	struct member_config first;
	GPtrArray *entries; /* of struct raft_entry, synced or not */
	guint durable;	    /* number of entries that a crash leaves */
	uint64_t term, vote;
	GPtrArray *deferred; /* encoded messages that wait for a sync */
};

struct network {
	int64_t now_ms;
	struct server servers[SERVERS];
	bool cut[SERVERS][SERVERS]; /* [from][to] */
	GPtrArray *messages;	    /* encoded, in transit */
};

enum membership { ABSENT, LEARNER, VOTER };

/* ---- callbacks of the consensus core ---- */

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct server *server = ctx;

	g_ptr_array_add(after_sync ? server->deferred
				   : server->network->messages,
			CODEC_ENCODE(raft_message, message));
}

static void on_hard_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct server *server = ctx;

	server->term = term;
	server->vote = vote;
}

static void on_append(void *ctx, const struct raft_entry *entry)
{
	struct server *server = ctx;
	struct raft_entry *stored = g_memdup2(entry, sizeof(*entry));

	g_bytes_ref(stored->data);
	g_ptr_array_add(server->entries, stored);
}

static void on_truncate(void *ctx, uint64_t from)
{
	struct server *server = ctx;

	g_ptr_array_set_size(server->entries, (gint)from - 1);
	server->durable = MIN(server->durable, (guint)from - 1);
}

static void on_install(void *ctx, uint64_t index, uint64_t term,
		       const struct member_config *config, GBytes *data)
{
	(void)ctx;
	(void)index;
	(void)term;
	(void)config;
	(void)data;
	g_assert_not_reached();
}

static void on_role_changed(void *ctx, enum raft_role role, uint64_t term,
			    uint64_t leader)
{
	(void)ctx;
	(void)role;
	(void)term;
	(void)leader;
}

/* ---- servers ---- */

static void entry_free(gpointer data)
{
	struct raft_entry *entry = data;

	g_bytes_unref(entry->data);
	g_free(entry);
}

static void server_start(struct server *server)
{
	struct raft_opts opts = {
		.id = server->id,
		.seed = (uint32_t)server->id,
		.election_ms = ELECTION_MS,
		.heartbeat_ms = HEARTBEAT_MS,
		.drift_permille = DRIFT_PERMILLE,
		.keep_entries = KEEP_ENTRIES,
		.callbacks = { on_send, on_hard_state, on_append, on_truncate,
			       on_install, on_role_changed, server },
		.now_ms = server->network->now_ms,
		.term = server->term,
		.vote = server->vote,
		.config = &server->first,
	};

	server->raft = raft_create(&opts);
	for (guint i = 0; i < server->entries->len; i++) {
		const struct raft_entry *e = server->entries->pdata[i];

		raft_restore_entry(server->raft, e->index, e->term, e->kind,
				   e->data);
	}
}

/* What has not been synced is lost. */
static void server_crash(struct server *server)
{
	raft_destroy(server->raft);
	server->raft = NULL;
	g_ptr_array_set_size(server->entries, (gint)server->durable);
	g_ptr_array_set_size(server->deferred, 0);
}

static void server_sync(struct server *server)
{
	server->durable = server->entries->len;
	raft_begin_sync(server->raft);
	raft_synced(server->raft, server->network->now_ms);
	g_ptr_array_extend_and_steal(server->network->messages,
				     server->deferred);
	server->deferred =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	while (raft_next_committed(server->raft))
		;
}

/* ---- the network ---- */

static void deliver(struct network *net)
{
	GPtrArray *messages = net->messages;

	net->messages =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (guint i = 0; i < messages->len; i++) {
		struct raft_message message = { 0 };
		struct server *to;

		assert_true(CODEC_DECODE(raft_message, messages->pdata[i],
					 &message));
		to = &net->servers[message.to - 1];
		if (to->raft && !net->cut[message.from - 1][message.to - 1])
			raft_step(to->raft, net->now_ms, &message);
		CODEC_FREE(raft_message, &message);
	}
	g_ptr_array_unref(messages);
}

static void step(struct network *net)
{
	net->now_ms += STEP_MS;
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		if (!server->raft)
			continue;
		raft_tick(server->raft, net->now_ms);
		server_sync(server);
	}
	deliver(net);
}

/* Starts all servers; the first `voters` of them form the group. */
static void network_init(struct network *net, u_int voters)
{
	memset(net, 0, sizeof(*net));
	net->now_ms = 1000;
	net->messages =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (u_int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];
		struct member_config *first = &server->first;

		server->network = net;
		server->id = i + 1;
		server->entries = g_ptr_array_new_with_free_func(entry_free);
		server->deferred = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
		if (i < voters) {
			first->members.members_len = voters;
			first->members.members_val =
				calloc(voters, sizeof(struct member));
		}
		for (u_int j = 0; j < first->members.members_len; j++) {
			struct member *m = &first->members.members_val[j];

			m->id = m->node = j + 1;
			m->voter = TRUE;
			m->address = strdup("");
			m->data_centre = strdup("");
		}
		server_start(server);
	}
}

static void network_clear(struct network *net)
{
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		raft_destroy(server->raft);
		CODEC_FREE(member_config, &server->first);
		g_ptr_array_unref(server->entries);
		g_ptr_array_unref(server->deferred);
	}
	g_ptr_array_unref(net->messages);
}

/* Returns the leader that has committed an entry of its term, or NULL. */
static struct server *ready_leader(struct network *net)
{
	for (int i = 0; i < SERVERS; i++) {
		struct server *server = &net->servers[i];

		if (server->raft && raft_committed_in_term(server->raft))
			return server;
	}
	return NULL;
}

static struct server *run_until_leader(struct network *net)
{
	int64_t end_ms = net->now_ms + LIMIT_MS;

	while (!ready_leader(net)) {
		if (net->now_ms > end_ms)
			fail_msg("no leader after %d ms", LIMIT_MS);
		step(net);
	}
	return ready_leader(net);
}

static bool committed_by(const struct network *net, uint64_t index,
			 uint64_t up_to_id)
{
	for (uint64_t id = 1; id <= up_to_id; id++) {
		const struct server *server = &net->servers[id - 1];

		if (server->raft && raft_commit_index(server->raft) < index)
			return false;
	}
	return true;
}

/* Runs until the members with ids up to `up_to_id` know it is committed. */
static void run_until_committed(struct network *net, uint64_t index,
				uint64_t up_to_id)
{
	int64_t end_ms = net->now_ms + LIMIT_MS;

	while (!committed_by(net, index, up_to_id)) {
		if (net->now_ms > end_ms)
			fail_msg("index %d not committed after %d ms",
				 (int)index, LIMIT_MS);
		step(net);
	}
}

static void set_membership(struct member_config *config, uint64_t id,
			   enum membership membership)
{
	struct member *all = config->members.members_val;
	u_int n = config->members.members_len, at = 0;

	while (at < n && all[at].id != id)
		at++;
	if (at == n) {
		all = realloc(all, (n + 1) * sizeof(*all));
		memset(&all[at], 0, sizeof(*all));
		all[at].id = id;
		all[at].node = (uint32_t)id;
		all[at].address = strdup("");
		all[at].data_centre = strdup("");
		config->members.members_val = all;
		config->members.members_len = ++n;
	}
	all[at].voter = membership == VOTER;
	if (membership != ABSENT)
		return;
	free(all[at].address);
	free(all[at].data_centre);
	all[at] = all[n - 1];
	config->members.members_len = n - 1;
}

static uint64_t propose_membership(struct server *leader, uint64_t id,
				   enum membership membership)
{
	struct member_config config = { { 0 } };
	uint64_t index = 0;

	assert_true(
		CODEC_COPY(member_config, raft_config(leader->raft), &config));
	set_membership(&config, id, membership);
	assert_int_equal(RD_OK, raft_propose_config(leader->raft,
						    leader->network->now_ms,
						    &config, &index));
	CODEC_FREE(member_config, &config);
	return index;
}

static void change_membership(struct network *net, uint64_t id,
			      enum membership membership)
{
	uint64_t index = propose_membership(run_until_leader(net), id,
					    membership);

	run_until_committed(net, index, id);
}

/* ---- tests ---- */

static void check_converges_without_second(struct network *net, uint64_t index)
{
	const struct member_config *config;

	run_until_committed(net, index, 1);
	assert_int_equal(1, run_until_leader(net)->id);
	config = raft_config(net->servers[0].raft);
	for (u_int i = 0; i < config->members.members_len; i++)
		assert_int_equal(config->members.members_val[i].id == 1,
				 config->members.members_val[i].voter);
}

/*
 * Member 1 takes the vote of member 2, the only other voter. The change reaches
 * the disk of member 2 but not its own, and both are restarted.
 */
static void test_demotion_only_on_the_demoted_member_after_restart(void **state)
{
	struct network net;
	struct server *first, *second;
	uint64_t index;

	(void)state;
	network_init(&net, 1);
	first = &net.servers[0];
	second = &net.servers[1];
	change_membership(&net, 2, LEARNER);
	change_membership(&net, 2, VOTER);
	index = propose_membership(first, 2, LEARNER);
	server_crash(first);
	deliver(&net);
	server_sync(second);
	assert_int_equal(index - 1, first->entries->len);
	assert_int_equal(index, second->durable);
	server_crash(second);
	server_start(first);
	server_start(second);
	check_converges_without_second(&net, index);
	network_clear(&net);
}

/* Member 2 leads and gives up its vote, and is restarted before it sends it. */
static void check_own_change(enum membership membership)
{
	struct network net;
	struct server *first, *second;
	uint64_t index;

	network_init(&net, 1);
	first = &net.servers[0];
	second = &net.servers[1];
	change_membership(&net, 2, LEARNER);
	change_membership(&net, 2, VOTER);
	assert_int_equal(RD_OK,
			 raft_transfer_leadership(first->raft, net.now_ms));
	while (ready_leader(&net) != second)
		step(&net);
	index = propose_membership(second, 2, membership);
	g_ptr_array_set_size(net.messages, 0);
	server_sync(second);
	server_crash(second);
	server_start(second);
	assert_true(raft_last_index(first->raft) < index);
	check_converges_without_second(&net, index);
	network_clear(&net);
}

static void test_own_demotion_only_on_the_leader_after_restart(void **state)
{
	(void)state;
	check_own_change(LEARNER);
}

static void test_own_removal_only_on_the_leader_after_restart(void **state)
{
	(void)state;
	check_own_change(ABSENT);
}

static void cut_link(struct network *net, uint64_t a, uint64_t b, bool cut)
{
	net->cut[a - 1][b - 1] = net->cut[b - 1][a - 1] = cut;
}

static void test_learner_votes_for_the_one_that_knows_its_promotion(
	void **state)
{
	struct network net;
	struct server *leader, *candidate;
	uint64_t index;

	(void)state;
	network_init(&net, 3);
	change_membership(&net, 4, LEARNER);
	leader = run_until_leader(&net);
	candidate = &net.servers[leader->id % 3];
	index = propose_membership(leader, 4, VOTER);
	for (uint64_t id = 1; id <= SERVERS; id++)
		cut_link(&net, leader->id, id, id != candidate->id);
	deliver(&net);
	server_sync(candidate);
	server_crash(leader);
	assert_int_equal(index, raft_last_index(candidate->raft));
	assert_true(raft_last_index(net.servers[3].raft) < index);
	/* Three of the four voters are needed, so that member 4 must vote. */
	assert_ptr_equal(candidate, run_until_leader(&net));
	run_until_committed(&net, index, 4);
	network_clear(&net);
}

static void test_demoted_member_does_not_disturb_a_leader(void **state)
{
	struct network net;
	struct server *leader, *demoted;
	uint64_t term, tried = 0;

	(void)state;
	network_init(&net, 3);
	demoted = &net.servers[3];
	change_membership(&net, 4, LEARNER);
	change_membership(&net, 4, VOTER);
	leader = run_until_leader(&net);
	if (leader == demoted)
		fail_msg("the promoted member must not lead here");
	change_membership(&net, 4, LEARNER);
	term = raft_term(leader->raft);
	server_crash(demoted);
	server_start(demoted);
	cut_link(&net, leader->id, demoted->id, true);
	for (int i = 0; i < LIMIT_MS / STEP_MS; i++) {
		step(&net);
		assert_int_equal(RAFT_LEADER, raft_role(leader->raft));
		assert_int_equal(term, raft_term(leader->raft));
		assert_int_equal(term, raft_term(demoted->raft));
		assert_true(raft_lease_valid(leader->raft, net.now_ms));
		tried += raft_role(demoted->raft) == RAFT_PRE_CANDIDATE;
	}
	assert_true(tried > 0);
	cut_link(&net, leader->id, demoted->id, false);
	run_until_committed(&net, raft_commit_index(leader->raft), 4);
	/* It knows now that its demotion is committed. */
	server_crash(leader);
	for (int i = 0; i < LIMIT_MS / STEP_MS; i++) {
		step(&net);
		assert_int_equal(RAFT_FOLLOWER, raft_role(demoted->raft));
	}
	assert_true(raft_term(run_until_leader(&net)->raft) > term);
	network_clear(&net);
}

static void test_learner_and_new_member_never_campaign(void **state)
{
	struct network net;

	(void)state;
	network_init(&net, 1);
	change_membership(&net, 2, LEARNER);
	server_crash(&net.servers[0]);
	server_crash(&net.servers[1]);
	server_start(&net.servers[1]);
	for (int i = 0; i < LIMIT_MS / STEP_MS; i++) {
		step(&net);
		for (int j = 1; j < SERVERS; j++)
			assert_int_equal(RAFT_FOLLOWER,
					 raft_role(net.servers[j].raft));
	}
	network_clear(&net);
}

static bool has_replied(const struct server *leader, uint64_t id)
{
	struct raft_progress progress;

	assert_true(raft_progress(leader->raft, id, &progress));
	return progress.replied;
}

/* Else a learner that is gone may be promoted right after an election. */
static void test_new_leader_has_no_reply_of_a_member_that_is_gone(void **state)
{
	struct network net;
	struct server *former, *leader;

	(void)state;
	network_init(&net, 3);
	change_membership(&net, 4, LEARNER);
	server_crash(&net.servers[3]);
	former = run_until_leader(&net);
	server_crash(former);
	leader = run_until_leader(&net);
	assert_false(has_replied(leader, 4));
	assert_false(has_replied(leader, former->id));
	assert_true(has_replied(leader, 6 - former->id - leader->id));
	network_clear(&net);
}

/* Else elections that follow each other keep a voter that is gone. */
static void test_silence_before_an_election_counts(void **state)
{
	struct raft_progress gone = { .last_reply_ms = 9000 };
	struct raft_progress live = { .replied = true, .last_reply_ms = 9000 };

	(void)state;
	assert_int_equal(7000, members_silent_since_ms(&gone, 7000));
	assert_int_equal(9000, members_silent_since_ms(&gone, 9500));
	assert_int_equal(9000, members_silent_since_ms(&gone, 0));
	assert_int_equal(9000, members_silent_since_ms(&live, 7000));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_demotion_only_on_the_demoted_member_after_restart),
		cmocka_unit_test(
			test_own_demotion_only_on_the_leader_after_restart),
		cmocka_unit_test(
			test_own_removal_only_on_the_leader_after_restart),
		cmocka_unit_test(
			test_learner_votes_for_the_one_that_knows_its_promotion),
		cmocka_unit_test(test_demoted_member_does_not_disturb_a_leader),
		cmocka_unit_test(test_learner_and_new_member_never_campaign),
		cmocka_unit_test(
			test_new_leader_has_no_reply_of_a_member_that_is_gone),
		cmocka_unit_test(test_silence_before_an_election_counts),
	};

	return cmocka_run_group_tests_name("membership", tests, NULL, NULL);
}
