#include <math.h>

#include <xxhash.h>

#include <radishdeal/quarantine.h>

#include "routing/part_records.h"

#define PARTS_MAX 1024u
#define SUCCESSES_MAX 4096u
#define ENDS_MIN 3u
#define END_WEIGHT 2u /* of a late one: 1 */

/**
 * Requests that are at a replica, of which any may have the part. A part whose
 * presence at the ends is less likely by chance than e^-SIGNIFICANCE is held.
 */
#define REQUESTS_PER_REPLICA 4
#define SIGNIFICANCE 11

/**
 * What each second of ends without a success counts against a part that so
 * large a share of the successes had, or more.
 */
#define SILENCE_PER_S 3
#define SILENCE_SHARE 0.1

/**
 * A leader passes on parts with so many ends. Nearly all parts that are at an
 * end are at one only, and each would go to all entries.
 */
#define LEADER_ENDS_MIN 2

#define SAME_EVENT_MS 50
#define HOLD_MS 30000
#define HOLD_GROWTH 4u
#define HOLD_MAX_MS 480000 /* the record has to outlive it */
#define RECORD_MS 600000

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
};

/* ---- verdict ---- */

/** An end as the key of a hash table. */
static guint end_hash(gconstpointer key)
{
	const struct part_end *end = key;

	return (guint)end->epoch * 31 + end->replica;
}

static gboolean end_equal(gconstpointer a, gconstpointer b)
{
	const struct part_end *x = a, *y = b;

	return x->replica == y->replica && x->epoch == y->epoch;
}

static bool counts(const struct part_end *end, GHashTable *explained)
{
	return !end->cleared && !g_hash_table_contains(explained, end);
}

struct series {
	uint32_t events;
	uint32_t ends;
	uint32_t weight;
	uint32_t failed_trials;
	int64_t first_ms, last_ms;
};

static uint32_t weight(const struct part_end *end)
{
	return end->late ? 1 : END_WEIGHT;
}

static bool is_enough(const struct quarantine *q, uint32_t weight)
{
	return weight >= q->opts.ends_min * END_WEIGHT;
}

/* The ends of a part that nothing else explains, as events. */
static void count_events(const struct quarantine *q,
			 const struct part_entry *entry, GHashTable *explained,
			 struct series *series)
{
	int64_t event_ms = 0;
	uint32_t event_weight = 0;

	*series = (struct series){ 0 };
	for (uint32_t i = entry->end_count; i > 0; i--) {
		const struct part_end *end = &entry->ends[i - 1];
		int64_t gap_ms = end->time_ms - event_ms;

		if (!counts(end, explained))
			continue;
		series->ends++;
		if (series->events && gap_ms <= q->opts.same_event_ms) {
			series->weight += MAX(weight(end), event_weight) -
					  event_weight;
			event_weight = MAX(weight(end), event_weight);
			series->last_ms = end->time_ms;
			continue;
		}
		if (!series->events)
			series->first_ms = end->time_ms;
		if (is_enough(q, series->weight) && gap_ms > q->opts.hold_ms)
			series->failed_trials++;
		series->events++;
		event_weight = weight(end);
		series->weight += event_weight;
		series->last_ms = event_ms = end->time_ms;
	}
}

/* ---- chance ---- */

/* The ends in any record that nothing explains, at least `since_ms`. */
static uint32_t count_all(const GPtrArray *all, GHashTable *explained,
			  int64_t since_ms)
{
	uint32_t count = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct part_end *end = all->pdata[i];

		count += end->time_ms >= since_ms &&
			 !g_hash_table_contains(explained, end);
	}
	return count;
}

/*
 * How unlikely it is that a part is at `ends` of `all` ends although it isn't
 * at fault, as a negative logarithm (Chernoff's bound). Parts in nearly all
 * requests are at all ends, and never at fault by that alone; of the others,
 * some are at several ends when many replicas end for another reason.
 */
static double chance(double ends, double all, double share)
{
	double expected = 1 - pow(1 - share, REQUESTS_PER_REPLICA);
	double seen = ends / all;
	double sum = seen * log(seen / expected);

	if (seen < 1)
		sum += (1 - seen) * log((1 - seen) / (1 - expected));
	return seen < expected ? 0 : all * sum;
}

/*
 * A part in many requests is often at all ends, but then something succeeds,
 * unless the replicas end again and again as they return.
 */
static double significance(const struct part_entry *entry,
			   const struct series *series, uint32_t all)
{
	double share = MIN(1, exp2(entry->share_log2) / 10000);
	double silence_s = (double)(series->last_ms - series->first_ms) / 1000;

	return chance(series->ends, MAX(all, series->ends), share) +
	       SILENCE_PER_S * silence_s * MIN(1, share / SILENCE_SHARE);
}

struct suspect {
	struct part_entry *entry;
	struct series series;
	double significance;
};

