#include <string.h>

#include "consensus/raft_internal.h"
#include "wire/codec.h"

/* The first election timeout of a new group is shorter by this factor. */
#define FIRST_ELECTION_DIVISOR 8

#define UNCOMMITTED_MAX 16384u

const struct member_config *raft_latest_config(const struct raft *raft)
{
	return &log_config_at(&raft->log, log_last(&raft->log))->config;
}

bool raft_is_voter(const struct member_config *config, uint64_t id)
{
	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id == id)
			return config->members.members_val[i].voter;
	return false;
}

int raft_voter_count(const struct member_config *config)
{
	int count = 0;

	for (u_int i = 0; i < config->members.members_len; i++)
		count += config->members.members_val[i].voter ? 1 : 0;
	return count;
}

bool raft_at_term_zero(const struct raft *raft)
{
	return raft->term == 0;
}

void raft_reset_election_timer(struct raft *raft, int64_t now_ms)
{
	int32_t least = raft->election_ms;

	/* There has been no leader yet that an early election could disrupt. */
	if (raft_at_term_zero(raft))
		least = MAX(raft->election_ms / FIRST_ELECTION_DIVISOR, 1);
	raft->election_deadline_ms =
		now_ms + g_rand_int_range(raft->random, least,
					  least + MAX(least / 2, 1));
}

void raft_send(struct raft *raft, struct raft_message *message, bool after_sync)
{
	message->from = raft->id;
	raft->callbacks.send(raft->callbacks.ctx, message, after_sync);
}

void raft_set_term(struct raft *raft, uint64_t term, uint64_t vote)
{
	if (raft->term == term && raft->vote == vote)
		return;
	raft->term = term;
	raft->vote = vote;
	raft->callbacks.save_hard_state(raft->callbacks.ctx, term, vote);
}

void raft_set_role(struct raft *raft, enum raft_role role, uint64_t leader)
{
	if (raft->role == role && raft->leader == leader)
		return;
	raft->role = role;
	raft->leader = leader;
	raft->callbacks.role_changed(raft->callbacks.ctx, role, raft->term,
				     leader);
}

void raft_become_follower(struct raft *raft, int64_t now_ms, uint64_t term,
			  uint64_t leader)
{
	if (term > raft->term)
		raft_set_term(raft, term, 0);
	raft->transferring = false;
	raft_set_role(raft, RAFT_FOLLOWER, leader);
	raft_reset_election_timer(raft, now_ms);
}

struct raft *raft_create(const struct raft_opts *opts)
{
	struct raft *raft = g_new0(struct raft, 1);

	raft->id = opts->id;
	raft->callbacks = opts->callbacks;
	raft->election_ms = opts->election_ms;
	raft->heartbeat_ms = opts->heartbeat_ms;
	raft->drift_permille = opts->drift_permille;
	raft->keep_entries = opts->keep_entries;
	raft->random = g_rand_new_with_seed(opts->seed);
	raft->term = opts->term;
	raft->vote = opts->vote;
	raft->role = RAFT_FOLLOWER;
	log_init(&raft->log, opts->snapshot_index, opts->snapshot_term,
		 opts->config);
	raft->commit = raft->applied = raft->synced = opts->snapshot_index;
	raft->syncing = raft->synced;
	raft->durable_term = raft->syncing_term = raft->term;
	raft->snapshot_index = opts->snapshot_index;
	raft->snapshot_term = opts->snapshot_term;
	CODEC_COPY(member_config, opts->config, &raft->snapshot_config);
	if (opts->snapshot)
		raft->snapshot = g_bytes_ref(opts->snapshot);
	raft->votes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    NULL);
	raft->denials = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	raft->progress = g_array_new(FALSE, TRUE, sizeof(struct progress));
	/*
	 * Before the restart this member may have acknowledged a leader, whose
	 * lease counts on it to grant no vote for an election timeout.
	 */
	raft->leader_contact_ms = opts->now_ms;
	raft_reset_election_timer(raft, opts->now_ms);
	return raft;
}

