/**
 * @file
 * The state of one consensus member, shared by the files of consensus/.
 */
#ifndef CONSENSUS_RAFT_INTERNAL_H
#define CONSENSUS_RAFT_INTERNAL_H

#include "consensus/log.h"

/** How a leader feeds a member. */
enum feed {
	FEED_PROBE,    /* looking for the point where the logs agree */
	FEED_STREAM,   /* appending ahead of the answers */
	FEED_SNAPSHOT, /* behind the log's start */
};

/** What a leader knows of a member. */
struct progress {
	uint64_t id;
	enum feed feed;
	uint64_t match, next;
	bool probing;	      /* one probe is out */
	int64_t heard_ms;     /* last answer */
	int64_t confirmed_ms; /* send time of the last answered message */
	uint64_t offset;      /* of the snapshot */
	int64_t chunk_ms;     /* when the chunk was sent */
};

/** A snapshot being received. */
struct receiving {
	uint64_t index, term;
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
	uint64_t commit, applied, synced;
	uint64_t snapshot_index, snapshot_term;
	struct member_config snapshot_config;
	GBytes *snapshot;
	struct receiving receiving;

	int64_t contact_ms;  /* last word from a leader */
	int64_t deadline_ms; /* of the election timeout */
	int64_t heartbeat_at_ms;
	int64_t elected_ms;
	GHashTable *votes; /* member ids that granted */
	GArray *progress;  /* of struct progress, while leading */
	bool transferring;
	int64_t transfer_deadline_ms;
};

/* raft.c */
const struct member_config *raft_current(const struct raft *raft);
bool raft_is_voter(const struct member_config *config, uint64_t id);
int raft_voters(const struct member_config *config);
void raft_reset_timer(struct raft *raft, int64_t now_ms);
void raft_become_follower(struct raft *raft, int64_t now_ms, uint64_t term,
			  uint64_t leader);
void raft_send(struct raft *raft, struct raft_message *message,
	       bool after_sync);
void raft_set_term(struct raft *raft, uint64_t term, uint64_t vote);
void raft_set_role(struct raft *raft, enum raft_role role, uint64_t leader);

/* A member that knows of no term can have acknowledged no leader. */
bool raft_is_untouched(const struct raft *raft);

/* election.c */
void raft_campaign(struct raft *raft, int64_t now_ms, bool pre, bool force);
void raft_vote_synced(struct raft *raft, int64_t now_ms);
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
void raft_sync_progress(struct raft *raft, int64_t now_ms);

/* follower.c */
void raft_on_append(struct raft *raft, int64_t now_ms,
		    const struct raft_message *message);
void raft_on_snapshot(struct raft *raft, int64_t now_ms,
		      const struct raft_message *message);

#endif
