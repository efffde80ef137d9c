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
#include "test/raft_network.h"

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
	network_deliver(&net);
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
		network_step(&net);
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
	network_deliver(&net);
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
		network_step(&net);
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
		network_step(&net);
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
		network_step(&net);
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
	assert_int_equal(7000, membership_silent_since_ms(&gone, 7000));
	assert_int_equal(9000, membership_silent_since_ms(&gone, 9500));
	assert_int_equal(9000, membership_silent_since_ms(&gone, 0));
	assert_int_equal(9000, membership_silent_since_ms(&live, 7000));
}

/*
 * Guards against the end of all leaders: a configuration of more members than
 * its encoding can hold ended the process.
 */
static void test_more_members_than_the_bound_are_refused(void **state)
{
	struct member members[RD_MEMBERS_MAX + 1] = { { 0 } };
	struct member_config config = { { RD_MEMBERS_MAX + 1, members } };
	struct network net;
	struct server *leader;
	uint64_t index = 0, last;

	(void)state;
	network_init(&net, 1);
	leader = run_until_leader(&net);
	last = raft_last_index(leader->raft);
	for (u_int i = 0; i <= RD_MEMBERS_MAX; i++) {
		members[i].id = i + 1;
		members[i].node = i + 1;
		members[i].voter = i == 0;
		members[i].address = members[i].data_centre = (char *)"";
	}
	assert_int_equal(RD_TOO_LARGE,
			 raft_propose_config(leader->raft, net.now_ms, &config,
					     &index));
	assert_int_equal(last, raft_last_index(leader->raft));
	run_until_committed(&net, last, 1);
	network_clear(&net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_more_members_than_the_bound_are_refused),
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
