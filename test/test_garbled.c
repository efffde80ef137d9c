/*
 * Callers of an entry whose endpoints answer in garbled ways (see
 * test/garbled_endpoint.h): each request gets one answer that is its own and
 * whole, or a connection that ends visibly. Real processes.
 * usage: test_garbled [SEED COUNT]
 */
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/address.h"
#include "common/fetch.h"
#include "test/cluster.h"
#include "test/garbled_endpoint.h"
#include "test/strict_http.h"

#define FIRST_SEED 1
#define SEEDS 20
#define KIND_SEEDS 100000
#define CALLERS 6
#define REQUESTS 40   /* of each caller, for each seed */
#define FAULTS_MAX 10 /* printed, of one seed */
#define ANSWER_TIMEOUT_S 8
#define ROUTE_TIMEOUT_MS 5000
#define WAIT_MS 30000
#define POLL_US 20000
#define BEAT_US 200000
#define MAX_ATTEMPTS 2
#define LEAVE_BYTES_MAX 400

enum port {
	PORT_PEERS,
	PORT_CONTROL,
	PORT_DIRECTORY,
	PORT_CALLERS,
	PORT_READY,
	PORT_METRICS,
	PORTS
};

enum node { NODE_CONTROL = 1, NODE_ENTRY, NODES = NODE_ENTRY };

static const struct route {
	const char *prefix;
	bool once, stream;
} routes[] = {
	{ "/web/", false, false },
	{ "/book/", true, false },
	{ "/events/", false, true },
	{ "/once/", true, true },
};

/* A request of a caller, and what came of it. */
struct request {
	const struct route *route;
	struct garbled_subject *subject;
	enum strict_result result;
	struct strict_response response;
	bool unasked; /* bytes came while no request was waiting */
	bool left;    /* the caller left before its answer */
};

struct caller {
	struct garbled_test *test;
	GRand *random;
	GString *input;
	struct request requests[REQUESTS];
	guint32 seed;
	int number;
	int fd;	  /* -1: none */
	int sent; /* of `requests` */
};

struct garbled_test {
	char *folder;
	char network[24]; /* first three parts of the addresses */
	int ports[PORTS];
	pid_t pids[NODES + 1];
	struct garbled_endpoint *endpoint;
	GThread *beats;
	GMutex lock;
	GCond stopping;
	bool stop;
	bool leaving; /* callers leave at half of their requests */
	int faults;
	int printed;				    /* of them, of one seed */
	int answered, refused, failed, closed, cut; /* requests */
};

static guint32 first_seed = FIRST_SEED;
static guint32 seeds = SEEDS;

static char *address_of(const struct garbled_test *test, int node,
			enum port port)
{
	return g_strdup_printf("%s.%d:%d", test->network, node,
			       test->ports[port]);
}

/* ---- processes ---- */

static char *format_settings(const struct garbled_test *test, int node)
{
	bool entry = node == NODE_ENTRY;
	char *at[PORTS], *seed = address_of(test, NODE_CONTROL, PORT_CONTROL);
	GString *text = g_string_new(NULL);

	for (int i = 0; i < PORTS; i++)
		at[i] = address_of(test, node, (enum port)i);
	g_string_printf(text,
			"[node]\ninterface = \"platform\"\n"
			"data_centre = \"a\"\nroles = [\"%s\"]\n"
			"bootstrap = %s\ndata_folder = \"%s/data%d\"\n"
			"[listen]\npeers = \"%s\"\nmetrics = \"%s\"\n"
			"%s = \"%s\"\n%s = \"%s\"\n"
			"[cluster]\nname = \"test\"\ntolerated_losses = 0\n"
			"seeds = [\"%s\"]\n[log]\nlevel = \"info\"\n",
			entry ? "entry" : "control", entry ? "false" : "true",
			test->folder, node, at[PORT_PEERS], at[PORT_METRICS],
			entry ? "callers" : "operators",
			at[entry ? PORT_CALLERS : PORT_CONTROL],
			entry ? "readiness" : "directory",
			at[entry ? PORT_READY : PORT_DIRECTORY], seed);
	for (int i = 0; i < PORTS; i++)
		g_free(at[i]);
	g_free(seed);
	return g_string_free(text, FALSE);
}

