/*
 * Servers of a consensus group that are replaced: each leader applies the rules
 * for its members (consensus/membership.h), in simulated time. Two or three of
 * the first servers end, in all orders, at all times between, with a notice of
 * their end or without one.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "consensus/membership.h"
#include "test/raft_network.h"
#include "wire/codec.h"

#define TARGET 3
#define FIRST_VOTERS 3u
#define REPLACE_AFTER_MS 2500
#define FORGET_AFTER_MS 60000
#define MEMBERS_MAX 6u
/* Of servers that came one after the other in a life. */
#define IDS_MAX 64
#define REPLACEMENTS 36
#define LIVE_MS 1000
#define TICK_MS 50
/* For successors to be taken in. */
#define SETTLE_MS 10000
/* A planned stop: for leadership to be handed over; for a successor. */
#define HANDOVER_MS 1500
#define SUCCESSOR_MS 4000
/* From the last end: the users' recoverS. */
#define RECOVER_MS 12000

/**
 * How a server ends; others see the end of a process, but not a silence. A
 * planned end is told before, and the process waits for a successor.
 */
enum how { HOW_ENDED, HOW_SILENT, HOW_PLANNED, HOWS };

struct replacement {
	struct network net;
	int64_t ended_ms[IDS_MAX];    /* when its process ended; 0: not */
	int64_t stopping_ms[IDS_MAX]; /* since when it is to end; 0: it isn't */
	int64_t tick_ms;
	int64_t forget_after_ms;
};

static struct member_health server_health(const struct replacement *r,
					  const struct server *leader,
					  const struct member *m)
{
	const struct member_link link = {
		.lost_ms = r->ended_ms[m->id - 1],
		.closed = true,
		.stopping = r->stopping_ms[m->id - 1] != 0,
	};

	return membership_health(leader->raft, m->id, r->net.now_ms, &link);
}

/** What a leader decides on. */
struct decision {
	struct membership_opts opts;
	const struct member_config *config;
	struct member_health health[MEMBERS_MAX];
};

static void read_members(const struct replacement *r,
			 const struct server *leader, struct decision *d)
{
	d->opts = (struct membership_opts){
		.target_voters = TARGET,
		.members_max = MEMBERS_MAX,
		.replace_after_ms = REPLACE_AFTER_MS,
		.forget_after_ms = r->forget_after_ms,
	};
	d->config = raft_config(leader->raft);
	assert_true(d->config->members.members_len <= MEMBERS_MAX);
	for (u_int i = 0; i < d->config->members.members_len; i++)
		d->health[i] = server_health(
			r, leader, &d->config->members.members_val[i]);
}

static void propose_change(const struct replacement *r, struct server *leader,
			   const struct membership_change *change)
{
	struct member_config next = { { 0 } };
	uint64_t index;

	assert_true(
		CODEC_COPY(member_config, raft_config(leader->raft), &next));
	membership_apply(change, &next);
	(void)raft_propose_config(leader->raft, r->net.now_ms, &next, &index);
	CODEC_FREE(member_config, &next);
}

/* What a leader does in each tick. */
static void apply_rules(struct replacement *r, struct server *leader)
{
	struct membership_change change;
	struct decision d;

	read_members(r, leader, &d);
	if (membership_next(&d.opts, d.config, d.health, &change))
		propose_change(r, leader, &change);
}

static void end_process(struct replacement *r, struct server *server)
{
	server_crash(server);
	r->ended_ms[server->id - 1] = r->net.now_ms;
}

/* What a server that is to end does in each tick; see control/handover.c. */
static void tick_stopping(struct replacement *r, struct server *server)
{
	int64_t since_ms = r->stopping_ms[server->id - 1];

	if (!server->raft || !since_ms)
		return;
	if (raft_role(server->raft) == RAFT_LEADER &&
	    r->net.now_ms < since_ms + HANDOVER_MS)
		(void)raft_transfer_leadership(server->raft, r->net.now_ms);
	else if (!membership_awaits_successor(server->raft, server->id,
					      TARGET) ||
		 r->net.now_ms >= since_ms + SUCCESSOR_MS)
		end_process(r, server);
}

