/*
 * Logging: JSON lines, a slow reader of the log, and `radishdealctl explain`
 * for one request.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "common/log_json.h"
#include "common/log_sink.h"
#include "control/control_internal.h"
#include "common/probe.h"

#define BUFFER_BYTES 4096u
#define LINES 50000

static void expect_line(const char *message, const char *members)
{
	char *line = log_json_line("T", "note", "call", message);
	char *expected = g_strdup_printf("{\"time\":\"T\",\"level\":\"note\","
					 "\"object\":\"call\",%s}\n",
					 members);

	assert_string_equal(line, expected);
	g_free(expected);
	g_free(line);
}

static void test_json(void **state)
{
	(void)state;
	expect_line("started", "\"event\":\"started\"");
	expect_line("request a1: sent replica=7 at=10.0.0.1:80 after_ms=-3",
		    "\"request\":\"a1\",\"replica\":7,\"at\":\"10.0.0.1:80\","
		    "\"after_ms\":-3,\"event\":\"sent\"");
	expect_line("refused code=cut-off detail=\"broke off\" last=1",
		    "\"code\":\"cut-off\",\"detail\":\"broke off\",\"last\":1,"
		    "\"event\":\"refused\"");
	/* Text that resembles a field, and a number that is invalid in JSON. */
	expect_line("a = b ==x id=007 x=", "\"id\":\"007\",\"x\":\"\","
					   "\"event\":\"a = b ==x\"");
	expect_line("request without id: x", "\"event\":\"request without id: "
					     "x\"");
	/* Line breaks are escaped: a message is always one line. */
	expect_line("target=/a\n{}\"", "\"target\":\"/a\\n{}\\\"\",\"event\":"
				       "\"\"");
}

/* Without the key `vm`, `radishdealctl explain` does not find the line. */
static void test_failed_probe_names_vm(void **state)
{
	char *line = probe_failure_line("i-5351", 400, 1500);

	(void)state;
	expect_line(line, "\"vm\":\"i-5351\",\"timeout_ms\":400,\"lost_ms\":"
			  "1500,\"event\":\"connect probe failed while the "
			  "replica returns no data: VM treated as lost\"");
	g_free(line);
}

static void test_announcement_names_staged_models(void **state)
{
	weights_name staged[] = { (char *)"m1", (char *)"m2" };
	struct vm_report report = {
		.name = (char *)"i-1",
		.address = (char *)"10.0.0.1:80",
		.replica = 7,
		.epoch = 3,
		.ready = true,
		.model = (char *)"m3",
		.staged = { G_N_ELEMENTS(staged), staged },
		.incarnation = 5,
	};
	char *line = announcements_line(&report);

	(void)state;
	expect_line(line, "\"replica\":7,\"epoch\":3,\"ready\":1,"
			  "\"serving\":0,\"broken\":0,\"leaving\":0,"
			  "\"loaded\":\"m3\",\"staged\":\"m1,m2\","
			  "\"incarnation\":5,\"event\":\"VM i-1 at "
			  "10.0.0.1:80:\"");
	g_free(line);
	report.model = (char *)"";
	report.staged.staged_len = 0;
	line = announcements_line(&report);
	assert_non_null(strstr(line, " loaded=- staged=- "));
	g_free(line);
}

static void expect_silence(uint32_t *reported, uint32_t node,
			   const char *expected)
{
	const struct member_health health = { .silent_ms = 2600 };
	char *line = members_lost_line(reported, node, &health, 2500);

	assert_string_equal(line ? line : "none", expected);
	g_free(line);
}

/* The state is checked every 50 ms for as long as a voter is silent. */
static void test_silent_voter_is_logged_once(void **state)
{
	uint32_t reported = 0;

	(void)state;
	expect_silence(&reported, 0, "none");
	expect_silence(&reported, 2,
		       "voter on node 2 is lost silent_ms=2600 limit_ms=2500 "
		       "process_ended=no");
	expect_silence(&reported, 2, "none");
	expect_silence(&reported, 3,
		       "voter on node 3 is lost silent_ms=2600 limit_ms=2500 "
		       "process_ended=no");
	expect_silence(&reported, 3, "none");
	expect_silence(&reported, 0,
		       "voter on node 3 replies again or was replaced");
	expect_silence(&reported, 0, "none");
}

static char *format_dropped_line(const uint64_t *counts)
{
	return g_strdup_printf("dropped %d %d\n", (int)counts[LOG_KIND_TRAFFIC],
			       (int)counts[LOG_KIND_OTHER]);
}

static gpointer read_all(gpointer ctx)
{
	GString *text = g_string_new(NULL);
	char piece[8192];
	ssize_t n;

	while ((n = read(*(int *)ctx, piece, sizeof(piece))) > 0)
		g_string_append_len(text, piece, n);
	return text;
}

static guint count_lines(const GString *text, const char *line)
{
	char **lines = g_strsplit(text->str, "\n", -1);
	guint count = 0;

	for (char **l = lines; *l; l++)
		count += !strcmp(*l, line);
	g_strfreev(lines);
	return count;
}

