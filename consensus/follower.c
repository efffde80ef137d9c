/* Follower: receives entries and snapshots from the leader. */
#include "consensus/raft_internal.h"
#include "wire/codec.h"

/*
 * Confirms at once what is durable already, so that the leader's lease doesn't
 * end while an earlier entry waits for a slow disk.
 */
static void confirm_durable(struct raft *raft,
			    const struct raft_message *message)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY,
		.to = message->from,
		.term = raft->term,
		.granted = true,
		.log_index = raft->synced,
		.sent_ms = message->sent_ms,
	};

	if (raft->durable_term == raft->term)
		raft_send(raft, &reply, false);
}

static void reply_append(struct raft *raft, const struct raft_message *message,
			 bool granted, uint64_t match, uint64_t next_index_hint)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY,
		.to = message->from,
		.term = raft->term,
		.granted = granted,
		.log_index = match,
		.next_index_hint = next_index_hint,
		.sent_ms = message->sent_ms,
	};

	raft_send(raft, &reply, true);
}

/* Returns false if the log has the entry already. */
static bool store_entry(struct raft *raft, const struct raft_wire_entry *entry)
{
	GBytes *data;

	if (entry->index <= raft->log.base ||
	    log_term(&raft->log, entry->index) == entry->term)
		return false;
	if (entry->index <= log_last(&raft->log)) {
		g_assert(entry->index > raft->commit);
		log_truncate(&raft->log, entry->index);
		raft->synced = MIN(raft->synced, entry->index - 1);
		raft->syncing = MIN(raft->syncing, entry->index - 1);
		raft->callbacks.truncate(raft->callbacks.ctx, entry->index);
	}
	data = g_bytes_new(entry->data.data_val, entry->data.data_len);
	raft->callbacks.append(raft->callbacks.ctx,
			       log_append(&raft->log, entry->term, entry->kind,
					  data));
	g_bytes_unref(data);
	return true;
}

static bool entries_in_order(const struct raft_message *message)
{
	for (u_int i = 0; i < message->entries.entries_len; i++)
		if (message->entries.entries_val[i].index !=
		    message->log_index + 1 + i)
			return false;
	return true;
}

/*
 * Returns the index from which the leader should resend when the entry at
 * `index` does not match. If the log ends before `index`, this is the index
 * after its end. Otherwise it is the first index of the conflicting term, so
 * that one reply skips the whole term, but never a committed index.
 */
static uint64_t conflict_hint(const struct raft *raft, uint64_t index)
{
	uint64_t last = log_last(&raft->log);

	if (index > last)
		return last + 1;
	return MAX(log_first_index_of_term(&raft->log, index),
		   raft->commit + 1);
}

void raft_on_append(struct raft *raft, int64_t now_ms,
		    const struct raft_message *message)
{
	uint64_t previous = message->log_index;
	uint64_t match = previous + message->entries.entries_len;
	bool stored = false;

	if (!entries_in_order(message))
		return;
	if (previous >= raft->log.base &&
	    (previous > log_last(&raft->log) ||
	     log_term(&raft->log, previous) != message->log_term)) {
		reply_append(raft, message, false, 0,
			     conflict_hint(raft, previous));
		return;
	}
	for (u_int i = 0; i < message->entries.entries_len; i++)
		stored |= store_entry(raft, &message->entries.entries_val[i]);
	raft->commit = MAX(raft->commit, MIN(message->commit_index, match));
	if (!stored && match > raft->synced)
		confirm_durable(raft, message);
	reply_append(raft, message, true, match, 0);
	(void)now_ms;
}

static void reply_snapshot(struct raft *raft,
			   const struct raft_message *message, uint64_t offset)
{
	struct raft_message reply = {
		.kind = RAFT_SNAPSHOT_REPLY,
		.to = message->from,
		.term = raft->term,
		.granted = offset >= message->snapshot_bytes,
		.log_index = message->log_index,
		.chunk_offset = offset,
		.sent_ms = message->sent_ms,
	};

	raft_send(raft, &reply, true);
}

static void install_snapshot(struct raft *raft,
			     const struct raft_message *message)
{
	GBytes *data = g_byte_array_free_to_bytes(raft->incoming.data);

	raft->incoming.data = NULL;
	raft->callbacks.install_snapshot(raft->callbacks.ctx,
					 message->log_index, message->log_term,
					 &message->config, data);
	log_reset(&raft->log, message->log_index, message->log_term,
		  &message->config);
	raft->commit = raft->applied = raft->synced = message->log_index;
	raft->syncing = message->log_index;
	raft->snapshot_index = message->log_index;
	raft->snapshot_term = message->log_term;
	CODEC_FREE(member_config, &raft->snapshot_config);
	CODEC_COPY(member_config, &message->config, &raft->snapshot_config);
	if (raft->snapshot)
		g_bytes_unref(raft->snapshot);
	raft->snapshot = data;
}

static void start_incoming(struct raft *raft,
			   const struct raft_message *message)
{
	struct incoming_snapshot *r = &raft->incoming;

	if (r->data && r->index == message->log_index &&
	    r->term == message->log_term && r->bytes == message->snapshot_bytes)
		return;
	if (r->data)
		g_byte_array_unref(r->data);
	r->data = g_byte_array_new();
	r->index = message->log_index;
	r->term = message->log_term;
	r->bytes = message->snapshot_bytes;
}

void raft_on_snapshot(struct raft *raft, int64_t now_ms,
		      const struct raft_message *message)
{
	struct incoming_snapshot *r = &raft->incoming;

	(void)now_ms;
	if (message->log_index <= raft->commit) {
		reply_snapshot(raft, message, message->snapshot_bytes);
		return;
	}
	start_incoming(raft, message);
	if (message->chunk_offset == r->data->len)
		g_byte_array_append(r->data,
				    (const guint8 *)message->chunk.chunk_val,
				    message->chunk.chunk_len);
	if (r->data->len < message->snapshot_bytes) {
		reply_snapshot(raft, message, r->data->len);
		return;
	}
	install_snapshot(raft, message);
	reply_snapshot(raft, message, message->snapshot_bytes);
}
