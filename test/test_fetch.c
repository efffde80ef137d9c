/* The blocking HTTP client, against answers that never end. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include <glib.h>

#include "common/fetch.h"
#include "test/endless_endpoint.h"

#define TIMEOUT_MS 30000
#define WITHIN_US 15000000
#define CLOSE_MS 2000
/* A head or framing, and what a receive buffer takes without a reader. */
#define HEAD_MAX_BYTES (262144 + 1048576)
/* FETCH_BODY_MAX_BYTES, and the largest receive buffer. */
#define BODY_MAX_BYTES (FETCH_BODY_MAX_BYTES + 6500000)

static void check_cut(const char *kind, int64_t bytes_max)
{
	struct endless_endpoint *e = endless_endpoint_create("127.0.0.1:0",
							     false);
	char *address = g_strdup_printf("127.0.0.1:%d",
					endless_endpoint_port(e));
	char *path = g_strdup_printf("/%s", kind);
	struct fetch_request request = {
		.address = address,
		.method = "GET",
		.path = path,
		.body = "",
		.timeout_ms = TIMEOUT_MS,
	};
	struct fetch_response answer;
	gint64 started = g_get_monotonic_time();
	bool complete = fetch(&request, &answer);
	gint64 took = g_get_monotonic_time() - started;
	int64_t bytes = endless_endpoint_wait(e, CLOSE_MS);

	print_message("%s: %d ms, %lld bytes\n", kind, (int)(took / 1000),
		      (long long)bytes);
	assert_false(complete);
	assert_true(answer.sent);
	assert_in_range(took, 0, WITHIN_US);
	assert_in_range(bytes, 0, bytes_max);
	fetch_clear(&answer);
	g_free(path);
	g_free(address);
	endless_endpoint_destroy(e);
}

static void test_a_head_or_framing_without_end_is_cut(void **state)
{
	static const char *const kinds[] = {
		"status-line", "header-line",
		"headers",     "continue",
		"chunk-line",  "continue-headers",
		"chunk-blank", "chunk-padding",
		"trailers",    "trailer-line",
		NULL,
	};

	(void)state;
	for (int i = 0; kinds[i]; i++)
		check_cut(kinds[i], HEAD_MAX_BYTES);
}

static void test_a_body_without_end_is_cut(void **state)
{
	static const char *const kinds[] = { "body-length", "body-close",
					     "chunk", NULL };

	(void)state;
	for (int i = 0; kinds[i]; i++)
		check_cut(kinds[i], BODY_MAX_BYTES);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_a_head_or_framing_without_end_is_cut),
		cmocka_unit_test(test_a_body_without_end_is_cut),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("fetch", tests, NULL, NULL);
}
