/*
 * Simulates replicas that a prompt part ends, with several entries, and ends
 * for other reasons. Compares no rule, a simple one (a part with three ends in
 * 10 s is refused for 60 s, known everywhere at once), the quarantine, and the
 * quarantine with a probation: of a part with an uncleared end, an entry has
 * one request at a time in flight.
 *
 * bench_quarantine [SEED [SEEDS [ENTRIES [SCENARIO [POLICY]]]]]
 *
 * ENTRIES 0 stands for all sizes; SCENARIO and POLICY are parts of names. The
 * columns, as means of the seeds unless they say "worst":
 * ends      replicas ended
 * by part   of them by a bad part
 * after     requests with one bad part that reached replicas later than 3 s
 *           after the fifth end by it, or with one bad content after the third
 *           (worst; those of entries that are cut off or just restarted count
 *           too)
 * served%   sound requests answered
 * refused%  sound requests refused, which no bad part was in
 * held s    how long a sound part was refused without a success (worst)
 * back s    from a part's recovery to its first success (worst)
 * entryB/s, leadB/s, leadpeak  bytes of evidence a second, with the empty
 *           messages: of an entry, of the leader, in its worst second (worst)
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <radishdeal/quarantine.h>

#include "bench/meter.h"
#include "wire/codec.h"

#define TICK_MS 10
#define DURATION_MS 120000
#define BAD_FROM_MS 20000
#define SLOTS 8
#define CONFIRM_MS 100
#define CONFIRM_TICK_MS 50
#define POLL_MS 200
#define CONTACT_MS 3000
/* Ends from which on the users count further requests. */
#define PART_ENDS 5u
#define CONTENT_ENDS 3u
#define QUEUE_MS 3000
#define REPEAT_MS 1000
#define REPEATS_MAX 2
#define ATTEMPTS_MAX 2
#define LEADERS 3
#define MIDDLE_PARTS 300
#define MIDDLES 2
#define BAD_PARTS 4
#define PARTS_MAX 5 /* the content included, as the last */
/* One request in so many has one of a few contents; others have their own. */
#define ALIKE_EVERY 10
#define ALIKE_CONTENTS 5
#define SOUND_PER_S 2.0	 /* for each replica */
#define MESSAGE_BYTES 20 /* source, cursor and the length of the list */

enum rule { RULE_NONE, RULE_SIMPLE, RULE_QUARANTINE };

struct policy {
	const char *name;
	enum rule rule;
	uint32_t ends_min;
	int32_t same_event_ms, hold_ms;
	uint32_t hold_growth;
	bool all_alike; /* late ends count as much as others */
	bool probation;
};

static const struct policy policies[] = {
	{ .name = "none" },
	{ .name = "simple", .rule = RULE_SIMPLE },
	{ .name = "quarantine", .rule = RULE_QUARANTINE },
	{ .name = "probation", .rule = RULE_QUARANTINE, .probation = true },
	{ .name = "ends-2", .rule = RULE_QUARANTINE, .ends_min = 2 },
	{ .name = "ends-4", .rule = RULE_QUARANTINE, .ends_min = 4 },
	{ .name = "same-100", .rule = RULE_QUARANTINE, .same_event_ms = 100 },
	{ .name = "hold-10", .rule = RULE_QUARANTINE, .hold_ms = 10000 },
	{ .name = "hold-30x2", .rule = RULE_QUARANTINE, .hold_growth = 2 },
	{ .name = "late-alike", .rule = RULE_QUARANTINE, .all_alike = true },
};

/* The targets are for the quarantine with its own constants. */
#define MAIN_POLICY 2

struct scenario {
	const char *name;
	double bad_per_s[BAD_PARTS];
	int64_t bad_from_ms[BAD_PARTS];
	int64_t bad_after_ms; /* until then they are sound */
	int64_t bad_to_ms;    /* then they are sound; 0: never */
	int64_t down_ms;
	int64_t chance_ms;   /* mean time between ends of a replica */
	int64_t spread_ms;   /* the ends of a rack, or of all */
	int64_t duration_ms; /* 0: DURATION_MS */
	int64_t rack_ms;     /* interval at which a quarter of them ends */
	int64_t all_ms;	     /* interval at which all end */
	int64_t release_ms;  /* interval at which the next one ends */
	int64_t flap_ms;     /* a quarter goes down and up by turns */
	int64_t restart_ms;  /* interval at which the next entry restarts */
	int64_t cut_ms;	     /* a quarter of the entries is cut off by turns */
	int64_t leader_ms;   /* interval at which the leader changes */
	double load;	     /* factor on the sound requests; 0: 1 */
	uint32_t bad_permille; /* of its requests end their replica; 0: all */
	uint32_t grey;	       /* replicas that break 40% of the connections */
	bool whole; /* the bad requests are alike, and no part is bad */
	bool large; /* also played with most entries */
};

