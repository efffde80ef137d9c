#include <errno.h>
#include <string.h>

#include "test/memory_fs.h"

struct file {
	int refs;
	GByteArray *data;
	guint synced; /* number of bytes that survive a crash */
};

struct memory_fs {
	struct storage_fs driver;
	GRand *random;
	GHashTable *names;   /* name -> struct file, current */
	GHashTable *durable; /* name -> struct file, as of the last sync_dir */
	GPtrArray *handles;  /* of struct file */
	int until_failure;   /* operations that still succeed; -1: all */
	int error;
	bool failed;
	uint64_t operations;
	int64_t *clock_us; /* advanced by sync_us at each sync, or NULL */
	int64_t sync_us;
};

static struct file *file_ref(struct file *file)
{
	file->refs++;
	return file;
}

static void file_unref(gpointer data)
{
	struct file *file = data;

	if (!file || --file->refs)
		return;
	g_byte_array_unref(file->data);
	g_free(file);
}

static GHashTable *new_names(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     file_unref);
}

/* Counts an operation; returns the error to fail it with, or 0. */
static int begin_operation(struct memory_fs *fs)
{
	fs->operations++;
	if (fs->until_failure < 0)
		return 0;
	if (fs->until_failure > 0) {
		fs->until_failure--;
		return 0;
	}
	fs->failed = true;
	return -fs->error;
}

static int mem_open(void *ctx, const char *name)
{
	struct memory_fs *fs = ctx;
	struct file *file = g_hash_table_lookup(fs->names, name);
	int error = begin_operation(fs);

	if (error)
		return error;
	if (!file) {
		file = g_new0(struct file, 1);
		file->data = g_byte_array_new();
		g_hash_table_insert(fs->names, g_strdup(name), file_ref(file));
	}
	g_ptr_array_add(fs->handles, file_ref(file));
	return (int)fs->handles->len - 1;
}

static int mem_append(void *ctx, int handle, const void *data, size_t size)
{
	struct memory_fs *fs = ctx;
	struct file *file = fs->handles->pdata[handle];
	int error = begin_operation(fs);

	if (error) {
		/* A failed write may have written a part of its data. */
		size = (size_t)g_rand_int_range(fs->random, 0, (gint)size + 1);
	}
	if (size)
		g_byte_array_append(file->data, data, (guint)size);
	return error;
}

static int mem_sync(void *ctx, int handle)
{
	struct memory_fs *fs = ctx;
	struct file *file = fs->handles->pdata[handle];
	int error = begin_operation(fs);

	if (fs->clock_us)
		*fs->clock_us += fs->sync_us;
	if (!error)
		file->synced = file->data->len;
	return error;
}

static int mem_truncate(void *ctx, int handle, uint64_t size)
{
	struct memory_fs *fs = ctx;
	struct file *file = fs->handles->pdata[handle];
	int error = begin_operation(fs);

	if (error)
		return error;
	g_byte_array_set_size(file->data, (guint)size);
	file->synced = MIN(file->synced, (guint)size);
	return 0;
}

static void mem_close(void *ctx, int handle)
{
	struct memory_fs *fs = ctx;

	file_unref(fs->handles->pdata[handle]);
	fs->handles->pdata[handle] = NULL;
}

static int mem_rename(void *ctx, const char *from, const char *to)
{
	struct memory_fs *fs = ctx;
	struct file *file = g_hash_table_lookup(fs->names, from);
	int error = begin_operation(fs);

	if (error)
		return error;
	if (!file)
		return -ENOENT;
	g_hash_table_replace(fs->names, g_strdup(to), file_ref(file));
	g_hash_table_remove(fs->names, from);
	return 0;
}

static int mem_remove(void *ctx, const char *name)
{
	struct memory_fs *fs = ctx;
	int error = begin_operation(fs);

	if (error)
		return error;
	return g_hash_table_remove(fs->names, name) ? 0 : -ENOENT;
}

static void copy_names(GHashTable *from, GHashTable *to)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_hash_table_insert(to, g_strdup(key), file_ref(value));
}

static int mem_sync_dir(void *ctx)
{
	struct memory_fs *fs = ctx;
	int error = begin_operation(fs);

	if (error)
		return error;
	g_hash_table_remove_all(fs->durable);
	copy_names(fs->names, fs->durable);
	return 0;
}

static GBytes *mem_read(void *ctx, const char *name, int *error)
{
	struct memory_fs *fs = ctx;
	struct file *file = g_hash_table_lookup(fs->names, name);

	*error = begin_operation(fs);
	if (*error)
		return NULL;
	*error = file ? 0 : -ENOENT;
	return file ? g_bytes_new(file->data->data, file->data->len) : NULL;
}

