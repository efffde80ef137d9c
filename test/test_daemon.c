/*
 * Starts a daemon whose settings or key are read from a FIFO, which holds it at
 * a chosen point of its start while signals or changes arrive.
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <setjmp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#define WAIT_MS 20000
#define POLL_US 10000
#define KEY "0123456789abcdef0123456789abcdef\n"
#define NOT_EXITED (-1000)

extern char **environ;

struct daemon_test {
	char *folder;
	char *settings_path;
	char *text; /* valid settings */
	GString *log;
	pid_t pid;
	int log_fd;
};

static char *path_of(const struct daemon_test *test, const char *name)
{
	return g_build_filename(test->folder, name, NULL);
}

static void write_file(const struct daemon_test *test, const char *name,
		       const char *text)
{
	char *path = path_of(test, name);

	assert_true(g_file_set_contents(path, text, -1, NULL));
	assert_int_equal(chmod(path, 0600), 0);
	g_free(path);
}

static void make_fifo(const struct daemon_test *test, const char *name)
{
	char *path = path_of(test, name);

	(void)unlink(path);
	assert_int_equal(mkfifo(path, 0600), 0);
	g_free(path);
}

static int setup(void **state)
{
	struct daemon_test *test = g_new0(struct daemon_test, 1);

	test->folder = g_dir_make_tmp("radishdeal-XXXXXX", NULL);
	test->settings_path = path_of(test, "settings.toml");
	test->log = g_string_new(NULL);
	test->text = g_strdup_printf("[node]\nid = 1\ndata_centre = \"a\"\n"
				     "roles = [\"entry\", \"control\"]\n"
				     "data_folder = \"%s/data\"\n"
				     "[listen]\npeers = \"127.0.0.1:0\"\n"
				     "callers = \"127.0.0.1:0\"\nendpoints = "
				     "\"127.0.0.1:0\"\n"
				     "operators = \"127.0.0.1:0\"\n"
				     "[cluster]\nname = \"test\"\n"
				     "key_file = \"%s/cluster.key\"\n"
				     "operator_keys_file = "
				     "\"%s/operators.keys\"\n"
				     "endpoint_key_file = \"%s/endpoint.key\"\n"
				     "[[cluster.peer]]\nid = 1\ndata_centre = "
				     "\"a\"\n"
				     "peers = \"127.0.0.1:1\"\nvoter = true\n",
				     test->folder, test->folder, test->folder,
				     test->folder);
	write_file(test, "settings.toml", test->text);
	write_file(test, "cluster.key", KEY);
	write_file(test, "endpoint.key", KEY);
	write_file(test, "operators.keys", "tester membership " KEY);
	*state = test;
	return 0;
}

static int teardown(void **state)
{
	struct daemon_test *test = *state;
	char *command = g_strdup_printf("rm -rf %s", test->folder);

	if (test->pid) {
		kill(test->pid, SIGKILL);
		waitpid(test->pid, NULL, 0);
	}
	close(test->log_fd);
	(void)!system(command);
	g_free(command);
	g_string_free(test->log, TRUE);
	g_free(test->text);
	g_free(test->settings_path);
	g_free(test->folder);
	g_free(test);
	return 0;
}

static void start_daemon(struct daemon_test *test)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *folder = g_path_get_dirname(self);
	char *program = g_build_filename(folder, "..", "radishdeald", NULL);
	char *argv[] = { program, (char *)"--settings", test->settings_path,
			 (char *)"--bootstrap", NULL };
	posix_spawn_file_actions_t actions;
	int fds[2];

	assert_int_equal(pipe2(fds, O_CLOEXEC), 0);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_adddup2(&actions, fds[1], 1);
	posix_spawn_file_actions_adddup2(&actions, fds[1], 2);
	assert_int_equal(posix_spawn(&test->pid, program, &actions, NULL, argv,
				     environ),
			 0);
	posix_spawn_file_actions_destroy(&actions);
	close(fds[1]);
	test->log_fd = fds[0];
	g_free(program);
	g_free(folder);
	g_free(self);
}

/* Returns the FIFO opened for writing once the daemon has it open to read. */
static int wait_for_reader(const struct daemon_test *test, const char *name)
{
	gint64 deadline = g_get_monotonic_time() + WAIT_MS * 1000;
	char *path = path_of(test, name);
	int fd;

	while ((fd = open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) < 0) {
		if (errno != ENXIO || g_get_monotonic_time() > deadline)
			fail_msg("%s: %s", path, g_strerror(errno));
		usleep(POLL_US);
	}
	g_free(path);
	return fd;
}

static void feed(int fd, const char *text)
{
	(void)!write(fd, text, strlen(text));
	close(fd);
}

/* Returns false if the daemon ends, or the time does, without the line. */
static bool wait_for_log(struct daemon_test *test, const char *line)
{
	gint64 deadline = g_get_monotonic_time() + WAIT_MS * 1000;

	while (!strstr(test->log->str, line)) {
		struct pollfd readable = { test->log_fd, POLLIN, 0 };
		gint64 left = deadline - g_get_monotonic_time();
		char buffer[4096];
		ssize_t size;

		if (left <= 0 || poll(&readable, 1, (int)(left / 1000)) <= 0)
			return false;
		size = read(test->log_fd, buffer, sizeof(buffer));
		if (size <= 0)
			return false;
		g_string_append_len(test->log, buffer, size);
	}
	return true;
}

static int wait_for_exit(struct daemon_test *test)
{
	gint64 deadline = g_get_monotonic_time() + WAIT_MS * 1000;
	int status;

	while (waitpid(test->pid, &status, WNOHANG) == 0) {
		if (g_get_monotonic_time() > deadline)
			return NOT_EXITED;
		usleep(POLL_US);
	}
	test->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/* Starts the daemon and sends a signal while it reads its settings. */
static void signal_early(struct daemon_test *test, int signal_number)
{
	char *copy = path_of(test, "copy");
	int fd;

	make_fifo(test, "settings.toml");
	start_daemon(test);
	fd = wait_for_reader(test, "settings.toml");
	write_file(test, "copy", test->text);
	assert_int_equal(rename(copy, test->settings_path), 0);
	kill(test->pid, signal_number);
	feed(fd, test->text);
	g_free(copy);
}

static void test_hangup_before_handlers_ended_process(void **state)
{
	struct daemon_test *test = *state;

	signal_early(test, SIGHUP);
	assert_true(wait_for_log(test, "settings reloaded"));
	kill(test->pid, SIGTERM);
	assert_int_equal(wait_for_exit(test), 0);
}

static void test_terminate_before_handlers_skipped_stop(void **state)
{
	struct daemon_test *test = *state;

	signal_early(test, SIGTERM);
	assert_true(wait_for_log(test, "stopping cause=TERM"));
	assert_int_equal(wait_for_exit(test), 0);
}

static void test_settings_changed_during_start_not_seen(void **state)
{
	struct daemon_test *test = *state;
	char *changed = g_strdup_printf("%s# changed\n", test->text);
	int fd;

	make_fifo(test, "cluster.key");
	start_daemon(test);
	fd = wait_for_reader(test, "cluster.key");
	write_file(test, "settings.toml", changed);
	feed(fd, KEY);
	assert_true(wait_for_log(test, "settings reloaded"));
	g_free(changed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_hangup_before_handlers_ended_process, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_terminate_before_handlers_skipped_stop, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_settings_changed_during_start_not_seen, setup,
			teardown),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("daemon", tests, NULL, NULL);
}
