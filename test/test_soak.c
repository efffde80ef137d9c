/* Tests of the soak's checks: each fires, and none fires without a reason. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "soak/bad_runs.h"
#include "soak/limits.h"
#include "soak/platform.h"
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

static void test_cut_without_a_stop_is_found(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->ended_us = STOP_US - 1 * MS;
	expect_finding(&t, "CUT");
	set_up_records(&t);
	t.request->ended_us = STOP_US + 1 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.process->signals[1] = (struct sent_signal){ SIGHUP,
						      STOP_US - 400 * MS };
	t.process->signal_count = 2;
	t.request->ended_us = STOP_US - 1 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.run->begun = 0;
	t.run->received = 1;
	t.request->sent_us = t.request->ended_us - 1 * MS;
	expect_finding(&t, "LOST");
}

/* Writes lines to a file; returns its path, which the caller frees. */
static char *write_log(const char *lines)
{
	char *path = NULL;
	int fd = g_file_open_tmp("soak-log-XXXXXX", &path, NULL);

	assert_true(fd >= 0);
	close(fd);
	assert_true(g_file_set_contents(path, lines, -1, NULL));
	return path;
}

/*
 * Adds a log in which a VM names 1 request a second at STOP_US - 9 s, and gets
 * `count` requests from 3 s after that on, `gap_ms` apart.
 */
static void add_limit(struct records *t, int count, int gap_ms)
{
	GString *log = g_string_new(NULL);
	char *path;

	g_string_append_printf(log,
			       "{\"t_us\": %d, \"event\": \"limit named\", "
			       "\"vm\": \"i-1\", \"per_s\": 1.0, "
			       "\"until_us\": %d}\n",
			       STOP_US - 9000 * MS, STOP_US);
	for (int i = 0; i < count; i++)
		g_string_append_printf(log,
				       "{\"t_us\": %d, \"event\": "
				       "\"received\", \"vm\": "
				       "\"i-1\", \"request\": \"r\"}\n",
				       STOP_US - 6000 * MS + i * gap_ms * MS);
	path = write_log(log->str);
	t->soak.limits = limits_table_create();
	limits_read_log(t->soak.limits, path);
	unlink(path);
	g_free(path);
	g_string_free(log, TRUE);
}

static void expect_limit(int count, int gap_ms, int64_t started_us,
			 const char *name)
{
	struct records t;

	set_up_records(&t);
	t.request->complete = true;
	t.process->started_us = started_us;
	add_limit(&t, count, gap_ms);
	expect_finding(&t, name);
	g_hash_table_unref(t.soak.limits);
}

/* One and a half times as much as in 4 s is allowed, and 5 more: 11. */
static void test_limit_is_exceeded(void **state)
{
	(void)state;
	expect_limit(11, 10, 0, NULL);
	expect_limit(12, 10, 0, "LIMIT");
	/* The twelfth is in another window. */
	expect_limit(12, 400, 0, NULL);
	/* The entry doesn't know of it yet. */
	expect_limit(12, 10, STOP_US - 8000 * MS, NULL);
	/* After the end of the limit. */
	expect_limit(40, 1000, 0, NULL);
}

/* Adds a log in which request "r" ends three VMs, and is sent again later. */
static void add_bad_runs(struct records *t, int again, int after_ms)
{
	GString *log = g_string_new(NULL);
	char *path;

	for (int i = 0; i < 3 + again; i++)
		g_string_append_printf(
			log,
			"{\"t_us\": %d, \"event\": \"%s\", \"vm\": \"i-1\", "
			"\"request\": \"r\"}\n",
			i < 3 ? 4000 * MS : (4000 + after_ms) * MS,
			i < 3 ? "ends its VM" : "will end its VM");
	path = write_log(log->str);
	t->soak.bad_runs = bad_runs_create();
	bad_runs_read_log(t->soak.bad_runs, path);
	unlink(path);
	g_free(path);
	g_string_free(log, TRUE);
}

static void expect_bad_runs(int again, int after_ms, int64_t started_us,
			    const char *name)
{
	struct records t;

	set_up_records(&t);
	t.request->complete = true;
	t.process->started_us = started_us;
	add_bad_runs(&t, again, after_ms);
	expect_finding(&t, name);
	bad_runs_free(t.soak.bad_runs);
}

