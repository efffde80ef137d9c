/* Tests of the soak's checks: each fires, and none fires without a reason. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#include "soak/soak.h"
#include "test/response.h"

#define MS 1000
/* Wait status of a process that exited with status 1. */
#define EXITED_WITH_1 0x100
#define STOP_US (10000 * MS)

/** Records of a run with one process, stopped at STOP_US, and one request. */
struct records {
	struct soak soak;
	struct process *process;
	struct request *request;
	struct endpoint_run *run;
	struct soak_result result;
};

/* By default the request was lost at an endpoint 1 s after the signal. */
static void set_up_records(struct records *t)
{
	*t = (struct records){ 0 };
	t->soak.processes = g_ptr_array_new_with_free_func(soak_process_free);
	t->soak.requests = g_ptr_array_new_with_free_func(soak_request_free);
	t->soak.endpoint_runs = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	soak_result_init(&t->result);
	t->process = g_new0(struct process, 1);
	t->request = g_new0(struct request, 1);
	t->run = g_new0(struct endpoint_run, 1);
	*t->process = (struct process){
		.node = 1,
		.start = 1,
		.up = true,
		.exited_us = STOP_US + 4000 * MS,
		.signals = { { SIGTERM, STOP_US } },
		.signal_count = 1,
	};
	*t->request = (struct request){
		.id = "r",
		.process = t->process,
		.begun_us = STOP_US - 500 * MS,
		.sent_us = STOP_US - 500 * MS,
		.ended_us = STOP_US + 1000 * MS,
		.deadline_us = STOP_US + 11500 * MS,
	};
	t->run->begun = 1;
	g_ptr_array_add(t->soak.processes, t->process);
	g_ptr_array_add(t->soak.requests, t->request);
	g_hash_table_insert(t->soak.endpoint_runs, g_strdup("r"), t->run);
}

/* Checks that there is one finding that starts with `name`, NULL for none. */
static void expect_finding(struct records *t, const char *name)
{
	GPtrArray *findings = t->result.findings;

	check_records(&t->soak, &t->result);
	assert_int_equal(findings->len, name ? 1 : 0);
	if (name)
		assert_true(g_str_has_prefix(findings->pdata[0], name));
	g_ptr_array_unref(t->soak.processes);
	g_ptr_array_unref(t->soak.requests);
	g_hash_table_unref(t->soak.endpoint_runs);
	soak_result_clear(&t->result);
}

static void test_request_at_an_endpoint_is_lost(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.request->sent_us = t.request->ended_us - 1 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.request->complete = true;
	expect_finding(&t, NULL);
}

static void test_request_that_waited_is_lost(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.run->begun = 0;
	t.request->sent_us = t.request->ended_us - 201 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.run->begun = 0;
	t.request->sent_us = t.request->ended_us - 199 * MS;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.run->begun = 0;
	t.request->sent_us = 0;
	expect_finding(&t, NULL);
}

static void test_loss_by_endpoint_or_deadline_is_excused(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.run->broken = 1;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.request->deadline_us = t.request->ended_us;
	expect_finding(&t, NULL);
}

static void test_request_without_an_end_is_found(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->gave_up = true;
	t.request->ended_us = t.request->deadline_us + 8000 * MS;
	expect_finding(&t, "UNANSWERED");
}

static void test_only_work_in_the_last_sixth_is_excused(void **state)
{
	int64_t sixth_us = STOP_US + SOAK_GRACE_MS * MS / 6 * 5;
	struct records t;

	(void)state;
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us + 1 * MS;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us - 1 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us + 1 * MS;
	t.request->sent_us = STOP_US + 3001 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us + 1 * MS;
	t.run->served = 1;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us + 1 * MS;
	t.run->begun = 0;
	expect_finding(&t, "LOST");
}

