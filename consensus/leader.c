/* Feeding the members, counting quorums, keeping the lease. */
#include <string.h>

#include "consensus/raft_internal.h"
#include "wire/codec.h"

#define BATCH_ENTRIES 256u
#define BATCH_BYTES (256u * 1024)
#define UNACKED_ENTRIES 8192u
#define CHUNK_BYTES (256u * 1024)
/* A chunk without an answer is sent again after this many heartbeats. */
#define CHUNK_RETRY_HEARTBEATS 5

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

/* Brings the list of fed members in line with the configuration. */
void raft_sync_progress(struct raft *raft, int64_t now_ms)
{
	const struct member_config *config = raft_current(raft);
	GArray *kept = g_array_new(FALSE, TRUE, sizeof(struct progress));

	for (u_int i = 0; i < config->members.members_len; i++) {
		uint64_t id = config->members.members_val[i].id;
		struct progress *old = raft_find_progress(raft, id);
		struct progress fresh = {
			.id = id,
			.feed = FEED_PROBE,
			.next = log_last(&raft->log) + 1,
			.heard_ms = now_ms,
		};

		if (id != raft->id)
			g_array_append_val(kept, *(old ? old : &fresh));
	}
	g_array_unref(raft->progress);
	raft->progress = kept;
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
		.commit = raft->commit,
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
	if (p->feed == FEED_STREAM)
		p->next += count;
	else
		p->probing = true;
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
		.offset = p->offset,
		.total = total,
		.config = raft->snapshot_config,
	};

	chunk.chunk.chunk_val = (char *)data + p->offset;
	chunk.chunk.chunk_len = (u_int)MIN(total - p->offset, CHUNK_BYTES);
	p->chunk_ms = now_ms;
	raft_send(raft, &chunk, false);
}

static void feed_snapshot(struct raft *raft, struct progress *p, int64_t now_ms)
{
	int64_t retry_ms = (int64_t)CHUNK_RETRY_HEARTBEATS * raft->heartbeat_ms;

	if (p->feed != FEED_SNAPSHOT) {
		p->feed = FEED_SNAPSHOT;
		p->offset = 0;
	} else if (now_ms - p->chunk_ms < retry_ms) {
		return;
	}
	send_chunk(raft, p, now_ms);
}

static void feed(struct raft *raft, struct progress *p, int64_t now_ms,
		 bool heartbeat)
{
	u_int count;

	if (p->feed == FEED_SNAPSHOT || p->next <= raft->log.base) {
		feed_snapshot(raft, p, now_ms);
		return;
	}
	if (p->feed == FEED_PROBE && p->probing && !heartbeat)
		return;
	do {
		count = batch_size(raft, p->next);
		if (p->next - p->match > UNACKED_ENTRIES)
			count = 0;
		if (count || heartbeat)
			send_entries(raft, p, now_ms, count);
		heartbeat = false;
	} while (count && p->feed == FEED_STREAM);
}

void raft_broadcast(struct raft *raft, int64_t now_ms, bool heartbeat)
{
	if (heartbeat)
		raft->heartbeat_at_ms = now_ms + raft->heartbeat_ms;
	for (guint i = 0; i < raft->progress->len; i++)
		feed(raft, &g_array_index(raft->progress, struct progress, i),
		     now_ms, heartbeat);
}

