/* What the leader takes from the polls of other processes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "control/feed.h"
#include "wire/codec.h"

#define NODE 7u
#define LEASE_MS 1000
#define START_MS 100000

struct world {
	struct feed *feed;
	struct state *state;
	int64_t now_ms;
};

static void world_init(struct world *w)
{
	struct feed_opts opts = {
		.lease_ms = LEASE_MS,
		.commands_max = 1,
		.entries_may_join = true,
	};

	w->feed = feed_create(&opts);
	w->state = state_create();
	w->now_ms = START_MS;
}

static void world_clear(struct world *w)
{
	feed_destroy(w->feed);
	state_destroy(w->state);
}

static void poll(struct world *w, uint64_t member, uint64_t incarnation)
{
	struct poll_request request = {
		.node = NODE,
		.member_id = member,
		.incarnation = incarnation,
		.callers_address = (char *)"",
		.endpoints_address = (char *)"",
		.data_centre = (char *)"",
	};
	struct poll_reply reply = { 0 };

	feed_poll(w->feed, w->now_ms, w->state, &request, &reply);
	CODEC_FREE(poll_reply, &reply);
}

static void copy_entry(void *ctx, const struct feed_entry *entry)
{
	*(struct feed_entry *)ctx = *entry;
}

static void expect(const struct world *w, uint64_t member, uint64_t incarnation)
{
	struct feed_entry entry = { 0 };

	feed_each_entry(w->feed, copy_entry, &entry);
	assert_int_equal(NODE, entry.node);
	assert_int_equal(member, entry.member);
	assert_int_equal(incarnation, entry.incarnation);
	assert_int_equal(w->now_ms, entry.last_poll_ms);
}

/* The count of a new folder begins anew. */
static void test_empty_folder_after_restarts_is_seen(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 11, 3);
	poll(&w, 12, 1);
	expect(&w, 12, 1);
	world_clear(&w);
}

static void test_delayed_poll_does_not_bring_back_a_former_folder(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 11, 3);
	poll(&w, 12, 1);
	poll(&w, 11, 3);
	expect(&w, 12, 1);
	poll(&w, 12, 2);
	poll(&w, 12, 1);
	expect(&w, 12, 2);
	world_clear(&w);
}

/* An entry's incarnation is the time of its start, which may be set back. */
static void test_clock_set_back_does_not_shut_out_an_entry(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 0, 5000);
	w.now_ms += LEASE_MS + 1;
	poll(&w, 0, 4990);
	expect(&w, 0, 4990);
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_empty_folder_after_restarts_is_seen),
		cmocka_unit_test(
			test_delayed_poll_does_not_bring_back_a_former_folder),
		cmocka_unit_test(
			test_clock_set_back_does_not_shut_out_an_entry),
	};

	return cmocka_run_group_tests_name("feed", tests, NULL, NULL);
}
