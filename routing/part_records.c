#include "routing/part_records.h"

#include <math.h>
#include <string.h>

#include <radishdeal/quarantine.h>

/*
 * Times that differ by less belong to the same event, seen through messages of
 * different delay. Without the tolerance, two instances would change each
 * other's times for ever.
 */
#define END_SLACK_MS 10
#define SUCCESS_SLACK_MS 250

/** From this number of ends on, a later success is worth a message. */
#define SUSPECT_ENDS 2

#define AGE_NONE UINT32_MAX

#define SHARE_HALF_LIFE_MS 60000.0

/** Added to the successes, so that the share of a few isn't taken for certain.
 */
#define SHARE_PRIOR 100.0

struct part_success {
	uint64_t part;
	struct part_count answered;
	GList link; /* in the list of its kind */
};

void part_records_init(struct part_records *records,
		       const struct part_records_opts *opts)
{
	*records = (struct part_records){ .opts = *opts };
	records->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	records->successes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	g_queue_init(&records->by_change);
	g_queue_init(&records->contents.by_time);
	g_queue_init(&records->others.by_time);
	records->contents.max = opts->successes_max;
	records->others.max = opts->successes_max;
}

void part_records_clear(struct part_records *records)
{
	g_hash_table_unref(records->parts);
	g_hash_table_unref(records->successes);
}

struct part_entry *part_records_find(const struct part_records *records,
				     uint64_t part)
{
	return g_hash_table_lookup(records->parts, &part);
}

static void touch(struct part_records *records, struct part_entry *entry)
{
	entry->change = ++records->last_change;
	records->changed = true;
	g_queue_unlink(&records->by_change, &entry->link);
	g_queue_push_tail_link(&records->by_change, &entry->link);
}

static uint32_t count_uncleared(const struct part_entry *entry)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < entry->end_count; i++)
		count += !entry->ends[i].cleared;
	return count;
}

/* ---- the table of entries ---- */

static int64_t newest_end(const struct part_entry *entry)
{
	return entry->end_count ? entry->ends[0].time_ms : INT64_MIN;
}

static void drop(struct part_records *records, struct part_entry *entry)
{
	records->opts.dropped(records->opts.ctx, entry);
	records->changed = true;
	g_queue_unlink(&records->by_change, &entry->link);
	g_hash_table_remove(records->parts, &entry->part);
}

/*
 * The part with the fewest counted ends goes first, so that a flood of new
 * parts doesn't displace one that ends replicas.
 */
static void drop_least(struct part_records *records)
{
	struct part_entry *least = NULL;
	uint32_t least_ends = 0;

	for (GList *l = records->by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;
		uint32_t ends = count_uncleared(entry);

		if (least && ends > least_ends)
			continue;
		if (least && ends == least_ends &&
		    newest_end(entry) >= newest_end(least))
			continue;
		least = entry;
		least_ends = ends;
	}
	if (least)
		drop(records, least);
}

static int64_t last_success(const struct part_records *records, uint64_t part)
{
	const struct part_success *success =
		g_hash_table_lookup(records->successes, &part);

	return success ? success->answered.time_ms : PART_NO_SUCCESS;
}

static double count_at(const struct part_count *count, int64_t now_ms)
{
	return count->count *
	       exp2((double)(count->time_ms - now_ms) / SHARE_HALF_LIFE_MS);
}

static void count_one(struct part_count *count, int64_t now_ms)
{
	count->count = count_at(count, now_ms) + 1;
	count->time_ms = now_ms;
}

static uint32_t share_log2(const struct part_records *records, uint64_t part)
{
	const struct part_success *success =
		g_hash_table_lookup(records->successes, &part);
	const struct part_count *all = &records->answered;
	double share;

	if (!success)
		return 0;
	share = count_at(&success->answered, all->time_ms) /
		(all->count + SHARE_PRIOR);
	return share * 10000 < 1 ? 0 : g_bit_storage((gulong)(share * 10000));
}

static struct part_entry *get_entry(struct part_records *records, uint64_t part)
{
	struct part_entry *entry = part_records_find(records, part);

	if (entry)
		return entry;
	while (g_hash_table_size(records->parts) >= records->opts.parts_max)
		drop_least(records);
	entry = g_new0(struct part_entry, 1);
	entry->part = part;
	entry->success_ms = last_success(records, part);
	entry->link.data = entry;
	g_hash_table_insert(records->parts, &entry->part, entry);
	g_queue_push_tail_link(&records->by_change, &entry->link);
	return entry;
}

