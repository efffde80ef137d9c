#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "storage/record.h"
#include "storage/storage.h"
#include "wire/codec.h"

#define FOLDER_FORMAT 2u
#define META_NAME "meta"
#define NAME_BYTES 64
#define SEGMENT_PREFIX "log-"
#define SNAPSHOT_PREFIX "snapshot-"

/** A log file. */
struct segment {
	uint64_t sequence;
	uint64_t last_index; /* highest index of an entry in it */
	uint64_t bytes;
};

/** Work of a job, and what only the thread that runs it uses meanwhile. */
struct storage_job {
	GByteArray *records;		/* to be appended to the last segment */
	uint64_t last_index;		/* highest index of an entry in them */
	struct stored_hard_state state; /* as of the last of them */
	GBytes *snapshot; /* to be stored after them; NULL: none */
	uint64_t snapshot_index;
	bool snapshot_received;
};

struct storage {
	struct storage_opts opts;
	struct folder_meta meta;
	/* Of the owner, also while a job runs. */
	struct stored_hard_state state;
	GByteArray *buffer;
	uint64_t buffer_last_index; /* highest index of an entry in it */
	uint64_t log_bytes;	    /* as of the end of the last job */
	bool job_begun;
	/* Of the thread that runs the job. */
	struct storage_job job;
	GArray *segments; /* of struct segment; the last one is written to */
	int handle;	  /* of the last segment, -1 before the first */
	uint64_t snapshot_index;
	uint64_t syncs;
	enum rd_result error_code; /* RD_OK until the first failure */
	char *error_text;
};

static void segment_name(char *out, uint64_t sequence)
{
	snprintf(out, NAME_BYTES, SEGMENT_PREFIX "%016" PRIx64, sequence);
}

static void snapshot_name(char *out, uint64_t index)
{
	snprintf(out, NAME_BYTES, SNAPSHOT_PREFIX "%016" PRIx64, index);
}

static enum rd_result fail(struct storage *s, const char *name,
			   const char *action, int error)
{
	if (s->error_code)
		return s->error_code;
	s->error_code = error == -ENOSPC || error == -EDQUOT ? RD_DISK_FULL
							     : RD_IO;
	s->error_text = g_strdup_printf("%s: %s: %s", name, action,
					g_strerror(-error));
	return s->error_code;
}

/* Records that a file is unusable; `a` and `b` are the arguments of `fmt`. */
static enum rd_result reject(struct storage *s, enum rd_result code,
			     const char *name, const char *fmt, uint64_t a,
			     uint64_t b)
{
	char cause[160];

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	snprintf(cause, sizeof(cause), fmt, a, b);
#pragma GCC diagnostic pop
	s->error_code = code;
	s->error_text = g_strdup_printf("%s: %s", name, cause);
	return code;
}

/*
 * Replaces a file atomically: writes and syncs a temporary file, renames it and
 * syncs the directory.
 */
static enum rd_result write_file_atomically(struct storage *s, const char *name,
					    const GByteArray *data)
{
	const struct storage_fs *fs = s->opts.fs;
	char temporary[NAME_BYTES + 8];
	int handle, error;

	snprintf(temporary, sizeof(temporary), "%s.tmp", name);
	(void)fs->remove(fs->ctx, temporary);
	handle = fs->open(fs->ctx, temporary);
	if (handle < 0)
		return fail(s, temporary, "open", handle);
	error = fs->append(fs->ctx, handle, data->data, data->len);
	if (!error)
		error = fs->sync(fs->ctx, handle);
	fs->close(fs->ctx, handle);
	if (!error)
		error = fs->rename(fs->ctx, temporary, name);
	if (!error)
		error = fs->sync_dir(fs->ctx);
	return error ? fail(s, name, "write", error) : RD_OK;
}

static enum rd_result write_record(struct storage *s, const char *name,
				   enum record_type type, GBytes *payload)
{
	GByteArray *data = g_byte_array_new();
	enum rd_result result;

	record_append(data, type, payload);
	result = write_file_atomically(s, name, data);
	g_byte_array_unref(data);
	return result;
}