static void start_node(struct garbled_test *test, int node)
{
	char *path = g_strdup_printf("%s/%d.toml", test->folder, node);
	char *log = g_strdup_printf("%s/%d.log", test->folder, node);
	char *text = format_settings(test, node);
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *tests = g_path_get_dirname(self);
	char *program = g_build_filename(tests, "..", "radishdeald", NULL);
	pid_t pid;

	assert_true(g_file_set_contents(path, text, -1, NULL));
	pid = fork();
	assert_true(pid >= 0);
	if (!pid) {
		/* A daemon that outlives the test would keep its ports. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "a", stdout) || dup2(1, 2) < 0)
			_exit(1);
		execl(program, program, "--settings", path, (char *)NULL);
		_exit(1);
	}
	test->pids[node] = pid;
	g_free(path);
	g_free(log);
	g_free(text);
	g_free(self);
	g_free(tests);
	g_free(program);
}

static void stop_node(struct garbled_test *test, int node)
{
	int status;

	if (!test->pids[node])
		return;
	kill(test->pids[node], SIGKILL);
	while (waitpid(test->pids[node], &status, 0) < 0 && errno == EINTR)
		;
	test->pids[node] = 0;
}

/* Lets the kernel choose ports; holding all at once keeps them distinct. */
static void choose_ports(struct garbled_test *test)
{
	int fds[PORTS];
	struct address any;

	g_snprintf(test->network, sizeof(test->network), "127.%d.%d",
		   g_random_int_range(1, 255), g_random_int_range(0, 255));
	assert_true(address_parse("127.0.0.1:0", &any));
	for (int i = 0; i < PORTS; i++) {
		fds[i] = address_listen(&any, 1);
		assert_true(fds[i] >= 0);
		test->ports[i] = address_local_port(fds[i]);
	}
	for (int i = 0; i < PORTS; i++)
		close(fds[i]);
}

/* POSTs to the control VM; returns the status. */
static int post(struct garbled_test *test, const char *path, const char *body)
{
	char *address = address_of(test, NODE_CONTROL, PORT_CONTROL);
	struct fetch_request request = {
		.address = address,
		.method = "POST",
		.path = path,
		.type = "application/json",
		.body = body,
		.body_size = -1,
		.timeout_ms = 1000,
	};
	struct fetch_response answer;
	int status;

	(void)fetch(&request, &answer);
	status = answer.status;
	fetch_clear(&answer);
	g_free(address);
	return status;
}

static void announce(struct garbled_test *test, int number, int sequence)
{
	char *path = g_strdup_printf("/v1/instances/i-%d/heartbeat", number);
	char *body = g_strdup_printf("{\"service\":\"web\",\"address\":\"%s.%d:"
				     "%d\",\"zone\":\"a\","
				     "\"version\":\"v1\",\"slots\":64,"
				     "\"state\":\"ready\","
				     "\"coldLeftMs\":0,\"born\":1,\"sequence\":"
				     "%d}",
				     test->network, 9 + number,
				     garbled_endpoint_port(test->endpoint),
				     sequence);

	(void)post(test, path, body);
	g_free(path);
	g_free(body);
}

static gpointer run_beats(gpointer ctx)
{
	struct garbled_test *test = ctx;
	int sequence = 0;

	g_mutex_lock(&test->lock);
	while (!test->stop) {
		gint64 until = g_get_monotonic_time() + BEAT_US;

		g_mutex_unlock(&test->lock);
		sequence++;
		for (int i = 0; i < GARBLED_ENDPOINTS; i++)
			announce(test, i, sequence);
		g_mutex_lock(&test->lock);
		while (!test->stop &&
		       g_cond_wait_until(&test->stopping, &test->lock, until))
			;
	}
	g_mutex_unlock(&test->lock);
	return NULL;
}

static char *format_document(void)
{
	GString *text = g_string_new("{\"version\":1,\"routes\":[");

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		const struct route *route = &routes[i];

		g_string_append_printf(
			text,
			"%s{\"name\":\"r%zu\",\"host\":\"shop.example\","
			"\"pathPrefix\":\"%s\",\"kind\":\"%s\","
			"\"timeoutMs\":%d,\"targetLatencyMs\":1000,"
			"\"service\":\"web\",\"maxAttempts\":%d,"
			"\"authExempt\":true,\"streamResume\":%s}",
			i ? "," : "", i, route->prefix,
			route->stream ? "streaming"
			: route->once ? "unsafe"
				      : "safe",
			ROUTE_TIMEOUT_MS, MAX_ATTEMPTS,
			route->stream && !route->once ? "true" : "false");
	}
	g_string_append(text, "],\"services\":[{\"name\":\"web\","
			      "\"healthPath\":\"/health\",\"maxConns\":1000}],"
			      "\"limits\":{},\"tenants\":[]}");
	return g_string_free(text, FALSE);
}

/* ---- faults ---- */

static void print_bytes(const char *bytes, gsize size)
{
	for (gsize i = 0; i < MIN(size, 300); i++)
		if (bytes[i] >= ' ' && bytes[i] < 0x7f)
			fputc(bytes[i], stderr);
		else
			fprintf(stderr, "\\x%02x", (unsigned char)bytes[i]);
	fputc('\n', stderr);
}

static void report(struct garbled_test *test, const struct request *request,
		   const char *rule)
{
	const struct strict_response *response = &request->response;
	const GPtrArray *answers = request->subject->answers;

	test->faults++;
	if (++test->printed > FAULTS_MAX)
		return;
	fprintf(stderr, "%s %s %s: %s%s%s; result %d status %d seal %s\n",
		request->subject->id, request->subject->method,
		request->subject->path, rule, response->why ? ": " : "",
		response->why ? response->why : "", (int)request->result,
		response->status, response->seal ? response->seal : "none");
	for (guint i = 0; i < answers->len; i++) {
		const struct garbled_answer *answer = answers->pdata[i];

		fprintf(stderr,
			"    endpoint: %s, status %d%s%s: ", answer->kind,
			answer->status, answer->executed ? ", ran" : "",
			answer->whole ? ", whole" : "");
		print_bytes(answer->bytes->str, answer->bytes->len);
	}
	fprintf(stderr, "    body: ");
	print_bytes(response->body->str, response->body->len);
}

/* ---- callers ---- */

static struct garbled_subject *draw_subject(struct caller *c, int number,
					    const struct route *route)
{
	char *id = g_strdup_printf("s%u-c%d-n%d", c->seed, c->number, number);
	char *path = g_strdup_printf("%s%s?q=%d", route->prefix, id, number);
	struct garbled_subject expected = {
		.id = id,
		.path = path,
		.method = (char *)(g_rand_boolean(c->random) ? "POST" : "GET"),
		.stream = route->stream,
		.first_event = 1,
	};
	struct garbled_subject *subject;

	if (route->stream && !route->once)
		expected.first_event += g_rand_int_range(c->random, 0, 3);
	expected.last_event = expected.first_event +
			      g_rand_int_range(c->random, 0, 6);
	if (*expected.method == 'P')
		expected.body = g_strdup_printf("asked by %s", id);
	subject = garbled_endpoint_expect(c->test->endpoint, &expected);
	g_free(expected.body);
	g_free(path);
	g_free(id);
	return subject;
}

static void append_request(struct caller *c, GString *out,
			   const struct garbled_subject *subject)
{
	g_string_append_printf(out,
			       "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
			       "Attempt-Id: %s\r\nRequest-Deadline: %d\r\n",
			       subject->method, subject->path, subject->id,
			       ROUTE_TIMEOUT_MS);
	if (subject->first_event > 1)
		g_string_append_printf(out, "Last-Event-Id: %d\r\n",
				       subject->first_event - 1);
	if (!subject->body)
		g_string_append(out, "\r\n");
	else if (g_rand_boolean(c->random))
		g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s",
				       strlen(subject->body), subject->body);
	else
		g_string_append_printf(out,
				       "Transfer-Encoding: chunked\r\n\r\n"
				       "%zx\r\n%s\r\n0\r\n\r\n",
				       strlen(subject->body), subject->body);
}