void part_records_expire(struct part_records *records, int64_t oldest_ms)
{
	GList *next;

	for (GList *l = records->by_change.head; l; l = next) {
		next = l->next;
		if (newest_end(l->data) < oldest_ms)
			drop(records, l->data);
	}
}

int64_t part_records_oldest_ms(const struct part_records *records)
{
	int64_t oldest_ms = INT64_MAX / 2;

	for (GList *l = records->by_change.head; l; l = l->next)
		oldest_ms = MIN(oldest_ms, newest_end(l->data));
	return oldest_ms;
}

/* ---- ends ---- */

/* A total order, so that instances with the same ends keep the same ones. */
static bool is_newer(const struct part_end *a, const struct part_end *b)
{
	if (a->time_ms != b->time_ms)
		return a->time_ms > b->time_ms;
	if (a->replica != b->replica)
		return a->replica > b->replica;
	return a->epoch > b->epoch;
}

static void insert_end(struct part_entry *entry, const struct part_end *end)
{
	uint32_t at = 0;

	while (at < entry->end_count && is_newer(&entry->ends[at], end))
		at++;
	if (at == PART_ENDS_MAX)
		return;
	if (entry->end_count < PART_ENDS_MAX)
		entry->end_count++;
	memmove(&entry->ends[at + 1], &entry->ends[at],
		(entry->end_count - at - 1) * sizeof(*end));
	entry->ends[at] = *end;
}

static void remove_end(struct part_entry *entry, uint32_t at)
{
	entry->end_count--;
	memmove(&entry->ends[at], &entry->ends[at + 1],
		(entry->end_count - at) * sizeof(entry->ends[0]));
}

static int find_end(const struct part_entry *entry, const struct part_end *end)
{
	for (uint32_t i = 0; i < entry->end_count; i++)
		if (entry->ends[i].replica == end->replica &&
		    entry->ends[i].epoch == end->epoch)
			return (int)i;
	return -1;
}

/* Returns true if the entry has changed. */
static bool merge_end(struct part_entry *entry, const struct part_end *end)
{
	int at = find_end(entry, end);
	struct part_end known;
	bool earlier, changed;

	if (at < 0) {
		insert_end(entry, end);
		return find_end(entry, end) >= 0;
	}
	known = entry->ends[at];
	earlier = end->time_ms < known.time_ms - END_SLACK_MS;
	changed = (end->cleared && !known.cleared) ||
		  (!end->late && known.late);
	known.cleared |= end->cleared;
	known.late &= end->late;
	entry->ends[at] = known;
	if (earlier) {
		known.time_ms = end->time_ms;
		remove_end(entry, (uint32_t)at);
		insert_end(entry, &known);
	}
	return earlier || changed;
}

/*
 * Only a success seen by this instance clears: those of others arrive as
 * cleared ends, whose order of events was judged by one clock.
 */
static bool clear_ends(struct part_entry *entry, int64_t success_ms)
{
	bool changed = false;

	for (uint32_t i = 0; i < entry->end_count; i++) {
		struct part_end *end = &entry->ends[i];

		if (end->cleared || end->time_ms > success_ms)
			continue;
		end->cleared = true;
		changed = true;
	}
	return changed;
}

void part_records_add_end(struct part_records *records, uint64_t part,
			  const struct part_end *end)
{
	struct part_entry *entry = get_entry(records, part);
	bool changed = merge_end(entry, end);
	uint32_t share = share_log2(records, part);

	changed |= share > entry->share_log2;
	entry->share_log2 = MAX(entry->share_log2, share);
	changed |= clear_ends(entry, last_success(records, part));
	if (changed)
		touch(records, entry);
}

/* ---- successes ---- */

static void note_success(struct part_records *records, int64_t now_ms,
			 uint64_t part)
{
	struct part_successes *list = part & QUARANTINE_CONTENT
					      ? &records->contents
					      : &records->others;
	struct part_success *success = g_hash_table_lookup(records->successes,
							   &part);

	if (success) {
		g_queue_unlink(&list->by_time, &success->link);
	} else {
		success = g_new0(struct part_success, 1);
		success->part = part;
		success->link.data = success;
		success->answered.time_ms = now_ms;
		g_hash_table_insert(records->successes, &success->part,
				    success);
	}
	count_one(&success->answered, now_ms);
	g_queue_push_tail_link(&list->by_time, &success->link);
	if (list->by_time.length <= list->max)
		return;
	success = g_queue_pop_head_link(&list->by_time)->data;
	g_hash_table_remove(records->successes, &success->part);
}

