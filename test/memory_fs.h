/**
 * @file
 * A folder in memory that loses what was not synced, and fails on demand.
 */
#ifndef TEST_MEMORY_FS_H
#define TEST_MEMORY_FS_H

#include <stdbool.h>

#include "storage/fs.h"

struct memory_fs;

struct memory_fs *memory_fs_create(uint32_t seed);
void memory_fs_destroy(struct memory_fs *fs);

const struct storage_fs *memory_fs_driver(struct memory_fs *fs);

/** Lets so many operations pass, then fails all with an errno. 0: never. */
void memory_fs_fail_after(struct memory_fs *fs, int operations, int error);

/** Whether an operation has failed since memory_fs_fail_after(). */
bool memory_fs_failed(const struct memory_fs *fs);

/** Operations done so far. */
uint64_t memory_fs_operations(const struct memory_fs *fs);

/** Forgets what was not synced, but for a part that chance lets survive. */
void memory_fs_crash(struct memory_fs *fs);

/** Removes everything, as a new disk would. */
void memory_fs_wipe(struct memory_fs *fs);

/** The bytes of a file, to be damaged by tests; NULL if there is none. */
GByteArray *memory_fs_file(struct memory_fs *fs, const char *name);

/** Adds the names of the files whose names start so. */
void memory_fs_list(struct memory_fs *fs, const char *prefix, GPtrArray *names);

#endif
