/*
 * Scripted tests of whether an entry's links to all endpoints are down, in
 * simulated time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include <radishdeal/links.h>

#include "test/script.h"

#define TICK_MS 50
#define PROBE_MS 100
#define PROBES 3u

struct links_test {
	struct links *links;
	int64_t now_ms;
	uint32_t usable;   /* endpoints */
	uint32_t probes;   /* of a round; 0: it says nothing */
	uint32_t reached;  /* probes of a round that succeed */
	int64_t probed_ms; /* end of the open round; 0: none */
	int rounds;
	enum links_state shown;
};

/* endpoints N: usable ones */
static void do_endpoints(struct script *s)
{
	struct links_test *t = s->ctx;

	t->usable = (uint32_t)atoi(s->words[1]);
}

/* reach N: so many probes of each round succeed from now on */
static void do_reach(struct script *s)
{
	struct links_test *t = s->ctx;

	t->reached = (uint32_t)atoi(s->words[1]);
}

/* probes N: of each round from now on; 0: rounds say nothing */
static void do_probes(struct script *s)
{
	struct links_test *t = s->ctx;

	t->probes = (uint32_t)atoi(s->words[1]);
}

/* Calls `fn` for the endpoints FIRST to LAST of a command. */
static void each(struct script *s,
		 void (*fn)(struct links *links, int64_t now_ms,
			    uint64_t endpoint))
{
	struct links_test *t = s->ctx;
	int last = atoi(s->words[s->word_count > 2 ? 2 : 1]);

	for (int i = atoi(s->words[1]); i <= last; i++)
		fn(t->links, t->now_ms, (uint64_t)i);
}

/* sent FIRST [LAST] */
static void do_sent(struct script *s)
{
	each(s, links_sent);
}

static void answered(struct links *links, int64_t now_ms, uint64_t endpoint)
{
	links_answered(links, now_ms, endpoint, false);
}

static void answered_fresh(struct links *links, int64_t now_ms,
			   uint64_t endpoint)
{
	links_answered(links, now_ms, endpoint, true);
}

/* heard FIRST [LAST]: answers, on connections that were used before */
static void do_heard(struct script *s)
{
	each(s, answered);
}

static void do_heard_fresh(struct script *s)
{
	each(s, answered_fresh);
}

static void do_failed(struct script *s)
{
	each(s, links_failed);
}

static void ended(struct links *links, int64_t now_ms, uint64_t endpoint)
{
	(void)now_ms;
	links_ended(links, endpoint);
}

static void do_ended(struct script *s)
{
	each(s, ended);
}

static void do_paused(struct script *s)
{
	struct links_test *t = s->ctx;

	t->now_ms += atoi(s->words[1]);
	links_paused(t->links, t->now_ms);
}

static void tick(struct script *s)
{
	struct links_test *t = s->ctx;

	t->now_ms += TICK_MS;
	links_tick(t->links, t->now_ms, t->usable);
	if (t->probed_ms && t->now_ms >= t->probed_ms) {
		t->probed_ms = 0;
		links_probed(t->links, t->now_ms, t->probes, t->reached);
	}
	if (links_probe_due(t->links, t->now_ms, t->usable)) {
		t->probed_ms = t->now_ms + PROBE_MS;
		t->rounds++;
	}
	if (links_state(t->links) == t->shown)
		return;
	t->shown = links_state(t->links);
	script_print(s, "%d ms: %s", (int)t->now_ms,
		     links_state_name(t->shown));
}

/*
 * wait MS [heard=ENDPOINT] [data=ENDPOINT]: with answers of that one at each
 * tick, or with more of an answer
 */
static void do_wait(struct script *s)
{
	struct links_test *t = s->ctx;
	int64_t until_ms = t->now_ms + atoi(s->words[1]);
	uint64_t heard = (uint64_t)script_number(s, "heard", 0);
	uint64_t data = (uint64_t)script_number(s, "data", 0);

	while (t->now_ms < until_ms) {
		tick(s);
		if (heard)
			links_answered(t->links, t->now_ms, heard, false);
		if (data)
			links_heard(t->links, t->now_ms, data);
	}
}

/* rounds: prints the rounds of probes since the last such line */
static void do_rounds(struct script *s)
{
	struct links_test *t = s->ctx;

	script_print(s, "%d rounds of probes", t->rounds);
	t->rounds = 0;
}

/* show: prints what may be sent */
static void do_show(struct script *s)
{
	struct links_test *t = s->ctx;
	struct links_evidence e;

	links_get_evidence(t->links, t->now_ms, &e);
	script_print(s,
		     "%s doubt=%d repeatable=%d others=%d waiting=%u "
		     "silent=%u failed=%u",
		     links_state_name(links_state(t->links)),
		     links_in_doubt(t->links, t->now_ms),
		     links_allow(t->links, true), links_allow(t->links, false),
		     e.waiting, e.silent, e.failed);
}

static const struct script_command commands[] = {
	{ "endpoints", 1, do_endpoints },
	{ "reach", 1, do_reach },
	{ "probes", 1, do_probes },
	{ "sent", 1, do_sent },
	{ "heard", 1, do_heard },
	{ "heard-fresh", 1, do_heard_fresh },
	{ "failed", 1, do_failed },
	{ "ended", 1, do_ended },
	{ "paused", 1, do_paused },
	{ "wait", 1, do_wait },
	{ "rounds", 0, do_rounds },
	{ "show", 0, do_show },
	{ NULL, 0, NULL },
};

static void run(const char *path, const struct script_command *list)
{
	struct links_test t = { .usable = 8,
				.probes = PROBES,
				.reached = PROBES };

	t.links = links_create(0);
	script_check(path, list, &t);
	links_destroy(t.links);
}

static void test_links(void **state)
{
	(void)state;
	script_check_folder("test/cases/links", commands, run);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_links),
	};

	return cmocka_run_group_tests_name("links", tests, NULL, NULL);
}
