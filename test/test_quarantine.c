/*
 * The quarantine of prompt parts: scripts with several instances, and
 * properties of merged evidence.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include <radishdeal/quarantine.h>

#include "test/script.h"
#include "wire/codec.h"

#define NODES_MAX 8
#define SCRIPT_PARTS_MAX 32

/* ---- scripts ---- */

/** An instance; the times that it sees are those of its own clock. */
struct test_node {
	struct quarantine *quarantine;
	gint64 clock_ms;		 /* ahead of the script's time */
	uint64_t cursors[NODES_MAX + 1]; /* by recipient */
	struct quarantine_test *test;
	uint32_t id;
};

struct quarantine_test {
	struct test_node nodes[NODES_MAX + 1];
	gint64 now_ms;
	struct script *script;
};

static void record_free(gpointer data)
{
	CODEC_FREE(part_record, data);
}

static GArray *new_records(void)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(struct part_record));

	g_array_set_clear_func(records, record_free);
	return records;
}

static void print_change(void *ctx, const struct quarantine_change *change)
{
	const struct test_node *node = ctx;

	if (change->held)
		script_print(node->test->script,
			     "node %u holds %c: %u ends, until %d", node->id,
			     (int)change->part, change->ends,
			     (int)(change->hold_until_ms - node->clock_ms));
	else
		script_print(node->test->script, "node %u frees %c", node->id,
			     (int)change->part);
}

/* nodes COUNT [parts_max=] [successes_max=]: instances 1 to COUNT, all entries
 */
static void run_nodes(struct script *s)
{
	struct quarantine_test *t = s->ctx;
	uint32_t ids[NODES_MAX], count = (uint32_t)atoi(s->words[1]);
	struct quarantine_opts opts = {
		.parts_max = (uint32_t)script_number(s, "parts_max", 0),
		.successes_max = (uint32_t)script_number(s, "successes_max", 0),
		.changed = print_change,
	};

	for (uint32_t i = 0; i < count; i++)
		ids[i] = i + 1;
	for (uint32_t i = 1; i <= count; i++) {
		struct test_node *node = &t->nodes[i];

		quarantine_destroy(node->quarantine);
		*node = (struct test_node){ .test = t, .id = i };
		opts.node = i;
		opts.ctx = node;
		node->quarantine = quarantine_create(&opts);
		quarantine_set_entries(node->quarantine, ids, count);
	}
}

/* leader ID: an instance that no entry has */
static void run_leader(struct script *s)
{
	struct quarantine_test *t = s->ctx;
	struct test_node *node = &t->nodes[atoi(s->words[1])];
	struct quarantine_opts opts = { .changed = print_change, .ctx = node };

	*node = (struct test_node){ .test = t,
				    .id = (uint32_t)atoi(s->words[1]) };
	node->quarantine = quarantine_create(&opts);
}

/* Returns the node that a command names first. */
static struct test_node *get_node(struct script *s, int word)
{
	struct quarantine_test *t = s->ctx;
	int id = atoi(s->words[word]);

	if (id < 1 || id > NODES_MAX || !t->nodes[id].quarantine)
		script_fail(s, "no node %s", s->words[word]);
	t->script = s;
	return &t->nodes[id];
}

static gint64 now_at(struct script *s, const struct test_node *node)
{
	return ((struct quarantine_test *)s->ctx)->now_ms + node->clock_ms;
}

/* Each letter stands for a part; a capital one for a content. */
static uint64_t get_part(char letter)
{
	return (uint64_t)letter |
	       (g_ascii_isupper(letter) ? QUARANTINE_CONTENT : 0);
}

static uint32_t get_parts(const char *letters, uint64_t *parts)
{
	uint32_t count = 0;

	for (; *letters; letters++)
		parts[count++] = get_part(*letters);
	return count;
}

static void run_at(struct script *s)
{
	((struct quarantine_test *)s->ctx)->now_ms = atoll(s->words[1]);
}

/* clock NODE MS: its clock is so far ahead */
static void run_clock(struct script *s)
{
	get_node(s, 1)->clock_ms = atoll(s->words[2]);
}

