/**
 * @file
 * The in-memory log of one member and the configurations in it. Private to
 * consensus/; owned by the member's struct raft.
 */
#ifndef CONSENSUS_LOG_H
#define CONSENSUS_LOG_H

#include <radishdeal/raft.h>

/**
 * Entries base + 1 to the last. `base` is the index of the last discarded
 * entry, which a snapshot covers.
 */
struct raft_log {
	uint64_t base;
	uint64_t base_term;
	GPtrArray *entries; /* of struct raft_entry */
	GPtrArray *configs; /* of struct log_config, by index; never empty */
};

/** A configuration and the index of its entry or snapshot. */
struct log_config {
	uint64_t index;
	struct member_config config;
};

void log_init(struct raft_log *log, uint64_t base, uint64_t base_term,
	      const struct member_config *config);
void log_clear(struct raft_log *log);

/** Returns the index of the last entry, or `base` if there is none. */
uint64_t log_last(const struct raft_log *log);

/** Returns the term of an entry or of `base`, 0 if it is not in the log. */
uint64_t log_term(const struct raft_log *log, uint64_t index);

/** Returns the entry at an index, or NULL. */
struct raft_entry *log_get(const struct raft_log *log, uint64_t index);

/**
 * Appends an entry at log_last() + 1. The configuration in a configuration
 * entry is in force at once. The result is valid until the entry is dropped.
 */
struct raft_entry *log_append(struct raft_log *log, uint64_t term,
			      raft_entry_kind kind, GBytes *data);

/** Drops the entries at `from` and above, with their configurations. */
void log_truncate(struct raft_log *log, uint64_t from);

/** Drops the entries up to and including an index. */
void log_compact(struct raft_log *log, uint64_t up_to);

/** Empties the log after a snapshot was installed. */
void log_reset(struct raft_log *log, uint64_t base, uint64_t base_term,
	       const struct member_config *config);

/** Returns the configuration in force at an index; borrowed. */
const struct log_config *log_config_at(const struct raft_log *log,
				       uint64_t index);

/** Returns the first index of the term that the entry at `index` has. */
uint64_t log_first_index_of_term(const struct raft_log *log, uint64_t index);

#endif
