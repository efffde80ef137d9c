#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "control/group.h"
#include "storage/storage.h"
#include "wire/codec.h"

#define PROPOSAL_TIMEOUT_MS 5000
#define KEEP_ENTRIES 1024
#define REFUSAL_LINE_INTERVAL_MS 1000
/*
 * The log is compacted only once its size is this multiple of the last
 * snapshot's, so that a large state is not rewritten for few changes.
 */
#define LOG_SNAPSHOT_RATIO 4

static const struct log group_log = { "group" };

/** A message that must not be sent before the next sync. */
struct deferred_message {
	uint64_t to;
	GBytes *bytes;
};

static void deferred_free(gpointer data)
{
	struct deferred_message *m = data;

	g_bytes_unref(m->bytes);
	g_free(m);
}

/** A proposal waiting to be applied. */
struct proposal {
	uint64_t index;
	uint64_t term;
	int64_t started_us;
	group_done_fn done;
	void *ctx;
};

/** What the storage thread does. */
enum storage_work {
	WORK_NONE,
	WORK_SYNC,
	WORK_SNAPSHOT, /* made by compact() */
};

/** The last message of a member. */
struct sender {
	uint32_t node;
	int64_t at_ms;
};

struct group {
	struct group_opts opts;
	struct storage *storage;
	struct raft *raft;
	struct state *state;
	uint64_t member;
	uint64_t incarnation;
	GPtrArray *deferred;	/* of struct deferred_message */
	GPtrArray *syncing;	/* the same, of the job that runs */
	enum storage_work work; /* of the job that runs */
	GBytes *snapshot;	/* being stored by it; NULL: none */
	uint64_t snapshot_at;	/* index of `snapshot` */
	int64_t job_began_us;
	GHashTable *proposals;	  /* index -> struct proposal */
	GHashTable *senders;	  /* member id -> struct sender */
	uint64_t refusals_logged; /* count of raft_refusals() at that line */
	int64_t refusal_line_ms;  /* time of the last line about them */
	uint64_t compacted_index; /* of the last snapshot, or attempt at one */
	uint64_t snapshot_bytes;  /* size of the last one made by compact() */
	bool failed;		  /* nothing is processed any more */
};

static int64_t now_ms(const struct group *group)
{
	return clock_now_ms(group->opts.clock);
}

static void request_wakeup(struct group *group)
{
	group->opts.events.wakeup(group->opts.events.ctx);
}

static void fail_group(struct group *group, enum rd_result code,
		       const char *why)
{
	if (group->failed)
		return;
	group->failed = true;
	group->opts.events.failed(group->opts.events.ctx, code, why);
}

static void fail_storage(struct group *group, enum rd_result code)
{
	fail_group(group, code, storage_error_text(group->storage));
}

static void fail_decoding(struct group *group, const char *what, uint64_t index)
{
	char *why = g_strdup_printf("%s %" PRIu64 " cannot be decoded", what,
				    index);

	fail_group(group, RD_FORMAT, why);
	g_free(why);
}

/* ---- callbacks of the consensus core ---- */

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct group *group = ctx;
	GBytes *bytes = CODEC_ENCODE(raft_message, message);
	struct deferred_message *deferred;

	if (!bytes) {
		counters_add(group->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
		log_error(&group_log,
			  "consensus message of kind %d not sent: it exceeds a "
			  "bound of its encoding",
			  (int)message->kind);
		return;
	}
	if (!after_sync) {
		group->opts.events.send(group->opts.events.ctx, message->to,
					bytes);
		g_bytes_unref(bytes);
		return;
	}
	deferred = g_new(struct deferred_message, 1);
	deferred->to = message->to;
	deferred->bytes = bytes;
	g_ptr_array_add(group->deferred, deferred);
}

static void on_hard_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct group *group = ctx;

	storage_put_hard_state(group->storage, term, vote);
	request_wakeup(group);
}