static void put_record(GByteArray *records, enum record_type type,
		       GBytes *payload)
{
	/* Its bounds were checked before it got here. */
	g_assert(payload);
	record_append(records, type, payload);
	g_bytes_unref(payload);
}

/* Adds a record that discards all entries before it. */
static void put_reset_record(GByteArray *records)
{
	put_record(records, RECORD_RESET, g_bytes_new(NULL, 0));
}

static enum rd_result start_segment(struct storage *s)
{
	const struct storage_fs *fs = s->opts.fs;
	struct segment added = { .sequence = 1 };
	char name[NAME_BYTES];
	int error;

	if (s->segments->len)
		added.sequence = g_array_index(s->segments, struct segment,
					       s->segments->len - 1)
					 .sequence +
				 1;
	if (s->handle >= 0)
		fs->close(fs->ctx, s->handle);
	segment_name(name, added.sequence);
	s->handle = fs->open(fs->ctx, name);
	if (s->handle < 0)
		return fail(s, name, "open", s->handle);
	error = fs->sync_dir(fs->ctx);
	if (error)
		return fail(s, name, "sync", error);
	g_array_append_val(s->segments, added);
	/* Older segments may be removed, so each repeats the term and vote. */
	put_record(s->job.records, RECORD_HARD_STATE,
		   CODEC_ENCODE(stored_hard_state, &s->job.state));
	return RD_OK;
}

static struct segment *last_segment(struct storage *s)
{
	return &g_array_index(s->segments, struct segment,
			      s->segments->len - 1);
}

/* ---- recovery ---- */

static enum rd_result read_meta(struct storage *s, bool *created)
{
	const struct storage_fs *fs = s->opts.fs;
	struct record record;
	size_t offset = 0;
	int error = 0;
	gsize size;
	GBytes *bytes = fs->read(fs->ctx, META_NAME, &error);
	const uint8_t *data;
	bool ok;

	*created = !bytes && error == -ENOENT;
	if (*created)
		return RD_OK;
	if (!bytes)
		return fail(s, META_NAME, "read", error);
	data = g_bytes_get_data(bytes, &size);
	ok = record_read(data, size, &offset, &record) &&
	     record.type == RECORD_META &&
	     codec_decode((xdrproc_t)xdr_folder_meta, record.payload,
			  record.size, &s->meta);
	g_bytes_unref(bytes);
	if (!ok)
		return reject(s, RD_DAMAGED, META_NAME,
			      "not a valid meta record", 0, 0);
	if (s->meta.format != FOLDER_FORMAT)
		return reject(s, RD_FORMAT, META_NAME,
			      "format %" PRIu64 ", this build reads %" PRIu64,
			      s->meta.format, FOLDER_FORMAT);
	if (strcmp(s->meta.cluster, s->opts.cluster) != 0)
		return reject(s, RD_FOREIGN_FOLDER, META_NAME,
			      "belongs to another cluster", 0, 0);
	if (s->meta.node != s->opts.node)
		return reject(s, RD_FOREIGN_FOLDER, META_NAME,
			      "belongs to node %" PRIu64 ", not %" PRIu64,
			      s->meta.node, s->opts.node);
	return RD_OK;
}

static enum rd_result write_meta(struct storage *s)
{
	GBytes *payload = CODEC_ENCODE(folder_meta, &s->meta);
	enum rd_result result = write_record(s, META_NAME, RECORD_META,
					     payload);

	g_bytes_unref(payload);
	return result;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static enum rd_result list_files(struct storage *s, const char *prefix,
				 GPtrArray *found)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int error = s->opts.fs->list(s->opts.fs->ctx, names);

	for (guint i = 0; i < names->len; i++) {
		char *name = names->pdata[i];

		if (g_str_has_prefix(name, prefix) &&
		    !g_str_has_suffix(name, ".tmp"))
			g_ptr_array_add(found, g_strdup(name));
	}
	g_ptr_array_unref(names);
	g_ptr_array_sort(found, compare_names);
	return error ? fail(s, prefix, "list", error) : RD_OK;
}