void raft_destroy(struct raft *raft)
{
	if (!raft)
		return;
	log_clear(&raft->log);
	g_rand_free(raft->random);
	g_hash_table_unref(raft->votes);
	g_hash_table_unref(raft->denials);
	g_array_unref(raft->progress);
	CODEC_FREE(member_config, &raft->snapshot_config);
	if (raft->snapshot)
		g_bytes_unref(raft->snapshot);
	if (raft->incoming.data)
		g_byte_array_unref(raft->incoming.data);
	g_free(raft);
}

void raft_restore_entry(struct raft *raft, uint64_t index, uint64_t term,
			raft_entry_kind kind, GBytes *data)
{
	if (index <= raft->log.base)
		return;
	g_assert(index == log_last(&raft->log) + 1);
	log_append(&raft->log, term, kind, data);
	raft->synced = raft->syncing = index;
}

void raft_tick(struct raft *raft, int64_t now_ms)
{
	if (raft->role == RAFT_LEADER)
		raft_leader_tick(raft, now_ms);
	else if (now_ms >= raft->election_deadline_ms)
		raft_campaign(raft, now_ms, true, false);
}

static void take_over(struct raft *raft, int64_t now_ms, uint64_t from)
{
	raft->handed_by = from;
	raft->handed_ms = now_ms;
	raft_campaign(raft, now_ms, false, true);
}

static void handle_leader_message(struct raft *raft, int64_t now_ms,
				  const struct raft_message *message)
{
	raft_become_follower(raft, now_ms, message->term, message->from);
	raft->leader_contact_ms = now_ms;
	if (message->kind == RAFT_APPEND)
		raft_on_append(raft, now_ms, message);
	else if (message->kind == RAFT_SNAPSHOT)
		raft_on_snapshot(raft, now_ms, message);
	else
		take_over(raft, now_ms, message->from);
}

static void reject_stale_term(struct raft *raft,
			      const struct raft_message *message)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY,
		.to = message->from,
		.term = raft->term,
	};

	raft_send(raft, &reply, true);
}

static void handle_follower_reply(struct raft *raft, int64_t now_ms,
				  const struct raft_message *message)
{
	if (message->term > raft->term) {
		raft_become_follower(raft, now_ms, message->term, 0);
		return;
	}
	if (raft->role != RAFT_LEADER || message->term < raft->term)
		return;
	if (message->kind == RAFT_APPEND_REPLY)
		raft_on_append_reply(raft, now_ms, message);
	else
		raft_on_snapshot_reply(raft, now_ms, message);
}

void raft_step(struct raft *raft, int64_t now_ms,
	       const struct raft_message *message)
{
	/* Addressed to another data folder, perhaps a former one of this VM. */
	if (message->to != raft->id)
		return;
	switch (message->kind) {
	case RAFT_PRE_VOTE:
	case RAFT_VOTE:
		raft_on_vote(raft, now_ms, message);
		break;
	case RAFT_PRE_VOTE_REPLY:
	case RAFT_VOTE_REPLY:
		raft_on_vote_reply(raft, now_ms, message);
		break;
	case RAFT_APPEND:
	case RAFT_SNAPSHOT:
	case RAFT_TIMEOUT_NOW:
		if (message->term < raft->term)
			reject_stale_term(raft, message);
		else
			handle_leader_message(raft, now_ms, message);
		break;
	case RAFT_APPEND_REPLY:
	case RAFT_SNAPSHOT_REPLY:
		handle_follower_reply(raft, now_ms, message);
		break;
	}
}

static enum rd_result append_as_leader(struct raft *raft, int64_t now_ms,
				       raft_entry_kind kind, GBytes *data,
				       uint64_t *index)
{
	struct raft_entry *entry;

	g_assert(data);
	if (raft->role != RAFT_LEADER || raft->transferring)
		return RD_NOT_LEADER;
	if (log_last(&raft->log) - raft->commit >= UNCOMMITTED_MAX)
		return RD_OVERLOADED;
	entry = log_append(&raft->log, raft->term, kind, data);
	*index = entry->index;
	raft->callbacks.append(raft->callbacks.ctx, entry);
	if (kind == RAFT_ENTRY_CONFIG)
		raft_rebuild_progress(raft, now_ms);
	raft_broadcast(raft, now_ms, false);
	return RD_OK;
}

enum rd_result raft_propose(struct raft *raft, int64_t now_ms, GBytes *data,
			    uint64_t *index)
{
	return append_as_leader(raft, now_ms, RAFT_ENTRY_COMMAND, data, index);
}