static int mem_list(void *ctx, GPtrArray *names)
{
	struct memory_fs *fs = ctx;
	GHashTableIter iter;
	gpointer key;
	int error = begin_operation(fs);

	g_hash_table_iter_init(&iter, fs->names);
	while (!error && g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(names, g_strdup(key));
	return error;
}

struct memory_fs *memory_fs_create(uint32_t seed)
{
	struct memory_fs *fs = g_new0(struct memory_fs, 1);

	fs->random = g_rand_new_with_seed(seed);
	fs->names = new_names();
	fs->durable = new_names();
	fs->handles = g_ptr_array_new_with_free_func(file_unref);
	fs->until_failure = -1;
	fs->driver = (struct storage_fs){
		.open = mem_open,
		.append = mem_append,
		.sync = mem_sync,
		.truncate = mem_truncate,
		.close = mem_close,
		.rename = mem_rename,
		.remove = mem_remove,
		.sync_dir = mem_sync_dir,
		.read = mem_read,
		.list = mem_list,
		.ctx = fs,
	};
	return fs;
}

void memory_fs_destroy(struct memory_fs *fs)
{
	g_ptr_array_unref(fs->handles);
	g_hash_table_unref(fs->names);
	g_hash_table_unref(fs->durable);
	g_rand_free(fs->random);
	g_free(fs);
}

const struct storage_fs *memory_fs_driver(struct memory_fs *fs)
{
	return &fs->driver;
}

void memory_fs_delay_syncs(struct memory_fs *fs, int64_t *clock_us,
			   int64_t duration_us)
{
	fs->clock_us = clock_us;
	fs->sync_us = duration_us;
}

void memory_fs_fail_after(struct memory_fs *fs, int operations, int error)
{
	fs->until_failure = operations > 0 ? operations - 1 : -1;
	fs->error = error;
	fs->failed = false;
}

bool memory_fs_failed(const struct memory_fs *fs)
{
	return fs->failed;
}

uint64_t memory_fs_operations(const struct memory_fs *fs)
{
	return fs->operations;
}

/*
 * Keeps a random number of the unsynced bytes, and may overwrite the last ones
 * of these with random data.
 */
static void lose_unsynced_data(struct memory_fs *fs, struct file *file)
{
	guint unsynced = file->data->len - file->synced;
	guint kept;

	if (!unsynced)
		return;
	kept = (guint)g_rand_int_range(fs->random, 0, (gint)unsynced + 1);
	g_byte_array_set_size(file->data, file->synced + kept);
	if (kept && g_rand_boolean(fs->random)) {
		guint at = file->synced +
			   (guint)g_rand_int_range(fs->random, 0, (gint)kept);

		for (guint i = at; i < file->data->len; i++)
			file->data->data[i] ^= (guint8)g_rand_int(fs->random);
	}
	file->synced = file->data->len;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* The names of both tables, sorted, so that runs of a seed are identical. */
static GPtrArray *all_names(const struct memory_fs *fs)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *sorted = g_ptr_array_new();
	GHashTable *tables[] = { fs->names, fs->durable };

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		GHashTableIter iter;
		gpointer key;

		g_hash_table_iter_init(&iter, tables[i]);
		while (g_hash_table_iter_next(&iter, &key, NULL))
			if (g_hash_table_add(seen, key))
				g_ptr_array_add(sorted, key);
	}
	g_ptr_array_sort(sorted, compare_names);
	g_hash_table_unref(seen);
	return sorted;
}

/* Undoes unsynced creations, renames and removals, each at random. */
static void lose_unsynced_names(struct memory_fs *fs)
{
	GHashTable *kept = new_names();
	GPtrArray *names = all_names(fs);

	for (guint i = 0; i < names->len; i++) {
		struct file *current = g_hash_table_lookup(fs->names,
							   names->pdata[i]);
		struct file *synced = g_hash_table_lookup(fs->durable,
							  names->pdata[i]);
		struct file *file = current;

		if (current != synced && g_rand_boolean(fs->random))
			file = synced;
		if (file)
			g_hash_table_insert(kept, g_strdup(names->pdata[i]),
					    file_ref(file));
	}
	g_ptr_array_unref(names);
	g_hash_table_unref(fs->names);
	fs->names = kept;
	g_hash_table_remove_all(fs->durable);
	copy_names(fs->names, fs->durable);
}

void memory_fs_crash(struct memory_fs *fs)
{
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(fs->handles, 0);
	lose_unsynced_names(fs);
	g_hash_table_iter_init(&iter, fs->names);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		lose_unsynced_data(fs, value);
	fs->until_failure = -1;
	fs->failed = false;
}

void memory_fs_kill(struct memory_fs *fs)
{
	g_ptr_array_set_size(fs->handles, 0);
	fs->until_failure = -1;
	fs->failed = false;
}

void memory_fs_wipe(struct memory_fs *fs)
{
	g_ptr_array_set_size(fs->handles, 0);
	g_hash_table_remove_all(fs->names);
	g_hash_table_remove_all(fs->durable);
	fs->until_failure = -1;
	fs->failed = false;
}

GByteArray *memory_fs_file(struct memory_fs *fs, const char *name)
{
	struct file *file = g_hash_table_lookup(fs->names, name);

	return file ? file->data : NULL;
}

void memory_fs_list(struct memory_fs *fs, const char *prefix, GPtrArray *names)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, fs->names);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (g_str_has_prefix(key, prefix))
			g_ptr_array_add(names, g_strdup(key));
	g_ptr_array_sort(names, compare_names);
}
