/**
 * @file
 * Raft consensus core: a replicated log with no I/O and no clock of its own.
 *
 * Follows Ongaro and Ousterhout's Raft (2014) with pre-vote, check-quorum, a
 * leader lease, learners and single-server membership changes from Ongaro's
 * dissertation; docs/design/consensus.md lists the deviations.
 *
 * One thread owns an instance. Inputs are function calls that pass the current
 * time; outputs are calls of the functions in struct raft_callbacks, whose
 * arguments are valid only during the call. After each batch of inputs the
 * caller
 * - sends the messages not marked `after_sync`,
 * - makes everything passed to `save_hard_state`, `append`, `truncate` and
 *   `install_snapshot` durable,
 * - calls raft_synced(),
 * - sends the messages marked `after_sync`,
 * - applies the entries that raft_next_committed() returns.
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

/** A voter's answer to a member that asked it for a vote or a pre-vote. */
enum raft_answer {
	RAFT_NO_ANSWER,
	RAFT_GRANTED,
	RAFT_REFUSED,
};

/** Why a vote or a pre-vote was refused. */
enum raft_refusal {
	RAFT_REFUSAL_NONE,
	RAFT_REFUSAL_TERM,  /* the candidate's term is not newer */
	RAFT_REFUSAL_LEASE, /* a leader's lease may still hold */
	RAFT_REFUSAL_VOTED, /* another member has this member's vote */
	RAFT_REFUSAL_LOG,   /* the candidate's log is less complete */
};

/** The votes and pre-votes that a member has refused since its start. */
struct raft_refusals {
	uint64_t count;
	uint64_t candidate;	/* member id of the last one */
	enum raft_refusal last; /* its reason */
};

/** A log entry in memory. */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	raft_entry_kind kind;
	GBytes *data;
};

/** Output functions of the core. All are required; each receives `ctx`. */
struct raft_callbacks {
	/**
	 * Sends a message to member message->to; it may be dropped if that
	 * member is unreachable. With `after_sync` it must not leave before
	 * everything passed to the storage callbacks so far is durable.
	 */
	void (*send)(void *ctx, const struct raft_message *message,
		     bool after_sync);
	/** Stores the term and the vote (a member id, 0 for none). */
	void (*save_hard_state)(void *ctx, uint64_t term, uint64_t vote);
	/** Stores one entry after all entries stored so far. */
	void (*append)(void *ctx, const struct raft_entry *entry);
	/** Discards the stored entries at index `from` and above. */
	void (*truncate)(void *ctx, uint64_t from);
	/** Stores a received snapshot and makes it the applied state. */
	void (*install_snapshot)(void *ctx, uint64_t index, uint64_t term,
				 const struct member_config *config,
				 GBytes *data);
	/** Reports a new role, term or leader, for logging only. */
	void (*role_changed)(void *ctx, enum raft_role role, uint64_t term,
			     uint64_t leader);
	void *ctx;
};

struct raft_opts {
	uint64_t id;
	uint32_t seed;	     /* for randomised election timeouts */
	int32_t election_ms; /* minimum election timeout */
	int32_t heartbeat_ms;
	int32_t drift_permille; /* maximum difference of clock rates */
	int32_t keep_entries;	/* retained before a snapshot's index, so that
				   slow followers need no snapshot */
	struct raft_callbacks callbacks;
	int64_t now_ms;
	/*
	 * Recovered from storage. For a new data folder all are zero or NULL,
	 * except `config`, which is the initial configuration.
	 */
	uint64_t term, vote;
	uint64_t snapshot_index, snapshot_term;
	const struct member_config *config; /* as of snapshot_index; copied */
	GBytes *snapshot;		    /* NULL if none */
};

struct raft;

/**
 * Creates a member as a follower. Entries recovered from storage are added
 * with raft_restore_entry() before any other call.
 */
struct raft *raft_create(const struct raft_opts *opts);

/** Frees it. NULL is allowed. */
void raft_destroy(struct raft *raft);

/** Adds an entry recovered from storage. Must be called in index order. */
void raft_restore_entry(struct raft *raft, uint64_t index, uint64_t term,
			raft_entry_kind kind, GBytes *data);

