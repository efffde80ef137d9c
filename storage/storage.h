/**
 * @file
 * What a consensus member must not forget: its identity, term, vote, log and
 * latest snapshot, in one data folder.
 *
 * Owned by the control task. Writes are buffered until storage_sync(); after
 * any failure every later call fails with the same result, so nothing is
 * acknowledged that may not be stored.
 */
#ifndef STORAGE_STORAGE_H
#define STORAGE_STORAGE_H

#include <radishdeal/raft.h>

#include "storage/fs.h"

struct storage;

struct storage_opts {
	const struct storage_fs *fs;
	const char *cluster;
	uint32_t node;
	uint64_t new_member;	/* identity if the folder is new */
	uint32_t segment_bytes; /* a new segment is begun past this */
};

/** What a folder held. Cleared by storage_recovered_clear(). */
struct storage_recovered {
	bool fresh; /* the folder was new */
	uint64_t member;
	uint64_t incarnation;
	uint64_t term, vote;
	struct stored_snapshot snapshot; /* index 0 if none */
	GPtrArray *entries;  /* of struct raft_entry, behind the snapshot */
	uint64_t torn_bytes; /* cut from the log's end */
};

/**
 * Opens a folder and reads it. On failure *why tells file and cause (caller
 * frees): RD_FOREIGN_FOLDER, RD_FORMAT, RD_DAMAGED, RD_DISK_FULL, RD_IO.
 */
enum rd_result storage_open(const struct storage_opts *opts,
			    struct storage **storage,
			    struct storage_recovered *recovered, char **why);

/** Frees it without syncing. NULL is allowed. */
void storage_close(struct storage *storage);

void storage_recovered_clear(struct storage_recovered *recovered);

void storage_put_hard_state(struct storage *storage, uint64_t term,
			    uint64_t vote);
void storage_put_entry(struct storage *storage, const struct raft_entry *entry);
void storage_put_truncate(struct storage *storage, uint64_t from);

/** Makes everything put so far durable, as one group. */
enum rd_result storage_sync(struct storage *storage);

/** Whether anything waits for storage_sync(). */
bool storage_dirty(const struct storage *storage);

/**
 * Stores a snapshot and removes what it covers. `received` says that it came
 * from another member, so that the log before it is void. RD_TOO_LARGE, with
 * nothing changed, if it exceeds a bound of its encoding.
 */
enum rd_result storage_write_snapshot(struct storage *storage,
				      const struct stored_snapshot *snapshot,
				      bool received);

/** Bytes in log segments, syncs done and what was wrong last. */
uint64_t storage_log_bytes(const struct storage *storage);
uint64_t storage_sync_count(const struct storage *storage);
const char *storage_error_text(const struct storage *storage);

#endif
