/**
 * @file
 * The consensus core: a replicated log without sockets, files or clocks.
 *
 * Follows Ongaro and Ousterhout's Raft (2014) with pre-vote, check-quorum, a
 * leader lease, learners and single-server membership changes from Ongaro's
 * dissertation; docs/design/consensus.md lists where it departs.
 *
 * One thread owns an instance. Inputs are calls with the time; outputs are
 * the callbacks in struct raft_callbacks, valid only during the callback and
 * free to keep nothing. The driver, after any batch of inputs: sends the
 * messages not marked `after_sync`, makes all that was handed to
 * `save_hard_state`, `append`, `truncate` and `install` durable, calls
 * raft_synced(), sends the marked messages, then applies what
 * raft_next_committed() gives.
 */
#ifndef RADISHDEAL_RAFT_H
#define RADISHDEAL_RAFT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/result.h>

#include "wire/radishdeal.h"

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

/** An entry of the log in memory. */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	raft_entry_kind kind;
	GBytes *data;
};

/** Where outputs go. All are required; `ctx` is passed first. */
struct raft_callbacks {
	/** Sends to message->to; drop it if that member is unreachable. */
	void (*send)(void *ctx, const struct raft_message *message,
		     bool after_sync);
	/** Stores the term and the vote (a member id, 0 for none). */
	void (*save_hard_state)(void *ctx, uint64_t term, uint64_t vote);
	/** Stores one entry behind all stored before. */
	void (*append)(void *ctx, const struct raft_entry *entry);
	/** Forgets the stored entries from this index on. */
	void (*truncate)(void *ctx, uint64_t from);
	/** Stores a received snapshot and replaces the applied state by it. */
	void (*install_snapshot)(void *ctx, uint64_t index, uint64_t term,
				 const struct member_config *config,
				 GBytes *data);
	/** Tells of a new role, term or leader, for logs. May do nothing. */
	void (*role_changed)(void *ctx, enum raft_role role, uint64_t term,
			     uint64_t leader);
	void *ctx;
};

struct raft_opts {
	uint64_t id;
	uint32_t seed;	     /* of the election timeouts */
	int32_t election_ms; /* least time without a leader */
	int32_t heartbeat_ms;
	int32_t drift_permille; /* by how much clocks' rates may differ */
	int32_t keep_entries;	/* kept behind a snapshot for slow followers */
	struct raft_callbacks callbacks;
	int64_t now_ms;
	/* What was stored; of a new folder all of it is empty. */
	uint64_t term, vote;
	uint64_t snapshot_index, snapshot_term;
	const struct member_config *config; /* at snapshot_index */
	GBytes *snapshot;		    /* NULL if none */
};

struct raft;

/** Creates a member. Add stored entries by raft_restore_entry() before use. */
struct raft *raft_create(const struct raft_opts *opts);

/** Frees it. NULL is allowed. */
void raft_destroy(struct raft *raft);

/** Adds one stored entry, in order, without storing it again. */
void raft_restore_entry(struct raft *raft, uint64_t index, uint64_t term,
			raft_entry_kind kind, GBytes *data);

/** Lets time pass: elections, heartbeats, lost quorum. */
void raft_tick(struct raft *raft, int64_t now_ms);

/** Takes a message from another member. */
void raft_step(struct raft *raft, int64_t now_ms,
	       const struct raft_message *message);

/** Appends a command; RD_NOT_LEADER or RD_OVERLOADED if it cannot. */
enum rd_result raft_propose(struct raft *raft, int64_t now_ms, GBytes *data,
			    uint64_t *index);

/**
 * Proposes a configuration that differs in one voter at most.
 * RD_CHANGE_PENDING if the last one is not committed yet, RD_INVALID if it
 * differs by more.
 */
enum rd_result raft_propose_config(struct raft *raft, int64_t now_ms,
				   const struct member_config *config,
				   uint64_t *index);

/** Hands leadership to the most advanced other voter. */
enum rd_result raft_transfer_leadership(struct raft *raft, int64_t now_ms);

/** Tells that everything handed to the callbacks so far is durable. */
void raft_synced(struct raft *raft, int64_t now_ms);

/** Returns the next committed entry to apply, or NULL. */
const struct raft_entry *raft_next_committed(struct raft *raft);

/** Discards the log up to an applied index covered by this snapshot. */
void raft_compact(struct raft *raft, uint64_t index, GBytes *snapshot);

/** Whether this member leads and no other can have been elected yet. */
bool raft_lease_valid(const struct raft *raft, int64_t now_ms);

/** Until when the lease lasts, by this member's clock; 0 without one. */
int64_t raft_lease_expiry_ms(const struct raft *raft);

/** Whether an entry of the leader's own term is committed. */
bool raft_committed_in_term(const struct raft *raft);

enum raft_role raft_role(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_leader(const struct raft *raft); /* 0 if unknown */
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
uint64_t raft_last_index(const struct raft *raft);
uint64_t raft_first_index(const struct raft *raft);

/** The latest configuration in the log; borrowed. */
const struct member_config *raft_config(const struct raft *raft);

/** The configuration as of an index; borrowed. */
const struct member_config *raft_config_at(const struct raft *raft,
					   uint64_t index);

/** What a leader knows of a member: time of its last answer and its match. */
bool raft_progress(const struct raft *raft, uint64_t id, int64_t *heard_ms,
		   uint64_t *match);

/** Returns the term of a log entry, 0 if it is not held. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

#endif
