/* Orders to engines, against answers that never end. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <glib.h>

#include "control/orders.h"
#include "test/endless_endpoint.h"

#define TIMEOUT_MS 1000
#define CLOSE_MS 2000
#define WAIT_S 10
/* A status line, and what a receive buffer takes without a reader. */
#define ANSWER_MAX_BYTES (8192 + 1048576)

struct order_test {
	struct event_base *base;
	enum order_result result;
	bool done;
};

static const char *played;

static char *order_body(const struct order_intent *intent)
{
	(void)intent;
	return strdup("{}");
}

static char *order_headers(const struct order_intent *intent)
{
	(void)intent;
	return g_strdup_printf("X-Play: %s\r\n", played);
}

static enum order_result classify_status(int status)
{
	return status == 200 ? ORDER_ACCEPTED : ORDER_REFUSED;
}

static bool may_send(void *ctx)
{
	(void)ctx;
	return true;
}

static void on_done(void *ctx, enum order_result result)
{
	struct order_test *test = ctx;

	test->done = true;
	test->result = result;
	event_base_loopbreak(test->base);
}

static void check_order(const char *play, enum order_result expected)
{
	static const struct order_format format = {
		.body = order_body,
		.headers = order_headers,
		.classify_status = classify_status,
	};
	struct endless_endpoint *e = endless_endpoint_create("127.0.0.1:0",
							     false);
	char *address = g_strdup_printf("127.0.0.1:%d",
					endless_endpoint_port(e));
	struct order_test test = { .base = event_base_new() };
	struct timeval limit = { WAIT_S, 0 };
	struct order_intent intent = { .vm = "vm" };
	struct order order = {
		.format = &format,
		.intent = &intent,
		.address = address,
		.timeout_ms = TIMEOUT_MS,
		.may_send = may_send,
		.done = on_done,
		.ctx = &test,
	};
	int64_t bytes;

	played = play;
	order_send(test.base, &order);
	event_base_loopexit(test.base, &limit);
	event_base_dispatch(test.base);
	/* libevent closes the socket in the loop. */
	event_base_loop(test.base, EVLOOP_NONBLOCK);
	bytes = endless_endpoint_wait(e, CLOSE_MS);
	print_message("%s: %lld bytes\n", play, (long long)bytes);
	assert_true(test.done);
	assert_int_equal(test.result, expected);
	assert_in_range(bytes, 0, ANSWER_MAX_BYTES);
	event_base_free(test.base);
	g_free(address);
	endless_endpoint_destroy(e);
}

static void test_an_answer_without_end_is_bounded(void **state)
{
	(void)state;
	check_order("status-line", ORDER_LOST);
	check_order("continue", ORDER_REFUSED);
	check_order("headers", ORDER_ACCEPTED);
	check_order("body-length", ORDER_ACCEPTED);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_an_answer_without_end_is_bounded),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("orders", tests, NULL, NULL);
}
