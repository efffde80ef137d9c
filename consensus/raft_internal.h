/**
 * @file
 * The state of one consensus member, private to consensus/.
 */
#ifndef CONSENSUS_RAFT_INTERNAL_H
#define CONSENSUS_RAFT_INTERNAL_H

#include "consensus/log.h"

/** How a leader replicates to a member. */
enum progress_mode {
	PROGRESS_PROBE,	   /* one append at a time until the logs match */
	PROGRESS_STREAM,   /* sends entries without waiting for replies */
	PROGRESS_SNAPSHOT, /* needs entries that are no longer in the log */
};

/** A leader's record of the replication to one member. */
struct progress {
	uint64_t id;
	enum progress_mode mode;
	uint64_t match; /* highest index known to be in its log */
	uint64_t next;	/* index of the next entry to send */
	bool probe_in_flight;
	int64_t last_reply_ms;
	int64_t acked_send_ms;	  /* latest send time that a reply echoed */
	uint64_t snapshot_index;  /* of the snapshot being sent */
	uint64_t snapshot_offset; /* of the next chunk in it */
	int64_t chunk_sent_ms;
};

/** A snapshot being received in chunks. */
struct incoming_snapshot {
	uint64_t index, term;
	/* Of all chunks. Builds may encode a state differently. */
	uint64_t bytes;
	GByteArray *data;
};

struct raft {
	uint64_t id;
	struct raft_callbacks callbacks;
	int32_t election_ms, heartbeat_ms, drift_permille, keep_entries;
	GRand *random;

	uint64_t term, vote, leader;
	enum raft_role role;
	struct raft_log log;
	uint64_t commit, applied;
	uint64_t synced; /* highest durable index of this member's log */
	uint64_t durable_term;
	/* The same once the sync that has begun is done. */
	uint64_t syncing, syncing_term;
	uint64_t snapshot_index, snapshot_term;
	struct member_config snapshot_config;
	GBytes *snapshot;
	struct incoming_snapshot incoming;

	int64_t leader_contact_ms;    /* last message from a leader */
	int64_t election_deadline_ms; /* when the election timeout expires */
	int64_t next_heartbeat_ms;
	int64_t elected_ms;
	GHashTable *votes; /* ids of members that granted a vote or pre-vote */
	GHashTable *denials; /* the same of members that refused one */
	struct raft_refusals refusals;
	GArray *progress; /* of struct progress, on the leader */
	bool transferring;
	int64_t transfer_started_ms, transfer_deadline_ms;
	uint64_t handed_by; /* member that handed leadership over; 0: none */
	int64_t handed_ms;
};

/* raft.c */
const struct member_config *raft_latest_config(const struct raft *raft);
bool raft_is_voter(const struct member_config *config, uint64_t id);
int raft_voter_count(const struct member_config *config);
void raft_reset_election_timer(struct raft *raft, int64_t now_ms);
void raft_become_follower(struct raft *raft, int64_t now_ms, uint64_t term,
			  uint64_t leader);
void raft_send(struct raft *raft, struct raft_message *message,
	       bool after_sync);
void raft_set_term(struct raft *raft, uint64_t term, uint64_t vote);
void raft_set_role(struct raft *raft, enum raft_role role, uint64_t leader);

/* Whether the term is 0, so that no leader can have been acknowledged yet. */
bool raft_at_term_zero(const struct raft *raft);

/* election.c */

/**
 * Starts a pre-vote or an election. With `force` voters do not wait until the
 * leader's lease has expired; a leader that transfers leadership requests this.
 */
void raft_campaign(struct raft *raft, int64_t now_ms, bool pre, bool force);
void raft_on_vote_synced(struct raft *raft, int64_t now_ms);
void raft_on_vote(struct raft *raft, int64_t now_ms,
		  const struct raft_message *message);
void raft_on_vote_reply(struct raft *raft, int64_t now_ms,
			const struct raft_message *message);

/* leader.c */
void raft_become_leader(struct raft *raft, int64_t now_ms);
void raft_leader_tick(struct raft *raft, int64_t now_ms);
void raft_broadcast(struct raft *raft, int64_t now_ms, bool heartbeat);
void raft_on_append_reply(struct raft *raft, int64_t now_ms,
			  const struct raft_message *message);
void raft_on_snapshot_reply(struct raft *raft, int64_t now_ms,
			    const struct raft_message *message);
void raft_advance_commit(struct raft *raft, int64_t now_ms);
struct progress *raft_find_progress(const struct raft *raft, uint64_t id);
void raft_rebuild_progress(struct raft *raft, int64_t now_ms);

/* follower.c */
void raft_on_append(struct raft *raft, int64_t now_ms,
		    const struct raft_message *message);
void raft_on_snapshot(struct raft *raft, int64_t now_ms,
		      const struct raft_message *message);

#endif