/* restart NODE: it has lost its evidence */
static void run_restart(struct script *s)
{
	struct test_node *node = get_node(s, 1);
	struct quarantine_opts opts = { .node = node->id,
					.changed = print_change,
					.ctx = node };

	quarantine_destroy(node->quarantine);
	node->quarantine = quarantine_create(&opts);
	quarantine_set_entries(node->quarantine, &node->id, 1);
	for (int i = 0; i <= NODES_MAX; i++)
		node->cursors[i] = 0;
}

/* end NODE REPLICA PARTS [epoch=] [late=1] */
static void run_end(struct script *s)
{
	struct test_node *node = get_node(s, 1);
	uint64_t parts[SCRIPT_PARTS_MAX];
	uint32_t count = get_parts(s->words[3], parts);

	quarantine_add_end(node->quarantine, now_at(s, node),
			   (uint32_t)atoi(s->words[2]),
			   (uint64_t)script_number(s, "epoch", 1), parts, count,
			   script_number(s, "late", 0) != 0);
	quarantine_version(node->quarantine, now_at(s, node));
}

/* success NODE PARTS */
static void run_success(struct script *s)
{
	struct test_node *node = get_node(s, 1);
	uint64_t parts[SCRIPT_PARTS_MAX];

	quarantine_add_success(node->quarantine, now_at(s, node), parts,
			       get_parts(s->words[2], parts));
	quarantine_version(node->quarantine, now_at(s, node));
}

/* traffic NODE PARTS COUNT: so many requests with them succeeded before */
static void run_traffic(struct script *s)
{
	struct test_node *node = get_node(s, 1);
	uint64_t parts[SCRIPT_PARTS_MAX];
	uint32_t count = get_parts(s->words[2], parts);

	for (int i = atoi(s->words[3]); i > 0; i--)
		quarantine_add_success(node->quarantine, now_at(s, node), parts,
				       count);
}

/* check NODE PARTS */
static void run_check(struct script *s)
{
	static const char *const names[] = { "clear", "trial", "held" };
	struct test_node *node = get_node(s, 1);
	uint64_t parts[SCRIPT_PARTS_MAX];
	struct quarantine_check check;

	quarantine_check(node->quarantine, now_at(s, node), parts,
			 get_parts(s->words[2], parts), &check);
	if (check.verdict == QUARANTINE_HELD)
		script_print(s, "%s: held, %c, %u ends, retry after %d ms",
			     s->words[2], (int)check.part, check.ends,
			     (int)check.retry_after_ms);
	else
		script_print(s, "%s: %s", s->words[2], names[check.verdict]);
}

/* tryers PARTS: the nodes at which a trial may be sent */
static void run_tryers(struct script *s)
{
	struct quarantine_test *t = s->ctx;
	uint64_t parts[SCRIPT_PARTS_MAX];
	uint32_t count = get_parts(s->words[1], parts), tryers = 0;

	for (int i = 1; i <= NODES_MAX; i++) {
		struct quarantine_check check;

		if (!t->nodes[i].quarantine)
			continue;
		quarantine_check(t->nodes[i].quarantine,
				 now_at(s, &t->nodes[i]), parts, count, &check);
		tryers += check.verdict == QUARANTINE_TRIAL;
	}
	script_print(s, "%s: %u nodes may send a trial", s->words[1], tryers);
}

/* begin-trial NODE PART */
static void run_begin_trial(struct script *s)
{
	struct test_node *node = get_node(s, 1);

	quarantine_begin_trial(node->quarantine, now_at(s, node),
			       get_part(*s->words[2]));
}

/* end-trial NODE PART */
static void run_end_trial(struct script *s)
{
	quarantine_end_trial(get_node(s, 1)->quarantine,
			     get_part(*s->words[2]));
}

/* records NODE: how many there are */
static void run_records(struct script *s)
{
	struct test_node *node = get_node(s, 1);

	script_print(s, "node %u has %u records", node->id,
		     quarantine_records(node->quarantine));
}

