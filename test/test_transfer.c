/* Transfers of leadership, on the consensus core in simulated time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/raft.h>

#include "test/raft_ignore.h"
#include "wire/codec.h"

#define MEMBERS 3
#define ELECTION_MS 300
#define HEARTBEAT_MS 50
#define DELAY_MS 5
#define WAIT_MS 10000

struct group_test;

struct test_member {
	struct group_test *test;
	struct raft *raft;
	bool down; /* receives nothing, sends nothing, and has no timers */
};

struct packet {
	int64_t due_ms;
	GBytes *bytes;
};

struct group_test {
	int64_t now_ms;
	struct test_member members[MEMBERS];
	GQueue packets; /* of struct packet, the next one first */
};

/* ---- callbacks; those of the storage are ignored ---- */

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct test_member *member = ctx;
	struct packet *packet;

	(void)after_sync;
	if (member->down)
		return;
	packet = g_new(struct packet, 1);
	packet->due_ms = member->test->now_ms + DELAY_MS;
	packet->bytes = CODEC_ENCODE(raft_message, message);
	g_queue_push_tail(&member->test->packets, packet);
}

/* ---- simulated time ---- */

static void deliver(struct group_test *test, GBytes *bytes)
{
	struct raft_message message = { 0 };
	struct test_member *to;

	assert_true(CODEC_DECODE(raft_message, bytes, &message));
	to = &test->members[message.to - 1];
	if (!to->down)
		raft_step(to->raft, test->now_ms, &message);
	CODEC_FREE(raft_message, &message);
}

static void step(struct group_test *test)
{
	struct packet *packet;

	test->now_ms++;
	for (int i = 0; i < MEMBERS; i++) {
		struct test_member *m = &test->members[i];

		if (m->down)
			continue;
		raft_tick(m->raft, test->now_ms);
		raft_begin_sync(m->raft);
		raft_synced(m->raft, test->now_ms);
		while (raft_next_committed(m->raft))
			;
	}
	while ((packet = g_queue_peek_head(&test->packets)) &&
	       packet->due_ms <= test->now_ms) {
		(void)g_queue_pop_head(&test->packets);
		deliver(test, packet->bytes);
		g_bytes_unref(packet->bytes);
		g_free(packet);
	}
}

/* The running member that leads with an entry of its term, or NULL. */
static struct test_member *find_leader(struct group_test *test)
{
	for (int i = 0; i < MEMBERS; i++)
		if (!test->members[i].down &&
		    raft_committed_in_term(test->members[i].raft))
			return &test->members[i];
	return NULL;
}

static struct test_member *wait_for_leader(struct group_test *test)
{
	struct test_member *leader;

	for (int i = 0; i < WAIT_MS; i++) {
		leader = find_leader(test);
		if (leader)
			return leader;
		step(test);
	}
	fail_msg("no leader within %d ms", WAIT_MS);
	return NULL;
}

static int setup(void **state)
{
	struct group_test *test = g_new0(struct group_test, 1);
	struct member members[MEMBERS] = { { 0 } };
	struct member_config config = { .members = { MEMBERS, members } };

	g_queue_init(&test->packets);
	for (int i = 0; i < MEMBERS; i++) {
		members[i].id = (uint64_t)i + 1;
		members[i].node = (uint32_t)i + 1;
		members[i].voter = TRUE;
		members[i].address = (char *)"";
		members[i].data_centre = (char *)"";
	}
	for (int i = 0; i < MEMBERS; i++) {
		struct test_member *m = &test->members[i];
		struct raft_opts opts = {
			.id = (uint64_t)i + 1,
			.seed = (uint32_t)i,
			.election_ms = ELECTION_MS,
			.heartbeat_ms = HEARTBEAT_MS,
			.keep_entries = 8,
			.callbacks = raft_ignore(m),
			.config = &config,
		};

		opts.callbacks.send = on_send;
		m->test = test;
		m->raft = raft_create(&opts);
	}
	*state = test;
	return 0;
}