static void drop_connection(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	g_string_truncate(c->input, 0);
}

/* Leaves after some bytes of the answer, in order or with a reset. */
static void leave(struct caller *c, struct request *request)
{
	struct linger reset = { .l_onoff = 1 };
	char bytes[LEAVE_BYTES_MAX];
	int size = g_rand_int_range(c->random, 0, LEAVE_BYTES_MAX);

	if (size)
		(void)recv(c->fd, bytes, (size_t)size, 0);
	if (g_rand_boolean(c->random))
		(void)setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset,
				 sizeof(reset));
	request->left = true;
	request->result = STRICT_CLOSED;
	request->response.body = g_string_new(NULL);
	drop_connection(c);
}

static void send_and_read(struct caller *c, struct request *request,
			  const GString *bytes)
{
	char *address = address_of(c->test, NODE_ENTRY, PORT_CALLERS);

	if (c->fd < 0)
		c->fd = strict_connect(address, ANSWER_TIMEOUT_S);
	g_free(address);
	if (c->fd < 0 || send(c->fd, bytes->str, bytes->len, MSG_NOSIGNAL) !=
				 (ssize_t)bytes->len) {
		request->result = STRICT_CLOSED;
		request->response.body = g_string_new(NULL);
		drop_connection(c);
		return;
	}
	if (c->test->leaving && g_rand_boolean(c->random)) {
		leave(c, request);
		return;
	}
	request->result = strict_read(c->fd, c->input, &request->response);
	if (request->result == STRICT_COMPLETE)
		request->unasked = strict_has_bytes(c->fd, c->input);
	if (request->result != STRICT_COMPLETE || request->response.close)
		drop_connection(c);
}