static const struct scenario scenarios[] = {
	{ .name = "one part", .large = true, .bad_per_s = { 3 } },
	{ .name = "one part, back after 16 s",
	  .bad_per_s = { 3 },
	  .down_ms = 16000 },
	{ .name = "one part, 20 requests/s",
	  .large = true,
	  .bad_per_s = { 20 } },
	{ .name = "one part, 1 request in 3 s", .bad_per_s = { 0.33 } },
	{ .name = "one part, few sound requests",
	  .bad_per_s = { 3 },
	  .load = 0.05 },
	{ .name = "two parts at once", .large = true, .bad_per_s = { 3, 3 } },
	{ .name = "two parts, one later",
	  .bad_per_s = { 3, 3 },
	  .bad_from_ms = { 20000, 50000 } },
	{ .name = "a part that ends 1 of 2",
	  .bad_per_s = { 3 },
	  .bad_permille = 500 },
	{ .name = "a part that recovers",
	  .bad_per_s = { 3 },
	  .bad_to_ms = 40000 },
	{ .name = "a sound part turns bad",
	  .large = true,
	  .bad_per_s = { 3 },
	  .bad_from_ms = { 1, 0 },
	  .bad_after_ms = 20000 },
	{ .name = "a sound part turns bad, 1 of 3",
	  .bad_per_s = { 12 },
	  .bad_from_ms = { 1, 0 },
	  .bad_after_ms = 20000 },
	{ .name = "one part, 10 min",
	  .bad_per_s = { 3 },
	  .duration_ms = 600000 },
	{ .name = "one part, chance ends",
	  .bad_per_s = { 3 },
	  .chance_ms = 60000 },
	{ .name = "one part, entries restart",
	  .bad_per_s = { 3 },
	  .restart_ms = 2000 },
	{ .name = "one part, entries cut, leaders",
	  .bad_per_s = { 3 },
	  .cut_ms = 5000,
	  .leader_ms = 7000 },
	{ .name = "one request",
	  .large = true,
	  .bad_per_s = { 1 },
	  .whole = true },
	{ .name = "one request, 20 a second",
	  .large = true,
	  .bad_per_s = { 20 },
	  .whole = true },
	{ .name = "one request, 1 in 3 s",
	  .bad_per_s = { 0.33 },
	  .whole = true },
	{ .name = "two requests at once",
	  .bad_per_s = { 1, 1 },
	  .whole = true },
	{ .name = "four requests at once, back after 2 s",
	  .bad_per_s = { 2, 2, 2, 2 },
	  .down_ms = 2000,
	  .whole = true },
	{ .name = "one request, back after 2 s",
	  .bad_per_s = { 3 },
	  .down_ms = 2000,
	  .whole = true },
	{ .name = "one request, 10 min",
	  .bad_per_s = { 1 },
	  .duration_ms = 600000,
	  .whole = true },
	{ .name = "one request, chance ends",
	  .bad_per_s = { 1 },
	  .chance_ms = 60000,
	  .whole = true },
	{ .name = "one request, entries restart",
	  .bad_per_s = { 1 },
	  .restart_ms = 2000,
	  .whole = true },
	{ .name = "chance ends", .chance_ms = 60000 },
	{ .name = "chance ends, few requests",
	  .chance_ms = 60000,
	  .load = 0.05 },
	{ .name = "racks", .rack_ms = 10000 },
	{ .name = "racks, within 80 ms", .rack_ms = 10000, .spread_ms = 80 },
	{ .name = "racks, within 1 s", .rack_ms = 10000, .spread_ms = 1000 },
	{ .name = "racks, few requests",
	  .rack_ms = 10000,
	  .spread_ms = 80,
	  .load = 0.2 },
	{ .name = "all at once", .all_ms = 20000 },
	{ .name = "all within 1 s", .all_ms = 20000, .spread_ms = 1000 },
	{ .name = "release", .release_ms = 2000 },
	{ .name = "down and up by turns", .flap_ms = 2000 },
	{ .name = "grey replicas", .grey = 3 },
};

struct request {
	uint64_t parts[PARTS_MAX];
	uint32_t part_count;
	int bad;	    /* which bad part; -1: sound */
	int entry, replica; /* replica -1: none yet */
	int64_t queued_ms, sent_ms, first_ms, done_ms;
	bool ends_replica;
	bool is_trial;
	uint64_t trial_part;
	bool grey_break;
	int attempts, repeats;
};

struct replica {
	int64_t up_ms;	/* down before it */
	int64_t end_ms; /* scheduled; 0: none */
	uint64_t epoch;
	GPtrArray *requests;
};

/** An end that an entry has yet to confirm. */
struct pending_end {
	int64_t at_ms, ended_ms;
	int entry, replica;
	uint64_t epoch;
	uint64_t parts[PARTS_MAX];
	uint32_t part_count;
	bool late, is_trial;
	uint64_t trial_part;
};

struct entry {
	struct quarantine *quarantine;
	int64_t clock_ms;
	uint64_t sent, source, cursor, version;
	int64_t poll_ms, cut_until_ms;
};

/** The simple rule's record of a part, and when a sound part was held. */
struct part_state {
	int64_t ends_ms[3], refused_until_ms;
	int64_t refused_since_ms, refused_last_ms;
	int64_t end_ms, success_ms;
	uint64_t last_end_id;
};

struct totals {
	uint32_t ends, bad_ends;
	uint32_t ends_by_part[BAD_PARTS], after[BAD_PARTS], bad_after;
	int64_t counted_ms[BAD_PARTS]; /* of the end that `after` refers to */
	uint32_t sound, served, refused;
	int64_t longest_false_ms;
	int64_t recovered_ms; /* first success after the part recovered */
	double entry_bytes, leader_bytes, leader_bytes_peak;
};