/* Whether `a` is to be held rather than `b`. */
static bool is_worse(const struct suspect *a, const struct suspect *b)
{
	if (a->significance != b->significance)
		return a->significance > b->significance;
	if (a->entry->success_ms != b->entry->success_ms)
		return a->entry->success_ms < b->entry->success_ms;
	return a->entry->part < b->entry->part;
}

/* Returns false if there is no suspect left. */
static bool find_worst(const struct quarantine *q, const GPtrArray *candidates,
		       const GPtrArray *all, GHashTable *explained,
		       struct suspect *worst)
{
	worst->entry = NULL;
	for (guint i = 0; i < candidates->len; i++) {
		struct suspect s = { .entry = candidates->pdata[i] };

		if (s.entry->held)
			continue;
		count_events(q, s.entry, explained, &s.series);
		if (!is_enough(q, s.series.weight))
			continue;
		s.significance = significance(s.entry, &s.series,
					      count_all(all, explained,
							s.series.first_ms));
		if (s.significance >= SIGNIFICANCE &&
		    (!worst->entry || is_worse(&s, worst)))
			*worst = s;
	}
	return worst->entry != NULL;
}

static void hold(struct quarantine *q, struct part_entry *entry,
		 const struct series *series)
{
	int64_t hold_ms = q->opts.hold_ms;

	for (uint32_t i = 0; i < series->failed_trials; i++)
		hold_ms = MIN(hold_ms * q->opts.hold_growth, HOLD_MAX_MS);
	entry->held = true;
	entry->counted = series->events;
	entry->first_end_ms = series->first_ms;
	entry->last_end_ms = series->last_ms;
	entry->hold_until_ms = series->last_ms + hold_ms;
	g_ptr_array_add(q->held, entry);
}

static void explain_ends(struct part_entry *entry, GHashTable *explained)
{
	for (uint32_t i = 0; i < entry->end_count; i++)
		if (!entry->ends[i].cleared)
			g_hash_table_add(explained, &entry->ends[i]);
}

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

static GPtrArray *reset_verdicts(struct quarantine *q)
{
	GPtrArray *candidates = g_ptr_array_new();

	g_ptr_array_set_size(q->held, 0);
	for (GList *l = q->records.by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;

		entry->was_held = entry->held;
		entry->held = false;
		if (entry->end_count >= q->opts.ends_min)
			g_ptr_array_add(candidates, entry);
		if (entry->end_count)
			q->expires_ms = MIN(q->expires_ms,
					    entry->ends[0].time_ms + RECORD_MS);
	}
	return candidates;
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

/* The ends in all records, each once, seen at its earliest. */
static GPtrArray *list_ends(const struct quarantine *q, bool is_needed)
{
	GHashTable *seen = g_hash_table_new(end_hash, end_equal);
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	for (GList *l = is_needed ? q->records.by_change.head : NULL; l;
	     l = l->next) {
		struct part_entry *entry = l->data;

		for (uint32_t i = 0; i < entry->end_count; i++) {
			struct part_end *end = &entry->ends[i];
			struct part_end *known = g_hash_table_lookup(seen, end);

			if (!known || end->time_ms < known->time_ms)
				g_hash_table_replace(seen, end, end);
		}
	}
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(all, key);
	g_hash_table_unref(seen);
	return all;
}

/* The verdict depends on the evidence alone, not on the order it came in. */
static void judge(struct quarantine *q, int64_t now_ms)
{
	GHashTable *explained;
	GPtrArray *candidates, *all;
	struct suspect worst;

	if (!q->records.changed && now_ms <= q->expires_ms)
		return;
	part_records_expire(&q->records, now_ms - RECORD_MS);
	q->expires_ms = INT64_MAX;
	q->records.changed = false;
	explained = g_hash_table_new(end_hash, end_equal);
	candidates = reset_verdicts(q);
	all = list_ends(q, candidates->len > 0);
	while (find_worst(q, candidates, all, explained, &worst)) {
		hold(q, worst.entry, &worst.series);
		explain_ends(worst.entry, explained);
	}
	announce_changes(q);
	g_ptr_array_unref(all);
	g_ptr_array_unref(candidates);
	g_hash_table_unref(explained);
}

/* ---- trials ---- */

static uint64_t trial_rank(uint64_t part, uint32_t node)
{
	return XXH3_64bits_withSeed(&node, sizeof(node), part);
}

static bool may_try(const struct quarantine *q, const struct part_entry *entry,
		    int64_t now_ms)
{
	int64_t turn = (now_ms - entry->hold_until_ms) / TRIAL_TURN_MS;
	uint64_t rank, entries, before = 0;

	if (!q->opts.node || entry->on_trial || now_ms < entry->hold_until_ms)
		return false;
	entries = UINT64_C(1) << MIN(turn, TRIAL_TURNS_MAX);
	rank = trial_rank(entry->part, q->opts.node);
	for (guint i = 0; i < q->entries->len; i++)
		before += trial_rank(entry->part,
				     g_array_index(q->entries, uint32_t, i)) <
			  rank;
	return before < entries;
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
		q->opts.same_event_ms = SAME_EVENT_MS;
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
