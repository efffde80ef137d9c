/* Silence is measured without the times in which this process did not run. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "entry/pauses.h"

#define TICK_MS 50
#define START_MS 1000

static int64_t tick_until(struct pauses *pauses, int64_t from_ms,
			  int64_t until_ms)
{
	int64_t now_ms;

	for (now_ms = from_ms; now_ms <= until_ms; now_ms += TICK_MS)
		assert_int_equal(pauses_tick(pauses, now_ms), 0);
	return now_ms - TICK_MS;
}

static void test_ticks_in_time_are_no_pause(void **state)
{
	struct pauses pauses;

	(void)state;
	pauses_init(&pauses, TICK_MS, START_MS);
	tick_until(&pauses, START_MS + TICK_MS, 3000);
	assert_false(pauses.just_ended);
	assert_int_equal(pauses_awake_ms(&pauses, 2000, 3000), 1000);
}

static void test_pause_counts_as_no_silence(void **state)
{
	struct pauses pauses;

	(void)state;
	pauses_init(&pauses, TICK_MS, START_MS);
	tick_until(&pauses, START_MS + TICK_MS, 2000);
	assert_int_equal(pauses_tick(&pauses, 5000), 2950);
	/* The sockets have not been read since. */
	assert_true(pauses.just_ended);
	assert_int_equal(pauses_awake_ms(&pauses, 1900, 5000), 150);
	assert_int_equal(pauses_awake_ms(&pauses, 4000, 5000), 0);
	tick_until(&pauses, 5050, 6000);
	assert_false(pauses.just_ended);
	assert_int_equal(pauses_awake_ms(&pauses, 1900, 6000), 1150);
	assert_int_equal(pauses_awake_ms(&pauses, 5500, 6000), 500);
}

static void test_many_pauses_add_up(void **state)
{
	struct pauses pauses;
	int64_t now_ms = START_MS;

	(void)state;
	pauses_init(&pauses, TICK_MS, START_MS);
	for (int i = 0; i < 3 * PAUSES_MAX; i++) {
		now_ms += TICK_MS;
		assert_int_equal(pauses_tick(&pauses, now_ms), 0);
		now_ms += 10 * TICK_MS;
		assert_int_equal(pauses_tick(&pauses, now_ms), 9 * TICK_MS);
	}
	assert_int_equal(pauses_awake_ms(&pauses, now_ms - 22 * TICK_MS,
					 now_ms),
			 4 * TICK_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ticks_in_time_are_no_pause),
		cmocka_unit_test(test_pause_counts_as_no_silence),
		cmocka_unit_test(test_many_pauses_add_up),
	};

	return cmocka_run_group_tests_name("pauses", tests, NULL, NULL);
}