static void on_append(void *ctx, const struct raft_entry *entry)
{
	struct group *group = ctx;

	storage_put_entry(group->storage, entry);
	request_wakeup(group);
}

static void on_truncate(void *ctx, uint64_t from)
{
	struct group *group = ctx;

	storage_put_truncate(group->storage, from);
}

static void on_install(void *ctx, uint64_t index, uint64_t term,
		       const struct member_config *config, GBytes *data)
{
	struct group *group = ctx;
	struct stored_snapshot snapshot = {
		.index = index,
		.term = term,
		.config = *config,
	};
	gsize size;
	enum rd_result result;

	/* Stored only once it is known to be readable at the next start. */
	if (!state_load(group->state, data)) {
		fail_decoding(group, "snapshot at index", index);
		return;
	}
	snapshot.data.data_val = (char *)g_bytes_get_data(data, &size);
	snapshot.data.data_len = (u_int)size;
	result = storage_write_snapshot(group->storage, &snapshot, true);
	if (result) {
		fail_storage(group, result);
		return;
	}
	group->compacted_index = index;
	log_note(&group_log,
		 "installed snapshot at index %" PRIu64 ", %zu bytes", index,
		 (size_t)size);
	group->opts.events.state_replaced(group->opts.events.ctx);
}

static const char *role_name(enum raft_role role)
{
	static const char *const names[] = { "follower", "pre-candidate",
					     "candidate", "leader" };

	return names[role];
}

static void on_changed(void *ctx, enum raft_role role, uint64_t term,
		       uint64_t leader)
{
	struct group *group = ctx;

	if (leader)
		log_note(&group_log,
			 "role is %s in term %" PRIu64 ", leader is node %u",
			 role_name(role), term,
			 group->raft ? group_node_of(group, leader) : 0);
	else
		log_note(&group_log,
			 "role is %s in term %" PRIu64 ", no leader is known",
			 role_name(role), term);
	if (leader)
		counters_add(group->opts.counters, COUNTER_LEADER_CHANGES, 1);
	if (group->raft)
		group->opts.events.changed(group->opts.events.ctx);
}

/* ---- processing ---- */

static void finish_proposal(struct group *group, struct proposal *p,
			    enum rd_result code,
			    const struct apply_result *result)
{
	if (!code)
		counters_record_duration(group->opts.counters, HISTOGRAM_COMMIT,
					 clock_now_us(group->opts.clock) -
						 p->started_us);
	p->done(p->ctx, code, result);
	g_free(p);
}

static struct proposal *remove_proposal(struct group *group, uint64_t index)
{
	struct proposal *p = NULL;

	g_hash_table_steal_extended(group->proposals, &index, NULL,
				    (gpointer *)&p);
	return p;
}

/* Ends the proposal that a committed entry came from or replaced, if any. */
static void finish_committed(struct group *group,
			     const struct raft_entry *entry,
			     enum rd_result code,
			     const struct apply_result *result)
{
	struct proposal *p = remove_proposal(group, entry->index);

	if (p && p->term == entry->term)
		finish_proposal(group, p, code, result);
	else if (p)
		finish_proposal(group, p, RD_NOT_LEADER, NULL);
}

static void apply_command(struct group *group, const struct raft_entry *entry)
{
	struct command command = { 0 };
	struct apply_result result = { 0 };
	struct group_applied applied = { entry->index, &command, &result };

	if (!CODEC_DECODE(command, entry->data, &command)) {
		fail_decoding(group, "committed log entry", entry->index);
		finish_committed(group, entry, RD_CHANGE_UNKNOWN, NULL);
		return;
	}
	state_apply(group->state, entry->index, &command, &result);
	counters_add(group->opts.counters, COUNTER_APPLIED, 1);
	group->opts.events.applied(group->opts.events.ctx, &applied);
	finish_committed(group, entry, RD_OK, &result);
	state_result_clear(&result);
	CODEC_FREE(command, &command);
}

