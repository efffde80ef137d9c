/* Runs a small fixed set of the schedules of `make torture`. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "common/log.h"
#include "test/torture.h"

#define SEEDS 60

/* Seeds whose schedules have revealed a fault. */
static const uint32_t regressions[] = {
	6,    /* the only member with the newest configuration did not become
	       * a candidate */
	1514, /* the log had a gap after a snapshot following a crash */
	6071,	9080, /* a sole voter led before its vote was durable */
	807657,	      /* a demoted member, restarted, did not become a candidate
		       * with the newest configuration */
};

static void test_found_seeds(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(regressions) / sizeof(regressions[0]);
	     i++) {
		struct torture_result result;

		torture_run(regressions[i], TORTURE_DISK_INLINE, &result);
		if (result.fault)
			fail_msg("seed %u: %s", regressions[i], result.fault);
	}
}

static void run_schedules(enum torture_disk disk)
{
	uint32_t acknowledged = 0, crashes = 0, snapshots = 0, final_wipes = 0;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct torture_result result;

		torture_run(seed, disk, &result);
		if (result.fault)
			fail_msg("seed %u: %s", seed, result.fault);
		acknowledged += result.acknowledged;
		crashes += result.crashes;
		snapshots += result.snapshots;
		final_wipes += result.final_wipes;
	}
	/* Without changes, faults and snapshots nothing was tested. */
	assert_true(acknowledged > SEEDS * 5);
	assert_true(crashes > SEEDS);
	assert_true(snapshots > SEEDS / 10);
	assert_true(final_wipes > SEEDS / 10);
}

static void test_schedules(void **state)
{
	(void)state;
	run_schedules(TORTURE_DISK_INLINE);
}

static void test_schedules_with_a_disk_thread(void **state)
{
	(void)state;
	run_schedules(TORTURE_DISK_THREAD);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_schedules),
		cmocka_unit_test(test_schedules_with_a_disk_thread),
		cmocka_unit_test(test_found_seeds),
	};

	log_setup((GLogLevelFlags)0, LOG_FORMAT_KEY_VALUE);
	return cmocka_run_group_tests_name("torture", tests, NULL, NULL);
}
