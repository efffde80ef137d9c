/* Short runs of `make soak WHAT=platform`. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak/soak.h"

/* Runs a seed with these faults of endpoints, NULL for none. */
static void expect_no_findings(uint32_t seed, const char *faults)
{
	const struct soak_opts opts = {
		.rig = &platform_rig,
		.seed = seed,
		.duration_ms = 15000,
		.callers = 48,
		.platform = { .vms = 12,
			      .plain_vms = 3,
			      .stride = 5,
			      .faults = faults,
			      .stops = true },
	};
	struct soak_result result;
	guint findings;

	soak_run(&opts, &result);
	findings = result.findings->len;
	soak_result_clear(&result);
	assert_int_equal(findings, 0);
	/* Without these nothing was tested. */
	assert_true(result.complete > 100);
	assert_true(result.stops > 6);
	assert_true(result.repeated_signals > 2);
}

static void test_no_stream_of_a_replica_is_lost_around_stops(void **state)
{
	(void)state;
	expect_no_findings(4, NULL);
}

static void test_streams_that_pause_are_not_cut(void **state)
{
	(void)state;
	expect_no_findings(42, "hold");
}

static void test_limits_are_kept_around_stops(void **state)
{
	(void)state;
	expect_no_findings(43, "limit");
}

static void test_request_that_ends_endpoints_is_contained(void **state)
{
	(void)state;
	expect_no_findings(7102, "bad");
}

static void test_late_heartbeats_cut_no_stream(void **state)
{
	(void)state;
	expect_no_findings(23, "late");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_no_stream_of_a_replica_is_lost_around_stops),
		cmocka_unit_test(test_streams_that_pause_are_not_cut),
		cmocka_unit_test(test_limits_are_kept_around_stops),
		cmocka_unit_test(test_request_that_ends_endpoints_is_contained),
		cmocka_unit_test(test_late_heartbeats_cut_no_stream),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("stops_platform", tests, NULL, NULL);
}
