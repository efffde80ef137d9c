/*
 * Scripted tests of request limits, with several entries in simulated time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <radishdeal/request_limits.h>

#include "test/script.h"

#define ENTRIES_MAX 540
#define HOLD_MS 4000
#define SEED 1
#define MS_PER_S 1000.0
/* What a limit allows in a window: one and a half times as much, and some. */
#define WINDOW_MS 4000
#define TOLERANCE 1.5
#define EXTRA 5

struct limits_test {
	struct request_limits *entries[ENTRIES_MAX + 1]; /* from 1 */
	int count;
	gint64 now_ms;
	GRand *random;
	GArray *sent; /* of gint64, times, since the last `named` */
	gint64 named_ms;
	double per_s;
};

static int first_entry(const struct script *s)
{
	return (int)script_number(s, "entry", 1);
}

static int last_entry(const struct script *s)
{
	const struct limits_test *t = s->ctx;

	return (int)script_number(s, "entry", t->count);
}

/* entries N: each knows of all */
static void do_entries(struct script *s)
{
	struct limits_test *t = s->ctx;
	uint32_t nodes[ENTRIES_MAX];

	t->count = atoi(s->words[1]);
	for (int i = 1; i <= t->count; i++)
		nodes[i - 1] = (uint32_t)i;
	for (int i = 1; i <= t->count; i++) {
		struct request_limits_opts opts = {
			.node = (uint32_t)i,
			.seed = SEED + (uint32_t)i,
			.entry_hold_ms = HOLD_MS,
		};

		request_limits_destroy(t->entries[i]);
		t->entries[i] = request_limits_create(&opts);
		request_limits_set_entries(t->entries[i], t->now_ms, nodes,
					   (uint32_t)t->count);
	}
}

/* list FIRST LAST [entry=N]: the entries that now are in the list */
static void do_list(struct script *s)
{
	struct limits_test *t = s->ctx;
	uint32_t nodes[ENTRIES_MAX];
	uint32_t count = 0;

	for (int i = atoi(s->words[1]); i <= atoi(s->words[2]); i++)
		nodes[count++] = (uint32_t)i;
	for (int i = first_entry(s); i <= last_entry(s); i++)
		request_limits_set_entries(t->entries[i], t->now_ms, nodes,
					   count);
}

/* named ENDPOINT PER_S [entry=N]: an answer names the limit */
static void do_named(struct script *s)
{
	struct limits_test *t = s->ctx;

	t->per_s = atof(s->words[2]);
	t->named_ms = t->now_ms;
	g_array_set_size(t->sent, 0);
	for (int i = first_entry(s); i <= last_entry(s); i++)
		request_limits_put(t->entries[i], t->now_ms,
				   (uint64_t)atoi(s->words[1]), t->per_s);
}

/* unnamed ENDPOINT sent=MS [entry=N]: an answer names none */
static void do_unnamed(struct script *s)
{
	struct limits_test *t = s->ctx;

	for (int i = first_entry(s); i <= last_entry(s); i++)
		if (request_limits_lift(t->entries[i],
					(uint64_t)atoi(s->words[1]),
					script_number(s, "sent", t->now_ms)))
			script_print(s, "entry %d: lifted", i);
}

/* show ENDPOINT [entry=N] */
static void do_show(struct script *s)
{
	struct limits_test *t = s->ctx;

	for (int i = first_entry(s); i <= last_entry(s); i++) {
		struct request_limit limit;

		if (request_limits_get(t->entries[i], t->now_ms,
				       (uint64_t)atoi(s->words[1]), &limit))
			script_print(s, "entry %d: %g a second, share %.3f", i,
				     limit.per_s, limit.share_per_s);
		else
			script_print(s, "entry %d: no limit", i);
	}
}

/* Each millisecond, requests arrive at random entries. */
static void send(struct limits_test *t, uint64_t endpoint, double per_s)
{
	double due = per_s / MS_PER_S;

	for (; due > 0 && g_rand_double(t->random) < due; due -= 1) {
		int i = g_rand_int_range(t->random, 1, t->count + 1);

		if (!request_limits_allow(t->entries[i], t->now_ms, endpoint))
			continue;
		request_limits_take(t->entries[i], t->now_ms, endpoint);
		g_array_append_val(t->sent, t->now_ms);
	}
}

/* demand ENDPOINT for=MS per_s=N: requests of all entries together */
static void do_demand(struct script *s)
{
	struct limits_test *t = s->ctx;
	gint64 until_ms = t->now_ms + script_number(s, "for", 0);
	double per_s = (double)script_number(s, "per_s", 0);

	for (; t->now_ms < until_ms; t->now_ms++)
		send(t, (uint64_t)atoi(s->words[1]), per_s);
}