static void run_ms(struct replacement *r, int64_t ms)
{
	int64_t until_ms = r->net.now_ms + ms;

	while (r->net.now_ms < until_ms) {
		struct server *leader = ready_leader(&r->net);

		if (leader && r->net.now_ms >= r->tick_ms) {
			apply_rules(r, leader);
			r->tick_ms = r->net.now_ms + TICK_MS;
		}
		for (int i = 0; i < SERVERS; i++)
			tick_stopping(r, &r->net.servers[i]);
		network_step(&r->net);
	}
}

/* A group of three, to which the other servers are added and catch up. */
static void set_up(struct replacement *r, u_int successors)
{
	memset(r, 0, sizeof(*r));
	r->forget_after_ms = FORGET_AFTER_MS;
	network_init(&r->net, FIRST_VOTERS);
	for (u_int i = 0; i < successors; i++)
		change_membership(&r->net, FIRST_VOTERS + i + 1, LEARNER);
	run_ms(r, SETTLE_MS);
}

static void end_server(struct replacement *r, uint64_t id, enum how how)
{
	struct server *server = network_find(&r->net, id);

	if (how == HOW_PLANNED)
		r->stopping_ms[id - 1] = r->net.now_ms;
	else if (how == HOW_ENDED)
		end_process(r, server);
	else
		server_crash(server);
}

/* Runs until a server that is to end has ended, however it does. */
static void await_end(struct replacement *r, uint64_t id)
{
	while (network_find(&r->net, id)->raft)
		run_ms(r, STEP_MS);
}

/* The id at `place` in the order in which the leader comes first or last. */
static uint64_t nth_voter(struct replacement *r, u_int leader_at, u_int place)
{
	uint64_t leader = run_until_leader(&r->net)->id;
	uint64_t id = 1;

	if (place == leader_at)
		return leader;
	for (u_int others = place > leader_at ? place - 1 : place;; id++) {
		if (id == leader)
			continue;
		if (!others--)
			return id;
	}
}

static uint64_t propose_entry(struct server *leader)
{
	GBytes *data = g_bytes_new_static("x", 1);
	uint64_t index = 0;

	assert_int_equal(RD_OK,
			 raft_propose(leader->raft, leader->network->now_ms,
				      data, &index));
	g_bytes_unref(data);
	return index;
}

/* One history: the first `ends` voters of an order end, `gap_ms` apart. */
struct history {
	u_int successors, ends;
	u_int leader_at; /* place of the leader in the order */
	enum how how[FIRST_VOTERS];
	int64_t gap_ms;
	bool from_signal; /* gaps begin with a planned end's notice */
};

/* Whether what was committed before is there after, with a leader. */
static bool survives(const struct history *history)
{
	struct replacement r;
	uint64_t ids[FIRST_VOTERS], index;
	struct server *leader;
	bool found;

	set_up(&r, history->successors);
	for (u_int i = 0; i < history->ends; i++)
		ids[i] = nth_voter(&r, history->leader_at, i);
	index = propose_entry(run_until_leader(&r.net));
	while (raft_commit_index(run_until_leader(&r.net)->raft) < index)
		network_step(&r.net);
	for (u_int i = 0; i < history->ends; i++) {
		if (i)
			run_ms(&r, history->gap_ms);
		end_server(&r, ids[i], history->how[i]);
		if (!history->from_signal)
			await_end(&r, ids[i]);
	}
	run_ms(&r, RECOVER_MS);
	leader = ready_leader(&r.net);
	found = leader && raft_commit_index(leader->raft) >= index;
	network_clear(&r.net);
	return found;
}