/*
 * send FROM TO [delay=MS] [all=1]: what FROM has not sent to it yet, or all;
 * with a delay it arrives so much later, and the time goes on
 */
static void run_send(struct script *s)
{
	struct quarantine_test *t = s->ctx;
	struct test_node *from = get_node(s, 1), *to = get_node(s, 2);
	uint64_t *cursor = &from->cursors[to->id];
	GArray *records = new_records();

	if (script_number(s, "all", 0))
		*cursor = 0;
	*cursor = quarantine_report(from->quarantine, now_at(s, from), *cursor,
				    records);
	t->now_ms += script_number(s, "delay", 0);
	quarantine_merge(to->quarantine, now_at(s, to),
			 (struct part_record *)(void *)records->data,
			 records->len);
	script_print(s, "node %u to %u: %u records", from->id, to->id,
		     records->len);
	quarantine_version(to->quarantine, now_at(s, to));
	g_array_unref(records);
}

static const struct script_command commands[] = {
	{ "nodes", 1, run_nodes },
	{ "leader", 1, run_leader },
	{ "at", 1, run_at },
	{ "clock", 2, run_clock },
	{ "restart", 1, run_restart },
	{ "end", 3, run_end },
	{ "success", 2, run_success },
	{ "traffic", 3, run_traffic },
	{ "check", 2, run_check },
	{ "tryers", 1, run_tryers },
	{ "begin-trial", 2, run_begin_trial },
	{ "end-trial", 2, run_end_trial },
	{ "records", 1, run_records },
	{ "send", 2, run_send },
	{ 0 }
};

static void run_script(const char *path,
		       const struct script_command *script_commands)
{
	struct quarantine_test t = { 0 };

	script_check(path, script_commands, &t);
	for (int i = 0; i <= NODES_MAX; i++)
		quarantine_destroy(t.nodes[i].quarantine);
}

static void test_scripts(void **state)
{
	(void)state;
	script_check_folder("test/cases/quarantine", commands, run_script);
}

/* ---- properties ---- */

#define ROUNDS 300
#define GROUP 5
#define PARTS 12
#define FACTS 60

/** A replica end or a success, as one of the instances saw it. */
struct fact {
	int64_t time_ms;
	uint64_t part;
	uint32_t replica;
	int node;
	bool is_end, late;
};

static int compare_facts(const void *a, const void *b)
{
	const struct fact *x = a, *y = b;

	return (x->time_ms > y->time_ms) - (x->time_ms < y->time_ms);
}

/*
 * Two parts have most ends and few successes. Times are 250 ms apart or equal,
 * so that no delay moves an end from one event to another.
 */
static void make_facts(GRand *random, struct fact *facts)
{
	for (int i = 0; i < FACTS; i++) {
		uint32_t moment = (uint32_t)g_rand_int_range(random, 0, 80);
		bool bad = g_rand_boolean(random);

		facts[i] = (struct fact){
			.time_ms = 1000 + (int64_t)moment * 250,
			.part = (uint64_t)g_rand_int_range(random, 1,
							   bad ? 3 : PARTS + 1),
			.replica = moment,
			.node = g_rand_int_range(random, 0, GROUP),
			.is_end = g_rand_int_range(random, 0, bad ? 20 : 3) !=
				  0,
			.late = g_rand_int_range(random, 0, 3) == 0,
		};
	}
	qsort(facts, FACTS, sizeof(*facts), compare_facts);
}

static void add_fact(struct quarantine *q, const struct fact *fact)
{
	if (fact->is_end)
		quarantine_add_end(q, fact->time_ms, fact->replica, 1,
				   &fact->part, 1, fact->late);
	else
		quarantine_add_success(q, fact->time_ms, &fact->part, 1);
}

static void exchange(struct quarantine *from, struct quarantine *to,
		     int64_t now_ms)
{
	GArray *records = new_records();

	quarantine_report(from, now_ms, 0, records);
	quarantine_merge(to, now_ms,
			 (struct part_record *)(void *)records->data,
			 records->len);
	g_array_unref(records);
}

