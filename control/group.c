#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "control/group.h"
#include "storage/storage.h"
#include "wire/codec.h"

#define PROPOSAL_LIMIT_MS 5000
#define KEEP_ENTRIES 1024
/* The log may grow to this many times the state before it is compacted. */
#define LOG_PER_IMAGE 4

static const struct log group_log = { "group" };

/** A message held back until the next sync. */
struct held {
	uint64_t to;
	GBytes *bytes;
};

/** A proposal waiting to be applied. */
struct proposal {
	uint64_t index;
	uint64_t term;
	int64_t started_us;
	group_done_fn done;
	void *ctx;
};

struct group {
	struct group_opts opts;
	struct storage *storage;
	struct raft *raft;
	struct state *state;
	uint64_t member;
	uint64_t incarnation;
	GPtrArray *held;       /* of struct held */
	GHashTable *proposals; /* index -> struct proposal */
	GHashTable *heard;     /* member id -> node it was heard from */
	uint64_t compacted;
	uint64_t image_bytes; /* of the last snapshot */
	bool failed;
};

static int64_t now_ms(const struct group *group)
{
	return clock_now_ms(group->opts.clock);
}

static void request_processing(struct group *group)
{
	group->opts.events.wakeup(group->opts.events.ctx);
}

static void fail(struct group *group, enum rd_result code)
{
	if (group->failed)
		return;
	group->failed = true;
	group->opts.events.failed(group->opts.events.ctx, code,
				  storage_failure(group->storage));
}

/* ---- the core's effects ---- */

static void on_send(void *ctx, const struct raft_message *message,
		    bool after_sync)
{
	struct group *group = ctx;
	GBytes *bytes = CODEC_ENCODE(raft_message, message);
	struct held *held;

	if (!bytes)
		return;
	if (!after_sync) {
		group->opts.events.send(group->opts.events.ctx, message->to,
					bytes);
		g_bytes_unref(bytes);
		return;
	}
	held = g_new(struct held, 1);
	held->to = message->to;
	held->bytes = bytes;
	g_ptr_array_add(group->held, held);
}

static void on_hard_state(void *ctx, uint64_t term, uint64_t vote)
{
	struct group *group = ctx;

	storage_put_state(group->storage, term, vote);
	request_processing(group);
}

static void on_append(void *ctx, const struct raft_entry *entry)
{
	struct group *group = ctx;

	storage_put_entry(group->storage, entry);
	request_processing(group);
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

	snapshot.data.data_val = (char *)g_bytes_get_data(data, &size);
	snapshot.data.data_len = (u_int)size;
	result = storage_snapshot(group->storage, &snapshot, true);
	if (result) {
		fail(group, result);
		return;
	}
	if (!state_load(group->state, data)) {
		log_error(&group_log, "snapshot %" PRIu64 " cannot be decoded",
			  index);
		fail(group, RD_FORMAT);
		return;
	}
	group->compacted = index;
	log_note(&group_log, "took snapshot at index %" PRIu64 ", %zu bytes",
		 index, (size_t)size);
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

	log_note(&group_log, "now %s in term %" PRIu64 ", leader is node %u",
		 role_name(role), term,
		 group->raft ? group_node_of(group, leader) : 0);
	if (leader)
		counters_add(group->opts.counters, COUNTER_ELECTIONS, 1);
	if (group->raft)
		group->opts.events.changed(group->opts.events.ctx);
}

/* ---- turns ---- */

static void finish_proposal(struct group *group, struct proposal *p,
			    enum rd_result code,
			    const struct apply_result *result)
{
	if (!code)
		counters_time(group->opts.counters, HISTOGRAM_COMMIT,
			      clock_now_us(group->opts.clock) - p->started_us);
	p->done(p->ctx, code, result);
	g_free(p);
}

static struct proposal *take_proposal(struct group *group, uint64_t index)
{
	struct proposal *p = NULL;

	g_hash_table_steal_extended(group->proposals, &index, NULL,
				    (gpointer *)&p);
	return p;
}

static void apply_command(struct group *group, const struct raft_entry *entry)
{
	struct proposal *p = take_proposal(group, entry->index);
	struct command command = { 0 };
	struct apply_result result = { 0 };
	struct group_applied applied = { entry->index, &command, &result };

	if (!CODEC_DECODE(command, entry->data, &command)) {
		log_error(&group_log, "entry %" PRIu64 " cannot be decoded",
			  entry->index);
		fail(group, RD_FORMAT);
		g_free(p);
		return;
	}
	state_apply(group->state, entry->index, &command, &result);
	counters_add(group->opts.counters, COUNTER_APPLIED, 1);
	group->opts.events.applied(group->opts.events.ctx, &applied);
	if (p && p->term == entry->term)
		finish_proposal(group, p, RD_OK, &result);
	else if (p)
		finish_proposal(group, p, RD_NOT_LEADER, NULL);
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
		/* Another leader's entry stands where ours was proposed. */
		struct proposal *p = take_proposal(group, entry->index);

		if (p)
			finish_proposal(group, p, RD_NOT_LEADER, NULL);
	}
}