static void check_history(const struct history *history)
{
	if (!survives(history))
		fail_msg("%u successors, %u ends %d ms apart%s, the leader's "
			 "at %u, how %d %d %d: no leader",
			 history->successors, history->ends,
			 (int)history->gap_ms,
			 history->from_signal ? " from the notice" : "",
			 history->leader_at, history->how[0], history->how[1],
			 history->how[2]);
}

/*
 * Guards against LOST: two servers whose successors have caught up end less
 * than 2.5 s apart, and no leader could be elected any more.
 */
static void test_two_end_whose_successors_have_caught_up(void **state)
{
	struct history history = { .successors = 2, .ends = 2 };

	(void)state;
	for (int64_t gap_ms = 0; gap_ms <= 5000; gap_ms += 250) {
		history.gap_ms = gap_ms;
		for (history.leader_at = 0; history.leader_at < FIRST_VOTERS;
		     history.leader_at++) {
			for (int how = 0; how < HOWS * HOWS; how++) {
				history.how[0] = (enum how)(how % HOWS);
				history.how[1] = (enum how)(how / HOWS);
				check_history(&history);
			}
		}
	}
}

/* One server is replaced as planned, and a second later another is lost. */
static void test_another_is_lost_after_a_replacement(void **state)
{
	struct history history = { .successors = 1, .ends = 2 };

	(void)state;
	history.how[0] = HOW_ENDED;
	history.how[1] = HOW_SILENT;
	/* The leader's own end needs an election first. */
	for (history.leader_at = 1; history.leader_at < FIRST_VOTERS;
	     history.leader_at++)
		for (int64_t gap_ms = 1000; gap_ms <= 5000; gap_ms += 250) {
			history.gap_ms = gap_ms;
			check_history(&history);
		}
}

static void check_all_places_and_gaps(struct history *history)
{
	for (history->gap_ms = 0; history->gap_ms <= 1000;
	     history->gap_ms += 50)
		for (history->leader_at = 0; history->leader_at < FIRST_VOTERS;
		     history->leader_at++)
			check_history(history);
}

/*
 * Guards against LOST: a server is replaced as planned, its successor has
 * caught up, and another one is lost within a second of the notice or of its
 * end, before or after it; no leader could be elected any more.
 */
static void test_another_is_lost_around_a_planned_end(void **state)
{
	struct history history = { .successors = 1, .ends = 2 };

	(void)state;
	for (int how = 0; how < HOWS; how++) {
		history.how[0] = HOW_PLANNED;
		history.how[1] = (enum how)how;
		history.from_signal = false;
		check_all_places_and_gaps(&history);
		history.from_signal = true;
		check_all_places_and_gaps(&history);
		history.how[0] = (enum how)how;
		history.how[1] = HOW_PLANNED;
		check_all_places_and_gaps(&history);
	}
}

/* Two are replaced as planned, and a third one is lost. */
static void test_another_is_lost_after_two_planned_ends(void **state)
{
	struct history history = { .successors = 2, .ends = 3 };

	(void)state;
	history.how[0] = history.how[1] = HOW_PLANNED;
	for (int how = 0; how < HOWS; how++) {
		history.how[2] = (enum how)how;
		check_all_places_and_gaps(&history);
	}
}

/*
 * All three end, each as soon as the one before is left out: with two
 * successors two of three voters are left in the end.
 */
static void test_three_end_one_after_the_other(void **state)
{
	struct history history = { .ends = 3 };

	(void)state;
	history.gap_ms = REPLACE_AFTER_MS + LIVE_MS + 4 * ELECTION_MS;
	for (int how = 0; how < HOWS * 2; how++) {
		history.successors = 2 + (u_int)how / HOWS;
		for (u_int i = 0; i < FIRST_VOTERS; i++)
			history.how[i] = (enum how)(how % HOWS);
		for (history.leader_at = 0; history.leader_at < FIRST_VOTERS;
		     history.leader_at++)
			check_history(&history);
	}
}