static enum rd_result read_snapshot(struct storage *s,
				    struct storage_recovered *r)
{
	const struct storage_fs *fs = s->opts.fs;
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	enum rd_result result = list_files(s, SNAPSHOT_PREFIX, names);
	struct record record;
	const uint8_t *data;
	GBytes *bytes = NULL;
	size_t offset = 0;
	const char *name;
	int error = 0;
	gsize size;

	if (result || !names->len)
		goto done;
	name = names->pdata[names->len - 1];
	bytes = fs->read(fs->ctx, name, &error);
	if (!bytes) {
		result = fail(s, name, "read", error);
		goto done;
	}
	data = g_bytes_get_data(bytes, &size);
	if (!record_read(data, size, &offset, &record) ||
	    record.type != RECORD_SNAPSHOT ||
	    !codec_decode((xdrproc_t)xdr_stored_snapshot, record.payload,
			  record.size, &r->snapshot))
		result = reject(s, RD_DAMAGED, name,
				"not a valid snapshot record", 0, 0);
	s->snapshot_index = r->snapshot.index;
done:
	if (bytes)
		g_bytes_unref(bytes);
	g_ptr_array_unref(names);
	return result;
}

static void entry_free(gpointer data)
{
	struct raft_entry *entry = data;

	g_bytes_unref(entry->data);
	g_free(entry);
}

static uint64_t last_index(const struct storage_recovered *r)
{
	struct raft_entry *last;

	if (!r->entries->len)
		return 0;
	last = r->entries->pdata[r->entries->len - 1];
	return last->index;
}

static bool replay_entry(struct storage_recovered *r, struct segment *segment,
			 const struct raft_wire_entry *wire)
{
	struct raft_entry *entry;

	if (r->entries->len ? wire->index != last_index(r) + 1
			    : wire->index > r->snapshot.index + 1)
		return false;
	entry = g_new0(struct raft_entry, 1);
	entry->index = wire->index;
	entry->term = wire->term;
	entry->kind = wire->kind;
	entry->data = g_bytes_new(wire->data.data_val, wire->data.data_len);
	g_ptr_array_add(r->entries, entry);
	segment->last_index = MAX(segment->last_index, wire->index);
	return true;
}

static void replay_truncate(struct storage_recovered *r, uint64_t from)
{
	while (r->entries->len && last_index(r) >= from)
		g_ptr_array_remove_index(r->entries, r->entries->len - 1);
}

static bool replay(struct storage_recovered *r, struct segment *segment,
		   const struct record *record)
{
	struct raft_wire_entry entry = { 0 };
	struct stored_hard_state state = { 0 };
	uint64_t from = 0;
	bool ok = false;

	switch (record->type) {
	case RECORD_HARD_STATE:
		ok = codec_decode((xdrproc_t)xdr_stored_hard_state,
				  record->payload, record->size, &state);
		r->term = state.term;
		r->vote = state.voted_for;
		return ok;
	case RECORD_ENTRY:
		if (!codec_decode((xdrproc_t)xdr_raft_wire_entry,
				  record->payload, record->size, &entry))
			return false;
		ok = replay_entry(r, segment, &entry);
		CODEC_FREE(raft_wire_entry, &entry);
		return ok;
	case RECORD_TRUNCATE:
		ok = codec_decode((xdrproc_t)xdr_uint64_t, record->payload,
				  record->size, &from);
		replay_truncate(r, from);
		return ok;
	case RECORD_RESET:
		g_ptr_array_set_size(r->entries, 0);
		return true;
	default:
		return false;
	}
}

/*
 * Cuts off what follows the first `size` bytes, and syncs the rest: after the
 * end of a process a file has all that was written to it, durable or not, and
 * what is read here counts as durable.
 */
static enum rd_result make_durable(struct storage *s, const char *name,
				   uint64_t size, bool is_torn)
{
	const struct storage_fs *fs = s->opts.fs;
	int handle = fs->open(fs->ctx, name);
	int error = 0;

	if (handle < 0)
		return fail(s, name, "open", handle);
	if (is_torn)
		error = fs->truncate(fs->ctx, handle, size);
	if (!error)
		error = fs->sync(fs->ctx, handle);
	fs->close(fs->ctx, handle);
	return error ? fail(s, name, "sync", error) : RD_OK;
}