static void test_valid_request_is_not_refused_for_good(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.run->begun = 0;
	t.request->complete = true;
	t.request->status = 401;
	expect_finding(&t, "REFUSED-FOR-GOOD");
	set_up_records(&t);
	t.run->begun = 0;
	t.request->complete = true;
	t.request->status = 503;
	expect_finding(&t, NULL);
}

static void test_runs_of_requests(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->complete = t.request->not_run = true;
	expect_finding(&t, "RAN-THOUGH-NOT-RUN");
	set_up_records(&t);
	t.request->complete = t.request->not_run = true;
	t.run->begun = 0;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.request->complete = true;
	t.request->kind = REQUEST_ONCE;
	t.run->begun = 2;
	expect_finding(&t, "RAN-TWICE");
	set_up_records(&t);
	t.request->complete = true;
	t.request->kind = REQUEST_STREAM;
	t.run->begun = 2;
	expect_finding(&t, NULL);
}

static void test_ends_of_processes(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->complete = true;
	t.process->wait_status = EXITED_WITH_1;
	expect_finding(&t, "EXIT-STATUS");
	set_up_records(&t);
	t.request->complete = true;
	t.process->wait_status = SIGTERM;
	expect_finding(&t, "EXIT-STATUS");
	set_up_records(&t);
	t.request->complete = true;
	t.process->exited_us = STOP_US + (SOAK_GRACE_MS + 1) * MS;
	expect_finding(&t, "OUTLASTED-GRACE-PERIOD");
	set_up_records(&t);
	t.request->complete = true;
	t.process->killed = true;
	t.process->wait_status = SIGKILL;
	expect_finding(&t, "OUTLASTED-GRACE-PERIOD");
	set_up_records(&t);
	t.request->complete = true;
	t.process->exited_us = 0;
	expect_finding(&t, "NEVER-ENDED");
	set_up_records(&t);
	t.request->complete = true;
	t.process->signals[0].number = SIGHUP;
	expect_finding(&t, "ENDED-WITHOUT-SIGNAL");
}

static void test_signal_before_a_process_is_up_ends_it(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->complete = true;
	t.process->up = false;
	t.process->wait_status = SIGTERM;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.request->complete = true;
	t.process->up = false;
	t.process->wait_status = SIGSEGV;
	expect_finding(&t, "EXIT-STATUS");
}

static void test_reader_of_responses(void **state)
{
	static const char first[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
				    "chunked\r\nConnection: close\r\n\r\n"
				    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	static const char second[] = "HTTP/1.1 503 No\r\nRetry-After: 2\r\n"
				     "Content-Length: 4\r\n\r\nabcd";
	struct response r;

	(void)state;
	response_init(&r);
	for (size_t i = 0; i < strlen(first); i++) {
		assert_false(r.complete);
		response_add(&r, first + i, 1);
	}
	assert_true(r.complete && r.close && r.status == 200);
	assert_string_equal(r.body->str, "abcde");
	response_clear(&r);
	response_init(&r);
	response_add(&r, second, strlen(second) - 1);
	assert_false(r.complete);
	response_add(&r, "d", 1);
	assert_true(r.complete && !r.close && r.status == 503);
	assert_int_equal(r.retry_after_s, 2);
	response_clear(&r);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_request_at_an_endpoint_is_lost),
		cmocka_unit_test(test_request_that_waited_is_lost),
		cmocka_unit_test(test_loss_by_endpoint_or_deadline_is_excused),
		cmocka_unit_test(test_request_without_an_end_is_found),
		cmocka_unit_test(test_only_work_in_the_last_sixth_is_excused),
		cmocka_unit_test(test_valid_request_is_not_refused_for_good),
		cmocka_unit_test(test_runs_of_requests),
		cmocka_unit_test(test_ends_of_processes),
		cmocka_unit_test(test_signal_before_a_process_is_up_ends_it),
		cmocka_unit_test(test_reader_of_responses),
	};

	return cmocka_run_group_tests_name("soak", tests, NULL, NULL);
}
