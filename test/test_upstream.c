/* Tests of entry/upstream.c: how long an endpoint may be silent. */
#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <event2/buffer.h>
#include <glib.h>

#include "common/address.h"
#include "entry/upstream.h"

#define IDLE_TIMEOUT_MS 300
#define PIECE_GAP_MS 50
#define PIECES 40
/* Longer than the endpoint takes for all pieces. */
#define SUSPENSION_MS (3 * IDLE_TIMEOUT_MS)
#define SUSPEND_AFTER_MS 200
#define PENDING_MAX_BYTES 65536
#define QUEUED_CONNECTIONS 8 /* more than a backlog of 1 takes */
#define HEAD                                                                 \
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: " \
	"chunked\r\n\r\n"
#define PIECE "1\r\nx\r\n"
#define LAST_PIECE "0\r\n\r\n"

/** An endpoint that answers one request in pieces, on a thread of its own. */
struct endpoint {
	int listener;
	int pieces; /* then it ends the answer, or falls silent */
	bool ends;
	GThread *thread;
};

struct upstream_test {
	struct event_base *base;
	struct upstream_pool *pool;
	struct upstream *upstream;
	struct endpoint endpoint;
	struct upstream_end end;
	gint64 started_us, ended_us, last_data_us;
	size_t bytes;
	bool ended;
};

static void send_text(int fd, const char *text)
{
	ssize_t sent = send(fd, text, strlen(text), MSG_NOSIGNAL);

	(void)sent;
}

static gpointer run_endpoint(gpointer ctx)
{
	const struct endpoint *endpoint = ctx;
	int fd = accept(endpoint->listener, NULL, NULL);
	char byte[512];

	assert_true(recv(fd, byte, sizeof(byte), 0) > 0);
	send_text(fd, HEAD);
	for (int i = 0; i < endpoint->pieces; i++) {
		send_text(fd, PIECE);
		g_usleep(PIECE_GAP_MS * 1000);
	}
	if (endpoint->ends)
		send_text(fd, LAST_PIECE);
	/* Until the other side closes the connection. */
	while (recv(fd, byte, sizeof(byte), 0) > 0)
		;
	close(fd);
	return NULL;
}

static void on_data(void *ctx, struct evbuffer *data)
{
	struct upstream_test *test = ctx;

	test->last_data_us = g_get_monotonic_time();
	test->bytes += evbuffer_get_length(data);
	evbuffer_drain(data, evbuffer_get_length(data));
}

static void on_end(void *ctx, const struct upstream_end *end)
{
	struct upstream_test *test = ctx;

	test->end = *end;
	test->ended = true;
	test->ended_us = g_get_monotonic_time();
	event_base_loopbreak(test->base);
}

static int open_listener(char *text, size_t size)
{
	struct address address;
	int flags = 0, fd;

	assert_true(address_parse("127.0.0.1:0", &address));
	fd = address_listen(&address, 1);
	assert_true(fd >= 0);
	flags = fcntl(fd, F_GETFL);
	assert_int_equal(fcntl(fd, F_SETFL, flags & ~O_NONBLOCK), 0);
	g_snprintf(text, size, "127.0.0.1:%d", address_local_port(fd));
	return fd;
}

static void begin(struct upstream_test *test, int pieces, bool ends)
{
	char address[ADDRESS_MAX];
	struct upstream_request request = {
		.address = address,
		.method = EVHTTP_REQ_GET,
		.path = "/",
		.unsent_timeout_ms = IDLE_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.pending_max_bytes = PENDING_MAX_BYTES,
		.data = on_data,
		.end = on_end,
		.ctx = test,
	};

	*test = (struct upstream_test){ .endpoint = { .pieces = pieces,
						      .ends = ends } };
	test->endpoint.listener = open_listener(address, sizeof(address));
	test->endpoint.thread = g_thread_new("endpoint", run_endpoint,
					     &test->endpoint);
	test->base = event_base_new();
	test->pool = upstream_pool_create(test->base);
	test->started_us = g_get_monotonic_time();
	test->upstream = upstream_send(test->pool, &request);
}

static void run_to_end(struct upstream_test *test)
{
	event_base_dispatch(test->base);
	assert_true(test->ended);
	upstream_pool_destroy(test->pool);
	event_base_free(test->base);
	g_thread_join(test->endpoint.thread);
	close(test->endpoint.listener);
}