struct simulation {
	const struct scenario *scenario;
	const struct policy *policy;
	int entry_count, replica_count, leader;
	GRand *random;
	int64_t now_ms;
	struct entry *entries;
	struct replica *replicas;
	struct quarantine *leaders[LEADERS];
	GPtrArray *queue;
	GQueue repeats;
	GArray *pending;	  /* struct pending_end */
	GHashTable *parts;	  /* id -> struct part_state */
	GHashTable *on_probation; /* entry and part -> request */
	double leader_bytes_second;
	uint64_t request_number; /* of the last one */
	struct totals totals;
};

/* ---- parts ---- */

#define BAD_PART_ID 900001u
/* As drawn by draw_middle(). */
#define WHOLE_COMMON_PART 10002u
#define WHOLE_RARE_PART 20250u
#define BAD_CONTENT_ID (QUARANTINE_CONTENT | BAD_PART_ID)
#define ALIKE_CONTENT_ID (QUARANTINE_CONTENT | 10000000u)
#define CONTENT_ID (QUARANTINE_CONTENT | 20000000u)

static struct part_state *get_part(struct simulation *sim, uint64_t part)
{
	struct part_state *state = g_hash_table_lookup(sim->parts, &part);
	uint64_t *key;

	if (state)
		return state;
	state = g_new(struct part_state, 1);
	*state = (struct part_state){ .ends_ms = { -1000000, -1000000,
						   -1000000 },
				      .end_ms = -1,
				      .success_ms = -1,
				      .refused_since_ms = -1 };
	key = g_new(uint64_t, 1);
	*key = part;
	g_hash_table_insert(sim->parts, key, state);
	return state;
}

/* Popularity falls with the rank, as in Zipf's law. */
static uint64_t draw_middle(struct simulation *sim, int position)
{
	double u = g_rand_double(sim->random);
	int rank = (int)(pow(MIDDLE_PARTS + 1, u)) - 1;

	return (uint64_t)(position + 1) * 10000 + (uint64_t)rank;
}

static uint64_t content_of(struct simulation *sim, const struct request *r)
{
	uint64_t number = ++sim->request_number;

	if (r->bad >= 0 && sim->scenario->whole)
		return BAD_CONTENT_ID + (uint64_t)r->bad;
	if (number % ALIKE_EVERY)
		return CONTENT_ID + number;
	return ALIKE_CONTENT_ID + number / ALIKE_EVERY % ALIKE_CONTENTS;
}

/* A request that is repeated has the same parts each time. */
static void set_whole_parts(struct request *r)
{
	r->parts[r->part_count++] = 1;
	r->parts[r->part_count++] = WHOLE_COMMON_PART;
	r->parts[r->part_count++] = WHOLE_RARE_PART + (uint64_t)r->bad;
}

static void draw_parts(struct simulation *sim, struct request *r)
{
	uint32_t n = 0;
	int bad_at = g_rand_int_range(sim->random, 0, MIDDLES);

	if (r->bad >= 0 && sim->scenario->whole) {
		set_whole_parts(r);
		r->parts[r->part_count++] = content_of(sim, r);
		return;
	}

	r->parts[n++] = g_rand_int_range(sim->random, 0, 20)
				? 1
				: (uint64_t)g_rand_int_range(sim->random, 2, 6);
	for (int i = 0; i < MIDDLES; i++)
		r->parts[n++] = r->bad >= 0 && i == bad_at
					? BAD_PART_ID + (uint64_t)r->bad
					: draw_middle(sim, i);
	r->parts[n++] = content_of(sim, r);
	r->part_count = n;
}

static bool is_bad_now(const struct simulation *sim, const struct request *r)
{
	int64_t to_ms = sim->scenario->bad_to_ms;

	return r->bad >= 0 && sim->now_ms >= sim->scenario->bad_after_ms &&
	       (!to_ms || sim->now_ms < to_ms);
}

/* ---- policies ---- */

static void note_refusal(struct simulation *sim, uint64_t part)
{
	struct part_state *state = get_part(sim, part);

	part &= ~QUARANTINE_CONTENT;
	if (part >= BAD_PART_ID && part < BAD_PART_ID + BAD_PARTS)
		return;
	if (state->refused_since_ms < 0)
		state->refused_since_ms = sim->now_ms;
	state->refused_last_ms = sim->now_ms;
	sim->totals.longest_false_ms =
		MAX(sim->totals.longest_false_ms,
		    sim->now_ms - state->refused_since_ms + TICK_MS);
}

static int64_t probation_key(const struct request *r, uint64_t part)
{
	return (int64_t)((uint64_t)r->entry << 32 | part);
}

static bool is_suspect(struct simulation *sim, uint64_t part)
{
	struct part_state *state = get_part(sim, part);

	return state->end_ms >= 0 && state->end_ms > state->success_ms;
}

/* Whether another request of a part on probation is in flight. */
static bool awaits_probation(struct simulation *sim, const struct request *r)
{
	for (uint32_t i = 0; i < r->part_count; i++) {
		int64_t key = probation_key(r, r->parts[i]);

		if (is_suspect(sim, r->parts[i]) &&
		    g_hash_table_contains(sim->on_probation, &key))
			return true;
	}
	return false;
}

