#include <xxhash.h>

#include <radishdeal/quarantine.h>

#include "routing/part_records.h"
#include "routing/part_verdict.h"

#define PARTS_MAX 1024u
#define SUCCESSES_MAX 4096u
#define ENDS_MIN 3u

/**
 * A leader passes on parts with so many ends. Nearly all parts that are at an
 * end are at one only, and each would go to all entries.
 */
#define LEADER_ENDS_MIN 2

#define HOLD_MS 30000
#define HOLD_GROWTH 4u
#define RECORD_MS 600000

/**
 * A verdict reads all evidence, so the time between two grows with it: a
 * millisecond for so many parts.
 */
#define JUDGED_PARTS_PER_MS 20

/**
 * After a hold, one entry may make the trial; after each further turn, twice as
 * many. A part whose requests reach few of the entries is tried as well.
 */
#define TRIAL_TURN_MS 2000
#define TRIAL_TURNS_MAX 30

struct quarantine {
	struct quarantine_opts opts;
	struct part_records records;
	GArray *entries; /* of uint32_t */
	GPtrArray *held; /* struct part_entry */
	uint64_t version;
	int64_t expires_ms; /* when the next record does */
	int64_t judged_ms;  /* last verdict */
};

/* ---- verdicts ---- */

static void announce(struct quarantine *q, const struct part_entry *entry,
		     bool held)
{
	struct quarantine_change change = {
		.part = entry->part,
		.held = held,
		.ends = held ? entry->counted : 0,
		.first_end_ms = entry->first_end_ms,
		.last_end_ms = entry->last_end_ms,
		.last_success_ms = entry->success_ms,
		.hold_until_ms = entry->hold_until_ms,
	};

	q->version++;
	if (q->opts.changed)
		q->opts.changed(q->opts.ctx, &change);
}

static void announce_dropped(void *ctx, const struct part_entry *entry)
{
	struct quarantine *q = ctx;

	g_ptr_array_remove(q->held, (gpointer)entry);
	if (entry->held)
		announce(q, entry, false);
}

static void announce_changes(struct quarantine *q)
{
	for (GList *l = q->records.by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;

		if (entry->held != entry->was_held)
			announce(q, entry, entry->held);
		if (!entry->held)
			entry->on_trial = false;
	}
}

static void judge(struct quarantine *q, int64_t now_ms)
{
	const struct part_verdict_opts opts = {
		.ends_min = q->opts.ends_min,
		.same_event_ms = q->opts.same_event_ms,
		.hold_ms = q->opts.hold_ms,
		.hold_growth = q->opts.hold_growth,
	};

	if (!q->records.changed && now_ms <= q->expires_ms)
		return;
	if (now_ms - q->judged_ms < quarantine_records(q) / JUDGED_PARTS_PER_MS)
		return;
	q->judged_ms = now_ms;
	part_records_expire(&q->records, now_ms - RECORD_MS);
	q->expires_ms = part_records_oldest_ms(&q->records) + RECORD_MS;
	q->records.changed = false;
	part_verdict_judge(&opts, &q->records, q->held);
	announce_changes(q);
}

/* ---- trials ---- */

static uint64_t trial_rank(uint64_t part, uint32_t node)
{
	return XXH3_64bits_withSeed(&node, sizeof(node), part);
}

/* Number of entries that may try the part before this one. */
static uint64_t entries_before(const struct quarantine *q, uint64_t part)
{
	uint64_t rank = trial_rank(part, q->opts.node), before = 0;

	for (guint i = 0; i < q->entries->len; i++)
		before += trial_rank(part, g_array_index(q->entries, uint32_t,
							 i)) < rank;
	return before;
}

/*
 * The users allow few runs of a content for good. So one entry at a time may
 * try it, and hears of the result of the one before, as half of the turn is
 * left.
 */
static bool is_turn_for_content(const struct quarantine *q,
				const struct part_entry *entry,
				int64_t since_ms)
{
	uint64_t turn = (uint64_t)(since_ms / TRIAL_TURN_MS);

	return since_ms % TRIAL_TURN_MS < TRIAL_TURN_MS / 2 &&
	       turn % MAX(q->entries->len, 1) == entries_before(q, entry->part);
}

static bool may_try(const struct quarantine *q, const struct part_entry *entry,
		    int64_t now_ms)
{
	int64_t since_ms = now_ms - entry->hold_until_ms;
	int64_t turn = since_ms / TRIAL_TURN_MS;

	if (!q->opts.node || entry->on_trial || since_ms < 0)
		return false;
	if (entry->part & QUARANTINE_CONTENT)
		return is_turn_for_content(q, entry, since_ms);
	return entries_before(q, entry->part) <
	       UINT64_C(1) << MIN(turn, TRIAL_TURNS_MAX);
}