static uint64_t sum_dropped(const GString *text, int kind)
{
	char **lines = g_strsplit(text->str, "\n", -1);
	uint64_t sum = 0;

	for (char **l = lines; *l; l++) {
		int counts[LOG_KIND_COUNT];

		if (sscanf(*l, "dropped %d %d", &counts[0], &counts[1]) == 2)
			sum += (uint64_t)counts[kind];
	}
	g_strfreev(lines);
	return sum;
}

/*
 * The reader starts after the last line was written. Writing does not block,
 * and each line is either read or counted as dropped.
 */
static void test_slow_reader(void **state)
{
	int pipes[2];
	struct log_sink_opts opts = {
		.max_queued_bytes = BUFFER_BYTES,
		.format_dropped_line = format_dropped_line,
	};
	struct log_sink *sink;
	GThread *reader;
	GString *text;

	(void)state;
	assert_int_equal(pipe(pipes), 0);
	opts.fd = pipes[1];
	sink = log_sink_create(&opts);
	for (int i = 0; i < LINES; i++) {
		log_sink_write(sink, LOG_KIND_TRAFFIC, "traffic\n", 8);
		if (i % 1000 == 0)
			log_sink_write(sink, LOG_KIND_OTHER, "kept\n", 5);
	}
	assert_true(log_sink_dropped_count(sink, LOG_KIND_TRAFFIC) > 0);
	reader = g_thread_new("reader", read_all, &pipes[0]);
	log_sink_destroy(sink);
	close(pipes[1]);
	text = g_thread_join(reader);
	assert_int_equal(count_lines(text, "traffic") +
				 sum_dropped(text, LOG_KIND_TRAFFIC),
			 LINES);
	/* Half of the buffer is reserved for lines of this kind, and all of
	 * them fit into it. */
	assert_int_equal(count_lines(text, "kept"), LINES / 1000);
	assert_int_equal(sum_dropped(text, LOG_KIND_OTHER), 0);
	g_string_free(text, TRUE);
	close(pipes[0]);
}

static void wait_dropped(struct log_sink *sink, uint64_t count)
{
	while (log_sink_dropped_count(sink, LOG_KIND_OTHER) != count)
		g_usleep(1000);
}

/* A log whose writes fail for a while, such as one on a full disk. */
static void test_lines_lost_to_failed_writes_are_reported(void **state)
{
	int broken[2], sound[2];
	struct log_sink_opts opts = {
		.max_queued_bytes = BUFFER_BYTES,
		.format_dropped_line = format_dropped_line,
	};
	struct log_sink *sink;
	GString *text;

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	assert_int_equal(pipe(broken), 0);
	assert_int_equal(pipe(sound), 0);
	close(broken[0]);
	opts.fd = broken[1];
	sink = log_sink_create(&opts);
	log_sink_write(sink, LOG_KIND_OTHER, "lost\n", 5);
	wait_dropped(sink, 1);
	log_sink_write(sink, LOG_KIND_OTHER, "lost\nlost\n", 10);
	wait_dropped(sink, 3);
	assert_int_equal(dup2(sound[1], broken[1]), broken[1]);
	log_sink_write(sink, LOG_KIND_OTHER, "kept\n", 5);
	log_sink_destroy(sink);
	close(broken[1]);
	close(sound[1]);
	text = read_all(&sound[0]);
	assert_string_equal(text->str, "kept\ndropped 0 3\n");
	g_string_free(text, TRUE);
	close(sound[0]);
}

static char *program_path(const char *name)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *tests = g_path_get_dirname(self);
	char *path = g_build_filename(tests, "..", name, NULL);

	g_free(self);
	g_free(tests);
	return path;
}

static char *explain(const char *id, int *status)
{
	char *argv[] = { program_path("radishdealctl"),
			 (char *)"explain",
			 (char *)id,
			 (char *)"test/cases/explain/entry-1.log",
			 (char *)"test/cases/explain/control-1.log",
			 NULL };
	char *out = NULL;
	int wait_status = 0;

	assert_true(g_spawn_sync(NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL,
				 NULL, NULL, &out, NULL, &wait_status, NULL));
	*status = WEXITSTATUS(wait_status);
	g_free(argv[0]);
	return out;
}

static void test_explain(void **state)
{
	char *expected, *out;
	int status;

	(void)state;
	assert_true(g_file_get_contents("test/cases/explain/584b.expected",
					&expected, NULL, NULL));
	out = explain("584b", &status);
	assert_int_equal(status, 0);
	assert_string_equal(out, expected);
	g_free(out);
	g_free(expected);
	out = explain("none", &status);
	assert_int_equal(status, 1);
	assert_string_equal(out, "");
	g_free(out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_json),
		cmocka_unit_test(test_failed_probe_names_vm),
		cmocka_unit_test(test_announcement_names_staged_models),
		cmocka_unit_test(test_silent_voter_is_logged_once),
		cmocka_unit_test(test_slow_reader),
		cmocka_unit_test(test_lines_lost_to_failed_writes_are_reported),
		cmocka_unit_test(test_explain),
	};

	return cmocka_run_group_tests_name("log", tests, NULL, NULL);
}
