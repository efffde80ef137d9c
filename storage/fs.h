/**
 * @file
 * The file operations that storage uses, as a driver, so that tests can make
 * each of them fail or lose what was not synced.
 *
 * Names are plain file names inside one folder. Operations return 0 or more,
 * or a negated errno. A driver is used by one thread at a time.
 */
#ifndef STORAGE_FS_H
#define STORAGE_FS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct storage_fs {
	/** Opens for appending, creating it; returns a handle. */
	int (*open)(void *ctx, const char *name);
	int (*append)(void *ctx, int handle, const void *data, size_t size);
	int (*sync)(void *ctx, int handle);
	int (*truncate)(void *ctx, int handle, uint64_t size);
	void (*close)(void *ctx, int handle);
	int (*rename)(void *ctx, const char *from, const char *to);
	int (*remove)(void *ctx, const char *name);
	/** Makes names durable. */
	int (*sync_dir)(void *ctx);
	/** Reads a whole file; NULL with *error set if it cannot. */
	GBytes *(*read)(void *ctx, const char *name, int *error);
	/** Adds the names (char *) of all files. */
	int (*list)(void *ctx, GPtrArray *names);
	void *ctx;
};

/** A folder on disk, locked against other processes. */
struct fs_folder;

/** Opens (and creates) a folder and takes its lock; NULL with *error set. */
struct fs_folder *fs_folder_open(const char *path, int *error);

/** Releases the lock. NULL is allowed. */
void fs_folder_close(struct fs_folder *folder);

/** The driver over a folder; it lives as long as the folder. */
const struct storage_fs *fs_folder_driver(struct fs_folder *folder);

#endif