/* ---- the rules by themselves ---- */

static u_int voters_after(u_int successors, int64_t ms)
{
	struct replacement r;
	const struct member_config *config;
	u_int voters = 0;

	set_up(&r, successors);
	run_ms(&r, ms);
	config = raft_config(run_until_leader(&r.net)->raft);
	for (u_int i = 0; i < config->members.members_len; i++)
		voters += config->members.members_val[i].voter ? 1 : 0;
	network_clear(&r.net);
	return voters;
}

static void test_voters_grow_by_two(void **state)
{
	(void)state;
	assert_int_equal(3, voters_after(0, SETTLE_MS));
	assert_int_equal(3, voters_after(1, SETTLE_MS));
	assert_int_equal(5, voters_after(2, SETTLE_MS));
	assert_int_equal(5, voters_after(3, SETTLE_MS));
}

/* Starts a server that has ended, with its disk. */
static void return_server(struct replacement *r, uint64_t id)
{
	server_start(network_find(&r->net, id));
	r->ended_ms[id - 1] = r->stopping_ms[id - 1] = 0;
	run_ms(r, SETTLE_MS);
}

static bool is_voter(struct replacement *r, uint64_t id)
{
	const struct member_config *config =
		raft_config(run_until_leader(&r->net)->raft);

	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == id)
			return config->members.members_val[i].voter;
	return false;
}

/* A restart without a successor takes no vote away. */
static void test_restart_keeps_the_vote(void **state)
{
	struct replacement r;
	uint64_t id;

	(void)state;
	set_up(&r, 0);
	id = nth_voter(&r, 0, 1);
	end_server(&r, id, HOW_ENDED);
	run_ms(&r, SETTLE_MS);
	assert_true(is_voter(&r, id));
	return_server(&r, id);
	assert_non_null(ready_leader(&r.net));
	network_clear(&r.net);
}

/* A former voter that is back, with its disk, is a voter again. */
static void test_back_a_second_later_among_five(void **state)
{
	struct replacement r;
	uint64_t id;

	(void)state;
	set_up(&r, 2);
	id = nth_voter(&r, 0, 1);
	end_server(&r, id, HOW_ENDED);
	run_ms(&r, 1000);
	return_server(&r, id);
	assert_true(is_voter(&r, id));
	network_clear(&r.net);
}

/* ---- lives ---- */

static bool is_member(struct replacement *r, uint64_t id)
{
	const struct member_config *config =
		raft_config(run_until_leader(&r->net)->raft);

	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == id)
			return true;
	return false;
}

/* What a leader does as a server polls that is no member. */
static void add_or_make_room(struct replacement *r, uint64_t id)
{
	struct server *leader = run_until_leader(&r->net);
	struct membership_change change;
	struct decision d;

	read_members(r, leader, &d);
	switch (membership_find_room(&d.opts, d.config, d.health, &change)) {
	case MEMBERSHIP_HAS_ROOM:
		(void)propose_membership(leader, id, LEARNER);
		break;
	case MEMBERSHIP_REMOVE_FIRST:
		propose_change(r, leader, &change);
		break;
	case MEMBERSHIP_FULL:
		break;
	}
}

static void add_server(struct replacement *r, uint64_t id)
{
	int64_t end_ms = r->net.now_ms + SETTLE_MS;

	while (!is_member(r, id)) {
		if (r->net.now_ms > end_ms)
			fail_msg("server %d is not added", (int)id);
		add_or_make_room(r, id);
		run_ms(r, TICK_MS);
	}
}

/* Starts a new server where none runs, and adds it; returns its id. */
static uint64_t start_successor(struct replacement *r)
{
	struct server *server = r->net.servers;

	while (server->raft)
		server++;
	assert_true(server < r->net.servers + SERVERS);
	server_replace(server);
	add_server(r, server->id);
	return server->id;
}