static void run_request(struct caller *c, int number)
{
	struct request *request = &c->requests[number];
	GString *bytes = g_string_new(NULL);

	request->route = &routes[g_rand_int_range(
		c->random, 0, (gint32)G_N_ELEMENTS(routes))];
	request->subject = draw_subject(c, number, request->route);
	append_request(c, bytes, request->subject);
	if (number && c->fd >= 0 && strict_has_bytes(c->fd, c->input))
		c->requests[number - 1].unasked = true;
	send_and_read(c, request, bytes);
	garbled_endpoint_done(c->test->endpoint, request->subject);
	g_string_free(bytes, TRUE);
}

static gpointer run_caller(gpointer ctx)
{
	struct caller *c = ctx;
	bool unanswered = false;

	/* One request without an answer is a fault already. */
	while (c->sent < REQUESTS && !unanswered) {
		run_request(c, c->sent);
		unanswered = c->requests[c->sent++].result == STRICT_TIMEOUT;
	}
	if (c->fd >= 0 && strict_has_bytes(c->fd, c->input))
		c->requests[c->sent - 1].unasked = true;
	drop_connection(c);
	return NULL;
}

/* ---- checks ---- */

static int count_runs(const struct request *request)
{
	int runs = 0;

	for (guint i = 0; i < request->subject->answers->len; i++) {
		const struct garbled_answer *answer =
			request->subject->answers->pdata[i];

		runs += answer->executed;
	}
	return runs;
}

static const struct garbled_answer *find_answer(const struct request *request)
{
	const char *seal = request->response.seal;

	for (guint i = 0; seal && i < request->subject->answers->len; i++) {
		const struct garbled_answer *answer =
			request->subject->answers->pdata[i];

		if (!strcmp(answer->seal, seal))
			return answer;
	}
	return NULL;
}

static GString *whole_stream(const struct request *request)
{
	GString *events = g_string_new(NULL);

	garbled_append_events(events, request->subject->id,
			      request->subject->first_event,
			      request->subject->last_event);
	return events;
}

static bool any_whole(const struct request *request)
{
	for (guint i = 0; i < request->subject->answers->len; i++) {
		const struct garbled_answer *answer =
			request->subject->answers->pdata[i];

		if (answer->whole)
			return true;
	}
	return false;
}

/* A stream may be made of several answers; its pieces don't name them. */
static void check_stream(struct garbled_test *test,
			 const struct request *request)
{
	const GString *body = request->response.body;
	GString *events = whole_stream(request);

	if (body->len > events->len ||
	    memcmp(body->str, events->str, body->len) != 0)
		report(test, request, "MIXED: not the stream's events");
	else if (request->result == STRICT_COMPLETE && body->len < events->len)
		report(test, request, "MIXED: complete without all events");
	else if (request->result == STRICT_COMPLETE && !any_whole(request))
		report(test, request, "MIXED: complete, but broken off");
	g_string_free(events, TRUE);
}

