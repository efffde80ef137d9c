/**
 * @file
 * The in-memory log of one member and its configurations. Private to
 * consensus/; owned by its struct raft.
 */
#ifndef CONSENSUS_LOG_H
#define CONSENSUS_LOG_H

#include <radishdeal/raft.h>

/** Entries base+1 .. last; `base` is what a snapshot covers. */
struct raft_log {
	uint64_t base;
	uint64_t base_term;
	GPtrArray *entries; /* of struct raft_entry */
	GPtrArray *configs; /* of struct log_config, rising index */
};

/** A configuration and the index of the entry that brought it. */
struct log_config {
	uint64_t index;
	struct member_config config;
};

void log_init(struct raft_log *log, uint64_t base, uint64_t base_term,
	      const struct member_config *config);
void log_clear(struct raft_log *log);

uint64_t log_last(const struct raft_log *log);
uint64_t log_term(const struct raft_log *log, uint64_t index);

/** Returns the entry at an index, or NULL. */
struct raft_entry *log_get(const struct raft_log *log, uint64_t index);

/** Appends at log_last() + 1 and takes on a configuration entry. */
struct raft_entry *log_append(struct raft_log *log, uint64_t term,
			      raft_entry_kind kind, GBytes *data);

/** Drops entries from an index on, and their configurations. */
void log_truncate(struct raft_log *log, uint64_t from);

/** Drops entries up to an index. */
void log_compact(struct raft_log *log, uint64_t up_to);

/** Empties the log behind a received snapshot. */
void log_reset(struct raft_log *log, uint64_t base, uint64_t base_term,
	       const struct member_config *config);

/** The configuration in force as of an index. */
const struct log_config *log_config_at(const struct raft_log *log,
				       uint64_t index);

/** First index of the run of entries with the term found at `index`. */
uint64_t log_term_start(const struct raft_log *log, uint64_t index);

#endif