static void count_in_flight(struct simulation *sim, const struct request *r,
			    int change)
{
	for (uint32_t i = 0; i < r->part_count; i++) {
		int64_t key = probation_key(r, r->parts[i]), *stored;
		int count = GPOINTER_TO_INT(g_hash_table_lookup(
				    sim->on_probation, &key)) +
			    change;

		if (count <= 0) {
			g_hash_table_remove(sim->on_probation, &key);
			continue;
		}
		stored = g_new(int64_t, 1);
		*stored = key;
		g_hash_table_replace(sim->on_probation, stored,
				     GINT_TO_POINTER(count));
	}
}

enum decision { SEND, WAIT, REFUSE };

static enum decision decide_simple(struct simulation *sim,
				   const struct request *r)
{
	for (uint32_t i = 0; i < r->part_count; i++)
		if (sim->now_ms <
		    get_part(sim, r->parts[i])->refused_until_ms) {
			note_refusal(sim, r->parts[i]);
			return REFUSE;
		}
	return SEND;
}

static enum decision decide(struct simulation *sim, struct request *r,
			    bool starts)
{
	struct entry *entry = &sim->entries[r->entry];
	struct quarantine_check check;

	if (sim->policy->rule == RULE_NONE)
		return SEND;
	if (sim->policy->rule == RULE_SIMPLE)
		return decide_simple(sim, r);
	quarantine_check(entry->quarantine, sim->now_ms + entry->clock_ms,
			 r->parts, r->part_count, &check);
	if (check.verdict == QUARANTINE_HELD) {
		note_refusal(sim, check.part);
		return REFUSE;
	}
	if (check.verdict == QUARANTINE_TRIAL && starts) {
		quarantine_begin_trial(entry->quarantine,
				       sim->now_ms + entry->clock_ms,
				       check.part);
		r->is_trial = true;
		r->trial_part = check.part;
	}
	if (sim->policy->probation && awaits_probation(sim, r))
		return WAIT;
	return SEND;
}

static void learn_success(struct simulation *sim, const struct request *r)
{
	struct entry *entry = &sim->entries[r->entry];

	for (uint32_t i = 0; i < r->part_count; i++) {
		struct part_state *state = get_part(sim, r->parts[i]);

		state->success_ms = sim->now_ms;
		state->refused_since_ms = -1;
	}
	if (sim->policy->rule != RULE_QUARANTINE)
		return;
	quarantine_add_success(entry->quarantine, sim->now_ms + entry->clock_ms,
			       r->parts, r->part_count);
}

static void learn_end(struct simulation *sim, const struct pending_end *end)
{
	struct entry *entry = &sim->entries[end->entry];
	uint64_t id = (uint64_t)end->replica << 32 | end->epoch;

	for (uint32_t i = 0; i < end->part_count; i++) {
		struct part_state *state = get_part(sim, end->parts[i]);

		if (state->last_end_id == id)
			continue;
		state->last_end_id = id;
		state->end_ms = sim->now_ms;
		state->ends_ms[0] = state->ends_ms[1];
		state->ends_ms[1] = state->ends_ms[2];
		state->ends_ms[2] = sim->now_ms;
		if (state->ends_ms[0] > sim->now_ms - 10000)
			state->refused_until_ms = sim->now_ms + 60000;
	}
	if (sim->policy->rule != RULE_QUARANTINE)
		return;
	quarantine_add_end(entry->quarantine, end->ended_ms + entry->clock_ms,
			   (uint32_t)end->replica + 1, end->epoch, end->parts,
			   end->part_count, end->late);
	if (end->is_trial)
		quarantine_end_trial(entry->quarantine, end->trial_part);
}

/* ---- requests ---- */

static void repeat_later(struct simulation *sim, struct request *r)
{
	if (r->repeats >= REPEATS_MAX) {
		g_free(r);
		return;
	}
	r->repeats++;
	r->attempts = 0;
	r->replica = -1;
	r->queued_ms = sim->now_ms + REPEAT_MS;
	g_queue_push_tail(&sim->repeats, r);
}

static void refuse(struct simulation *sim, struct request *r)
{
	if (r->bad < 0)
		sim->totals.refused++;
	repeat_later(sim, r);
}

static int choose_replica(struct simulation *sim)
{
	int best = -1,
	    start = g_rand_int_range(sim->random, 0, sim->replica_count);
	int looked = 0;

	for (int i = 0; i < sim->replica_count && looked < 12; i++) {
		int at = (start + i) % sim->replica_count;
		const struct replica *replica = &sim->replicas[at];

		if (sim->now_ms < replica->up_ms ||
		    replica->requests->len >= SLOTS)
			continue;
		looked++;
		if (best < 0 ||
		    replica->requests->len < sim->replicas[best].requests->len)
			best = at;
	}
	return best;
}

