/**
 * @file
 * The file operations that storage uses, as a driver, so that tests can make
 * each of them fail or lose unsynced data.
 *
 * Names are file names inside one folder, without a path. Operations return a
 * value >= 0, or a negated errno. A driver is used by one thread at a time.
 */
#ifndef STORAGE_FS_H
#define STORAGE_FS_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct storage_fs {
	/** Opens a file for appending, or creates it; returns a handle. */
	int (*open)(void *ctx, const char *name);
	int (*append)(void *ctx, int handle, const void *data, size_t size);
	int (*sync)(void *ctx, int handle);
	int (*truncate)(void *ctx, int handle, uint64_t size);
	void (*close)(void *ctx, int handle);
	int (*rename)(void *ctx, const char *from, const char *to);
	int (*remove)(void *ctx, const char *name);
	/** Makes file creations, renames and removals durable. */
	int (*sync_dir)(void *ctx);
	/** Reads a whole file; NULL with *error set on failure. */
	GBytes *(*read)(void *ctx, const char *name, int *error);
	/** Adds a new string for each file whose name has no leading dot. */
	int (*list)(void *ctx, GPtrArray *names);
	void *ctx;
};

/** A folder on disk, locked against other processes. */
struct fs_folder;

/**
 * Opens a folder, creating it if needed, and locks it. Returns NULL on failure
 * with *error set to a negated errno, -EWOULDBLOCK if it is locked already.
 */
struct fs_folder *fs_folder_open(const char *path, int *error);

/** Releases the lock and frees the folder. NULL is allowed. */
void fs_folder_close(struct fs_folder *folder);

/** Returns the driver for a folder, valid until the folder is closed. */
const struct storage_fs *fs_folder_driver(struct fs_folder *folder);

#endif
