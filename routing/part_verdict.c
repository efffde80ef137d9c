#include "routing/part_verdict.h"

#include <math.h>

#include <radishdeal/quarantine.h>

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

#define HOLD_MAX_MS 480000 /* the record has to outlive it */

/* The worst ones; bounds the time of a verdict. */
#define HELD_MAX 64u

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

/**
 * All replica ends, each once, numbered from the oldest on, which is as the
 * parts' ends refer to them.
 */
struct end_table {
	GPtrArray *ends; /* of struct part_end, which belong to the records */
	bool *explained; /* by a part that is held, and is no content */
	uint32_t *unexplained_from; /* how many from this one on are not */
};

static bool counts(const struct part_end *end, const struct end_table *table)
{
	return !end->cleared && !table->explained[end->number];
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

static bool is_enough(const struct part_verdict_opts *opts, uint32_t weight)
{
	return weight >= opts->ends_min * END_WEIGHT;
}

/* The ends of a part that nothing else explains, as events. */
static void count_events(const struct part_verdict_opts *opts,
			 const struct part_entry *entry,
			 const struct end_table *table, struct series *series)
{
	int64_t event_ms = 0;
	uint32_t event_weight = 0;

	*series = (struct series){ 0 };
	for (uint32_t i = entry->end_count; i > 0; i--) {
		const struct part_end *end = &entry->ends[i - 1];
		int64_t gap_ms = end->time_ms - event_ms;

		if (!counts(end, table))
			continue;
		series->ends++;
		if (series->events && gap_ms <= opts->same_event_ms) {
			series->weight += MAX(weight(end), event_weight) -
					  event_weight;
			event_weight = MAX(weight(end), event_weight);
			series->last_ms = end->time_ms;
			continue;
		}
		if (!series->events)
			series->first_ms = end->time_ms;
		if (is_enough(opts, series->weight) && gap_ms > opts->hold_ms)
			series->failed_trials++;
		series->events++;
		event_weight = weight(end);
		series->weight += event_weight;
		series->last_ms = event_ms = end->time_ms;
	}
}

/* ---- chance ---- */

/* The ends that nothing explains, at least `since_ms`. */
static uint32_t count_since(const struct end_table *table, int64_t since_ms)
{
	guint low = 0, high = table->ends->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;
		const struct part_end *end = table->ends->pdata[middle];

		if (end->time_ms < since_ms)
			low = middle + 1;
		else
			high = middle;
	}
	return table->unexplained_from[low];
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
			   const struct series *series, uint32_t known)
{
	double share = MIN(1, exp2(entry->share_log2) / 10000);
	double all = MAX(known, series->ends);
	double silence_s = (double)(series->last_ms - series->first_ms) / 1000;
	double silence = SILENCE_PER_S * silence_s *
			 MIN(1, share / SILENCE_SHARE) * series->ends / all;

	return chance(series->ends, all, share) + silence;
}

/* ---- contents ---- */

static bool is_content(const struct part_entry *entry)
{
	return entry->part & QUARANTINE_CONTENT;
}

static bool has_end(const struct part_entry *entry, uint32_t number)
{
	for (uint32_t i = 0; i < entry->end_count; i++)
		if (entry->ends[i].number == number && !entry->ends[i].cleared)
			return true;
	return false;
}

static bool was_at_all_ends(const struct part_entry *content,
			    const struct part_entry *part)
{
	for (uint32_t i = 0; i < part->end_count; i++)
		if (!part->ends[i].cleared &&
		    !has_end(content, part->ends[i].number))
			return false;
	return true;
}

/*
 * Requests with a part at fault are at several ends themselves when they are
 * repeated. So a content that is held explains the ends of a part only if it
 * was at all of them. To other contents it explains nothing: requests that end
 * replicas wait together for one that is back, and are at its end together.
 */
static bool is_explained_by_content(const GPtrArray *held,
				    const struct part_entry *part)
{
	for (guint i = 0; i < held->len; i++)
		if (is_content(held->pdata[i]) &&
		    was_at_all_ends(held->pdata[i], part))
			return true;
	return false;
}

/* ---- choice ---- */

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
	/* Fewer requests are refused for a content. */
	if (is_content(a->entry) != is_content(b->entry))
		return is_content(a->entry);
	if (a->entry->success_ms != b->entry->success_ms)
		return a->entry->success_ms < b->entry->success_ms;
	return a->entry->part < b->entry->part;
}

