/* A group of one member on a simulated disk: what its owner is told. */
#include <errno.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/log.h"
#include "control/group.h"
#include "test/memory_fs.h"
#include "wire/codec.h"

#define STEP_US 5000
/* Enough for the election of a sole voter. */
#define STEPS_MAX 1000

struct world {
	int64_t now_us;
	struct clock_source clock;
	struct memory_fs *fs;
	struct counters *counters;
	struct daemon_settings settings;
	struct group *group;
	int done, failed;
	enum rd_result done_code, failed_code;
	char *why;
};

static int64_t world_now_us(void *ctx)
{
	return ((struct world *)ctx)->now_us;
}

static void on_send(void *ctx, uint64_t member, GBytes *message)
{
	(void)ctx;
	(void)member;
	(void)message;
}

static void on_applied(void *ctx, const struct group_applied *applied)
{
	(void)ctx;
	(void)applied;
}

static void on_event(void *ctx)
{
	(void)ctx;
}

static void on_failed(void *ctx, enum rd_result code, const char *why)
{
	struct world *w = ctx;

	w->failed++;
	w->failed_code = code;
	w->why = g_strdup(why);
}

static void on_done(void *ctx, enum rd_result code,
		    const struct apply_result *result)
{
	struct world *w = ctx;

	assert_true(code == RD_OK || !result);
	w->done++;
	w->done_code = code;
}

/* Starts the member, from what its disk has. */
static void start_group(struct world *w, bool bootstrap)
{
	enum rd_result code = RD_OK;
	char *why = NULL;
	struct group_opts opts = {
		.fs = memory_fs_driver(w->fs),
		.clock = &w->clock,
		.settings = &w->settings,
		.counters = w->counters,
		.events = { on_send, on_applied, on_event, on_event, on_event,
			    on_failed, NULL, w },
		.bootstrap = bootstrap,
		.seed = 1,
		.new_member = 1,
	};

	w->group = group_create(&opts, &code, &why);
	if (!w->group)
		fail_msg("%d %s", code, why ? why : "");
}

static void world_init(struct world *w)
{
	struct daemon_settings *s = &w->settings;
	struct peer_settings *peer = g_new0(struct peer_settings, 1);

	memset(w, 0, sizeof(*w));
	w->now_us = 1000000;
	w->clock = (struct clock_source){ world_now_us, w };
	w->fs = memory_fs_create(1);
	w->counters = counters_create();
	s->node.id = 1;
	s->node.data_centre = (char *)"a";
	s->cluster.name = (char *)"group";
	s->cluster.election_ms = 300;
	s->cluster.heartbeat_ms = 50;
	s->cluster.drift_permille = 50;
	s->limits.segment_bytes = 16384;
	s->limits.snapshot_entries = 40;
	peer->id = 1;
	peer->data_centre = (char *)"a";
	peer->address = (char *)"127.0.0.1:1";
	peer->voter = peer->control = true;
	s->cluster.peers = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(s->cluster.peers, peer);
	start_group(w, true);
}

static void world_clear(struct world *w)
{
	group_destroy(w->group);
	memory_fs_destroy(w->fs);
	counters_destroy(w->counters);
	g_ptr_array_unref(w->settings.cluster.peers);
	g_free(w->why);
}

static void run_until_leader(struct world *w)
{
	for (int i = 0; !group_is_ready_leader(w->group); i++) {
		assert_true(i < STEPS_MAX);
		w->now_us += STEP_US;
		group_process(w->group);
	}
}

/* Returns a command without effect. */
static GBytes *new_command(void)
{
	struct command command = {
		.change_id = (char *)"",
		.operator_name = (char *)"",
	};
	GBytes *bytes = CODEC_ENCODE(command, &command);

	assert_non_null(bytes);
	return bytes;
}

/* Delivers an entry of a leader in a later term, which is node 2. */
static void receive_append(struct world *w, const struct raft_wire_entry *entry,
			   uint64_t commit_index)
{
	uint64_t previous = entry->index - 1;
	struct raft_message message = {
		.kind = RAFT_APPEND,
		.from = 2,
		.to = 1,
		.term = entry->term,
		.log_index = previous,
		.log_term = raft_term_at(group_raft(w->group), previous),
		.commit_index = commit_index,
		.entries = { 1, (struct raft_wire_entry *)entry },
	};
	GBytes *bytes = CODEC_ENCODE(raft_message, &message);
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	assert_true(group_receive(w->group, 2, data, size));
	g_bytes_unref(bytes);
}

/*
 * Guards against a group that is lost for good: once such an entry is
 * committed, no member can go on.
 */
static void test_undecodable_command_is_refused(void **state)
{
	GBytes *undecodable = g_bytes_new_static("x", 1);
	GBytes *command = new_command();
	struct world w;

	(void)state;
	world_init(&w);
	run_until_leader(&w);
	group_propose(w.group, undecodable, on_done, &w);
	assert_int_equal(1, w.done);
	assert_int_equal(RD_TOO_LARGE, w.done_code);
	group_propose(w.group, NULL, on_done, &w);
	assert_int_equal(2, w.done);
	assert_int_equal(RD_TOO_LARGE, w.done_code);
	group_propose(w.group, command, on_done, &w);
	group_process(w.group);
	assert_int_equal(0, w.failed);
	assert_int_equal(3, w.done);
	assert_int_equal(RD_OK, w.done_code);
	world_clear(&w);
	g_bytes_unref(command);
	g_bytes_unref(undecodable);
}