static guint most_in_window(const struct limits_test *t)
{
	guint first = 0, most = 0;

	for (guint i = 0; i < t->sent->len; i++) {
		while (g_array_index(t->sent, gint64, i) -
			       g_array_index(t->sent, gint64, first) >=
		       WINDOW_MS)
			first++;
		most = MAX(most, i + 1 - first);
	}
	return most;
}

/* kept: whether no window since the last `named` has more than is allowed */
static void do_kept(struct script *s)
{
	const struct limits_test *t = s->ctx;
	double allowed = TOLERANCE * t->per_s * WINDOW_MS / MS_PER_S + EXTRA;
	guint most = most_in_window(t);

	if (most <= allowed)
		script_print(s, "kept");
	else
		script_print(s, "%u in a window, allowed %.1f", most, allowed);
}

/* used least=SHARE: of what the limit gives, since the last `named` */
static void do_used(struct script *s)
{
	const struct limits_test *t = s->ctx;
	double least = atof(script_value(s, "least", "0"));
	double share =
		t->sent->len /
		(t->per_s * (double)(t->now_ms - t->named_ms) / MS_PER_S);

	if (share >= least)
		script_print(s, "at least %g of the limit is used", least);
	else
		script_print(s, "%.3f of the limit is used", share);
}

/* sent most=N: requests since the last `named` */
static void do_sent(struct script *s)
{
	const struct limits_test *t = s->ctx;
	guint least = (guint)script_number(s, "least", 0);
	guint most = (guint)script_number(s, "most", 0);

	if (t->sent->len >= least && t->sent->len <= most)
		script_print(s, "%u to %u sent", least, most);
	else
		script_print(s, "%u sent", t->sent->len);
}

static void do_wait(struct script *s)
{
	struct limits_test *t = s->ctx;

	t->now_ms += atoll(s->words[1]);
}

/* parse TEXT: "_" stands for a space, nothing for an empty text */
static void do_parse(struct script *s)
{
	char *text = g_strdelimit(
		g_strdup(s->word_count > 1 ? s->words[1] : ""), "_", ' ');
	double per_s;

	if (request_limit_parse(text, &per_s))
		script_print(s, "\"%s\": %g", text, per_s);
	else
		script_print(s, "\"%s\": not a limit", text);
	g_free(text);
}

/* rest ENDPOINT SECONDS: asked for by an answer, of the first entry */
static void do_rest(struct script *s)
{
	struct limits_test *t = s->ctx;

	request_limits_rest(t->entries[1], t->now_ms,
			    (uint64_t)atoi(s->words[1]),
			    atoi(s->words[2]) * (int64_t)MS_PER_S);
}

static void do_resting(struct script *s)
{
	struct limits_test *t = s->ctx;

	script_print(s, "endpoint %s rests for %d ms", s->words[1],
		     (int)request_limits_rest_ms(t->entries[1], t->now_ms,
						 (uint64_t)atoi(s->words[1])));
}

static void do_allow(struct script *s)
{
	struct limits_test *t = s->ctx;

	script_print(s, "endpoint %s may get one: %d", s->words[1],
		     request_limits_allow(t->entries[1], t->now_ms,
					  (uint64_t)atoi(s->words[1])));
}

/* parse-rest TEXT */
static void do_parse_rest(struct script *s)
{
	int64_t rest_ms = -1;

	if (request_limit_parse_rest(s->words[1], &rest_ms))
		script_print(s, "%s: %d ms", s->words[1], (int)rest_ms);
	else
		script_print(s, "%s: not understood", s->words[1]);
}

static const struct script_command commands[] = { { "entries", 1, do_entries },
						  { "list", 2, do_list },
						  { "named", 2, do_named },
						  { "unnamed", 1, do_unnamed },
						  { "show", 1, do_show },
						  { "demand", 1, do_demand },
						  { "kept", 0, do_kept },
						  { "used", 0, do_used },
						  { "sent", 0, do_sent },
						  { "wait", 1, do_wait },
						  { "parse", 0, do_parse },
						  { "rest", 2, do_rest },
						  { "resting", 1, do_resting },
						  { "allow", 1, do_allow },
						  { "parse-rest", 1,
						    do_parse_rest },
						  { 0 } };

static void run(const char *path, const struct script_command *all)
{
	struct limits_test t = { .now_ms = 1000 };

	t.random = g_rand_new_with_seed(SEED);
	t.sent = g_array_new(FALSE, FALSE, sizeof(gint64));
	script_check(path, all, &t);
	for (int i = 1; i <= ENTRIES_MAX; i++)
		request_limits_destroy(t.entries[i]);
	g_array_unref(t.sent);
	g_rand_free(t.random);
}

static void test_limits(void **state)
{
	(void)state;
	script_check_folder("test/cases/limits", commands, run);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_limits),
	};

	return cmocka_run_group_tests_name("request_limits", tests, NULL, NULL);
}
