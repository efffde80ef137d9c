#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <sys/file.h>
#include <sys/stat.h>

#include "storage/fs.h"

#define FOLDER_MODE 0700
#define FILE_MODE 0600
#define LOCK_NAME "lock"

struct fs_folder {
	int dir;
	int lock;
	struct storage_fs driver;
};

static int folder_open_file(void *ctx, const char *name)
{
	struct fs_folder *folder = ctx;
	int fd = openat(folder->dir, name,
			O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);

	return fd < 0 ? -errno : fd;
}

static int folder_append(void *ctx, int handle, const void *data, size_t size)
{
	const char *at = data;

	(void)ctx;
	while (size) {
		ssize_t n = write(handle, at, size);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -errno;
		at += n;
		size -= (size_t)n;
	}
	return 0;
}

static int folder_sync(void *ctx, int handle)
{
	(void)ctx;
	return fdatasync(handle) ? -errno : 0;
}

static int folder_truncate(void *ctx, int handle, uint64_t size)
{
	(void)ctx;
	return ftruncate(handle, (off_t)size) ? -errno : 0;
}

static void folder_close_file(void *ctx, int handle)
{
	(void)ctx;
	close(handle);
}

static int folder_rename(void *ctx, const char *from, const char *to)
{
	struct fs_folder *folder = ctx;

	return renameat(folder->dir, from, folder->dir, to) ? -errno : 0;
}

static int folder_remove(void *ctx, const char *name)
{
	struct fs_folder *folder = ctx;

	return unlinkat(folder->dir, name, 0) ? -errno : 0;
}

static int folder_sync_dir(void *ctx)
{
	struct fs_folder *folder = ctx;

	return fsync(folder->dir) ? -errno : 0;
}

static GBytes *folder_read(void *ctx, const char *name, int *error)
{
	struct fs_folder *folder = ctx;
	int fd = openat(folder->dir, name, O_RDONLY | O_CLOEXEC);
	struct stat st;
	char *data = NULL;
	size_t done = 0;

	if (fd < 0 || fstat(fd, &st))
		goto fail;
	data = g_malloc((gsize)st.st_size + 1);
	while (done < (size_t)st.st_size) {
		ssize_t n = read(fd, data + done, (size_t)st.st_size - done);

		if (n < 0)
			goto fail;
		if (!n)
			break;
		done += (size_t)n;
	}
	close(fd);
	return g_bytes_new_take(data, done);
fail:
	*error = -errno;
	g_free(data);
	if (fd >= 0)
		close(fd);
	return NULL;
}

static int folder_list(void *ctx, GPtrArray *names)
{
	struct fs_folder *folder = ctx;
	int fd = openat(folder->dir, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	DIR *dir = fd < 0 ? NULL : fdopendir(fd);
	struct dirent *entry;

	if (!dir) {
		int error = -errno;

		if (fd >= 0)
			close(fd);
		return error;
	}
	while ((entry = readdir(dir)))
		if (entry->d_name[0] != '.')
			g_ptr_array_add(names, g_strdup(entry->d_name));
	closedir(dir);
	return 0;
}

struct fs_folder *fs_folder_open(const char *path, int *error)
{
	struct fs_folder *folder = g_new0(struct fs_folder, 1);

	folder->lock = -1;
	if (mkdir(path, FOLDER_MODE) && errno != EEXIST) {
		*error = -errno;
		folder->dir = -1;
		goto fail;
	}
	folder->dir = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (folder->dir < 0) {
		*error = -errno;
		goto fail;
	}
	folder->lock = openat(folder->dir, LOCK_NAME,
			      O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
	if (folder->lock < 0 || flock(folder->lock, LOCK_EX | LOCK_NB)) {
		*error = -errno;
		goto fail;
	}
	folder->driver = (struct storage_fs){
		.open = folder_open_file,
		.append = folder_append,
		.sync = folder_sync,
		.truncate = folder_truncate,
		.close = folder_close_file,
		.rename = folder_rename,
		.remove = folder_remove,
		.sync_dir = folder_sync_dir,
		.read = folder_read,
		.list = folder_list,
		.ctx = folder,
	};
	return folder;
fail:
	fs_folder_close(folder);
	return NULL;
}

void fs_folder_close(struct fs_folder *folder)
{
	if (!folder)
		return;
	if (folder->lock >= 0)
		close(folder->lock);
	if (folder->dir >= 0)
		close(folder->dir);
	g_free(folder);
}

const struct storage_fs *fs_folder_driver(struct fs_folder *folder)
{
	return &folder->driver;
}