static void apply_committed(struct group *group)
{
	const struct raft_entry *entry;

	while (!group->failed && (entry = raft_next_committed(group->raft))) {
		if (entry->kind == RAFT_ENTRY_COMMAND) {
			apply_command(group, entry);
			continue;
		}
		if (entry->kind == RAFT_ENTRY_CONFIG)
			group->opts.events.changed(group->opts.events.ctx);
		/* Another leader's entry replaced a command proposed here. */
		struct proposal *p = remove_proposal(group, entry->index);

		if (p)
			finish_proposal(group, p, RD_NOT_LEADER, NULL);
	}
}

static void send_deferred(struct group *group, GPtrArray *deferred)
{
	for (guint i = 0; i < deferred->len; i++) {
		struct deferred_message *m = deferred->pdata[i];

		group->opts.events.send(group->opts.events.ctx, m->to,
					m->bytes);
	}
	g_ptr_array_set_size(deferred, 0);
}

/* ---- jobs of the storage ---- */

static void run_job(struct group *group, enum storage_work work)
{
	group->work = work;
	group->job_began_us = clock_now_us(group->opts.clock);
	if (group->opts.events.start_job) {
		group->opts.events.start_job(group->opts.events.ctx);
		return;
	}
	group_run_job(group);
	group_finish_job(group);
}

static void start_sync(struct group *group)
{
	GPtrArray *deferred = group->deferred;

	group->deferred = group->syncing;
	group->syncing = deferred;
	raft_begin_sync(group->raft);
	storage_begin_sync(group->storage);
	run_job(group, WORK_SYNC);
}

static void log_slow_sync(struct group *group, int64_t duration_us)
{
	if (duration_us >= group->opts.settings->cluster.election_ms * 1000)
		log_warn(&group_log, "sync of the log took %d ms",
			 (int)(duration_us / 1000));
}

static void finish_sync(struct group *group)
{
	int64_t duration_us = clock_now_us(group->opts.clock) -
			      group->job_began_us;

	counters_add(group->opts.counters, COUNTER_SYNCS, 1);
	counters_record_duration(group->opts.counters, HISTOGRAM_SYNC,
				 duration_us);
	log_slow_sync(group, duration_us);
	raft_synced(group->raft, now_ms(group));
	send_deferred(group, group->syncing);
}

static void finish_snapshot(struct group *group)
{
	/* A snapshot received meanwhile would have been refused. */
	raft_compact(group->raft, group->snapshot_at, group->snapshot);
	g_bytes_unref(group->snapshot);
	group->snapshot = NULL;
}

void group_run_job(struct group *group)
{
	storage_run_job(group->storage);
}

void group_finish_job(struct group *group)
{
	enum storage_work work = group->work;
	enum rd_result result = storage_end_job(group->storage);

	group->work = WORK_NONE;
	if (result)
		fail_storage(group, result);
	if (group->failed)
		return;
	if (work == WORK_SYNC)
		finish_sync(group);
	else
		finish_snapshot(group);
	request_wakeup(group);
}

static bool compaction_due(const struct group *group)
{
	uint64_t index = raft_applied_index(group->raft);

	if (index - group->compacted_index <
	    (uint64_t)group->opts.settings->limits.snapshot_entries)
		return false;
	/* Keeps the bytes written for snapshots in proportion to the log. */
	return storage_log_bytes(group->storage) >=
	       LOG_SNAPSHOT_RATIO * group->snapshot_bytes;
}