static void send_request(struct simulation *sim, struct request *r, int to)
{
	const struct scenario *s = sim->scenario;

	r->replica = to;
	r->sent_ms = sim->now_ms;
	r->first_ms = sim->now_ms + g_rand_int_range(sim->random, 200, 400);
	r->done_ms = r->first_ms + g_rand_int_range(sim->random, 900, 1500);
	r->ends_replica = is_bad_now(sim, r) &&
			  (uint32_t)g_rand_int_range(sim->random, 0, 1000) <
				  (s->bad_permille ? s->bad_permille : 1000);
	r->grey_break = (uint32_t)to < s->grey &&
			g_rand_int_range(sim->random, 0, 10) < 4;
	r->attempts++;
	if (is_bad_now(sim, r) && sim->totals.counted_ms[r->bad] &&
	    sim->now_ms > sim->totals.counted_ms[r->bad] + CONTACT_MS)
		sim->totals.after[r->bad]++;
	count_in_flight(sim, r, 1);
	g_ptr_array_add(sim->replicas[to].requests, r);
}

/* Returns false if the request has to wait. */
static bool dispatch(struct simulation *sim, struct request *r)
{
	enum decision decision = decide(sim, r, false);
	int to;

	if (decision == REFUSE) {
		refuse(sim, r);
		return true;
	}
	if (sim->now_ms > r->queued_ms + QUEUE_MS) {
		repeat_later(sim, r);
		return true;
	}
	to = decision == SEND ? choose_replica(sim) : -1;
	if (to < 0)
		return false;
	decide(sim, r, true);
	send_request(sim, r, to);
	return true;
}

static void dispatch_queue(struct simulation *sim)
{
	GPtrArray *queue = sim->queue;

	sim->queue = g_ptr_array_new();
	for (guint i = 0; i < queue->len; i++)
		if (!dispatch(sim, queue->pdata[i]))
			g_ptr_array_add(sim->queue, queue->pdata[i]);
	g_ptr_array_unref(queue);
}

static void arrive(struct simulation *sim, struct request *r)
{
	r->entry = g_rand_int_range(sim->random, 0, sim->entry_count);
	r->queued_ms = sim->now_ms;
	if (r->bad < 0)
		sim->totals.sound++;
	g_ptr_array_add(sim->queue, r);
}

static void add_arrivals(struct simulation *sim, double per_s, int bad)
{
	double expected = per_s * TICK_MS / 1000;
	int count = (int)expected;

	count += g_rand_double(sim->random) < expected - count;
	for (int i = 0; i < count; i++) {
		struct request *r = g_new0(struct request, 1);

		r->bad = bad;
		r->replica = -1;
		draw_parts(sim, r);
		arrive(sim, r);
	}
}

static void add_all_arrivals(struct simulation *sim)
{
	const struct scenario *s = sim->scenario;

	add_arrivals(sim,
		     SOUND_PER_S * sim->replica_count *
			     (s->load > 0 ? s->load : 1),
		     -1);
	for (int i = 0; i < BAD_PARTS; i++)
		if (sim->now_ms >=
		    (s->bad_from_ms[i] ? s->bad_from_ms[i] : BAD_FROM_MS))
			add_arrivals(sim, s->bad_per_s[i], i);
	while (sim->repeats.length) {
		struct request *r = g_queue_peek_head(&sim->repeats);

		if (r->queued_ms > sim->now_ms)
			break;
		arrive(sim, g_queue_pop_head(&sim->repeats));
	}
}

/* ---- replicas ---- */

static void add_pending(struct simulation *sim, const struct request *r)
{
	int64_t confirm_ms = sim->now_ms + CONFIRM_MS;
	struct pending_end end = {
		.at_ms = confirm_ms + CONFIRM_TICK_MS -
			 confirm_ms % CONFIRM_TICK_MS,
		.ended_ms = sim->now_ms,
		.entry = r->entry,
		.replica = r->replica,
		.epoch = sim->replicas[r->replica].epoch,
		.part_count = r->part_count,
		.late = !sim->policy->all_alike &&
			sim->now_ms > r->first_ms + QUARANTINE_LATE_MS,
		.is_trial = r->is_trial,
		.trial_part = r->trial_part,
	};

	memcpy(end.parts, r->parts, sizeof(end.parts));
	g_array_append_val(sim->pending, end);
}

/* Its connection broke off; it is sent again unless it has begun to answer. */
static void break_off(struct simulation *sim, struct request *r)
{
	count_in_flight(sim, r, -1);
	r->is_trial = false;
	if (r->first_ms <= sim->now_ms || r->attempts >= ATTEMPTS_MAX) {
		repeat_later(sim, r);
		return;
	}
	r->queued_ms = sim->now_ms;
	g_ptr_array_add(sim->queue, r);
}

static void end_replica(struct simulation *sim, int at)
{
	struct replica *replica = &sim->replicas[at];
	GPtrArray *requests = replica->requests;
	int64_t down_ms = sim->scenario->down_ms ? sim->scenario->down_ms
						 : 5000;

	if (sim->now_ms < replica->up_ms)
		return;
	sim->totals.ends++;
	replica->requests = g_ptr_array_new();
	for (guint i = 0; i < requests->len; i++)
		add_pending(sim, requests->pdata[i]);
	for (guint i = 0; i < requests->len; i++)
		break_off(sim, requests->pdata[i]);
	g_ptr_array_unref(requests);
	replica->up_ms = sim->now_ms + down_ms;
	replica->epoch++;
}