static void compact(struct group *group)
{
	uint64_t index = raft_applied(group->raft);
	struct stored_snapshot snapshot = { 0 };
	GBytes *data;
	gsize size;
	enum rd_result result;

	if (index - group->compacted <
	    (uint64_t)group->opts.settings->limits.snapshot_entries)
		return;
	/* A large state is written in proportion to what changed. */
	if (storage_log_bytes(group->storage) <
	    LOG_PER_IMAGE * group->image_bytes)
		return;
	data = state_save(group->state, true);
	if (!data) {
		log_error(&group_log, "the state exceeds a bound of its image");
		group->compacted = index;
		return;
	}
	snapshot.index = index;
	snapshot.term = raft_term_at(group->raft, index);
	snapshot.config = *raft_config_at(group->raft, index);
	snapshot.data.data_val = (char *)g_bytes_get_data(data, &size);
	snapshot.data.data_len = (u_int)size;
	result = storage_snapshot(group->storage, &snapshot, false);
	if (result == RD_TOO_LARGE)
		log_error(&group_log, "the state is too large for a snapshot");
	else if (result)
		fail(group, result);
	else
		raft_compact(group->raft, index, data);
	group->compacted = index;
	group->image_bytes = size;
	g_bytes_unref(data);
}

static bool sync_storage(struct group *group)
{
	int64_t started = clock_now_us(group->opts.clock);
	enum rd_result result;

	if (!storage_dirty(group->storage))
		return true;
	result = storage_sync(group->storage);
	counters_add(group->opts.counters, COUNTER_SYNCS, 1);
	counters_time(group->opts.counters, HISTOGRAM_SYNC,
		      clock_now_us(group->opts.clock) - started);
	if (result)
		fail(group, result);
	return !result;
}

static void release_held(struct group *group)
{
	GPtrArray *held = group->held;

	group->held = g_ptr_array_new();
	for (guint i = 0; i < held->len; i++) {
		struct held *h = held->pdata[i];

		group->opts.events.send(group->opts.events.ctx, h->to,
					h->bytes);
		g_bytes_unref(h->bytes);
		g_free(h);
	}
	g_ptr_array_unref(held);
}

static void drop_old_proposals(struct group *group)
{
	int64_t limit = clock_now_us(group->opts.clock) -
			(int64_t)PROPOSAL_LIMIT_MS * 1000;
	GPtrArray *old = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, group->proposals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct proposal *p = value;

		if (p->started_us < limit) {
			g_hash_table_iter_steal(&iter);
			g_ptr_array_add(old, p);
		}
	}
	for (guint i = 0; i < old->len; i++)
		finish_proposal(group, old->pdata[i], RD_CHANGE_UNKNOWN, NULL);
	g_ptr_array_unref(old);
}

void group_process(struct group *group)
{
	if (group->failed)
		return;
	drop_old_proposals(group);
	raft_tick(group->raft, now_ms(group));
	if (!sync_storage(group))
		return;
	raft_synced(group->raft, now_ms(group));
	release_held(group);
	apply_committed(group);
	if (!group->failed)
		compact(group);
	if (!group->failed &&
	    (storage_dirty(group->storage) || group->held->len))
		request_processing(group);
}

/* ---- life ---- */

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
		/* The first members' ids are their node numbers. */
		m->id = (uint64_t)p->id;
		m->node = (uint32_t)p->id;
		m->voter = TRUE;
		m->address = strdup(p->peers);
		m->data_centre = strdup(p->data_centre);
		config->members.members_len++;
	}
}

/* Where the stored list of first members stands in the log. */
#define FIRST_INDEX 1
#define FIRST_TERM 1

/* Ids of later members stand above every node number. */
#define LATER_MEMBER (UINT64_C(1) << 63)

static uint64_t fresh_member_id(const struct group_opts *opts)
{
	const struct peer_settings *self = daemon_settings_self(opts->settings);

	if (opts->bootstrap && self->voter)
		return (uint64_t)self->id;
	return opts->new_member | LATER_MEMBER;
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
		.new_member = fresh_member_id(&group->opts),
		.segment_bytes = (uint32_t)settings->limits.segment_bytes,
	};

	return storage_open(&opts, &group->storage, recovered, why);
}

/*
 * Seeds may name other VMs at the next start, so the first members are stored:
 * each of them begins from the same snapshot of an empty state.
 */
static enum rd_result store_first_members(struct group *group,
					  struct storage_recovered *recovered)
{
	struct stored_snapshot *snapshot = &recovered->snapshot;
	GBytes *image;
	gsize size;
	const void *data;