static void compact(struct group *group)
{
	uint64_t index = raft_applied_index(group->raft);
	struct stored_snapshot snapshot = {
		.index = index,
		.term = raft_term_at(group->raft, index),
		.config = *raft_config_at(group->raft, index),
	};
	GBytes *data = state_save(group->state, true);
	gsize size;

	group->compacted_index = index;
	if (!data) {
		counters_add(group->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
		log_error(&group_log, "state exceeds an encoding limit: "
				      "log not compacted");
		return;
	}
	snapshot.data.data_val = (char *)g_bytes_get_data(data, &size);
	snapshot.data.data_len = (u_int)size;
	group->snapshot_bytes = size;
	if (storage_begin_snapshot(group->storage, &snapshot, false)) {
		counters_add(group->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
		log_error(&group_log, "state is too large to store as a "
				      "snapshot: log not compacted");
		g_bytes_unref(data);
		return;
	}
	group->snapshot = data;
	group->snapshot_at = index;
	run_job(group, WORK_SNAPSHOT);
}

static void expire_proposals(struct group *group)
{
	int64_t limit = clock_now_us(group->opts.clock) -
			(int64_t)PROPOSAL_TIMEOUT_MS * 1000;
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, group->proposals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct proposal *p = value;

		if (p->started_us < limit) {
			g_hash_table_iter_steal(&iter);
			g_ptr_array_add(expired, p);
		}
	}
	for (guint i = 0; i < expired->len; i++)
		finish_proposal(group, expired->pdata[i], RD_CHANGE_UNKNOWN,
				NULL);
	g_ptr_array_unref(expired);
}

static bool is_idle(const struct group *group)
{
	return !group->failed && group->work == WORK_NONE;
}

static void start_due_sync(struct group *group)
{
	if (!is_idle(group))
		return;
	if (storage_dirty(group->storage)) {
		start_sync(group);
		return;
	}
	raft_begin_sync(group->raft);
	raft_synced(group->raft, now_ms(group));
	send_deferred(group, group->deferred);
}

void group_process(struct group *group)
{
	expire_proposals(group);
	if (group->failed)
		return;
	raft_tick(group->raft, now_ms(group));
	start_due_sync(group);
	apply_committed(group);
	if (is_idle(group) && compaction_due(group))
		compact(group);
	if (is_idle(group) &&
	    (storage_dirty(group->storage) || group->deferred->len))
		request_wakeup(group);
}

/* ---- creation and destruction ---- */

static void bootstrap_config(const struct daemon_settings *settings,
			     struct member_config *config)
{
	const GPtrArray *peers = settings->cluster.peers;

	config->members.members_val = calloc(peers->len, sizeof(struct member));
	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];
		struct member *m =
			&config->members
				 .members_val[config->members.members_len];

		if (!p->voter)
			continue;
		/* The ids of the first members are their node numbers. */
		m->id = (uint64_t)p->id;
		m->node = (uint32_t)p->id;
		m->voter = TRUE;
		m->address = strdup(p->address);
		m->data_centre = strdup(p->data_centre);
		config->members.members_len++;
	}
}

/* Log position of the snapshot that holds the list of first members. */
#define FIRST_MEMBERS_INDEX 1
#define FIRST_MEMBERS_TERM 1

/* Set in the ids of later members, so that none equals a node number. */
#define LATER_MEMBER_BIT (UINT64_C(1) << 63)

static uint64_t choose_member_id(const struct group_opts *opts)
{
	const struct peer_settings *self =
		daemon_settings_own_peer(opts->settings);

	if (opts->bootstrap && self->voter)
		return (uint64_t)self->id;
	return opts->new_member | LATER_MEMBER_BIT;
}

static enum rd_result open_storage(struct group *group,
				   struct storage_recovered *recovered,
				   char **why)
{
	const struct daemon_settings *settings = group->opts.settings;
	struct storage_opts opts = {
		.fs = group->opts.fs,
		.cluster = settings->cluster.name,
		.node = (uint32_t)settings->node.id,
		.new_member = choose_member_id(&group->opts),
		.incarnation_min = group->opts.incarnation_min,
		.segment_bytes = (uint32_t)settings->limits.segment_bytes,
	};

	return storage_open(&opts, &group->storage, recovered, why);
}