static enum rd_result read_segment(struct storage *s,
				   struct storage_recovered *r,
				   const char *name, bool last)
{
	const struct storage_fs *fs = s->opts.fs;
	struct segment segment = { 0 };
	struct record record;
	size_t offset = 0, start = 0;
	enum rd_result result = RD_OK;
	int error = 0;
	gsize size;
	GBytes *bytes = fs->read(fs->ctx, name, &error);
	const uint8_t *data;

	if (!bytes)
		return fail(s, name, "read", error);
	data = g_bytes_get_data(bytes, &size);
	segment.sequence = g_ascii_strtoull(name + strlen(SEGMENT_PREFIX), NULL,
					    16);
	while (record_read(data, size, &offset, &record)) {
		if (!replay(r, &segment, &record)) {
			result = reject(s, RD_DAMAGED, name,
					"invalid record of type %" PRIu64
					" at byte %" PRIu64,
					record.type, start);
			goto done;
		}
		start = offset;
	}
	if (offset < size &&
	    (!last || record_exists_from(data, size, offset + 1)))
		result = reject(s, RD_DAMAGED, name,
				"bad checksum at byte %" PRIu64 " of %" PRIu64,
				offset, size);
	else
		result = make_durable(s, name, offset, offset < size);
	r->torn_bytes += size - offset;
	segment.bytes = offset;
	g_array_append_val(s->segments, segment);
done:
	g_bytes_unref(bytes);
	return result;
}

static enum rd_result read_log(struct storage *s, struct storage_recovered *r)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	enum rd_result result = list_files(s, SEGMENT_PREFIX, names);

	for (guint i = 0; !result && i < names->len; i++)
		result = read_segment(s, r, names->pdata[i],
				      i + 1 == names->len);
	g_ptr_array_unref(names);
	return result;
}

/*
 * Discards the entries that the snapshot covers. After a crash while a
 * received snapshot was stored, the log's entry at the snapshot's index may
 * have another term; the entries after it are not valid then either.
 */
static void discard_covered_entries(struct storage_recovered *r)
{
	const struct stored_snapshot *snapshot = &r->snapshot;
	bool terms_match = true;

	while (r->entries->len) {
		struct raft_entry *first = r->entries->pdata[0];

		if (first->index > snapshot->index)
			break;
		if (first->index == snapshot->index)
			terms_match = first->term == snapshot->term;
		g_ptr_array_remove_index(r->entries, 0);
	}
	if (!terms_match)
		g_ptr_array_set_size(r->entries, 0);
}

/* Removes the temporary files of writes that a crash interrupted. */
static void remove_temporary_files(struct storage *s)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	(void)s->opts.fs->list(s->opts.fs->ctx, names);
	for (guint i = 0; i < names->len; i++)
		if (g_str_has_suffix(names->pdata[i], ".tmp"))
			(void)s->opts.fs->remove(s->opts.fs->ctx,
						 names->pdata[i]);
	g_ptr_array_unref(names);
}

static enum rd_result recover(struct storage *s, struct storage_recovered *r)
{
	enum rd_result result = read_meta(s, &r->created);

	if (!result && r->created) {
		s->meta.format = FOLDER_FORMAT;
		s->meta.cluster = g_strdup(s->opts.cluster);
		s->meta.node = s->opts.node;
		s->meta.member_id = s->opts.new_member;
	}
	if (!result && !r->created)
		result = read_snapshot(s, r);
	if (!result && !r->created)
		result = read_log(s, r);
	if (result)
		return result;
	remove_temporary_files(s);
	discard_covered_entries(r);
	s->state.term = r->term;
	s->state.voted_for = r->vote;
	s->job.state = s->state;
	s->meta.incarnation = MAX(s->meta.incarnation + 1,
				  s->opts.incarnation_min);
	r->member = s->meta.member_id;
	r->incarnation = s->meta.incarnation;
	result = write_meta(s);
	if (!result)
		result = start_segment(s);
	if (result)
		return result;
	/*
	 * After a crash between storing a received snapshot and its reset
	 * record, the log still holds old entries. New entries would not be
	 * contiguous with them.
	 */
	if (!r->entries->len)
		put_reset_record(s->job.records);
	storage_begin_sync(s);
	storage_run_job(s);
	return storage_end_job(s);
}

