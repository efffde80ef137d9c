/* The transfer of a snapshot in chunks, while the leader makes a newer one. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/raft.h>

#include "test/raft_ignore.h"
#include "wire/codec.h"

#define LEADER 1u
#define LEARNER 2u
#define ELECTION_MS 300
#define HEARTBEAT_MS 50
#define LARGE_BYTES 700000
#define SMALL_BYTES 3000
#define STEP_MS 10
#define STEPS_MAX 1000

struct world {
	struct raft *raft;
	int64_t now_ms;
	struct raft_message chunk; /* the last one; without its bytes */
	int chunks;
	int installed;
	uint64_t installed_bytes;
};

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct world *w = ctx;

	(void)after_sync;
	if (message->kind != RAFT_SNAPSHOT &&
	    message->kind != RAFT_SNAPSHOT_REPLY)
		return;
	w->chunk = *message;
	w->chunks++;
}

static void on_install(void *ctx, uint64_t index, uint64_t term,
		       const struct member_config *config, GBytes *data)
{
	struct world *w = ctx;

	(void)index;
	(void)term;
	(void)config;
	w->installed++;
	w->installed_bytes = g_bytes_get_size(data);
}

static void world_init(struct world *w, uint64_t id)
{
	struct member members[] = {
		{ LEADER, LEADER, TRUE, (char *)"", (char *)"" },
		{ LEARNER, LEARNER, FALSE, (char *)"", (char *)"" },
	};
	struct member_config config = { { 2, members } };
	struct raft_opts opts = {
		.id = id,
		.seed = 1,
		.election_ms = ELECTION_MS,
		.heartbeat_ms = HEARTBEAT_MS,
		.drift_permille = 50,
		.callbacks = raft_ignore(w),
		.now_ms = 1000,
		.config = &config,
	};

	opts.callbacks.send = on_send;
	opts.callbacks.install_snapshot = on_install;
	memset(w, 0, sizeof(*w));
	w->now_ms = opts.now_ms;
	w->raft = raft_create(&opts);
}

static void step(struct world *w)
{
	w->now_ms += STEP_MS;
	raft_tick(w->raft, w->now_ms);
	raft_begin_sync(w->raft);
	raft_synced(w->raft, w->now_ms);
	while (raft_next_committed(w->raft))
		;
}

/* Commits an entry, and compacts the log to a snapshot of this size. */
static void compact(struct world *w, size_t bytes)
{
	GBytes *entry = g_bytes_new_static("x", 1);
	GBytes *snapshot = g_bytes_new_take(g_malloc0(bytes), bytes);
	uint64_t index = 0;

	assert_int_equal(RD_OK,
			 raft_propose(w->raft, w->now_ms, entry, &index));
	while (raft_commit_index(w->raft) < index)
		step(w);
	raft_compact(w->raft, index, snapshot);
	g_bytes_unref(snapshot);
	g_bytes_unref(entry);
}

static void await_chunk(struct world *w)
{
	int before = w->chunks;

	for (int i = 0; w->chunks == before; i++) {
		assert_true(i < STEPS_MAX);
		step(w);
	}
}

static void check_chunk(const struct world *w, uint64_t snapshot_bytes)
{
	assert_int_equal(snapshot_bytes, w->chunk.snapshot_bytes);
	assert_true(w->chunk.chunk_offset + w->chunk.chunk.chunk_len <=
		    snapshot_bytes);
}

static void reply(struct world *w, uint64_t offset)
{
	struct raft_message message = {
		.kind = RAFT_SNAPSHOT_REPLY,
		.from = LEARNER,
		.to = LEADER,
		.term = raft_term(w->raft),
		.log_index = w->chunk.log_index,
		.chunk_offset = offset,
		.sent_ms = w->now_ms,
	};

	raft_step(w->raft, w->now_ms, &message);
}

/*
 * Guards against a leak of the process's memory: a leader sent the next chunk
 * of a snapshot at its place in the one before, beyond the end of the new one.
 */
static void test_chunk_after_a_smaller_snapshot_begins_anew(void **state)
{
	struct world w;

	(void)state;
	world_init(&w, LEADER);
	while (!raft_committed_in_term(w.raft))
		step(&w);
	compact(&w, LARGE_BYTES);
	await_chunk(&w);
	check_chunk(&w, LARGE_BYTES);
	reply(&w, w.chunk.chunk.chunk_len);
	check_chunk(&w, LARGE_BYTES);
	assert_true(w.chunk.chunk_offset > SMALL_BYTES);
	compact(&w, SMALL_BYTES);
	await_chunk(&w);
	check_chunk(&w, SMALL_BYTES);
	assert_int_equal(0, w.chunk.chunk_offset);
	raft_destroy(w.raft);
}

static void test_reply_beyond_the_snapshot_begins_anew(void **state)
{
	struct world w;

	(void)state;
	world_init(&w, LEADER);
	while (!raft_committed_in_term(w.raft))
		step(&w);
	compact(&w, SMALL_BYTES);
	await_chunk(&w);
	reply(&w, LARGE_BYTES);
	check_chunk(&w, SMALL_BYTES);
	assert_int_equal(0, w.chunk.chunk_offset);
	raft_destroy(w.raft);
}

static void receive_chunk(struct world *w, uint64_t snapshot_bytes,
			  uint64_t offset, u_int bytes)
{
	char *data = g_malloc0(bytes);
	struct member members[] = {
		{ LEADER, LEADER, TRUE, (char *)"", (char *)"" },
	};
	struct raft_message message = {
		.kind = RAFT_SNAPSHOT,
		.from = LEADER,
		.to = LEARNER,
		.term = 1,
		.log_index = 9,
		.log_term = 1,
		.chunk_offset = offset,
		.snapshot_bytes = snapshot_bytes,
		.config = { { 1, members } },
		.chunk = { bytes, data },
	};

	raft_step(w->raft, w->now_ms, &message);
	g_free(data);
}

/* Builds encode a state differently, so two leaders' snapshots may differ. */
static void test_chunks_of_two_snapshots_are_not_joined(void **state)
{
	struct world w;

	(void)state;
	world_init(&w, LEARNER);
	receive_chunk(&w, 2 * SMALL_BYTES, 0, SMALL_BYTES);
	assert_int_equal(SMALL_BYTES, w.chunk.chunk_offset);
	receive_chunk(&w, 2 * SMALL_BYTES - 1, SMALL_BYTES, SMALL_BYTES - 1);
	assert_int_equal(0, w.installed);
	assert_int_equal(0, w.chunk.chunk_offset);
	receive_chunk(&w, 2 * SMALL_BYTES - 1, 0, SMALL_BYTES);
	receive_chunk(&w, 2 * SMALL_BYTES - 1, SMALL_BYTES, SMALL_BYTES - 1);
	assert_int_equal(1, w.installed);
	assert_int_equal(2 * SMALL_BYTES - 1, w.installed_bytes);
	raft_destroy(w.raft);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_chunk_after_a_smaller_snapshot_begins_anew),
		cmocka_unit_test(test_reply_beyond_the_snapshot_begins_anew),
		cmocka_unit_test(test_chunks_of_two_snapshots_are_not_joined),
	};

	return cmocka_run_group_tests_name("snapshot", tests, NULL, NULL);
}