/*
 * The seeds may list other VMs at the next start, so bootstrap stores the list
 * of first members: all of them start from the same snapshot of an empty state.
 */
static enum rd_result store_first_members(struct group *group,
					  struct storage_recovered *recovered)
{
	struct stored_snapshot *snapshot = &recovered->snapshot;
	GBytes *empty_state;
	gsize size;
	const void *data;

	if (!group->opts.bootstrap || snapshot->index ||
	    recovered->entries->len || recovered->member & LATER_MEMBER_BIT ||
	    !daemon_settings_uses_seeds(group->opts.settings))
		return RD_OK;
	empty_state = state_save(group->state, true);
	data = g_bytes_get_data(empty_state, &size);
	snapshot->index = FIRST_MEMBERS_INDEX;
	snapshot->term = FIRST_MEMBERS_TERM;
	bootstrap_config(group->opts.settings, &snapshot->config);
	snapshot->data.data_val = malloc(size);
	memcpy(snapshot->data.data_val, data, size);
	snapshot->data.data_len = (u_int)size;
	g_bytes_unref(empty_state);
	return storage_write_snapshot(group->storage, snapshot, false);
}

static void create_raft(struct group *group,
			const struct storage_recovered *recovered)
{
	const struct daemon_settings *settings = group->opts.settings;
	const struct stored_snapshot *snapshot = &recovered->snapshot;
	struct member_config config = { 0 };
	struct raft_opts opts = {
		.id = recovered->member,
		.election_ms = (int32_t)settings->cluster.election_ms,
		.heartbeat_ms = (int32_t)settings->cluster.heartbeat_ms,
		.drift_permille = (int32_t)settings->cluster.drift_permille,
		.seed = group->opts.seed,
		.keep_entries = group->opts.keep_entries
					? group->opts.keep_entries
					: KEEP_ENTRIES,
		.callbacks = { on_send, on_hard_state, on_append, on_truncate,
			       on_install, on_changed, group },
		.now_ms = now_ms(group),
		.term = recovered->term,
		.vote = recovered->vote,
		.snapshot_index = snapshot->index,
		.snapshot_term = snapshot->term,
	};

	/*
	 * An id in the range of node numbers belongs to a first member, whose
	 * initial membership is that of the settings.
	 */
	if (!snapshot->index && recovered->member <= UINT16_MAX &&
	    !daemon_settings_uses_seeds(settings))
		bootstrap_config(settings, &config);
	opts.config = snapshot->index ? &snapshot->config : &config;
	if (snapshot->index)
		opts.snapshot = g_bytes_new(snapshot->data.data_val,
					    snapshot->data.data_len);
	group->raft = raft_create(&opts);
	if (opts.snapshot)
		g_bytes_unref(opts.snapshot);
	CODEC_FREE(member_config, &config);
	for (guint i = 0; i < recovered->entries->len; i++) {
		const struct raft_entry *e = recovered->entries->pdata[i];

		raft_restore_entry(group->raft, e->index, e->term, e->kind,
				   e->data);
	}
}

static bool restore_state(struct group *group,
			  const struct storage_recovered *recovered)
{
	const struct stored_snapshot *snapshot = &recovered->snapshot;
	GBytes *data;
	bool ok;

	group->compacted_index = snapshot->index;
	if (!snapshot->index)
		return true;
	data = g_bytes_new(snapshot->data.data_val, snapshot->data.data_len);
	ok = state_load(group->state, data);
	g_bytes_unref(data);
	return ok;
}

