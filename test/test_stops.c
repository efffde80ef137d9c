/* A short run of `make soak`. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "soak/soak.h"

static void test_no_request_is_lost_around_stops_in_series(void **state)
{
	const struct soak_opts opts = {
		.rig = &native_rig,
		.seed = 1,
		.duration_ms = 20000,
		.callers = 48,
	};
	struct soak_result result;
	guint findings;

	(void)state;
	soak_run(&opts, &result);
	findings = result.findings->len;
	soak_result_clear(&result);
	assert_int_equal(findings, 0);
	/* Without these nothing was tested. */
	assert_true(result.complete > 100);
	assert_true(result.stops > 8);
	assert_true(result.repeated_signals > 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_no_request_is_lost_around_stops_in_series),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("stops", tests, NULL, NULL);
}
