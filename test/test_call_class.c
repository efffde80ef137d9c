/* The expected duration of calls, from calls that have ended and open ones. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>

#include <cmocka.h>

#include "entry/attempt.h"
#include "entry/call.h"
#include "entry/call_class.h"

#define STREAM_MS 1000
#define ENDED 40

struct class_test {
	int64_t now_us;
	struct clock_source clock;
	struct entry entry;
	struct entry_service service;
	struct router_request route;
	struct call_class *call_class;
	struct attempt attempt; /* of the calls made last, at one time */
};

static int64_t test_now_us(void *ctx)
{
	return ((struct class_test *)ctx)->now_us;
}

static int set_up(void **state)
{
	struct class_test *test = calloc(1, sizeof(*test));

	test->now_us = 1000000;
	test->clock = (struct clock_source){ test_now_us, test };
	test->entry.opts.clock = &test->clock;
	test->entry.calls = g_hash_table_new(NULL, NULL);
	test->entry.call_classes = call_classes_create();
	test->service.entry = &test->entry;
	test->service.name = (char *)"web";
	test->route.output_tokens = 80;
	test->call_class = call_class_ref(&test->service, "r-events", 80);
	*state = test;
	return 0;
}

static int tear_down(void **state)
{
	struct class_test *test = *state;

	g_hash_table_unref(test->entry.calls);
	call_class_unref(test->call_class);
	g_hash_table_unref(test->entry.call_classes);
	free(test);
	return 0;
}

static void advance_ms(struct class_test *test, int64_t ms)
{
	test->now_us += ms * 1000;
}

static struct call new_call(struct class_test *test)
{
	test->attempt = (struct attempt){
		.sent_us = test->now_us,
		.response = { .status = HTTP_OK },
	};
	return (struct call){
		.entry = &test->entry,
		.service = &test->service,
		.call_class = test->call_class,
		.state = CALL_DISPATCHED,
		.started_us = test->now_us,
		.attempt = &test->attempt,
		.attempts = 1,
	};
}

static int64_t expected_ms(struct class_test *test, enum call_since since)
{
	return call_class_expected_ms(&(struct call_prospect){
		.call_class = test->call_class,
		.service = &test->service,
		.route = &test->route,
		.since = since,
	});
}

static void end_calls(struct class_test *test, int count, int status,
		      int64_t ms)
{
	for (int i = 0; i < count; i++) {
		struct call call = new_call(test);

		call.attempt->response.status = status;
		advance_ms(test, ms);
		call_class_add_complete(&call);
	}
}

static void test_unknown(void **state)
{
	struct class_test *test = *state;

	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), -1);
	end_calls(test, ENDED, HTTP_NOTFOUND, 1);
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), -1);
}

static void test_engine_with_timings(void **state)
{
	struct class_test *test = *state;

	test->service.engine = (struct engine_spec){
		.step_us = 20000,
		.prefill_tokens_per_s = 1000,
		.time_scale_permille = 1000,
		.mean_output_tokens = 50,
	};
	test->route.prompt_tokens = 500;
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), 500 + 50 * 20);
	end_calls(test, 1, HTTP_OK, STREAM_MS);
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), STREAM_MS);
}

/* A few that take long don't decide for the others. */
static void test_slowest_are_left_out(void **state)
{
	struct class_test *test = *state;

	end_calls(test, 1, HTTP_OK, 20 * STREAM_MS);
	end_calls(test, ENDED, HTTP_OK, STREAM_MS);
	assert_int_equal(expected_ms(test, SINCE_DISPATCH), STREAM_MS);
}

static void test_open_calls_show_slow_endpoints_first(void **state)
{
	struct class_test *test = *state;
	struct call open[ENDED];

	end_calls(test, ENDED, HTTP_OK, STREAM_MS);
	for (int i = 0; i < ENDED; i++) {
		open[i] = new_call(test);
		g_hash_table_add(test->entry.calls, &open[i]);
	}
	advance_ms(test, STREAM_MS / 2);
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), STREAM_MS);
	advance_ms(test, 2 * STREAM_MS);
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), 5 * STREAM_MS / 2);
	assert_int_equal(expected_ms(test, SINCE_DISPATCH), 5 * STREAM_MS / 2);
}

/* A young call doesn't show that others will be short. */
static void test_unknown_until_a_call_has_ended(void **state)
{
	struct class_test *test = *state;
	struct call open = new_call(test);

	g_hash_table_add(test->entry.calls, &open);
	advance_ms(test, STREAM_MS);
	assert_int_equal(expected_ms(test, SINCE_ARRIVAL), -1);
	assert_int_equal(expected_ms(test, SINCE_DISPATCH), -1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_unknown, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(test_engine_with_timings,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(test_slowest_are_left_out,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			test_open_calls_show_slow_endpoints_first, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			test_unknown_until_a_call_has_ended, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
