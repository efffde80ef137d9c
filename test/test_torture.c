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
		struct torture_opts opts = { .seed = regressions[i] };

		struct torture_result result;

		torture_run(&opts, &result);
		if (result.fault)
			fail_msg("seed %u: %s", regressions[i], result.fault);
	}
}

static void run_schedules(const struct torture_opts *how)
{
	uint32_t acknowledged = 0, crashes = 0, snapshots = 0, final_wipes = 0;
	struct torture_opts opts = *how;
	uint32_t kills = 0;

	for (opts.seed = 1; opts.seed <= SEEDS; opts.seed++) {
		struct torture_result result;

		torture_run(&opts, &result);
		if (result.fault)
			fail_msg("seed %u: %s", opts.seed, result.fault);
		kills += result.kills;
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
	assert_true(kills > SEEDS || opts.crash == TORTURE_POWER);
}

static void test_schedules(void **state)
{
	(void)state;
	run_schedules(&(struct torture_opts){ .disk = TORTURE_DISK_INLINE });
}

static void test_schedules_with_a_disk_thread(void **state)
{
	(void)state;
	run_schedules(&(struct torture_opts){ .disk = TORTURE_DISK_THREAD });
}

/*
 * Guards against CONFIG: a kill left entries that weren't synced, which the
 * next start took for durable; a later loss of power made a gap in the log.
 */
static void test_kills_then_losses_of_power(void **state)
{
	(void)state;
	run_schedules(&(struct torture_opts){
		.disk = TORTURE_DISK_INLINE,
		.crash = TORTURE_POWER_OR_KILL,
	});
	run_schedules(&(struct torture_opts){
		.disk = TORTURE_DISK_THREAD,
		.crash = TORTURE_POWER_OR_KILL,
	});
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_schedules),
		cmocka_unit_test(test_schedules_with_a_disk_thread),
		cmocka_unit_test(test_kills_then_losses_of_power),
		cmocka_unit_test(test_found_seeds),
	};

	log_setup((GLogLevelFlags)0, LOG_FORMAT_KEY_VALUE);
	return cmocka_run_group_tests_name("torture", tests, NULL, NULL);
}