static void check_commits(struct replacement *r)
{
	uint64_t index = propose_entry(run_until_leader(&r->net));
	int64_t end_ms = r->net.now_ms + LIMIT_MS;

	while (raft_commit_index(run_until_leader(&r->net)->raft) < index) {
		assert_true(r->net.now_ms < end_ms);
		network_step(&r->net);
	}
}

/* All servers are replaced, one after the other, for a life. */
static void check_life(int64_t forget_after_ms, enum how how)
{
	uint64_t running[TARGET] = { 1, 2, 3 };
	struct replacement r;

	set_up(&r, 0);
	for (int i = TARGET; i < SERVERS; i++)
		server_crash(&r.net.servers[i]);
	r.forget_after_ms = forget_after_ms;
	for (int i = 0; i < REPLACEMENTS; i++) {
		uint64_t added = start_successor(&r);

		run_ms(&r, REPLACE_AFTER_MS);
		end_server(&r, running[i % TARGET], how);
		running[i % TARGET] = added;
		run_ms(&r, 2 * REPLACE_AFTER_MS);
		check_commits(&r);
	}
	run_ms(&r, forget_after_ms > LIMIT_MS ? 0 : 2 * forget_after_ms);
	assert_true(raft_config(run_until_leader(&r.net)->raft)
			    ->members.members_len <=
		    (forget_after_ms > LIMIT_MS ? MEMBERS_MAX : TARGET));
	network_clear(&r.net);
}

/*
 * Guards against the end of all leaders: members that are gone stayed in the
 * group until it had more than its encoding can hold.
 */
static void test_a_life_of_replacements(void **state)
{
	(void)state;
	for (int how = 0; how < HOWS; how++) {
		check_life(LIMIT_MS, (enum how)how);
		/* Only a new member makes a silent one go. */
		check_life(INT32_MAX, (enum how)how);
	}
}

/* A member that was removed for its silence comes back with its disk. */
static void test_a_removed_member_comes_back(void **state)
{
	struct replacement r;
	uint64_t id;

	(void)state;
	set_up(&r, 2);
	r.forget_after_ms = LIMIT_MS;
	id = nth_voter(&r, 0, 1);
	end_server(&r, id, HOW_SILENT);
	run_ms(&r, REPLACE_AFTER_MS + 2 * LIMIT_MS);
	assert_false(is_member(&r, id));
	server_start(network_find(&r.net, id));
	run_ms(&r, SETTLE_MS);
	check_commits(&r);
	add_server(&r, id);
	run_ms(&r, SETTLE_MS);
	assert_true(is_voter(&r, id));
	check_commits(&r);
	network_clear(&r.net);
}

/* A group with as many members as it may have takes no further one. */
static void test_no_room_beside_members_that_are_well(void **state)
{
	struct membership_change change;
	struct replacement r;
	struct decision d;

	(void)state;
	set_up(&r, MEMBERS_MAX - FIRST_VOTERS);
	read_members(&r, run_until_leader(&r.net), &d);
	assert_int_equal(MEMBERSHIP_FULL,
			 membership_find_room(&d.opts, d.config, d.health,
					      &change));
	network_clear(&r.net);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_life_of_replacements),
		cmocka_unit_test(test_a_removed_member_comes_back),
		cmocka_unit_test(test_no_room_beside_members_that_are_well),
		cmocka_unit_test(test_two_end_whose_successors_have_caught_up),
		cmocka_unit_test(test_another_is_lost_after_a_replacement),
		cmocka_unit_test(test_another_is_lost_around_a_planned_end),
		cmocka_unit_test(test_another_is_lost_after_two_planned_ends),
		cmocka_unit_test(test_three_end_one_after_the_other),
		cmocka_unit_test(test_voters_grow_by_two),
		cmocka_unit_test(test_restart_keeps_the_vote),
		cmocka_unit_test(test_back_a_second_later_among_five),
	};

	return cmocka_run_group_tests_name("replacement", tests, NULL, NULL);
}