static void finish(struct simulation *sim, struct request *r)
{
	count_in_flight(sim, r, -1);
	learn_success(sim, r);
	if (r->is_trial)
		quarantine_end_trial(sim->entries[r->entry].quarantine,
				     r->trial_part);
	if (r->bad < 0)
		sim->totals.served++;
	else if (sim->scenario->bad_to_ms && !is_bad_now(sim, r) &&
		 !sim->totals.recovered_ms)
		sim->totals.recovered_ms = sim->now_ms -
					   sim->scenario->bad_to_ms;
	g_free(r);
}

/* A byte of another response at this entry shows that the replica lives. */
static bool is_heard(struct simulation *sim, const struct request *r)
{
	const struct replica *replica = &sim->replicas[r->replica];

	for (guint i = 0; i < replica->requests->len; i++) {
		const struct request *other = replica->requests->pdata[i];

		if (other != r && other->entry == r->entry &&
		    other->first_ms < sim->now_ms)
			return true;
	}
	return false;
}

static void run_replica(struct simulation *sim, int at)
{
	struct replica *replica = &sim->replicas[at];

	for (guint i = replica->requests->len; i > 0; i--) {
		struct request *r = replica->requests->pdata[i - 1];

		if (r->ends_replica && r->first_ms <= sim->now_ms) {
			sim->totals.bad_ends++;
			if (++sim->totals.ends_by_part[r->bad] ==
			    (sim->scenario->whole ? CONTENT_ENDS : PART_ENDS))
				sim->totals.counted_ms[r->bad] = sim->now_ms;
			end_replica(sim, at);
			return;
		}
		if (r->grey_break && r->first_ms <= sim->now_ms) {
			if (!is_heard(sim, r))
				add_pending(sim, r);
			g_ptr_array_remove_index_fast(replica->requests, i - 1);
			r->first_ms = sim->now_ms + 1;
			break_off(sim, r);
			continue;
		}
		if (r->done_ms > sim->now_ms)
			continue;
		g_ptr_array_remove_index_fast(replica->requests, i - 1);
		finish(sim, r);
	}
}

static bool is_due(const struct simulation *sim, int64_t interval_ms)
{
	return interval_ms && sim->now_ms >= BAD_FROM_MS &&
	       sim->now_ms % interval_ms == 0;
}

static void schedule_end(struct simulation *sim, int at)
{
	int64_t spread_ms = sim->scenario->spread_ms;

	sim->replicas[at].end_ms = sim->now_ms;
	if (spread_ms)
		sim->replicas[at].end_ms += g_rand_int_range(sim->random, 0,
							     (gint32)spread_ms);
}

static void play_faults(struct simulation *sim)
{
	const struct scenario *s = sim->scenario;
	int rack = (int)(sim->now_ms / 10000 % 4);

	if (is_due(sim, s->release_ms))
		schedule_end(sim, (int)(sim->now_ms / s->release_ms) %
					  sim->replica_count);
	for (int i = 0; i < sim->replica_count; i++) {
		struct replica *replica = &sim->replicas[i];

		if (is_due(sim, s->all_ms) ||
		    (is_due(sim, s->rack_ms) && i % 4 == rack) ||
		    (s->chance_ms &&
		     g_rand_double(sim->random) * (double)s->chance_ms <
			     TICK_MS))
			schedule_end(sim, i);
		if (replica->end_ms && sim->now_ms >= replica->end_ms) {
			replica->end_ms = 0;
			end_replica(sim, i);
		}
		if (is_due(sim, s->flap_ms) && i % 4 == 0) {
			end_replica(sim, i);
			replica->up_ms = sim->now_ms + s->flap_ms / 2;
		}
	}
}

/* ---- entries ---- */

static struct quarantine *new_quarantine(const struct simulation *sim, int node)
{
	struct quarantine_opts opts = {
		.node = (uint32_t)node,
		.ends_min = sim->policy->ends_min,
		.same_event_ms = sim->policy->same_event_ms,
		.hold_ms = sim->policy->hold_ms,
		.hold_growth = sim->policy->hold_growth,
	};
	struct quarantine *q = quarantine_create(&opts);
	uint32_t *nodes = g_new(uint32_t, (gsize)sim->entry_count);

	for (int i = 0; i < sim->entry_count; i++)
		nodes[i] = (uint32_t)i + 1;
	quarantine_set_entries(q, nodes, (uint32_t)sim->entry_count);
	g_free(nodes);
	return q;
}

static void restart_entry(struct simulation *sim, int at)
{
	struct entry *entry = &sim->entries[at];

	quarantine_destroy(entry->quarantine);
	entry->quarantine = new_quarantine(sim, at + 1);
	entry->sent = entry->cursor = entry->version = 0;
	entry->poll_ms = sim->now_ms; /* it serves after its first poll */
	for (guint i = sim->pending->len; i > 0; i--)
		if (g_array_index(sim->pending, struct pending_end, i - 1)
			    .entry == at)
			g_array_remove_index_fast(sim->pending, i - 1);
}

static void record_free(gpointer data)
{
	CODEC_FREE(part_record, data);
}

