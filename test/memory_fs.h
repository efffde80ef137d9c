/**
 * @file
 * An in-memory storage driver that simulates crashes, which lose unsynced data,
 * and I/O errors.
 */
#ifndef TEST_MEMORY_FS_H
#define TEST_MEMORY_FS_H

#include <stdbool.h>

#include "storage/fs.h"

struct memory_fs;

/** `seed` determines what survives a crash. */
struct memory_fs *memory_fs_create(uint32_t seed);
void memory_fs_destroy(struct memory_fs *fs);

/** Returns the driver, valid until the file system is destroyed. */
const struct storage_fs *memory_fs_driver(struct memory_fs *fs);

/**
 * Fails all operations from the given one on, counted from 1, with an errno.
 * With 0 none fails. Resets memory_fs_failed().
 */
void memory_fs_fail_after(struct memory_fs *fs, int operations, int error);

/** Makes each sync advance a clock by a duration. */
void memory_fs_delay_syncs(struct memory_fs *fs, int64_t *clock_us,
			   int64_t duration_us);

/** Whether an operation has failed since memory_fs_fail_after(). */
bool memory_fs_failed(const struct memory_fs *fs);

/** Returns the number of operations so far. */
uint64_t memory_fs_operations(const struct memory_fs *fs);

/** Loses unsynced data and names, except for a random part. */
void memory_fs_crash(struct memory_fs *fs);

/**
 * Closes all files, as the end of a process does: what it has written stays,
 * but is not synced for that.
 */
void memory_fs_kill(struct memory_fs *fs);

/** Removes all files, as if the disk had been replaced. */
void memory_fs_wipe(struct memory_fs *fs);

/** Returns a file's contents (borrowed, may be changed), or NULL. */
GByteArray *memory_fs_file(struct memory_fs *fs, const char *name);

/** Adds the names of the files with a prefix, sorted and newly allocated. */
void memory_fs_list(struct memory_fs *fs, const char *prefix, GPtrArray *names);

#endif