/**
 * Handles expired timers: starts elections, sends heartbeats, and steps down
 * if a quorum has not replied for two election timeouts.
 */
void raft_tick(struct raft *raft, int64_t now_ms);

/** Handles a message from another member. */
void raft_step(struct raft *raft, int64_t now_ms,
	       const struct raft_message *message);

/**
 * Appends a command to the leader's log and sets its index. Returns
 * RD_NOT_LEADER on other members and during a leadership transfer,
 * RD_OVERLOADED if too many entries are uncommitted.
 */
enum rd_result raft_propose(struct raft *raft, int64_t now_ms, GBytes *data,
			    uint64_t *index);

/**
 * Proposes a configuration that adds or removes at most one voter. Returns
 * RD_CHANGE_PENDING if the latest configuration or an entry of this term is
 * not committed yet, RD_INVALID if more than one voter differs or none is
 * left, else as raft_propose().
 */
enum rd_result raft_propose_config(struct raft *raft, int64_t now_ms,
				   const struct member_config *config,
				   uint64_t *index);

/**
 * Starts a transfer of leadership to another voter whose log is complete, who
 * replies after this call, and who has not just handed leadership to this one.
 * Proposals fail until the transfer ends or election_ms have passed. A call
 * during a transfer changes nothing.
 */
enum rd_result raft_transfer_leadership(struct raft *raft, int64_t now_ms);

/**
 * Begins a sync of everything passed to the callbacks so far. What follows
 * belongs to the next one, which is begun after raft_synced().
 */
void raft_begin_sync(struct raft *raft);

/** Reports that everything up to the last raft_begin_sync() is durable. */
void raft_synced(struct raft *raft, int64_t now_ms);

/** Returns the next committed entry to apply and advances, or NULL. */
const struct raft_entry *raft_next_committed(struct raft *raft);

/**
 * Sets the snapshot, taken at an applied index, and discards the log entries
 * up to that index except for the last `keep_entries`.
 */
void raft_compact(struct raft *raft, uint64_t index, GBytes *snapshot);

/** Whether this member leads and no other can have been elected yet. */
bool raft_lease_valid(const struct raft *raft, int64_t now_ms);

/**
 * Returns when the lease expires by this member's clock, 0 without a lease.
 * The only voter's lease never expires (INT64_MAX).
 */
int64_t raft_lease_expiry_ms(const struct raft *raft);

/** Whether this member leads and an entry of its own term is committed. */
bool raft_committed_in_term(const struct raft *raft);

enum raft_role raft_role(const struct raft *raft);
uint64_t raft_term(const struct raft *raft);
uint64_t raft_leader(const struct raft *raft); /* 0 if unknown */
uint64_t raft_commit_index(const struct raft *raft);
uint64_t raft_applied_index(const struct raft *raft);
uint64_t raft_last_index(const struct raft *raft);
uint64_t raft_first_index(const struct raft *raft);

/** Returns the latest configuration in the log, committed or not; borrowed. */
const struct member_config *raft_config(const struct raft *raft);

/** Returns the configuration in force at an index; borrowed. */
const struct member_config *raft_config_at(const struct raft *raft,
					   uint64_t index);

/** What a leader knows of the replication to a member. */
struct raft_progress {
	bool replied; /* to this leader, in this term */
	/* Of its last reply; without one, when the leader began to send. */
	int64_t last_reply_ms;
	uint64_t match; /* highest index known to be in its log */
};

/**
 * Gets the progress of a member. Returns false unless this member leads and
 * replicates to that one.
 */
bool raft_progress(const struct raft *raft, uint64_t id,
		   struct raft_progress *progress);

/** Returns a voter's answer in the latest round of votes of this member. */
enum raft_answer raft_answer_of(const struct raft *raft, uint64_t id);

/** Returns what this member refused; borrowed, updated by raft_step(). */
const struct raft_refusals *raft_refusals(const struct raft *raft);

/** Returns the term of the entry at an index, 0 if it is not in the log. */
uint64_t raft_term_at(const struct raft *raft, uint64_t index);

#endif