struct group *group_create(const struct group_opts *opts, enum rd_result *code,
			   char **why)
{
	struct group *group = g_new0(struct group, 1);
	struct storage_recovered recovered = { 0 };

	group->opts = *opts;
	group->deferred = g_ptr_array_new_with_free_func(deferred_free);
	group->syncing = g_ptr_array_new_with_free_func(deferred_free);
	group->proposals = g_hash_table_new(g_int64_hash, g_int64_equal);
	group->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	group->state = state_create();
	state_set_document_reader(group->state, &opts->documents);
	*code = open_storage(group, &recovered, why);
	if (!*code)
		*code = store_first_members(group, &recovered);
	if (*code)
		goto fail;
	if (!restore_state(group, &recovered)) {
		*code = RD_FORMAT;
		*why = g_strdup("stored snapshot: state cannot be decoded");
		storage_recovered_clear(&recovered);
		goto fail;
	}
	group->member = recovered.member;
	group->incarnation = recovered.incarnation;
	if (recovered.torn_bytes)
		log_warn(&group_log,
			 "truncated %" PRIu64 " bytes of an incomplete write "
			 "at the end of the log",
			 recovered.torn_bytes);
	create_raft(group, &recovered);
	log_note(&group_log,
		 "member %" PRIx64 " incarnation %" PRIu64 ": term %" PRIu64
		 ", snapshot at index %" PRIu64 ", %u log entries after it",
		 group->member, group->incarnation, recovered.term,
		 recovered.snapshot.index, recovered.entries->len);
	storage_recovered_clear(&recovered);
	return group;
fail:
	group_destroy(group);
	return NULL;
}

static void fail_pending_proposals(struct group *group)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, group->proposals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct proposal *p = value;

		p->done(p->ctx, RD_CHANGE_UNKNOWN, NULL);
		g_free(p);
	}
	g_hash_table_unref(group->proposals);
}

void group_destroy(struct group *group)
{
	if (!group)
		return;
	fail_pending_proposals(group);
	g_ptr_array_unref(group->deferred);
	g_ptr_array_unref(group->syncing);
	if (group->snapshot)
		g_bytes_unref(group->snapshot);
	g_hash_table_unref(group->senders);
	raft_destroy(group->raft);
	state_destroy(group->state);
	storage_close(group->storage);
	g_free(group);
}

/* ---- inputs ---- */

static void record_sender(struct group *group, uint64_t member, uint32_t node)
{
	struct sender sender = { node, now_ms(group) };

	g_hash_table_replace(group->senders, g_memdup2(&member, sizeof(member)),
			     g_memdup2(&sender, sizeof(sender)));
}

static void log_refusals(struct group *group)
{
	static const char *const reasons[] = {
		[RAFT_REFUSAL_NONE] = "none",	[RAFT_REFUSAL_TERM] = "term",
		[RAFT_REFUSAL_LEASE] = "lease", [RAFT_REFUSAL_VOTED] = "voted",
		[RAFT_REFUSAL_LOG] = "log",
	};
	const struct raft_refusals *r = raft_refusals(group->raft);
	int64_t now = now_ms(group);

	if (r->count == group->refusals_logged ||
	    now - group->refusal_line_ms < REFUSAL_LINE_INTERVAL_MS)
		return;
	log_info(&group_log,
		 "vote refused candidate=%u reason=%s refusals=%d term=%d "
		 "last_index=%d",
		 group_node_of(group, r->candidate), reasons[r->last],
		 (int)(r->count - group->refusals_logged),
		 (int)raft_term(group->raft),
		 (int)raft_last_index(group->raft));
	group->refusals_logged = r->count;
	group->refusal_line_ms = now;
}

bool group_receive(struct group *group, uint32_t node, const void *data,
		   size_t size)
{
	struct raft_message message = { 0 };

	if (!codec_decode((xdrproc_t)xdr_raft_message, data, size, &message))
		return false;
	record_sender(group, message.from, node);
	/* A snapshot is stored at once, which the storage's job excludes. */
	if (is_idle(group) || (!group->failed && message.kind != RAFT_SNAPSHOT))
		raft_step(group->raft, now_ms(group), &message);
	log_refusals(group);
	CODEC_FREE(raft_message, &message);
	request_wakeup(group);
	return true;
}