static void add_success(struct part_records *records, int64_t now_ms,
			uint64_t part)
{
	struct part_entry *entry = part_records_find(records, part);

	note_success(records, now_ms, part);
	if (!entry)
		return;
	entry->success_ms = MAX(entry->success_ms, now_ms);
	if (clear_ends(entry, now_ms))
		touch(records, entry);
}

void part_records_add_success(struct part_records *records, int64_t now_ms,
			      const uint64_t *parts, uint32_t count)
{
	count_one(&records->answered, now_ms);
	for (uint32_t i = 0; i < count; i++)
		add_success(records, now_ms, parts[i]);
}

/* ---- exchange ---- */

/*
 * Whether a part is held may depend on its last success only if it has several
 * ends. For others, each entry's next success would go to all entries.
 */
static bool merge_success(struct part_entry *entry, int64_t now_ms,
			  uint32_t age_ms)
{
	int64_t time_ms = age_ms == AGE_NONE ? PART_NO_SUCCESS
					     : now_ms - age_ms;
	int64_t ahead_ms = time_ms - entry->success_ms;

	if (time_ms != PART_NO_SUCCESS && ahead_ms > SUCCESS_SLACK_MS)
		entry->success_ms = time_ms;
	return ABS(ahead_ms) > SUCCESS_SLACK_MS &&
	       count_uncleared(entry) >= SUSPECT_ENDS;
}

static bool merge_share(const struct part_records *records,
			struct part_entry *entry, uint32_t theirs)
{
	uint32_t ours = MAX(entry->share_log2,
			    share_log2(records, entry->part));

	entry->share_log2 = MAX(ours, theirs);
	return ours != theirs && count_uncleared(entry) >= SUSPECT_ENDS;
}

void part_records_merge(struct part_records *records, int64_t now_ms,
			const struct part_record *record)
{
	struct part_entry *entry;
	bool changed = false;

	if (!record->ends.ends_len)
		return;
	entry = get_entry(records, record->part);
	for (u_int i = 0; i < record->ends.ends_len; i++) {
		const struct replica_end *theirs = &record->ends.ends_val[i];
		struct part_end end = { .replica = theirs->replica,
					.epoch = theirs->epoch,
					.time_ms = now_ms - theirs->age_ms,
					.late = theirs->late,
					.cleared = theirs->cleared };

		changed |= merge_end(entry, &end);
	}
	changed |= clear_ends(entry, last_success(records, record->part));
	changed |= merge_success(entry, now_ms, record->success_age_ms);
	changed |= merge_share(records, entry, record->share_log2);
	if (changed)
		touch(records, entry);
}

static uint32_t age_of(int64_t time_ms, int64_t now_ms)
{
	return (uint32_t)CLAMP(now_ms - time_ms, 0, (int64_t)AGE_NONE - 1);
}

static void fill_record(const struct part_entry *entry, int64_t now_ms,
			struct part_record *record)
{
	*record = (struct part_record){
		.part = entry->part,
		.share_log2 = entry->share_log2,
		.success_age_ms = entry->success_ms == PART_NO_SUCCESS
					  ? AGE_NONE
					  : age_of(entry->success_ms, now_ms),
	};
	record->ends.ends_len = entry->end_count;
	record->ends.ends_val = g_new0(struct replica_end, entry->end_count);
	for (uint32_t i = 0; i < entry->end_count; i++) {
		const struct part_end *end = &entry->ends[i];

		record->ends.ends_val[i] = (struct replica_end){
			.replica = end->replica,
			.epoch = end->epoch,
			.age_ms = age_of(end->time_ms, now_ms),
			.late = end->late,
			.cleared = end->cleared,
		};
	}
}

uint64_t part_records_report(const struct part_records *records, int64_t now_ms,
			     uint64_t since, uint32_t ends_min, uint32_t max,
			     GArray *out)
{
	guint limit = out->len + max;
	GList *l = records->by_change.tail;

	while (l && l->prev &&
	       ((struct part_entry *)l->prev->data)->change > since)
		l = l->prev;
	for (; l && out->len < limit; l = l->next) {
		const struct part_entry *entry = l->data;
		struct part_record record;

		if (entry->change <= since)
			continue;
		since = entry->change;
		if (entry->end_count < ends_min)
			continue;
		fill_record(entry, now_ms, &record);
		g_array_append_val(out, record);
	}
	return since;
}