static int teardown(void **state)
{
	struct group_test *test = *state;
	struct packet *packet;

	while ((packet = g_queue_pop_head(&test->packets))) {
		g_bytes_unref(packet->bytes);
		g_free(packet);
	}
	for (int i = 0; i < MEMBERS; i++)
		raft_destroy(test->members[i].raft);
	g_free(test);
	return 0;
}

/* ---- leadership transfer ---- */

/* Calls raft_transfer_leadership() every ms until another member leads. */
static int64_t transfer_ms(struct group_test *test, struct test_member *from)
{
	int64_t started_ms = test->now_ms;

	for (int i = 0; i < WAIT_MS; i++) {
		struct test_member *leader = find_leader(test);

		if (leader && leader != from)
			return test->now_ms - started_ms;
		if (raft_role(from->raft) == RAFT_LEADER)
			(void)raft_transfer_leadership(from->raft,
						       test->now_ms);
		step(test);
	}
	fail_msg("leadership not transferred within %d ms", WAIT_MS);
	return WAIT_MS;
}

static void test_transfer_to_stopped_voter_left_no_leader(void **state)
{
	struct group_test *test = *state;
	struct test_member *leader = wait_for_leader(test);

	for (int i = 0; i < ELECTION_MS; i++)
		step(test);
	test->members[leader == &test->members[0] ? 1 : 0].down = true;
	assert_true(transfer_ms(test, leader) < ELECTION_MS);
}

static void test_repeated_transfer_completes(void **state)
{
	struct group_test *test = *state;
	struct test_member *leader = wait_for_leader(test);

	assert_true(transfer_ms(test, leader) < ELECTION_MS);
}

static void test_repeated_transfer_kept_refusing_proposals(void **state)
{
	struct group_test *test = *state;
	struct test_member *leader = wait_for_leader(test);
	GBytes *data = g_bytes_new("", 0);
	enum rd_result result = RD_NOT_LEADER;
	uint64_t index;

	for (int i = 0; i < MEMBERS; i++)
		test->members[i].down = &test->members[i] != leader;
	for (int i = 0; i < 2 * ELECTION_MS - 1 && result; i++) {
		assert_int_equal(raft_role(leader->raft), RAFT_LEADER);
		if (i % HEARTBEAT_MS == 0)
			(void)raft_transfer_leadership(leader->raft,
						       test->now_ms);
		step(test);
		result = raft_propose(leader->raft, test->now_ms, data, &index);
	}
	g_bytes_unref(data);
	assert_int_equal(result, RD_OK);
}

/* Two members stop at the same time; the third one goes on. */
static void test_two_stopping_members_do_not_hand_over_to_and_fro(void **state)
{
	struct group_test *test = *state;
	struct test_member *leader = wait_for_leader(test);
	const struct test_member *last = &test->members[MEMBERS - 1];
	uint64_t term;

	if (leader == last) {
		(void)transfer_ms(test, leader);
		leader = wait_for_leader(test);
	}
	for (int i = 0; i < 5 * ELECTION_MS; i++)
		step(test);
	term = raft_term(leader->raft);
	for (int i = 0; i < WAIT_MS && raft_role(last->raft) != RAFT_LEADER;
	     i++) {
		for (int j = 0; j < MEMBERS - 1; j++)
			(void)raft_transfer_leadership(test->members[j].raft,
						       test->now_ms);
		step(test);
	}
	assert_int_equal(raft_role(last->raft), RAFT_LEADER);
	assert_in_range(raft_term(last->raft) - term, 1, 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_transfer_to_stopped_voter_left_no_leader, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_repeated_transfer_completes, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_repeated_transfer_kept_refusing_proposals, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_two_stopping_members_do_not_hand_over_to_and_fro,
			setup, teardown),
	};

	return cmocka_run_group_tests_name("transfer", tests, NULL, NULL);
}