static struct part_entry *find_held(const struct quarantine *q, uint64_t part)
{
	struct part_entry *entry = part_records_find(&q->records, part);

	return entry && entry->held ? entry : NULL;
}

/* ---- public ---- */

struct quarantine *quarantine_create(const struct quarantine_opts *opts)
{
	struct quarantine *q = g_new0(struct quarantine, 1);
	struct part_records_opts records = { .dropped = announce_dropped,
					     .ctx = q };

	q->opts = *opts;
	if (!q->opts.ends_min)
		q->opts.ends_min = ENDS_MIN;
	if (!q->opts.same_event_ms)
		q->opts.same_event_ms = QUARANTINE_SAME_EVENT_MS;
	if (!q->opts.hold_growth)
		q->opts.hold_growth = HOLD_GROWTH;
	if (!q->opts.hold_ms)
		q->opts.hold_ms = HOLD_MS;
	records.parts_max = opts->parts_max ? opts->parts_max : PARTS_MAX;
	records.successes_max = opts->successes_max ? opts->successes_max
						    : SUCCESSES_MAX;
	part_records_init(&q->records, &records);
	q->entries = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	q->held = g_ptr_array_new();
	q->expires_ms = INT64_MAX;
	q->judged_ms = INT64_MIN / 2;
	return q;
}

void quarantine_destroy(struct quarantine *q)
{
	if (!q)
		return;
	part_records_clear(&q->records);
	g_array_unref(q->entries);
	g_ptr_array_unref(q->held);
	g_free(q);
}

void quarantine_set_entries(struct quarantine *q, const uint32_t *nodes,
			    uint32_t count)
{
	g_array_set_size(q->entries, 0);
	g_array_append_vals(q->entries, nodes, count);
}

void quarantine_add_success(struct quarantine *q, int64_t now_ms,
			    const uint64_t *parts, uint32_t count)
{
	part_records_add_success(&q->records, now_ms, parts, count);
}

void quarantine_add_end(struct quarantine *q, int64_t end_ms, uint32_t replica,
			uint64_t epoch, const uint64_t *parts, uint32_t count,
			bool late)
{
	const struct part_end end = { .replica = replica,
				      .epoch = epoch,
				      .time_ms = end_ms,
				      .late = late };

	for (uint32_t i = 0; i < count; i++)
		part_records_add_end(&q->records, parts[i], &end);
}

void quarantine_check(struct quarantine *q, int64_t now_ms,
		      const uint64_t *parts, uint32_t count,
		      struct quarantine_check *out)
{
	*out = (struct quarantine_check){ .verdict = QUARANTINE_CLEAR };
	judge(q, now_ms);
	for (uint32_t i = 0; q->held->len && i < count; i++) {
		const struct part_entry *entry = find_held(q, parts[i]);
		bool is_trial;

		if (!entry)
			continue;
		is_trial = may_try(q, entry, now_ms);
		if (is_trial && out->verdict != QUARANTINE_CLEAR)
			continue;
		out->verdict = is_trial ? QUARANTINE_TRIAL : QUARANTINE_HELD;
		out->part = entry->part;
		out->ends = entry->counted;
		out->retry_after_ms =
			is_trial ? 0
				 : MAX(entry->hold_until_ms - now_ms,
				       TRIAL_TURN_MS);
		if (!is_trial)
			return;
	}
}

void quarantine_begin_trial(struct quarantine *q, int64_t now_ms, uint64_t part)
{
	struct part_entry *entry;

	judge(q, now_ms);
	entry = find_held(q, part);
	if (entry)
		entry->on_trial = true;
}

void quarantine_end_trial(struct quarantine *q, uint64_t part)
{
	struct part_entry *entry = part_records_find(&q->records, part);

	if (entry)
		entry->on_trial = false;
}

uint64_t quarantine_version(struct quarantine *q, int64_t now_ms)
{
	judge(q, now_ms);
	return q->version;
}

uint32_t quarantine_held(struct quarantine *q, int64_t now_ms)
{
	judge(q, now_ms);
	return q->held->len;
}

uint32_t quarantine_records(const struct quarantine *q)
{
	return g_hash_table_size(q->records.parts);
}

uint64_t quarantine_report(struct quarantine *q, int64_t now_ms, uint64_t since,
			   GArray *records)
{
	uint32_t ends_min = q->opts.node ? 1 : LEADER_ENDS_MIN;

	return part_records_report(&q->records, now_ms, since, ends_min,
				   QUARANTINE_REPORT_MAX, records);
}

void quarantine_merge(struct quarantine *q, int64_t now_ms,
		      const struct part_record *records, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		part_records_merge(&q->records, now_ms, &records[i]);
}