/* Another build's leader has committed it, in place of a proposal here. */
static void test_committed_undecodable_command_is_named_as_the_cause(
	void **state)
{
	GBytes *command = new_command();
	struct raft_wire_entry entry = {
		.index = 2,
		.term = 5,
		.kind = RAFT_ENTRY_COMMAND,
		.data = { 1, (char *)"x" },
	};
	struct world w;

	(void)state;
	world_init(&w);
	run_until_leader(&w);
	group_propose(w.group, command, on_done, &w);
	receive_append(&w, &entry, entry.index);
	group_process(w.group);
	assert_int_equal(1, w.failed);
	assert_int_equal(RD_FORMAT, w.failed_code);
	assert_string_equal("committed log entry 2 cannot be decoded", w.why);
	assert_int_equal(1, w.done);
	assert_int_equal(RD_NOT_LEADER, w.done_code);
	world_clear(&w);
	assert_int_equal(1, w.done);
	g_bytes_unref(command);
}

/*
 * Guards against a member that never starts again: it had stored the snapshot
 * before it found that it couldn't be read.
 */
static void test_undecodable_snapshot_is_named_as_the_cause(void **state)
{
	struct world w;
	struct raft_message message = {
		.kind = RAFT_SNAPSHOT,
		.from = 2,
		.to = 1,
		.term = 5,
		.log_index = 9,
		.log_term = 5,
		.snapshot_bytes = 1,
		.chunk = { 1, (char *)"x" },
	};
	GBytes *bytes = CODEC_ENCODE(raft_message, &message);
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	(void)state;
	world_init(&w);
	assert_true(group_receive(w.group, 2, data, size));
	assert_int_equal(1, w.failed);
	assert_int_equal(RD_FORMAT, w.failed_code);
	assert_string_equal("snapshot at index 9 cannot be decoded", w.why);
	group_destroy(w.group);
	memory_fs_kill(w.fs);
	start_group(&w, false);
	run_until_leader(&w);
	world_clear(&w);
	g_bytes_unref(bytes);
}

static void test_disk_failure_is_named_as_the_cause(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	memory_fs_fail_after(w.fs, 1, EIO);
	for (int i = 0; !w.failed; i++) {
		assert_true(i < STEPS_MAX);
		w.now_us += STEP_US;
		group_process(w.group);
	}
	assert_int_equal(RD_IO, w.failed_code);
	assert_non_null(strstr(w.why, g_strerror(EIO)));
	world_clear(&w);
}

/* Elects the only member while each sync takes a time; returns its log. */
static char *log_of_election(int64_t sync_us)
{
	struct world w;
	char text[4096];
	ssize_t size;
	int fds[2];

	assert_int_equal(pipe(fds), 0);
	log_start_writer(fds[1]);
	world_init(&w);
	memory_fs_delay_syncs(w.fs, &w.now_us, sync_us);
	run_until_leader(&w);
	world_clear(&w);
	log_stop_writer();
	close(fds[1]);
	size = read(fds[0], text, sizeof(text));
	close(fds[0]);
	assert_true(size >= 0);
	return g_strndup(text, (gsize)size);
}

static void test_elections_during_slow_syncs_have_a_cause_in_the_log(void **s)
{
	char *slow = log_of_election(300000), *quick = log_of_election(299000);

	(void)s;
	assert_non_null(strstr(slow, "sync of the log took 300 ms"));
	assert_string_equal("", quick);
	g_free(slow);
	g_free(quick);
}

/* Records the code with which a proposal ended; its context is the record. */
static void on_proposal_done(void *ctx, enum rd_result code,
			     const struct apply_result *result)
{
	(void)result;
	*(enum rd_result *)ctx = code;
}

/* A member that still holds the truncated entry may lead and commit it. */
static void test_truncated_proposal_is_not_reported_as_not_accepted(
	void **state)
{
	enum rd_result codes[4];
	GBytes *bytes = new_command();
	struct raft_wire_entry entry = { .term = 5 };
	struct world w;
	uint64_t first;

	(void)state;
	memset(codes, -1, sizeof(codes));
	world_init(&w);
	run_until_leader(&w);
	first = raft_last_index(group_raft(w.group)) + 1;
	for (int i = 0; i < 3; i++)
		group_propose(w.group, bytes, on_proposal_done, &codes[i]);
	entry.index = first;
	receive_append(&w, &entry, 0);
	assert_int_equal(first, raft_last_index(group_raft(w.group)));
	for (int i = 0; raft_role(group_raft(w.group)) != RAFT_LEADER; i++) {
		assert_true(i < STEPS_MAX);
		w.now_us += STEP_US;
		group_process(w.group);
	}
	assert_int_equal(first + 1, raft_last_index(group_raft(w.group)));
	group_propose(w.group, bytes, on_proposal_done, &codes[3]);
	assert_int_equal(RD_CHANGE_UNKNOWN, codes[2]);
	g_bytes_unref(bytes);
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_undecodable_command_is_refused),
		cmocka_unit_test(
			test_committed_undecodable_command_is_named_as_the_cause),
		cmocka_unit_test(
			test_undecodable_snapshot_is_named_as_the_cause),
		cmocka_unit_test(test_disk_failure_is_named_as_the_cause),
		cmocka_unit_test(
			test_truncated_proposal_is_not_reported_as_not_accepted),
		cmocka_unit_test(
			test_elections_during_slow_syncs_have_a_cause_in_the_log),
	};

	log_setup(G_LOG_LEVEL_WARNING, LOG_FORMAT_KEY_VALUE);
	return cmocka_run_group_tests_name("group", tests, NULL, NULL);
}