	if (!group->opts.bootstrap || snapshot->index ||
	    recovered->entries->len || recovered->member & LATER_MEMBER ||
	    !daemon_settings_discovers(group->opts.settings))
		return RD_OK;
	image = state_save(group->state, true);
	data = g_bytes_get_data(image, &size);
	snapshot->index = FIRST_INDEX;
	snapshot->term = FIRST_TERM;
	bootstrap_config(group->opts.settings, &snapshot->config);
	snapshot->data.data_val = malloc(size);
	memcpy(snapshot->data.data_val, data, size);
	snapshot->data.data_len = (u_int)size;
	g_bytes_unref(image);
	return storage_snapshot(group->storage, snapshot, false);
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
		.effects = { on_send, on_hard_state, on_append, on_truncate,
			     on_install, on_changed, group },
		.now_ms = now_ms(group),
		.term = recovered->term,
		.vote = recovered->vote,
		.snapshot_index = snapshot->index,
		.snapshot_term = snapshot->term,
	};

	/* A member with a first member's id was made from these settings. */
	if (!snapshot->index && recovered->member <= UINT16_MAX &&
	    !daemon_settings_discovers(settings))
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

		raft_restore(group->raft, e->index, e->term, e->kind, e->data);
	}
}

static bool restore_state(struct group *group,
			  const struct storage_recovered *recovered)
{
	const struct stored_snapshot *snapshot = &recovered->snapshot;
	GBytes *data;
	bool ok;

	group->compacted = snapshot->index;
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
	group->held = g_ptr_array_new();
	group->proposals = g_hash_table_new(g_int64_hash, g_int64_equal);
	group->heard = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, NULL);
	group->state = state_create();
	*code = open_storage(group, &recovered, why);
	if (!*code)
		*code = store_first_members(group, &recovered);
	if (*code)
		goto fail;
	if (!restore_state(group, &recovered)) {
		*code = RD_FORMAT;
		*why = g_strdup("snapshot: state cannot be decoded");
		storage_recovered_clear(&recovered);
		goto fail;
	}
	group->member = recovered.member;
	group->incarnation = recovered.incarnation;
	if (recovered.torn_bytes)
		log_warn(&group_log,
			 "cut %" PRIu64 " bytes of an unfinished write",
			 recovered.torn_bytes);
	create_raft(group, &recovered);
	log_note(&group_log,
		 "member %" PRIx64 " start %" PRIu64 ": term %" PRIu64
		 ", snapshot at %" PRIu64 ", %u entries behind it",
		 group->member, group->incarnation, recovered.term,
		 recovered.snapshot.index, recovered.entries->len);
	storage_recovered_clear(&recovered);
	return group;
fail:
	group_destroy(group);
	return NULL;
}

static void abandon_proposals(struct group *group)
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
	abandon_proposals(group);
	for (guint i = 0; i < group->held->len; i++) {
		struct held *h = group->held->pdata[i];

		g_bytes_unref(h->bytes);
		g_free(h);
	}
	g_ptr_array_unref(group->held);
	g_hash_table_unref(group->heard);
	raft_destroy(group->raft);
	state_destroy(group->state);
	storage_close(group->storage);
	g_free(group);
}

/* ---- inputs ---- */

bool group_receive(struct group *group, uint32_t node, const void *data,
		   size_t size)
{
	struct raft_message message = { 0 };

	if (!codec_decode((xdrproc_t)xdr_raft_message, data, size, &message))
		return false;
	g_hash_table_replace(group->heard,
			     g_memdup2(&message.from, sizeof(message.from)),
			     GUINT_TO_POINTER(node));
	if (!group->failed)
		raft_step(group->raft, now_ms(group), &message);
	CODEC_FREE(raft_message, &message);
	request_processing(group);
	return true;
}

void group_propose(struct group *group, GBytes *command, group_done_fn done,
		   void *ctx)
{
	enum rd_result result = RD_IO;
	struct proposal *p, *earlier;
	uint64_t index = 0;

	if (!group->failed)
		result = raft_propose(group->raft, now_ms(group), command,
				      &index);
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
	/* An index comes up twice only if its first entry was cut off. */
	earlier = take_proposal(group, index);
	if (earlier)
		finish_proposal(group, earlier, RD_NOT_LEADER, NULL);
	g_hash_table_insert(group->proposals, &p->index, p);
	request_processing(group);
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
	request_processing(group);
	return result;
}

void group_transfer_leadership(struct group *group)
{
	(void)raft_transfer(group->raft, now_ms(group));
	request_processing(group);
}

/* ---- queries ---- */

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
	 * An applied entry of the own term means that all that earlier leaders
	 * committed is applied too. What is committed and not applied yet has
	 * not been answered to anybody.
	 */
	return !group->failed && raft_leader_settled(raft) &&
	       raft_term_at(raft, raft_applied(raft)) == raft_term(raft) &&
	       raft_lease_valid(raft, now_ms(group));
}

uint32_t group_node_of(const struct group *group, uint64_t member)
{
	const struct member_config *config = raft_config(group->raft);

	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == member)
			return config->members.members_val[i].node;
	return GPOINTER_TO_UINT(g_hash_table_lookup(group->heard, &member));
}

uint64_t group_log_bytes(const struct group *group)
{
	return storage_log_bytes(group->storage);
}
