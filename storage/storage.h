/**
 * @file
 * The persistent state of a consensus member: its identity, term, vote, log
 * and latest snapshot, in one data folder.
 *
 * Owned by the control task. Writes are buffered until a job makes them
 * durable. A job is begun and ended by the owner and may run on another thread,
 * so that the owner doesn't wait for the disk; while it runs, the owner may
 * only buffer further writes and ask for storage_dirty() and
 * storage_log_bytes(). After an I/O error every later job fails with the same
 * result, so that nothing is acknowledged that may not be durable.
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
	uint64_t new_member; /* member id for a new folder */
	/* Least incarnation, above those of folders that the node has lost. */
	uint64_t incarnation_min;
	uint32_t segment_bytes; /* size at which the next segment is started */
};

/** The contents of a data folder. Free with storage_recovered_clear(). */
struct storage_recovered {
	bool created; /* the folder was new */
	uint64_t member;
	uint64_t incarnation; /* grows each time it is opened */
	uint64_t term, vote;
	struct stored_snapshot snapshot; /* index 0 if none */
	GPtrArray *entries;  /* of struct raft_entry, after the snapshot */
	uint64_t torn_bytes; /* of a torn write, removed from the log's end */
};

/**
 * Opens a data folder and reads its contents. On failure returns
 * RD_FOREIGN_FOLDER, RD_FORMAT, RD_DAMAGED, RD_DISK_FULL or RD_IO and sets
 * *error to the file and the cause, to be freed with g_free().
 */
enum rd_result storage_open(const struct storage_opts *opts,
			    struct storage **storage,
			    struct storage_recovered *recovered, char **error);

/** Closes the log without syncing and frees the storage. NULL is allowed. */
void storage_close(struct storage *storage);

/** Frees the contents that storage_open() recovered. */
void storage_recovered_clear(struct storage_recovered *recovered);

/** Buffers the term and vote, an entry, or the truncation of the log. */
void storage_put_hard_state(struct storage *storage, uint64_t term,
			    uint64_t vote);
void storage_put_entry(struct storage *storage, const struct raft_entry *entry);
void storage_put_truncate(struct storage *storage, uint64_t from);

/** Whether there are buffered writes that no job has taken yet. */
bool storage_dirty(const struct storage *storage);

/** Begins a job that makes everything buffered so far durable by one sync. */
void storage_begin_sync(struct storage *storage);

/**
 * Begins a job that also makes a snapshot durable and removes older snapshots
 * and the log segments that it covers. A snapshot `received` from another
 * member replaces the whole log. Returns RD_TOO_LARGE if it exceeds a bound of
 * its encoding; no job is begun then, and the previous snapshot is kept.
 */
enum rd_result storage_begin_snapshot(struct storage *storage,
				      const struct stored_snapshot *snapshot,
				      bool received);

/** Runs the job that was begun; on any thread. */
void storage_run_job(struct storage *storage);

/** Ends the job that has run, and returns its result. */
enum rd_result storage_end_job(struct storage *storage);

/** Begins, runs and ends a job of storage_begin_sync(). */
enum rd_result storage_sync(struct storage *storage);

/** Begins, runs and ends a job of storage_begin_snapshot(). */
enum rd_result storage_write_snapshot(struct storage *storage,
				      const struct stored_snapshot *snapshot,
				      bool received);

/** Returns the size of the log as of the last job, with buffered writes. */
uint64_t storage_log_bytes(const struct storage *storage);

/** Returns the number of syncs since the folder was opened. */
uint64_t storage_sync_count(const struct storage *storage);

/** Returns the file and cause of the failure, "" if there was none. */
const char *storage_error_text(const struct storage *storage);

#endif