enum rd_result storage_open(const struct storage_opts *opts,
			    struct storage **storage,
			    struct storage_recovered *recovered, char **error)
{
	struct storage *s = g_new0(struct storage, 1);
	enum rd_result result;

	s->opts = *opts;
	s->segments = g_array_new(FALSE, TRUE, sizeof(struct segment));
	s->handle = -1;
	s->buffer = g_byte_array_new();
	s->job.records = g_byte_array_new();
	memset(recovered, 0, sizeof(*recovered));
	recovered->entries = g_ptr_array_new_with_free_func(entry_free);
	result = recover(s, recovered);
	if (!result) {
		*storage = s;
		return RD_OK;
	}
	*error = g_strdup(s->error_text);
	storage_recovered_clear(recovered);
	storage_close(s);
	return result;
}

void storage_recovered_clear(struct storage_recovered *recovered)
{
	g_ptr_array_unref(recovered->entries);
	CODEC_FREE(stored_snapshot, &recovered->snapshot);
	recovered->entries = NULL;
}

void storage_close(struct storage *s)
{
	if (!s)
		return;
	if (s->handle >= 0)
		s->opts.fs->close(s->opts.fs->ctx, s->handle);
	CODEC_FREE(folder_meta, &s->meta);
	g_array_unref(s->segments);
	g_byte_array_unref(s->buffer);
	g_byte_array_unref(s->job.records);
	if (s->job.snapshot)
		g_bytes_unref(s->job.snapshot);
	g_free(s->error_text);
	g_free(s);
}

/* ---- buffering ---- */

void storage_put_hard_state(struct storage *s, uint64_t term, uint64_t vote)
{
	s->state.term = term;
	s->state.voted_for = vote;
	put_record(s->buffer, RECORD_HARD_STATE,
		   CODEC_ENCODE(stored_hard_state, &s->state));
}

void storage_put_entry(struct storage *s, const struct raft_entry *entry)
{
	struct raft_wire_entry wire = {
		.index = entry->index,
		.term = entry->term,
		.kind = entry->kind,
	};
	gsize size;

	wire.data.data_val = (char *)g_bytes_get_data(entry->data, &size);
	wire.data.data_len = (u_int)size;
	put_record(s->buffer, RECORD_ENTRY,
		   CODEC_ENCODE(raft_wire_entry, &wire));
	s->buffer_last_index = MAX(s->buffer_last_index, entry->index);
}

void storage_put_truncate(struct storage *s, uint64_t from)
{
	put_record(s->buffer, RECORD_TRUNCATE,
		   codec_encode((xdrproc_t)xdr_uint64_t, &from));
}

bool storage_dirty(const struct storage *s)
{
	return s->buffer->len > 0;
}

/* ---- jobs ---- */

static enum rd_result flush(struct storage *s)
{
	const struct storage_fs *fs = s->opts.fs;
	struct storage_job *job = &s->job;
	struct segment *segment = last_segment(s);
	char name[NAME_BYTES];
	int error = fs->append(fs->ctx, s->handle, job->records->data,
			       job->records->len);

	if (!error)
		error = fs->sync(fs->ctx, s->handle);
	if (error) {
		segment_name(name, segment->sequence);
		return fail(s, name, "write", error);
	}
	segment->bytes += job->records->len;
	segment->last_index = MAX(segment->last_index, job->last_index);
	s->syncs++;
	job->last_index = 0;
	g_byte_array_set_size(job->records, 0);
	return RD_OK;
}

static enum rd_result write_records(struct storage *s)
{
	enum rd_result result = s->error_code;

	if (result || !s->job.records->len)
		return result;
	result = flush(s);
	if (!result && last_segment(s)->bytes > s->opts.segment_bytes)
		result = start_segment(s);
	return result;
}

static enum rd_result remove_covered_segments(struct storage *s)
{
	const struct storage_fs *fs = s->opts.fs;
	char name[NAME_BYTES];
	int error = 0;