static void test_bad_request_is_sent_too_often(void **state)
{
	(void)state;
	expect_bad_runs(3, 3001, 0, NULL);
	expect_bad_runs(4, 3001, 0, "BUDGET");
	/* The entries may not know yet, or were just started. */
	expect_bad_runs(9, 2999, 0, NULL);
	expect_bad_runs(9, 3001, 6000 * MS, NULL);
}

static void expect_cause(struct records *t, const char *cause)
{
	gpointer n;

	check_records(&t->soak, &t->result);
	n = g_hash_table_lookup(t->result.causes, cause);
	assert_int_equal(GPOINTER_TO_INT(n), 1);
	assert_int_equal(g_hash_table_size(t->result.causes), 1);
	g_ptr_array_unref(t->soak.processes);
	g_ptr_array_unref(t->soak.requests);
	g_hash_table_unref(t->soak.endpoint_runs);
	g_hash_table_unref(t->soak.reasons);
	soak_result_clear(&t->result);
}

static void set_up_reason(struct records *t, const char *reason)
{
	set_up_records(t);
	t->soak.reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	if (reason)
		g_hash_table_insert(t->soak.reasons, g_strdup("r"),
				    g_strdup(reason));
}

static void test_losses_are_counted_by_cause(void **state)
{
	struct records t;

	(void)state;
	set_up_reason(&t, "upstream-broke (stalled)");
	expect_cause(&t, "LOST upstream-broke (stalled), at work");
	set_up_reason(&t, NULL);
	t.run->served = 1;
	t.run->ended_us = t.request->ended_us - 1 * MS;
	expect_cause(&t, "LOST no reason, complete at the endpoint");
	set_up_reason(&t, NULL);
	t.request->sent_us = STOP_US + 3001 * MS;
	t.request->ended_us = STOP_US + 4000 * MS;
	expect_cause(&t, "LOST no reason, sent late");
	set_up_reason(&t, NULL);
	t.run->broken = 1;
	expect_cause(&t, "excused no reason, at work");
}

static void test_caller_that_abandons_has_lost_nothing(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->abandoned = true;
	expect_finding(&t, NULL);
}

static void test_fault_of_a_response_is_found(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.request->complete = true;
	t.request->fault = g_strdup("MIXED");
	expect_finding(&t, "MIXED");
}

/* Runs the check of responses on one with this head and body. */
static void expect_fault(const char *head, const char *body, bool complete,
			 const char *expected)
{
	struct request request = {
		.id = "r1",
		.kind = REQUEST_STREAM,
		.complete = complete,
	};
	struct response response;
	char *text = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 9999"
				     "\r\n\r\n%s",
				     head, body);
	const char *fault;

	response_init(&response);
	response_add(&response, text, strlen(text));
	fault = platform_check_response(&response, &request);
	if (expected)
		assert_non_null(fault);
	if (expected)
		assert_string_equal(fault, expected);
	else
		assert_null(fault);
	response_clear(&response);
	g_free(text);
}

static void test_responses_on_the_platform(void **state)
{
	const char *head = "200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: seal-r1";
	const char *both = "id: 1\ndata: r1 1 of 2\n\n"
			   "id: 2\ndata: r1 2 of 2\n\n";

	(void)state;
	expect_fault(head, both, true, NULL);
	expect_fault(head, "id: 1\ndata: r1 1 of 2\n\nid: 2\nda", false, NULL);
	expect_fault(head, "id: 1\ndata: r1 1 of 2\n\n", true,
		     "ORDER complete before its last event");
	expect_fault(head, "id: 2\ndata: r1 2 of 2\n\n", false,
		     "ORDER event missing or doubled");
	expect_fault(head, "id: 1\ndata: r2 1 of 2\n\n", false,
		     "MIXED event of another request");
	expect_fault(head, "garbled\n\n", false,
		     "MIXED bytes that are no event");
	expect_fault("200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: seal-r2", both,
		     true, "MIXED seal of another request");
	expect_fault("200 OK\r\nAttempt-Id: r2\r\nResponse-Seal: seal-r1", both,
		     true, "MIXED answer to another request");
	expect_fault("200 OK\r\nAttempt-Id: r1", both, true,
		     "MIXED success without a seal");
	expect_fault("503 No\r\nAttempt-Id: r1", "full", true, NULL);
}