static void at(struct upstream_test *test, int ms, event_callback_fn fn)
{
	struct timeval after = { ms / 1000, (ms % 1000) * 1000 };

	event_base_once(test->base, -1, EV_TIMEOUT, fn, test, &after);
}

/* Stands for a process that is suspended, or a VM that gives it no time. */
static void suspend(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	(void)ctx;
	g_usleep(SUSPENSION_MS * 1000);
}

static void test_a_suspended_process_does_not_cut_an_answer(void **state)
{
	struct upstream_test test;

	(void)state;
	begin(&test, PIECES, true);
	at(&test, SUSPEND_AFTER_MS, suspend);
	run_to_end(&test);
	assert_int_equal(test.end.result, UPSTREAM_COMPLETE);
	assert_int_equal(test.bytes, PIECES);
}

static void pause_reading(evutil_socket_t fd, short what, void *ctx)
{
	struct upstream_test *test = ctx;

	(void)fd;
	(void)what;
	upstream_pause(test->upstream, true);
}

static void resume_reading(evutil_socket_t fd, short what, void *ctx)
{
	struct upstream_test *test = ctx;

	(void)fd;
	(void)what;
	upstream_pause(test->upstream, false);
}

static void test_a_slow_caller_does_not_cut_an_answer(void **state)
{
	struct upstream_test test;

	(void)state;
	begin(&test, PIECES, true);
	at(&test, SUSPEND_AFTER_MS, pause_reading);
	at(&test, SUSPEND_AFTER_MS + SUSPENSION_MS, resume_reading);
	run_to_end(&test);
	assert_int_equal(test.end.result, UPSTREAM_COMPLETE);
	assert_int_equal(test.bytes, PIECES);
}

static void test_a_silent_endpoint_is_given_up(void **state)
{
	struct upstream_test test;

	(void)state;
	begin(&test, 1, false);
	run_to_end(&test);
	assert_int_equal(test.end.result, UPSTREAM_FAILED);
	assert_string_equal(test.end.failure, "timeout");
	assert_true(test.ended_us - test.last_data_us >=
		    IDLE_TIMEOUT_MS * 1000);
}

/* Connections that fill the queue of a listener that accepts none. */
static void fill_queue(const char *text, int *fds, int count)
{
	struct address address;

	assert_true(address_parse(text, &address));
	for (int i = 0; i < count; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fds[i], (const struct sockaddr *)&address.socket,
			      sizeof(address.socket));
	}
}

static void test_an_endpoint_that_accepts_nothing_is_given_up_as_not_sent(
	void **state)
{
	struct upstream_test test = { .base = event_base_new() };
	char address[ADDRESS_MAX];
	struct upstream_request request = {
		.address = address,
		.method = EVHTTP_REQ_GET,
		.path = "/",
		.unsent_timeout_ms = IDLE_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.pending_max_bytes = PENDING_MAX_BYTES,
		.data = on_data,
		.end = on_end,
		.ctx = &test,
	};
	int fds[QUEUED_CONNECTIONS];
	int listener = open_listener(address, sizeof(address));

	(void)state;
	fill_queue(address, fds, QUEUED_CONNECTIONS);
	test.pool = upstream_pool_create(test.base);
	test.started_us = g_get_monotonic_time();
	(void)upstream_send(test.pool, &request);
	event_base_dispatch(test.base);
	assert_true(test.ended);
	assert_int_equal(test.end.result, UPSTREAM_NOT_SENT);
	assert_true(test.ended_us - test.started_us >= IDLE_TIMEOUT_MS * 1000);
	upstream_pool_destroy(test.pool);
	event_base_free(test.base);
	for (int i = 0; i < QUEUED_CONNECTIONS; i++)
		close(fds[i]);
	close(listener);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_a_suspended_process_does_not_cut_an_answer),
		cmocka_unit_test(test_a_slow_caller_does_not_cut_an_answer),
		cmocka_unit_test(test_a_silent_endpoint_is_given_up),
		cmocka_unit_test(
			test_an_endpoint_that_accepts_nothing_is_given_up_as_not_sent),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("upstream", tests, NULL, NULL);
}