static uint64_t transfer(struct simulation *sim, struct quarantine *from,
			 int64_t from_ms, uint64_t since, struct quarantine *to,
			 int64_t to_ms, double *bytes)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct part_record));

	g_array_set_clear_func(records, record_free);
	since = quarantine_report(from, from_ms, since, records);
	quarantine_merge(to, to_ms, (struct part_record *)(void *)records->data,
			 records->len);
	*bytes = MESSAGE_BYTES;
	for (guint i = 0; i < records->len; i++) {
		GBytes *encoded = CODEC_ENCODE(
			part_record,
			&g_array_index(records, struct part_record, i));

		*bytes += (double)g_bytes_get_size(encoded);
		g_bytes_unref(encoded);
	}
	sim->totals.leader_bytes += *bytes;
	sim->leader_bytes_second += *bytes;
	g_array_unref(records);
	return since;
}

static void poll_leader(struct simulation *sim, int at)
{
	struct entry *entry = &sim->entries[at];
	struct quarantine *leader = sim->leaders[sim->leader];
	int64_t clock_ms = sim->now_ms + entry->clock_ms;
	int64_t delay_ms = g_rand_int_range(sim->random, 1, 10);
	double up, down;

	if (entry->source != (uint64_t)sim->leader + 1)
		entry->sent = entry->cursor = 0;
	entry->source = (uint64_t)sim->leader + 1;
	entry->sent = transfer(sim, entry->quarantine, clock_ms - delay_ms,
			       entry->sent, leader, sim->now_ms, &up);
	entry->cursor = transfer(sim, leader, sim->now_ms - delay_ms,
				 entry->cursor, entry->quarantine, clock_ms,
				 &down);
	sim->totals.entry_bytes += up + down;
}

/* Requests that a new verdict concerns are cancelled before they begin. */
static void cancel_held(struct simulation *sim, int at)
{
	struct entry *entry = &sim->entries[at];
	uint64_t version = quarantine_version(entry->quarantine,
					      sim->now_ms + entry->clock_ms);

	if (version == entry->version)
		return;
	entry->version = version;
	for (int i = 0; i < sim->replica_count; i++) {
		GPtrArray *requests = sim->replicas[i].requests;

		for (guint j = requests->len; j > 0; j--) {
			struct request *r = requests->pdata[j - 1];

			if (r->entry != at || r->is_trial ||
			    r->first_ms <= sim->now_ms ||
			    decide(sim, r, false) != REFUSE)
				continue;
			g_ptr_array_remove_index_fast(requests, j - 1);
			count_in_flight(sim, r, -1);
			refuse(sim, r);
		}
	}
}

static void run_entries(struct simulation *sim)
{
	const struct scenario *s = sim->scenario;

	for (guint i = sim->pending->len; i > 0; i--) {
		struct pending_end end =
			g_array_index(sim->pending, struct pending_end, i - 1);

		if (end.at_ms > sim->now_ms)
			continue;
		g_array_remove_index_fast(sim->pending, i - 1);
		learn_end(sim, &end);
	}
	if (sim->policy->rule != RULE_QUARANTINE)
		return;
	if (is_due(sim, s->leader_ms))
		sim->leader = (sim->leader + 1) % LEADERS;
	if (is_due(sim, s->restart_ms))
		restart_entry(sim, (int)(sim->now_ms / s->restart_ms) %
					   sim->entry_count);
	for (int i = 0; i < sim->entry_count; i++) {
		struct entry *entry = &sim->entries[i];

		if (is_due(sim, s->cut_ms) &&
		    i % 4 == (int)(sim->now_ms / s->cut_ms) % 4)
			entry->cut_until_ms = sim->now_ms + 3000;
		if (sim->now_ms >= entry->poll_ms) {
			entry->poll_ms += POLL_MS;
			if (sim->now_ms >= entry->cut_until_ms)
				poll_leader(sim, i);
		}
		cancel_held(sim, i);
	}
}

/* ---- the run ---- */

static void init_simulation(struct simulation *sim, uint32_t seed, int entries)
{
	sim->random = g_rand_new_with_seed(seed);
	sim->entry_count = entries;
	sim->replica_count = MAX(12, entries * 2);
	sim->entries = g_new0(struct entry, (gsize)entries);
	sim->replicas = g_new0(struct replica, (gsize)sim->replica_count);
	for (int i = 0; i < entries; i++) {
		sim->entries[i].quarantine = new_quarantine(sim, i + 1);
		sim->entries[i].clock_ms = g_rand_int_range(sim->random,
							    1000000, 9000000);
		sim->entries[i].poll_ms = g_rand_int_range(sim->random, 0,
							   POLL_MS);
	}
	for (int i = 0; i < sim->replica_count; i++) {
		sim->replicas[i].requests = g_ptr_array_new();
		sim->replicas[i].epoch = 1;
	}
	for (int i = 0; i < LEADERS; i++)
		sim->leaders[i] = new_quarantine(sim, 0);
	sim->queue = g_ptr_array_new();
	sim->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_end));
	sim->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	sim->on_probation = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, NULL);
	g_queue_init(&sim->repeats);
}

static void clear_simulation(struct simulation *sim)
{
	for (int i = 0; i < sim->entry_count; i++)
		quarantine_destroy(sim->entries[i].quarantine);
	for (int i = 0; i < sim->replica_count; i++) {
		g_ptr_array_set_free_func(sim->replicas[i].requests, g_free);
		g_ptr_array_unref(sim->replicas[i].requests);
	}
	for (int i = 0; i < LEADERS; i++)
		quarantine_destroy(sim->leaders[i]);
	g_ptr_array_set_free_func(sim->queue, g_free);
	g_ptr_array_unref(sim->queue);
	g_queue_clear_full(&sim->repeats, g_free);
	g_array_unref(sim->pending);
	g_hash_table_unref(sim->parts);
	g_hash_table_unref(sim->on_probation);
	g_free(sim->entries);
	g_free(sim->replicas);
	g_rand_free(sim->random);
}