static void test_readers_of_logs(void **state)
{
	GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free);
	GHashTable *reasons = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
	char *path = write_log("{\"t_us\":1,\"event\":\"received\",\"request\""
			       ":\"r\"}\n"
			       "{\"t_us\":2,\"event\":\"begun\",\"request\":"
			       "\"r\"}\n"
			       "{\"t_us\":3,\"event\":\"broken\",\"request\":"
			       "\"r\"}\n"
			       "{\"t_us\":3,\"event\":\"stalled\",\"request\":"
			       "\"r\"}\n"
			       "{\"t_us\":4,\"event\":\"received\",\"request\""
			       ":\"r\"}\n"
			       "{\"t_us\":5,\"event\":\"cancelled\","
			       "\"request\":\"r\"}\n"
			       "{\"event\":\"refused\",\"request\":\"r\","
			       "\"code\":\"deadline\",\"detail\":\"-\"}\n");
	const struct endpoint_run *run;

	(void)state;
	endpoints_read_log(runs, path);
	reasons_read_log(reasons, path);
	run = g_hash_table_lookup(runs, "r");
	assert_int_equal(run->received, 2);
	assert_int_equal(run->begun, 1);
	/* The endpoint that had it last did not break it off. */
	assert_int_equal(run->broken, 0);
	assert_int_equal(run->stalled, 0);
	assert_int_equal(run->cancelled, 1);
	assert_int_equal(run->ended_us, 5);
	assert_string_equal(g_hash_table_lookup(reasons, "r"), "deadline (-)");
	unlink(path);
	g_free(path);
	g_hash_table_unref(runs);
	g_hash_table_unref(reasons);
}

static void test_loss_by_endpoint_or_deadline_is_excused(void **state)
{
	struct records t;

	(void)state;
	set_up_records(&t);
	t.run->broken = 1;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.run->stalled = 1;
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
	t.run->served = 1;
	t.run->ended_us = t.request->ended_us - 1 * MS;
	expect_finding(&t, "LOST");
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us + 1 * MS;
	t.run->served = 1;
	t.run->ended_us = t.request->ended_us + 1 * MS;
	expect_finding(&t, NULL);
	set_up_records(&t);
	t.process->exited_us = t.request->ended_us = sixth_us - 1 * MS;
	t.run->served = 1;
	t.run->ended_us = t.request->ended_us + 1 * MS;
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
	t.request->status = 421;
	expect_finding(&t, "REFUSED-FOR-GOOD");
	set_up_records(&t);
	t.soak.opts.rig = &platform_rig;
	t.run->begun = 0;
	t.request->complete = true;
	t.request->status = 421;
	expect_finding(&t, NULL);
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
		cmocka_unit_test(test_cut_without_a_stop_is_found),
		cmocka_unit_test(test_losses_are_counted_by_cause),
		cmocka_unit_test(test_caller_that_abandons_has_lost_nothing),
		cmocka_unit_test(test_fault_of_a_response_is_found),
		cmocka_unit_test(test_responses_on_the_platform),
		cmocka_unit_test(test_readers_of_logs),
		cmocka_unit_test(test_loss_by_endpoint_or_deadline_is_excused),
		cmocka_unit_test(test_request_without_an_end_is_found),
		cmocka_unit_test(test_only_work_in_the_last_sixth_is_excused),
		cmocka_unit_test(test_valid_request_is_not_refused_for_good),
		cmocka_unit_test(test_runs_of_requests),
		cmocka_unit_test(test_ends_of_processes),
		cmocka_unit_test(test_signal_before_a_process_is_up_ends_it),
		cmocka_unit_test(test_reader_of_responses),
		cmocka_unit_test(test_limit_is_exceeded),
		cmocka_unit_test(test_bad_request_is_sent_too_often),
	};

	return cmocka_run_group_tests_name("soak", tests, NULL, NULL);
}
