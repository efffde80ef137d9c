/* Leader: replication, commit index, leader lease and leadership transfer. */
#include <string.h>

#include "consensus/raft_internal.h"
#include "wire/codec.h"

#define BATCH_ENTRIES 256u
#define BATCH_BYTES (256u * 1024)
#define UNACKED_ENTRIES_MAX 8192u
#define SNAPSHOT_CHUNK_BYTES (256u * 1024)
/* A snapshot chunk without a reply is sent again after this many heartbeats. */
#define CHUNK_RETRY_HEARTBEATS 5
/* Longer than the rest of a stop, shorter than a restart and another stop. */
#define HANDED_OVER_ELECTIONS 4

struct progress *raft_find_progress(const struct raft *raft, uint64_t id)
{
	for (guint i = 0; i < raft->progress->len; i++) {
		struct progress *p = &g_array_index(raft->progress,
						    struct progress, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

/* Matches the progress records to the members of the latest configuration. */
void raft_rebuild_progress(struct raft *raft, int64_t now_ms)
{
	const struct member_config *config = raft_latest_config(raft);
	GArray *rebuilt = g_array_new(FALSE, TRUE, sizeof(struct progress));

	for (u_int i = 0; i < config->members.members_len; i++) {
		uint64_t id = config->members.members_val[i].id;
		struct progress *old = raft_find_progress(raft, id);
		struct progress added = {
			.id = id,
			.mode = PROGRESS_PROBE,
			.next = log_last(&raft->log) + 1,
			.last_reply_ms = now_ms,
		};

		if (id != raft->id)
			g_array_append_val(rebuilt, *(old ? old : &added));
	}
	g_array_unref(raft->progress);
	raft->progress = rebuilt;
}

static u_int batch_size(const struct raft *raft, uint64_t next)
{
	uint64_t last = log_last(&raft->log);
	size_t bytes = 0;
	u_int count = 0;

	while (next + count <= last && count < BATCH_ENTRIES) {
		bytes += g_bytes_get_size(
			log_get(&raft->log, next + count)->data);
		if (count && bytes > BATCH_BYTES)
			break;
		count++;
	}
	return count;
}

static void send_entries(struct raft *raft, struct progress *p, int64_t now_ms,
			 u_int count)
{
	struct raft_wire_entry entries[BATCH_ENTRIES];
	struct raft_message append = {
		.kind = RAFT_APPEND,
		.to = p->id,
		.term = raft->term,
		.log_index = p->next - 1,
		.log_term = log_term(&raft->log, p->next - 1),
		.commit_index = raft->commit,
		.sent_ms = now_ms,
	};

	for (u_int i = 0; i < count; i++) {
		struct raft_entry *e = log_get(&raft->log, p->next + i);
		gsize size;
		const void *data = g_bytes_get_data(e->data, &size);

		entries[i].index = e->index;
		entries[i].term = e->term;
		entries[i].kind = e->kind;
		entries[i].data.data_val = (char *)data;
		entries[i].data.data_len = (u_int)size;
	}
	append.entries.entries_val = entries;
	append.entries.entries_len = count;
	raft_send(raft, &append, false);
	if (p->mode == PROGRESS_STREAM)
		p->next += count;
	else
		p->probe_in_flight = true;
}

/* A snapshot that was made meanwhile is sent from its start. */
static void choose_snapshot(const struct raft *raft, struct progress *p,
			    gsize total)
{
	if (p->snapshot_index == raft->snapshot_index &&
	    p->snapshot_offset <= total)
		return;
	p->snapshot_index = raft->snapshot_index;
	p->snapshot_offset = 0;
}

static void send_chunk(struct raft *raft, struct progress *p, int64_t now_ms)
{
	gsize total;
	const char *data = g_bytes_get_data(raft->snapshot, &total);
	struct raft_message chunk = {
		.kind = RAFT_SNAPSHOT,
		.to = p->id,
		.term = raft->term,
		.log_index = raft->snapshot_index,
		.log_term = raft->snapshot_term,
		.sent_ms = now_ms,
		.snapshot_bytes = total,
		.config = raft->snapshot_config,
	};

	choose_snapshot(raft, p, total);
	chunk.chunk_offset = p->snapshot_offset;
	chunk.chunk.chunk_val = (char *)data + p->snapshot_offset;
	chunk.chunk.chunk_len = (u_int)MIN(total - p->snapshot_offset,
					   SNAPSHOT_CHUNK_BYTES);
	p->chunk_sent_ms = now_ms;
	raft_send(raft, &chunk, false);
}

static void replicate_snapshot(struct raft *raft, struct progress *p,
			       int64_t now_ms)
{
	int64_t retry_ms = (int64_t)CHUNK_RETRY_HEARTBEATS * raft->heartbeat_ms;

	if (p->mode != PROGRESS_SNAPSHOT) {
		p->mode = PROGRESS_SNAPSHOT;
		p->snapshot_offset = 0;
	} else if (now_ms - p->chunk_sent_ms < retry_ms) {
		return;
	}
	send_chunk(raft, p, now_ms);
}

static void replicate_to(struct raft *raft, struct progress *p, int64_t now_ms,
			 bool heartbeat)
{
	u_int count;

	if (p->mode == PROGRESS_SNAPSHOT || p->next <= raft->log.base) {
		replicate_snapshot(raft, p, now_ms);
		return;
	}
	if (p->mode == PROGRESS_PROBE && p->probe_in_flight && !heartbeat)
		return;
	do {
		count = batch_size(raft, p->next);
		if (p->next - p->match > UNACKED_ENTRIES_MAX)
			count = 0;
		if (count || heartbeat)
			send_entries(raft, p, now_ms, count);
		heartbeat = false;
	} while (count && p->mode == PROGRESS_STREAM);
}

void raft_broadcast(struct raft *raft, int64_t now_ms, bool heartbeat)
{
	if (heartbeat)
		raft->next_heartbeat_ms = now_ms + raft->heartbeat_ms;
	for (guint i = 0; i < raft->progress->len; i++)
		replicate_to(raft,
			     &g_array_index(raft->progress, struct progress, i),
			     now_ms, heartbeat);
}

void raft_become_leader(struct raft *raft, int64_t now_ms)
{
	GBytes *empty = g_bytes_new(NULL, 0);

	g_array_set_size(raft->progress, 0);
	raft->elected_ms = now_ms;
	raft->transferring = false;
	raft_set_role(raft, RAFT_LEADER, raft->id);
	raft_rebuild_progress(raft, now_ms);
	raft->callbacks.append(raft->callbacks.ctx,
			       log_append(&raft->log, raft->term,
					  RAFT_ENTRY_NOOP, empty));
	g_bytes_unref(empty);
	raft_broadcast(raft, now_ms, true);
}

static int compare_descending(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Returns the greatest value that a majority of voters have reached. */
static uint64_t quorum_value(const struct raft *raft, uint64_t own_value,
			     uint64_t (*value)(const struct progress *p))
{
	const struct member_config *config = raft_latest_config(raft);
	uint64_t values[RD_MEMBERS_MAX];
	int count = 0;

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		struct progress *p;

		if (!m->voter)
			continue;
		p = raft_find_progress(raft, m->id);
		values[count++] = m->id == raft->id ? own_value
				  : p		    ? value(p)
						    : 0;
	}
	if (!count)
		return 0;
	qsort(values, (size_t)count, sizeof(values[0]), compare_descending);
	return values[count / 2];
}

static uint64_t match_of(const struct progress *p)
{
	return p->match;
}

static uint64_t acked_send_of(const struct progress *p)
{
	return (uint64_t)p->acked_send_ms;
}

static uint64_t last_reply_of(const struct progress *p)
{
	return (uint64_t)p->last_reply_ms;
}

static void step_down_if_removed(struct raft *raft, int64_t now_ms)
{
	const struct log_config *last = log_config_at(&raft->log,
						      log_last(&raft->log));

	if (last->index <= raft->commit &&
	    !raft_is_voter(&last->config, raft->id))
		raft_become_follower(raft, now_ms, raft->term, 0);
}

void raft_advance_commit(struct raft *raft, int64_t now_ms)
{
	uint64_t reached = quorum_value(raft, raft->synced, match_of);

	if (reached <= raft->commit ||
	    log_term(&raft->log, reached) != raft->term)
		return;
	raft->commit = reached;
	step_down_if_removed(raft, now_ms);
	if (raft->role == RAFT_LEADER)
		raft_broadcast(raft, now_ms, true);
}

/* A member that has just handed leadership over is stopping. */
static bool has_just_handed_over(const struct raft *raft, int64_t now_ms,
				 uint64_t id)
{
	return id == raft->handed_by &&
	       now_ms - raft->handed_ms <
		       (int64_t)HANDED_OVER_ELECTIONS * raft->election_ms;
}

static void transfer_if_caught_up(struct raft *raft, int64_t now_ms)
{
	for (guint i = 0; i < raft->progress->len; i++) {
		struct progress *p = &g_array_index(raft->progress,
						    struct progress, i);
		struct raft_message timeout_now = {
			.kind = RAFT_TIMEOUT_NOW,
			.to = p->id,
			.term = raft->term,
		};

		/* One that has stopped may have matched the log before. */
		if (p->match != log_last(&raft->log) ||
		    p->acked_send_ms < raft->transfer_started_ms ||
		    has_just_handed_over(raft, now_ms, p->id) ||
		    !raft_is_voter(raft_latest_config(raft), p->id))
			continue;
		raft_send(raft, &timeout_now, true);
		/*
		 * A forced election does not wait for this leader's lease to
		 * expire, so the lease ends here.
		 */
		raft_become_follower(raft, now_ms, raft->term, 0);
		return;
	}
}

static void record_reply(struct progress *p, int64_t now_ms, int64_t sent_ms)
{
	p->last_reply_ms = now_ms;
	p->acked_send_ms = MAX(p->acked_send_ms, sent_ms);
}

void raft_on_append_reply(struct raft *raft, int64_t now_ms,
			  const struct raft_message *message)
{
	struct progress *p = raft_find_progress(raft, message->from);

	if (!p)
		return;
	record_reply(p, now_ms, message->sent_ms);
	if (p->mode == PROGRESS_SNAPSHOT)
		return;
	p->probe_in_flight = false;
	if (!message->granted) {
		p->mode = PROGRESS_PROBE;
		p->next = MAX(MIN(message->next_index_hint, p->next),
			      p->match + 1);
		replicate_to(raft, p, now_ms, true);
		return;
	}
	p->match = MAX(p->match, message->log_index);
	p->next = MAX(p->next, p->match + 1);
	p->mode = PROGRESS_STREAM;
	raft_advance_commit(raft, now_ms);
	if (raft->role != RAFT_LEADER)
		return;
	replicate_to(raft, p, now_ms, false);
	if (raft->transferring)
		transfer_if_caught_up(raft, now_ms);
}

void raft_on_snapshot_reply(struct raft *raft, int64_t now_ms,
			    const struct raft_message *message)
{
	struct progress *p = raft_find_progress(raft, message->from);

	if (!p)
		return;
	record_reply(p, now_ms, message->sent_ms);
	if (p->mode != PROGRESS_SNAPSHOT)
		return;
	if (message->granted) {
		p->mode = PROGRESS_PROBE;
		p->match = MAX(p->match, message->log_index);
		p->next = p->match + 1;
		replicate_to(raft, p, now_ms, true);
		return;
	}
	if (message->log_index != raft->snapshot_index)
		p->snapshot_offset = 0;
	else
		p->snapshot_offset = message->chunk_offset;
	send_chunk(raft, p, now_ms);
}

void raft_leader_tick(struct raft *raft, int64_t now_ms)
{
	int64_t quorum_reply_ms = (int64_t)quorum_value(raft, (uint64_t)now_ms,
							last_reply_of);

	if (now_ms - quorum_reply_ms > 2 * (int64_t)raft->election_ms) {
		raft_become_follower(raft, now_ms, raft->term, 0);
		return;
	}
	if (raft->transferring && now_ms > raft->transfer_deadline_ms)
		raft->transferring = false;
	if (raft->transferring)
		transfer_if_caught_up(raft, now_ms);
	if (raft->role == RAFT_LEADER && now_ms >= raft->next_heartbeat_ms)
		raft_broadcast(raft, now_ms, true);
}

int64_t raft_lease_expiry_ms(const struct raft *raft)
{
	int64_t confirmed, length;

	if (raft->role != RAFT_LEADER)
		return 0;
	if (raft_voter_count(raft_latest_config(raft)) == 1 &&
	    raft_is_voter(raft_latest_config(raft), raft->id))
		return INT64_MAX;
	/* The leader's own confirmation is always current. */
	confirmed = (int64_t)quorum_value(raft, INT64_MAX, acked_send_of);
	if (!confirmed)
		return 0;
	length = (int64_t)raft->election_ms * (1000 - raft->drift_permille) /
		 1000;
	return confirmed + length;
}

bool raft_lease_valid(const struct raft *raft, int64_t now_ms)
{
	return raft->role == RAFT_LEADER && now_ms < raft_lease_expiry_ms(raft);
}

bool raft_committed_in_term(const struct raft *raft)
{
	return raft->role == RAFT_LEADER &&
	       log_term(&raft->log, raft->commit) == raft->term;
}

bool raft_progress(const struct raft *raft, uint64_t id,
		   struct raft_progress *progress)
{
	const struct progress *p = raft_find_progress(raft, id);

	if (raft->role != RAFT_LEADER || !p)
		return false;
	*progress = (struct raft_progress){
		.replied = p->acked_send_ms > 0,
		.last_reply_ms = p->last_reply_ms,
		.match = p->match,
	};
	return true;
}