static uint64_t held_set(struct quarantine *q, int64_t now_ms)
{
	uint64_t set = 0;

	for (uint64_t part = 1; part <= PARTS; part++) {
		struct quarantine_check check;

		quarantine_check(q, now_ms, &part, 1, &check);
		if (check.verdict != QUARANTINE_CLEAR)
			set |= UINT64_C(1) << part;
	}
	return set;
}

/* Random pairs, some repeatedly; then a round so that each has all. */
static void exchange_all(GRand *random, struct quarantine **group,
			 int64_t now_ms)
{
	for (int i = 0; i < 20; i++)
		exchange(group[g_rand_int_range(random, 0, GROUP)],
			 group[g_rand_int_range(random, 0, GROUP)], now_ms);
	for (int round = 0; round < 2; round++)
		for (int i = 0; i < GROUP; i++)
			for (int j = 0; j < GROUP; j++)
				exchange(group[i], group[j], now_ms);
}

/* Beside it the successes of the facts are few, wherever they are counted. */
static void add_traffic(struct quarantine *q)
{
	uint64_t parts[2] = { PARTS + 1, 0 };

	for (int i = 0; i < 5000; i++) {
		parts[1] = (uint64_t)i / 40 + 1;
		quarantine_add_success(q, 1000, parts,
				       parts[1] > PARTS ? 1 : 2);
	}
}

/* Returns how many parts are held. */
static uint32_t check_round(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	struct quarantine_opts opts = { .node = 1 };
	struct quarantine *whole = quarantine_create(&opts), *group[GROUP];
	struct fact facts[FACTS];
	const int64_t now_ms = 40000;
	uint64_t wanted;

	make_facts(random, facts);
	add_traffic(whole);
	for (int i = 0; i < GROUP; i++) {
		opts.node = (uint32_t)i + 2;
		group[i] = quarantine_create(&opts);
		add_traffic(group[i]);
	}
	for (int i = 0; i < FACTS; i++) {
		add_fact(whole, &facts[i]);
		add_fact(group[facts[i].node], &facts[i]);
		if (g_rand_int_range(random, 0, 8) == 0)
			exchange(group[g_rand_int_range(random, 0, GROUP)],
				 group[g_rand_int_range(random, 0, GROUP)],
				 facts[i].time_ms);
	}
	exchange_all(random, group, now_ms);
	wanted = held_set(whole, now_ms);
	for (int i = 0; i < GROUP; i++) {
		uint64_t set = held_set(group[i], now_ms);

		if (set != wanted)
			fail_msg("seed %u: instance %d holds %#llx, not %#llx",
				 seed, i, (unsigned long long)set,
				 (unsigned long long)wanted);
		quarantine_destroy(group[i]);
	}
	quarantine_destroy(whole);
	g_rand_free(random);
	return (uint32_t)__builtin_popcountll(wanted);
}

static void test_evidence_may_arrive_in_any_order_any_number_of_times(
	void **state)
{
	uint32_t held = 0;

	(void)state;
	for (uint32_t seed = 1; seed <= ROUNDS; seed++)
		held += check_round(seed);
	assert_true(held > ROUNDS);
}

/* Merging what is known changes nothing, so that nothing is sent for ever. */
static void test_known_evidence_is_not_sent_again(void **state)
{
	struct quarantine_opts opts = { .node = 1 };
	struct quarantine *a = quarantine_create(&opts),
			  *b = quarantine_create(&opts);
	uint64_t parts[] = { 1, 2, 3 }, a_cursor = 0, b_cursor = 0;
	int64_t now_ms = 1000;
	uint32_t last_sent = 0;

	(void)state;
	for (uint32_t i = 0; i < 4; i++)
		quarantine_add_end(a, now_ms + i * 200, i + 1, 1, parts, 3,
				   false);
	quarantine_add_success(b, now_ms + 300, parts, 1);
	for (int i = 0; i < 50; i++) {
		GArray *records = new_records();
		/* The clocks' milliseconds don't begin at the same moment. */
		int64_t phase_ms = i % 2;

		now_ms += 200;
		a_cursor = quarantine_report(a, now_ms, a_cursor, records);
		quarantine_merge(b, now_ms - phase_ms,
				 (struct part_record *)(void *)records->data,
				 records->len);
		last_sent = records->len ? (uint32_t)i : last_sent;
		g_array_set_size(records, 0);
		b_cursor = quarantine_report(b, now_ms, b_cursor, records);
		quarantine_merge(a, now_ms + phase_ms,
				 (struct part_record *)(void *)records->data,
				 records->len);
		last_sent = records->len ? (uint32_t)i : last_sent;
		g_array_unref(records);
	}
	assert_true(last_sent <= 3);
	quarantine_destroy(a);
	quarantine_destroy(b);
}