static int64_t duration_ms(const struct scenario *scenario)
{
	return scenario->duration_ms ? scenario->duration_ms : DURATION_MS;
}

static void run_simulation(struct simulation *sim)
{
	for (; sim->now_ms < duration_ms(sim->scenario);
	     sim->now_ms += TICK_MS) {
		play_faults(sim);
		add_all_arrivals(sim);
		for (int i = 0; i < sim->replica_count; i++)
			run_replica(sim, i);
		run_entries(sim);
		dispatch_queue(sim);
		if (sim->now_ms % 1000)
			continue;
		sim->totals.leader_bytes_peak =
			MAX(sim->totals.leader_bytes_peak,
			    sim->leader_bytes_second);
		sim->leader_bytes_second = 0;
	}
}

static void add_totals(struct totals *sum, const struct totals *run)
{
	sum->ends += run->ends;
	sum->bad_ends += run->bad_ends;
	for (int i = 0; i < BAD_PARTS; i++)
		sum->bad_after = MAX(sum->bad_after, run->after[i]);
	sum->recovered_ms = MAX(sum->recovered_ms, run->recovered_ms);
	sum->sound += run->sound;
	sum->served += run->served;
	sum->refused += run->refused;
	sum->longest_false_ms = MAX(sum->longest_false_ms,
				    run->longest_false_ms);
	sum->entry_bytes += run->entry_bytes;
	sum->leader_bytes += run->leader_bytes;
	sum->leader_bytes_peak = MAX(sum->leader_bytes_peak,
				     run->leader_bytes_peak);
}

static void measure(const struct scenario *scenario,
		    const struct policy *policy, int entries, uint32_t seed,
		    uint32_t seeds, struct totals *sum)
{
	double seconds = (double)duration_ms(scenario) / 1000 * seeds;

	memset(sum, 0, sizeof(*sum));
	for (uint32_t i = 0; i < seeds; i++) {
		struct simulation sim = { .scenario = scenario,
					  .policy = policy };

		init_simulation(&sim, seed + i, entries);
		run_simulation(&sim);
		add_totals(sum, &sim.totals);
		clear_simulation(&sim);
	}
	printf("# %-30s %4d %-10s %7.1f %7.1f %6u %7.1f %8.3f %7.1f %7.1f "
	       "%8.0f %9.0f %9.0f\n",
	       scenario->name, entries, policy->name, (double)sum->ends / seeds,
	       (double)sum->bad_ends / seeds, sum->bad_after,
	       100.0 * sum->served / MAX(1, sum->sound),
	       100.0 * sum->refused / MAX(1, sum->sound),
	       (double)sum->longest_false_ms / 1000,
	       (double)sum->recovered_ms / 1000,
	       sum->entry_bytes / seconds / entries,
	       sum->leader_bytes / seconds, sum->leader_bytes_peak);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 4, 28, 540 };
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	uint32_t seeds = argc > 2 ? (uint32_t)atoi(argv[2]) : 6;
	int only = argc > 3 ? atoi(argv[3]) : 0;
	const char *scenario = argc > 4 ? argv[4] : "";
	const char *policy = argc > 5 ? argv[5] : "";

	printf("# seeds %u to %u\n", seed, seed + seeds - 1);
	printf("# %-30s %4s %-10s %7s %7s %6s %7s %8s %7s %7s %8s %9s %9s\n",
	       "scenario", "N", "policy", "ends", "by part", "after", "served%",
	       "refused%", "held s", "back s", "entryB/s", "leadB/s",
	       "leadpeak");
	for (size_t n = 0; n < G_N_ELEMENTS(sizes); n++) {
		uint32_t worst_after = 0;
		double refused = 0, sound = 0;

		if (only && sizes[n] != only)
			continue;
		for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
			bool large = sizes[n] > 100;
			struct totals t;

			if ((large && !scenarios[i].large) ||
			    !strstr(scenarios[i].name, scenario))
				continue;
			for (int p = 0; p < (int)G_N_ELEMENTS(policies); p++) {
				if ((sizes[n] > 4 && p != MAIN_POLICY) ||
				    !strstr(policies[p].name, policy))
					continue;
				measure(&scenarios[i], &policies[p], sizes[n],
					seed, large ? 1 : seeds, &t);
				if (p != MAIN_POLICY)
					continue;
				if (!scenarios[i].bad_permille)
					worst_after = MAX(worst_after,
							  t.bad_after);
				refused += t.refused;
				sound += t.sound;
			}
		}
		printf("entries_%d: ", sizes[n]);
		meter_report("bad_requests_late", worst_after, "requests", 3,
			     worst_after <= 3);
		printf("entries_%d: ", sizes[n]);
		meter_report("sound_requests_refused",
			     100 * refused / MAX(1, sound), "percent", 1,
			     100 * refused / MAX(1, sound) <= 1);
	}
	return 0;
}