/* Returns false if there is no suspect left. */
static bool find_worst(const struct part_verdict_opts *opts,
		       const GPtrArray *candidates, const GPtrArray *held,
		       const struct end_table *table, struct suspect *worst)
{
	worst->entry = NULL;
	for (guint i = 0; i < candidates->len; i++) {
		struct suspect s = { .entry = candidates->pdata[i] };

		if (s.entry->held)
			continue;
		count_events(opts, s.entry, table, &s.series);
		if (!is_enough(opts, s.series.weight))
			continue;
		s.significance =
			significance(s.entry, &s.series,
				     count_since(table, s.series.first_ms));
		if (s.significance >= SIGNIFICANCE &&
		    (!worst->entry || is_worse(&s, worst)) &&
		    (is_content(s.entry) ||
		     !is_explained_by_content(held, s.entry)))
			*worst = s;
	}
	return worst->entry != NULL;
}

static void hold(const struct part_verdict_opts *opts, struct part_entry *entry,
		 const struct series *series)
{
	int64_t hold_ms = opts->hold_ms;

	for (uint32_t i = 0; i < series->failed_trials; i++)
		hold_ms = MIN(hold_ms * opts->hold_growth, HOLD_MAX_MS);
	entry->held = true;
	entry->counted = series->events;
	entry->first_end_ms = series->first_ms;
	entry->last_end_ms = series->last_ms;
	entry->hold_until_ms = series->last_ms + hold_ms;
}

static void count_unexplained(struct end_table *table)
{
	uint32_t count = 0;

	table->unexplained_from[table->ends->len] = 0;
	for (guint i = table->ends->len; i > 0; i--) {
		count += !table->explained[i - 1];
		table->unexplained_from[i - 1] = count;
	}
}

static void explain_ends(struct end_table *table,
			 const struct part_entry *entry)
{
	for (uint32_t i = 0; i < entry->end_count; i++)
		if (!entry->ends[i].cleared)
			table->explained[entry->ends[i].number] = true;
	count_unexplained(table);
}

static GPtrArray *reset(const struct part_records *records, uint32_t ends_min)
{
	GPtrArray *candidates = g_ptr_array_new();

	for (GList *l = records->by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;

		entry->was_held = entry->held;
		entry->held = false;
		if (entry->end_count >= ends_min)
			g_ptr_array_add(candidates, entry);
	}
	return candidates;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	const struct part_end *x = *(struct part_end *const *)a;
	const struct part_end *y = *(struct part_end *const *)b;

	return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

/* Returns the ends in all records, each seen at its earliest. */
static GHashTable *find_ends(const struct part_records *records)
{
	GHashTable *ends = g_hash_table_new(end_hash, end_equal);

	for (GList *l = records->by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;

		for (uint32_t i = 0; i < entry->end_count; i++) {
			struct part_end *end = &entry->ends[i];
			struct part_end *known = g_hash_table_lookup(ends, end);

			if (!known || end->time_ms < known->time_ms)
				g_hash_table_replace(ends, end, end);
		}
	}
	return ends;
}

static void number_ends(const struct part_records *records, GHashTable *ends,
			const GPtrArray *sorted)
{
	for (guint i = 0; i < sorted->len; i++)
		((struct part_end *)sorted->pdata[i])->number = i;
	for (GList *l = records->by_change.head; l; l = l->next) {
		struct part_entry *entry = l->data;

		for (uint32_t i = 0; i < entry->end_count; i++) {
			struct part_end *end = &entry->ends[i];
			const struct part_end *known = g_hash_table_lookup(ends,
									   end);

			end->number = known->number;
		}
	}
}

static void end_table_init(struct end_table *table,
			   const struct part_records *records)
{
	GHashTable *ends = find_ends(records);
	GHashTableIter iter;
	gpointer key;

	table->ends = g_ptr_array_new();
	g_hash_table_iter_init(&iter, ends);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(table->ends, key);
	g_ptr_array_sort(table->ends, compare_times);
	number_ends(records, ends, table->ends);
	g_hash_table_unref(ends);
	table->explained = g_new0(bool, table->ends->len + 1);
	table->unexplained_from = g_new(uint32_t, table->ends->len + 1);
	count_unexplained(table);
}

static void end_table_clear(struct end_table *table)
{
	g_ptr_array_unref(table->ends);
	g_free(table->explained);
	g_free(table->unexplained_from);
}

static void hold_suspects(const struct part_verdict_opts *opts,
			  const struct part_records *records,
			  const GPtrArray *candidates, GPtrArray *held)
{
	struct end_table table;
	struct suspect worst;

	end_table_init(&table, records);
	while (held->len < HELD_MAX &&
	       find_worst(opts, candidates, held, &table, &worst)) {
		hold(opts, worst.entry, &worst.series);
		if (!is_content(worst.entry))
			explain_ends(&table, worst.entry);
		g_ptr_array_add(held, worst.entry);
	}
	end_table_clear(&table);
}

void part_verdict_judge(const struct part_verdict_opts *opts,
			struct part_records *records, GPtrArray *held)
{
	GPtrArray *candidates = reset(records, opts->ends_min);

	g_ptr_array_set_size(held, 0);
	if (candidates->len)
		hold_suspects(opts, records, candidates, held);
	g_ptr_array_unref(candidates);
}