static int count_missing_voters(const struct member_config *from,
				const struct member_config *in)
{
	int missing = 0;

	for (u_int i = 0; i < from->members.members_len; i++) {
		const struct member *m = &from->members.members_val[i];

		if (m->voter && !raft_is_voter(in, m->id))
			missing++;
	}
	return missing;
}

enum rd_result raft_propose_config(struct raft *raft, int64_t now_ms,
				   const struct member_config *config,
				   uint64_t *index)
{
	const struct log_config *last = log_config_at(&raft->log,
						      log_last(&raft->log));
	GBytes *data;
	enum rd_result result;

	if (raft->role != RAFT_LEADER)
		return RD_NOT_LEADER;
	if (last->index > raft->commit || !raft_committed_in_term(raft))
		return RD_CHANGE_PENDING;
	/*
	 * Majorities of the old and the new configuration must overlap, which
	 * holds if at most one voter differs.
	 */
	if (count_missing_voters(config, &last->config) +
			    count_missing_voters(&last->config, config) >
		    1 ||
	    raft_voter_count(config) == 0)
		return RD_INVALID;
	data = CODEC_ENCODE(member_config, config);
	if (!data)
		return RD_TOO_LARGE;
	result = append_as_leader(raft, now_ms, RAFT_ENTRY_CONFIG, data, index);
	g_bytes_unref(data);
	return result;
}

enum rd_result raft_transfer_leadership(struct raft *raft, int64_t now_ms)
{
	if (raft->role != RAFT_LEADER)
		return RD_NOT_LEADER;
	if (raft->transferring)
		return RD_OK;
	raft->transferring = true;
	raft->transfer_started_ms = now_ms;
	raft->transfer_deadline_ms = now_ms + raft->election_ms;
	raft_broadcast(raft, now_ms, true);
	return RD_OK;
}

void raft_begin_sync(struct raft *raft)
{
	raft->syncing = log_last(&raft->log);
	raft->syncing_term = raft->term;
}

void raft_synced(struct raft *raft, int64_t now_ms)
{
	raft->synced = raft->syncing;
	raft->durable_term = raft->syncing_term;
	if (raft->durable_term == raft->term)
		raft_on_vote_synced(raft, now_ms);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft, now_ms);
}

const struct raft_entry *raft_next_committed(struct raft *raft)
{
	if (raft->applied >= raft->commit)
		return NULL;
	return log_get(&raft->log, ++raft->applied);
}

void raft_compact(struct raft *raft, uint64_t index, GBytes *snapshot)
{
	uint64_t keep = (uint64_t)raft->keep_entries;

	g_assert(index <= raft->applied && index >= raft->snapshot_index);
	raft->snapshot_term = log_term(&raft->log, index);
	raft->snapshot_index = index;
	CODEC_FREE(member_config, &raft->snapshot_config);
	CODEC_COPY(member_config, raft_config_at(raft, index),
		   &raft->snapshot_config);
	if (raft->snapshot)
		g_bytes_unref(raft->snapshot);
	raft->snapshot = g_bytes_ref(snapshot);
	if (index > keep)
		log_compact(&raft->log, index - keep);
}

enum raft_role raft_role(const struct raft *raft)
{
	return raft->role;
}

uint64_t raft_term(const struct raft *raft)
{
	return raft->term;
}

uint64_t raft_leader(const struct raft *raft)
{
	return raft->leader;
}

uint64_t raft_commit_index(const struct raft *raft)
{
	return raft->commit;
}

uint64_t raft_applied_index(const struct raft *raft)
{
	return raft->applied;
}

uint64_t raft_last_index(const struct raft *raft)
{
	return log_last(&raft->log);
}

uint64_t raft_first_index(const struct raft *raft)
{
	return raft->log.base + 1;
}

const struct member_config *raft_config(const struct raft *raft)
{
	return raft_latest_config(raft);
}

const struct member_config *raft_config_at(const struct raft *raft,
					   uint64_t index)
{
	return &log_config_at(&raft->log, index)->config;
}

uint64_t raft_term_at(const struct raft *raft, uint64_t index)
{
	return log_term(&raft->log, index);
}