static void check_body(struct garbled_test *test, const struct request *request,
		       const struct garbled_answer *answer)
{
	const GString *body = request->response.body;
	bool complete = request->result == STRICT_COMPLETE;

	if (body->len > answer->body->len ||
	    (complete && body->len < answer->body->len) ||
	    memcmp(body->str, answer->body->str, body->len) != 0)
		report(test, request, "MIXED: not the endpoint's body");
	else if (complete && !answer->whole)
		report(test, request, "MIXED: complete, but broken off");
}

static void check_answer(struct garbled_test *test,
			 const struct request *request)
{
	const struct strict_response *response = &request->response;
	const struct garbled_answer *answer = find_answer(request);
	bool success = response->status >= 200 && response->status < 300;

	if (!response->status)
		return;
	if (success && !answer)
		report(test, request, "MIXED: success without its seal");
	else if (response->seal && !answer)
		report(test, request, "MIXED: the seal of another answer");
	else if (answer && answer->status != response->status)
		report(test, request, "MIXED: the seal of another status");
	else if (answer && request->subject->stream && success &&
		 response->status == 200)
		check_stream(test, request);
	else if (answer)
		check_body(test, request, answer);
}

static bool is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void check_runs(struct garbled_test *test, const struct request *request)
{
	int runs = count_runs(request);

	if (request->subject->changed)
		report(test, request, "UNASKED: the request was changed");
	if (runs > 1 && request->route->once)
		report(test, request, "TWICE: ran more than once");
	if (runs > MAX_ATTEMPTS)
		report(test, request, "BUDGET: ran too often");
	if (runs && is_promise(request->response.status))
		report(test, request, "REFUSED: said not to have run");
}

/* An endpoint's answers count if nothing was ever wrong beside them. */
static void check_sound(struct garbled_test *test,
			const struct request *request)
{
	const GPtrArray *answers = request->subject->answers;

	for (guint i = 0; i < answers->len; i++) {
		const struct garbled_answer *answer = answers->pdata[i];

		if (!answer->sound)
			return;
	}
	if (answers->len && (request->result != STRICT_COMPLETE ||
			     request->response.status != 200))
		report(test, request, "a sound answer was not passed on");
}

static void check_request(struct garbled_test *test,
			  const struct request *request)
{
	if (request->unasked)
		report(test, request, "MIXED: bytes without a request");
	if (request->result == STRICT_TIMEOUT)
		report(test, request, "LOST: neither an answer nor a close");
	else if (request->result == STRICT_MALFORMED)
		report(test, request, "MIXED: not an answer in the protocol");
	else
		check_answer(test, request);
	check_runs(test, request);
	if (!request->left)
		check_sound(test, request);
}

static void count(struct garbled_test *test, const struct request *request)
{
	int status = request->response.status;

	test->closed += request->result == STRICT_CLOSED;
	test->cut += request->result == STRICT_CUT;
	if (request->result != STRICT_COMPLETE)
		return;
	test->answered += status < 300;
	test->refused += is_promise(status);
	test->failed += status >= 300 && !is_promise(status);
}

static void run_seed(struct garbled_test *test, guint32 seed)
{
	struct caller callers[CALLERS] = { 0 };
	GThread *threads[CALLERS];

	test->printed = 0;
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){
			.test = test,
			.seed = seed,
			.number = i,
			.random = g_rand_new_with_seed(seed * 1000 + (guint)i),
			.fd = -1,
			.input = g_string_new(NULL),
		};
		threads[i] = g_thread_new("caller", run_caller, &callers[i]);
	}
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(threads[i]);
	for (int i = 0; i < CALLERS; i++) {
		for (int n = 0; n < callers[i].sent; n++) {
			check_request(test, &callers[i].requests[n]);
			count(test, &callers[i].requests[n]);
			strict_clear(&callers[i].requests[n].response);
		}
		g_rand_free(callers[i].random);
		g_string_free(callers[i].input, TRUE);
	}
}