/* A command that no member could read would end all of them once committed. */
static bool is_readable(GBytes *bytes)
{
	struct command command = { 0 };

	if (!bytes || !CODEC_DECODE(command, bytes, &command))
		return false;
	CODEC_FREE(command, &command);
	return true;
}

static enum rd_result propose(struct group *group, GBytes *command,
			      uint64_t *index)
{
	if (group->failed)
		return RD_IO;
	if (raft_role(group->raft) != RAFT_LEADER)
		return RD_NOT_LEADER;
	if (!is_readable(command)) {
		counters_add(group->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
		log_error(&group_log, "a command that cannot be encoded or "
				      "decoded was not proposed");
		return RD_TOO_LARGE;
	}
	return raft_propose(group->raft, now_ms(group), command, index);
}

void group_propose(struct group *group, GBytes *command, group_done_fn done,
		   void *ctx)
{
	struct proposal *p, *superseded;
	uint64_t index = 0;
	enum rd_result result = propose(group, command, &index);

	if (result) {
		done(ctx, result, NULL);
		return;
	}
	counters_add(group->opts.counters, COUNTER_PROPOSALS, 1);
	p = g_new0(struct proposal, 1);
	p->index = index;
	p->term = raft_term(group->raft);
	p->started_us = clock_now_us(group->opts.clock);
	p->done = done;
	p->ctx = ctx;
	/*
	 * The log entry of a pending proposal at this index was truncated here,
	 * but another member may still hold it and commit it as the leader.
	 */
	superseded = remove_proposal(group, index);
	if (superseded)
		finish_proposal(group, superseded, RD_CHANGE_UNKNOWN, NULL);
	g_hash_table_insert(group->proposals, &p->index, p);
	request_wakeup(group);
}

enum rd_result group_propose_config(struct group *group,
				    const struct member_config *config)
{
	uint64_t index;
	enum rd_result result;

	if (group->failed)
		return RD_IO;
	result = raft_propose_config(group->raft, now_ms(group), config,
				     &index);
	request_wakeup(group);
	return result;
}

void group_transfer_leadership(struct group *group)
{
	(void)raft_transfer_leadership(group->raft, now_ms(group));
	request_wakeup(group);
}

/* ---- queries ---- */

bool group_failed(const struct group *group)
{
	return group->failed;
}

bool group_has_proposals(const struct group *group)
{
	return g_hash_table_size(group->proposals) > 0;
}

bool group_has_deferred(const struct group *group)
{
	return !group->failed && (group->deferred->len || group->syncing->len);
}

const struct raft *group_raft(const struct group *group)
{
	return group->raft;
}

const struct state *group_state(const struct group *group)
{
	return group->state;
}

uint64_t group_member_id(const struct group *group)
{
	return group->member;
}

uint64_t group_incarnation(const struct group *group)
{
	return group->incarnation;
}

bool group_is_ready_leader(const struct group *group)
{
	const struct raft *raft = group->raft;

	/*
	 * Once an entry of its own term is applied, everything that earlier
	 * leaders committed is applied too. Entries committed but not applied
	 * yet have not been acknowledged to any client.
	 */
	return !group->failed && raft_committed_in_term(raft) &&
	       raft_term_at(raft, raft_applied_index(raft)) ==
		       raft_term(raft) &&
	       raft_lease_valid(raft, now_ms(group));
}

uint32_t group_node_of(const struct group *group, uint64_t member)
{
	const struct member_config *config = raft_config(group->raft);
	const struct sender *sender;

	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == member)
			return config->members.members_val[i].node;
	sender = g_hash_table_lookup(group->senders, &member);
	return sender ? sender->node : 0;
}

int64_t group_heard_ms(const struct group *group, uint64_t member)
{
	const struct sender *sender = g_hash_table_lookup(group->senders,
							  &member);

	return sender ? sender->at_ms : 0;
}

uint64_t group_log_bytes(const struct group *group)
{
	return storage_log_bytes(group->storage);
}