/* New parts with each request, as an attacker may send them. */
static void test_flood_of_new_parts_does_not_free_a_held_one(void **state)
{
	struct quarantine_opts opts = { .node = 1 };
	struct quarantine *q = quarantine_create(&opts);
	uint64_t parts[QUARANTINE_REQUEST_PARTS_MAX] = { 7 };
	struct quarantine_check check;

	(void)state;
	for (uint32_t i = 0; i < 20000; i++) {
		for (uint32_t j = 1; j < QUARANTINE_REQUEST_PARTS_MAX; j++)
			parts[j] = 1000 + i * 16 + j;
		quarantine_add_success(q, i, &parts[1],
				       QUARANTINE_REQUEST_PARTS_MAX - 1);
		quarantine_add_end(q, i, i / 400, 1, parts,
				   i < 2000 ? QUARANTINE_REQUEST_PARTS_MAX : 1,
				   false);
	}
	assert_in_range(quarantine_records(q), 1, 1024);
	quarantine_check(q, 20000, parts, 1, &check);
	assert_int_equal(check.verdict, QUARANTINE_HELD);
	quarantine_destroy(q);
}

/* ---- time ---- */

#define FULL_PARTS 1024
#define FULL_REPLICAS 20000
#define FULL_CHANGES 200
/* A hundred times what it takes; a verdict in quadratic time takes hours. */
#define FULL_LIMIT_S 60

static void add_random_end(struct quarantine *q, GRand *random, int64_t now_ms)
{
	uint64_t part = (uint64_t)g_rand_int_range(random, 1, FULL_PARTS + 1);
	uint32_t replica = (uint32_t)g_rand_int_range(random, 1, FULL_REPLICAS);

	quarantine_add_end(q, now_ms, replica, 1, &part, 1, false);
}

static void test_full_table_is_judged_in_time(void **state)
{
	struct quarantine *q =
		quarantine_create(&(struct quarantine_opts){ .node = 1 });
	GRand *random = g_rand_new_with_seed(1);
	struct quarantine_check check;
	gint64 started = g_get_monotonic_time();
	int64_t now_ms = 0;
	uint64_t part = 1;

	(void)state;
	for (int i = 0; i < 20 * FULL_PARTS; i++)
		add_random_end(q, random, now_ms += 2);
	for (int i = 0; i < FULL_CHANGES; i++) {
		add_random_end(q, random, now_ms += 1000);
		quarantine_check(q, now_ms, &part, 1, &check);
	}
	assert_true(g_get_monotonic_time() - started <
		    FULL_LIMIT_S * G_USEC_PER_SEC);
	print_message("%d verdicts in %d ms\n", FULL_CHANGES,
		      (int)((g_get_monotonic_time() - started) / 1000));
	quarantine_destroy(q);
	g_rand_free(random);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
		cmocka_unit_test(
			test_evidence_may_arrive_in_any_order_any_number_of_times),
		cmocka_unit_test(test_known_evidence_is_not_sent_again),
		cmocka_unit_test(test_full_table_is_judged_in_time),
		cmocka_unit_test(
			test_flood_of_new_parts_does_not_free_a_held_one),
	};

	return cmocka_run_group_tests_name("quarantine", tests, NULL, NULL);
}