/* ---- the test ---- */

static void wait_until_served(struct garbled_test *test)
{
	gint64 deadline = cluster_now_ms() + WAIT_MS;
	int status = 0;

	for (int i = 0; status != 200 && cluster_now_ms() < deadline; i++) {
		struct caller caller = { .test = test, .fd = -1 };
		struct request request = { 0 };
		GString *bytes = g_string_new(NULL);
		char *id = g_strdup_printf(GARBLED_SOUND_PREFIX "%d", i);
		struct garbled_subject expected = {
			.id = id,
			.method = (char *)"GET",
			.path = (char *)"/web/sound",
		};

		caller.input = g_string_new(NULL);
		request.subject = garbled_endpoint_expect(test->endpoint,
							  &expected);
		append_request(&caller, bytes, request.subject);
		send_and_read(&caller, &request, bytes);
		status = request.response.status;
		drop_connection(&caller);
		strict_clear(&request.response);
		g_string_free(caller.input, TRUE);
		g_string_free(bytes, TRUE);
		g_free(id);
		if (status != 200)
			usleep(POLL_US);
	}
	assert_int_equal(status, 200);
}

static int set_up_group(void **state)
{
	static struct garbled_test test_storage;
	struct garbled_test *test = &test_storage;
	char *document = format_document();
	gint64 deadline = cluster_now_ms() + WAIT_MS;

	*state = test;
	test->folder = g_dir_make_tmp("radishdeal-XXXXXX", NULL);
	g_mutex_init(&test->lock);
	g_cond_init(&test->stopping);
	choose_ports(test);
	test->endpoint = garbled_endpoint_start(test->network);
	for (int i = 1; i <= NODES; i++)
		start_node(test, i);
	while (post(test, "/v1/config/put", document) != 200 &&
	       cluster_now_ms() < deadline)
		usleep(POLL_US);
	test->beats = g_thread_new("beats", run_beats, test);
	g_free(document);
	wait_until_served(test);
	return 0;
}

static void check_no_faults(struct garbled_test *test, int before)
{
	if (garbled_endpoint_unknown(test->endpoint))
		fail_msg("UNASKED: %d requests that no caller sent",
			 garbled_endpoint_unknown(test->endpoint));
	if (test->faults != before)
		fail_msg("%d faults", test->faults - before);
}

static void test_callers_get_whole_answers_of_their_own(void **state)
{
	struct garbled_test *test = *state;
	int before = test->faults, answered = test->answered;

	garbled_endpoint_limit(test->endpoint, NULL);
	for (guint32 i = 0; i < seeds; i++) {
		int so_far = test->faults;

		run_seed(test, first_seed + i);
		fprintf(stderr, "seed %u: %d faults\n", first_seed + i,
			test->faults - so_far);
	}
	fprintf(stderr,
		"%d answered, %d refused, %d failed, %d closed, %d cut off\n",
		test->answered, test->refused, test->failed, test->closed,
		test->cut);
	check_no_faults(test, before);
	/* Without whole answers nothing was tested. */
	assert_true((guint32)(test->answered - answered) >
		    seeds * CALLERS * REQUESTS / 4);
}

static void test_callers_that_leave_do_not_end_the_entry(void **state)
{
	struct garbled_test *test = *state;
	int before = test->faults, answered = test->answered;

	garbled_endpoint_limit(test->endpoint, NULL);
	test->leaving = true;
	for (guint32 i = 0; i < seeds; i++)
		run_seed(test, first_seed + seeds + i);
	test->leaving = false;
	assert_int_equal(waitpid(test->pids[NODE_ENTRY], NULL, WNOHANG), 0);
	check_no_faults(test, before);
	assert_true((guint32)(test->answered - answered) >
		    seeds * CALLERS * REQUESTS / 8);
}

/* Gives answers of one kind and sound ones. Returns how many had success. */
static int check_kind(struct garbled_test *test, const char *kind)
{
	int before = test->faults, answered = test->answered;

	garbled_endpoint_limit(test->endpoint, kind);
	run_seed(test, g_str_hash(kind) % KIND_SEEDS);
	check_no_faults(test, before);
	return test->answered - answered;
}