void raft_become_leader(struct raft *raft, int64_t now_ms)
{
	GBytes *empty = g_bytes_new(NULL, 0);

	g_array_set_size(raft->progress, 0);
	raft->elected_ms = now_ms;
	raft->transferring = false;
	raft_set_role(raft, RAFT_LEADER, raft->id);
	raft_sync_progress(raft, now_ms);
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

/* The greatest value that a majority of voters have reached. */
static uint64_t quorum_value(const struct raft *raft, uint64_t own,
			     uint64_t (*value)(const struct progress *p))
{
	const struct member_config *config = raft_current(raft);
	uint64_t values[32];
	int count = 0;

	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		struct progress *p;

		if (!m->voter)
			continue;
		p = raft_find_progress(raft, m->id);
		values[count++] = m->id == raft->id ? own : p ? value(p) : 0;
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

static uint64_t confirmed_of(const struct progress *p)
{
	return (uint64_t)p->confirmed_ms;
}

static uint64_t heard_of(const struct progress *p)
{
	return (uint64_t)p->heard_ms;
}

static void leave_if_removed(struct raft *raft, int64_t now_ms)
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
	leave_if_removed(raft, now_ms);
	if (raft->role == RAFT_LEADER)
		raft_broadcast(raft, now_ms, true);
}

static void try_transfer(struct raft *raft, int64_t now_ms)
{
	for (guint i = 0; i < raft->progress->len; i++) {
		struct progress *p = &g_array_index(raft->progress,
						    struct progress, i);
		struct raft_message go = {
			.kind = RAFT_TIMEOUT_NOW,
			.to = p->id,
			.term = raft->term,
		};

		if (p->match != log_last(&raft->log) ||
		    !raft_is_voter(raft_current(raft), p->id))
			continue;
		raft_send(raft, &go, true);
		/* Its election need not wait for this lease: end it here. */
		raft_become_follower(raft, now_ms, raft->term, 0);
		return;
	}
}

static void note_answer(struct progress *p, int64_t now_ms, int64_t sent_ms)
{
	p->heard_ms = now_ms;
	p->confirmed_ms = MAX(p->confirmed_ms, sent_ms);
}

void raft_on_append_reply(struct raft *raft, int64_t now_ms,
			  const struct raft_message *message)
{
	struct progress *p = raft_find_progress(raft, message->from);

	if (!p)
		return;
	note_answer(p, now_ms, message->sent_ms);
	if (p->feed == FEED_SNAPSHOT)
		return;
	p->probing = false;
	if (!message->granted) {
		p->feed = FEED_PROBE;
		p->next = MAX(MIN(message->hint, p->next), p->match + 1);
		feed(raft, p, now_ms, true);
		return;
	}
	p->match = MAX(p->match, message->log_index);
	p->next = MAX(p->next, p->match + 1);
	p->feed = FEED_STREAM;
	raft_advance_commit(raft, now_ms);
	if (raft->role != RAFT_LEADER)
		return;
	feed(raft, p, now_ms, false);
	if (raft->transferring)
		try_transfer(raft, now_ms);
}

void raft_on_snapshot_reply(struct raft *raft, int64_t now_ms,
			    const struct raft_message *message)
{
	struct progress *p = raft_find_progress(raft, message->from);

	if (!p)
		return;
	note_answer(p, now_ms, message->sent_ms);
	if (p->feed != FEED_SNAPSHOT)
		return;
	if (message->granted) {
		p->feed = FEED_PROBE;
		p->match = MAX(p->match, message->log_index);
		p->next = p->match + 1;
		feed(raft, p, now_ms, true);
		return;
	}
	if (message->log_index != raft->snapshot_index)
		p->offset = 0;
	else
		p->offset = message->offset;
	send_chunk(raft, p, now_ms);
}

void raft_leader_tick(struct raft *raft, int64_t now_ms)
{
	int64_t heard = (int64_t)quorum_value(raft, (uint64_t)now_ms, heard_of);

	if (now_ms - heard > 2 * (int64_t)raft->election_ms) {
		raft_become_follower(raft, now_ms, raft->term, 0);
		return;
	}
	if (raft->transferring && now_ms > raft->transfer_deadline_ms)
		raft->transferring = false;
	if (raft->transferring)
		try_transfer(raft, now_ms);
	if (raft->role == RAFT_LEADER && now_ms >= raft->heartbeat_at_ms)
		raft_broadcast(raft, now_ms, true);
}

int64_t raft_lease_expiry_ms(const struct raft *raft)
{
	int64_t confirmed, length;

	if (raft->role != RAFT_LEADER)
		return 0;
	if (raft_voters(raft_current(raft)) == 1 &&
	    raft_is_voter(raft_current(raft), raft->id))
		return INT64_MAX;
	/* Own confirmation is always there, so it never bounds the quorum. */
	confirmed = (int64_t)quorum_value(raft, INT64_MAX, confirmed_of);
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

bool raft_progress(const struct raft *raft, uint64_t id, int64_t *heard_ms,
		   uint64_t *match)
{
	const struct progress *p = raft_find_progress(raft, id);

	if (raft->role != RAFT_LEADER || !p)
		return false;
	*heard_ms = p->heard_ms;
	*match = p->match;
	return true;
}