	/* Oldest first, each removal durable, so a crash leaves no gap. */
	while (!error && s->segments->len > 1) {
		struct segment *first = &g_array_index(s->segments,
						       struct segment, 0);

		if (first->last_index > s->snapshot_index)
			break;
		segment_name(name, first->sequence);
		error = fs->remove(fs->ctx, name);
		if (!error)
			error = fs->sync_dir(fs->ctx);
		if (!error)
			g_array_remove_index(s->segments, 0);
	}
	return error ? fail(s, name, "remove", error) : RD_OK;
}

static enum rd_result remove_old_snapshots(struct storage *s)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	enum rd_result result = list_files(s, SNAPSHOT_PREFIX, names);

	for (guint i = 0; !result && i + 1 < names->len; i++) {
		int error = s->opts.fs->remove(s->opts.fs->ctx,
					       names->pdata[i]);

		if (error)
			result = fail(s, names->pdata[i], "remove", error);
	}
	g_ptr_array_unref(names);
	return result;
}

static enum rd_result write_snapshot(struct storage *s)
{
	struct storage_job *job = &s->job;
	char name[NAME_BYTES];
	enum rd_result result;

	snapshot_name(name, job->snapshot_index);
	result = write_record(s, name, RECORD_SNAPSHOT, job->snapshot);
	if (result)
		return result;
	s->snapshot_index = job->snapshot_index;
	if (job->snapshot_received) {
		put_reset_record(job->records);
		for (guint i = 0; i < s->segments->len; i++)
			g_array_index(s->segments, struct segment, i)
				.last_index = 0;
	}
	result = start_segment(s);
	if (!result)
		result = write_records(s);
	if (!result)
		result = remove_covered_segments(s);
	return result ? result : remove_old_snapshots(s);
}

void storage_begin_sync(struct storage *s)
{
	struct storage_job *job = &s->job;

	g_assert(!s->job_begun);
	s->job_begun = true;
	/* The records may begin with those of a new segment. */
	g_byte_array_append(job->records, s->buffer->data, s->buffer->len);
	g_byte_array_set_size(s->buffer, 0);
	job->last_index = MAX(job->last_index, s->buffer_last_index);
	s->buffer_last_index = 0;
	job->state = s->state;
}

enum rd_result storage_begin_snapshot(struct storage *s,
				      const struct stored_snapshot *snapshot,
				      bool received)
{
	GBytes *payload = CODEC_ENCODE(stored_snapshot, snapshot);

	if (!payload)
		return RD_TOO_LARGE;
	storage_begin_sync(s);
	s->job.snapshot = payload;
	s->job.snapshot_index = snapshot->index;
	s->job.snapshot_received = received;
	return RD_OK;
}

void storage_run_job(struct storage *s)
{
	if (!write_records(s) && s->job.snapshot)
		(void)write_snapshot(s);
}

enum rd_result storage_end_job(struct storage *s)
{
	g_assert(s->job_begun);
	s->job_begun = false;
	if (s->job.snapshot)
		g_bytes_unref(s->job.snapshot);
	s->job.snapshot = NULL;
	s->log_bytes = s->job.records->len;
	for (guint i = 0; i < s->segments->len; i++)
		s->log_bytes +=
			g_array_index(s->segments, struct segment, i).bytes;
	return s->error_code;
}

enum rd_result storage_sync(struct storage *s)
{
	storage_begin_sync(s);
	storage_run_job(s);
	return storage_end_job(s);
}

enum rd_result storage_write_snapshot(struct storage *s,
				      const struct stored_snapshot *snapshot,
				      bool received)
{
	enum rd_result result = storage_begin_snapshot(s, snapshot, received);

	if (result)
		return result;
	storage_run_job(s);
	return storage_end_job(s);
}

uint64_t storage_log_bytes(const struct storage *s)
{
	return s->log_bytes + s->buffer->len;
}

uint64_t storage_sync_count(const struct storage *s)
{
	return s->syncs;
}

const char *storage_error_text(const struct storage *s)
{
	return s->error_text ? s->error_text : "";
}