static void test_body_without_length_lasts_until_the_close(void **state)
{
	/* All kinds of requests get all of their answers. */
	assert_int_equal(check_kind(*state, "kept"), CALLERS * REQUESTS);
}

static void test_status_that_is_not_final_is_not_passed_on(void **state)
{
	check_kind(*state, "status");
	check_kind(*state, "interim");
	check_kind(*state, "interim only");
}

static void test_unreadable_header_field_is_not_passed_on(void **state)
{
	check_kind(*state, "fields");
}

static void test_body_of_unclear_length_is_not_passed_on(void **state)
{
	check_kind(*state, "lengths");
	check_kind(*state, "coding");
	/* Twice the same length is clear. */
	assert_int_equal(check_kind(*state, "repeated length"),
			 CALLERS * REQUESTS);
}

static void test_encoded_body_is_not_passed_on(void **state)
{
	check_kind(*state, "encoding");
}

static void test_bytes_that_are_no_events_are_not_passed_on(void **state)
{
	check_kind(*state, "no events");
	check_kind(*state, "second inside");
}

static void test_event_that_comes_again_is_not_passed_on(void **state)
{
	check_kind(*state, "order");
}

static void test_late_refusal_of_an_earlier_request_is_not_believed(
	void **state)
{
	check_kind(*state, "second answer");
}

static void test_connection_with_extra_bytes_is_not_reused(void **state)
{
	/* Reusing one would cost the next request its attempt. */
	assert_int_equal(check_kind(*state, "extra bytes"), CALLERS * REQUESTS);
}

static void test_promise_that_is_not_stated_is_not_passed_on(void **state)
{
	check_kind(*state, "false promise");
}

static void test_head_with_a_nul_is_not_passed_on(void **state)
{
	check_kind(*state, "NUL");
}

static void test_stream_without_an_event_is_not_whole(void **state)
{
	check_kind(*state, "empty");
}

static void remove_folder(struct garbled_test *test)
{
	char *command[] = { (char *)"rm", (char *)"-r", test->folder, NULL };

	if (getenv("KEEP"))
		fprintf(stderr, "kept %s\n", test->folder);
	else
		g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL,
			     NULL, NULL, NULL, NULL, NULL);
	g_free(test->folder);
}

static int tear_down_group(void **state)
{
	struct garbled_test *test = *state;

	g_mutex_lock(&test->lock);
	test->stop = true;
	g_cond_signal(&test->stopping);
	g_mutex_unlock(&test->lock);
	g_thread_join(test->beats);
	for (int i = 1; i <= NODES; i++)
		stop_node(test, i);
	garbled_endpoint_stop(test->endpoint);
	remove_folder(test);
	g_mutex_clear(&test->lock);
	g_cond_clear(&test->stopping);
	return 0;
}

int main(int argc, char **argv)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_callers_get_whole_answers_of_their_own),
		cmocka_unit_test(test_callers_that_leave_do_not_end_the_entry),
		cmocka_unit_test(
			test_body_without_length_lasts_until_the_close),
		cmocka_unit_test(
			test_status_that_is_not_final_is_not_passed_on),
		cmocka_unit_test(test_unreadable_header_field_is_not_passed_on),
		cmocka_unit_test(test_body_of_unclear_length_is_not_passed_on),
		cmocka_unit_test(test_encoded_body_is_not_passed_on),
		cmocka_unit_test(
			test_bytes_that_are_no_events_are_not_passed_on),
		cmocka_unit_test(test_event_that_comes_again_is_not_passed_on),
		cmocka_unit_test(
			test_late_refusal_of_an_earlier_request_is_not_believed),
		cmocka_unit_test(
			test_connection_with_extra_bytes_is_not_reused),
		cmocka_unit_test(
			test_promise_that_is_not_stated_is_not_passed_on),
		cmocka_unit_test(test_head_with_a_nul_is_not_passed_on),
		cmocka_unit_test(test_stream_without_an_event_is_not_whole),
	};

	if (argc == 3) {
		first_seed = (guint32)strtoul(argv[1], NULL, 10);
		seeds = (guint32)strtoul(argv[2], NULL, 10);
	}
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests_name("garbled", tests, set_up_group,
					   tear_down_group);
}
