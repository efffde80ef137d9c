/*
 * The users' platform with real processes: three control VMs, an entry, and
 * an endpoint of a plain service that this program plays, by scripts.
 */
#include <errno.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <event2/thread.h>

#include "common/address.h"
#include "common/fetch.h"
#include "common/http.h"
#include "test/cluster.h"
#include "test/script.h"

#define ENDLESS "/events/"
#define ENDLESS_BYTES 200000
#define CONTROLS 3
#define NODES 4 /* the last is the entry */
#define WAIT_MS 30000
#define BEAT_US 200000
#define POLL_US 50000
#define ASK_TIMEOUT_MS 2000

enum port {
	PORT_PEERS,
	PORT_CONTROL,
	PORT_DIRECTORY,
	PORT_CALLERS,
	PORT_READY,
	PORT_METRICS,
	PORTS
};

/** What the endpoint saw last. */
struct seen {
	char target[64], tenant[64], uri[256];
	bool key_passed;
	int requests;
};

struct late_ask {
	char *address, *path;
	struct fetch_answer answer;
};

struct world {
	char *folder;
	char network[24]; /* first three parts of the addresses */
	int ports[PORTS];
	pid_t pids[NODES + 1];
	bool bootstrap;
	struct event_base *base;
	struct evhttp *endpoint;
	int endpoint_port;
	GThread *server, *beater;
	GMutex lock;
	struct seen seen;
	struct late_ask late;
	GThread *asker;
	volatile gint stop;
	int requests;
};

static char *address_of(const struct world *w, int node, enum port port)
{
	return g_strdup_printf("%s.%d:%d", w->network, node, w->ports[port]);
}

/* ---- the endpoint ---- */

/* An event that goes on for longer than anybody should keep of it. */
static void send_endless(struct evhttp_request *req)
{
	struct evbuffer *piece = evbuffer_new();

	evbuffer_add_printf(piece, "id: 1\ndata: %0*d", ENDLESS_BYTES, 0);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "text/event-stream");
	evhttp_send_reply_start(req, 200, "OK");
	evhttp_send_reply_chunk(req, piece);
	evbuffer_free(piece);
}

static void serve(struct evhttp_request *req, void *ctx)
{
	struct world *w = ctx;
	const char *id = http_header(req, "Attempt-Id");
	const char *target = http_header(req, "Target-Instance");
	const char *tenant = http_header(req, "Tenant-Name");
	struct evkeyvalq *out = evhttp_request_get_output_headers(req);

	g_mutex_lock(&w->lock);
	g_strlcpy(w->seen.target, target ? target : "-",
		  sizeof(w->seen.target));
	g_strlcpy(w->seen.tenant, tenant ? tenant : "-",
		  sizeof(w->seen.tenant));
	g_strlcpy(w->seen.uri, evhttp_request_get_uri(req),
		  sizeof(w->seen.uri));
	w->seen.key_passed = http_header(req, "X-Api-Key") != NULL;
	w->seen.requests++;
	g_mutex_unlock(&w->lock);
	if (id)
		evhttp_add_header(out, "Attempt-Id", id);
	evhttp_add_header(out, "Response-Seal", "seal");
	if (g_str_has_prefix(evhttp_request_get_uri(req), ENDLESS)) {
		send_endless(req);
		return;
	}
	http_send_text(req, 200, "text/plain", "whole");
}

static gpointer run_endpoint(gpointer ctx)
{
	struct world *w = ctx;

	event_base_loop(w->base, EVLOOP_NO_EXIT_ON_EMPTY);
	return NULL;
}

/* Announces the endpoint to whichever control VM takes it. */
static void beat(struct world *w, int sequence)
{
	char *body = g_strdup_printf("{\"service\":\"web\",\"address\":\"%s.9:%"
				     "d\",\"zone\":\"a\","
				     "\"version\":\"v1\",\"slots\":4,\"state\":"
				     "\"ready\","
				     "\"coldLeftMs\":0,\"born\":1,\"sequence\":"
				     "%d}",
				     w->network, w->endpoint_port, sequence);
	bool taken = false;

	for (int i = 0; i < CONTROLS && !taken; i++) {
		char *address = address_of(w, 1 + (sequence + i) % CONTROLS,
					   PORT_CONTROL);
		struct fetch_request request = {
			.address = address,
			.method = "POST",
			.path = "/v1/instances/i-web/heartbeat",
			.type = "application/json",
			.body = body,
			.body_size = -1,
			.timeout_ms = 1000,
		};
		struct fetch_answer answer;

		taken = fetch(&request, &answer) && answer.status == 200;
		fetch_clear(&answer);
		g_free(address);
	}
	g_free(body);
}

static gpointer run_beats(gpointer ctx)
{
	struct world *w = ctx;

	for (int sequence = 1; !g_atomic_int_get(&w->stop); sequence++) {
		beat(w, sequence);
		usleep(BEAT_US);
	}
	return NULL;
}

static void endpoint(struct script *s)
{
	struct world *w = s->ctx;
	char *address = g_strdup_printf("%s.9:0", w->network);
	struct http_listen_opts opts = {
		.address = address,
		.header_bytes = 16384,
		.body_bytes = 65536,
		.timeout_s = 30,
		.handle = serve,
		.ctx = w,
	};

	w->base = event_base_new();
	opts.base = w->base;
	w->endpoint = http_listen(&opts, &w->endpoint_port, NULL);
	assert_non_null(w->endpoint);
	w->server = g_thread_new("endpoint", run_endpoint, w);
	w->beater = g_thread_new("beats", run_beats, w);
	g_free(address);
}

/* ---- processes ---- */

static char *settings_of(const struct world *w, int node)
{
	bool entry = node == NODES;
	char *peers = address_of(w, node, PORT_PEERS);
	char *control = address_of(w, node, PORT_CONTROL);
	char *directory = address_of(w, node, PORT_DIRECTORY);
	char *callers = address_of(w, node, PORT_CALLERS);
	char *ready = address_of(w, node, PORT_READY);
	char *metrics = address_of(w, node, PORT_METRICS);
	GString *text = g_string_new("[node]\ninterface = \"platform\"\n");

	g_string_append_printf(text,
			       "data_centre = \"a\"\nroles = "
			       "[\"%s\"]\nbootstrap = %s\n"
			       "data_folder = \"%s/data%d\"\n[listen]\npeers = "
			       "\"%s\"\n"
			       "metrics = \"%s\"\n",
			       entry ? "entry" : "control",
			       w->bootstrap && !entry ? "true" : "false",
			       w->folder, node, peers, metrics);
	if (entry)
		g_string_append_printf(text,
				       "callers = \"%s\"\nreadiness = \"%s\"\n",
				       callers, ready);
	else
		g_string_append_printf(text,
				       "operators = \"%s\"\ndirectory = "
				       "\"%s\"\n",
				       control, directory);
	g_string_append(text, "[cluster]\nname = \"test\"\ntolerated_losses = "
			      "1\n"
			      "replace_after_ms = 2000\nseeds = [");
	for (int i = 1; i <= CONTROLS; i++)
		g_string_append_printf(text, "%s\"%s.%d:%d\"",
				       i > 1 ? ", " : "", w->network, i,
				       w->ports[PORT_CONTROL]);
	g_string_append(text, "]\n[limits]\nlinger_ms = 500\n"
			      "early_wait_ms = 20000\n"
			      "drain_ms = 3000\n[log]\nlevel = \"note\"\n");
	g_free(peers);
	g_free(control);
	g_free(directory);
	g_free(callers);
	g_free(ready);
	g_free(metrics);
	return g_string_free(text, FALSE);
}

static void start_node(struct world *w, int node)
{
	char *path = g_strdup_printf("%s/%d.toml", w->folder, node);
	char *log = g_strdup_printf("%s/%d.log", w->folder, node);
	char *text = settings_of(w, node);
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *tests = g_path_get_dirname(self);
	char *program = g_build_filename(tests, "..", "radishdeald", NULL);
	pid_t pid;

	assert_true(g_file_set_contents(path, text, -1, NULL));
	pid = fork();
	assert_true(pid >= 0);
	if (!pid) {
		/* One that is left over would keep its ports. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "a", stdout) || dup2(1, 2) < 0)
			_exit(1);
		execl(program, program, "--settings", path, (char *)NULL);
		_exit(1);
	}
	w->pids[node] = pid;
	g_free(path);
	g_free(log);
	g_free(text);
	g_free(self);
	g_free(tests);
	g_free(program);
}

static int end_node(struct world *w, int node, int with)
{
	int status = 0;

	if (!w->pids[node])
		return 0;
	kill(w->pids[node], with);
	while (waitpid(w->pids[node], &status, 0) < 0 && errno == EINTR)
		;
	w->pids[node] = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

static void start(struct script *s)
{
	struct world *w = s->ctx;

	w->bootstrap = true;
	for (int i = 1; i <= NODES; i++)
		start_node(w, i);
	w->bootstrap = false;
}

static void kill_node(struct script *s)
{
	(void)end_node(s->ctx, atoi(s->words[1]), SIGKILL);
}

static void restart(struct script *s)
{
	start_node(s->ctx, atoi(s->words[1]));
}

static void wipe(struct script *s)
{
	struct world *w = s->ctx;
	char *command[] = {
		(char *)"rm", (char *)"-r",
		g_strdup_printf("%s/data%s", w->folder, s->words[1]), NULL
	};

	g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
		     NULL, NULL, NULL);
	g_free(command[2]);
}

static void terminate(struct script *s)
{
	script_print(s, "node %s ended with %d", s->words[1],
		     end_node(s->ctx, atoi(s->words[1]), SIGTERM));
}

static void hang_up(struct script *s)
{
	struct world *w = s->ctx;

	kill(w->pids[atoi(s->words[1])], SIGHUP);
}

/* ---- asking ---- */

static bool wants(int status, const char *wanted)
{
	char text[8];

	g_snprintf(text, sizeof(text), "%d", status);
	return !strcmp(text, wanted);
}

/* Asks until the wanted status comes; the answer is to be cleared. */
static void ask_until(struct script *s, const struct fetch_request *request,
		      const char *wanted, struct fetch_answer *answer)
{
	gint64 until = cluster_now_ms() + WAIT_MS;

	for (;;) {
		(void)fetch(request, answer);
		if (wants(answer->status, wanted))
			return;
		if (cluster_now_ms() > until) {
			script_print(s, "status %d in place of %s",
				     answer->status, wanted);
			return;
		}
		fetch_clear(answer);
		usleep(POLL_US);
	}
}

/* Asks one port of a node until the wanted status comes. */
static void get_until(struct script *s, int node, enum port port,
		      const char *path, const char *wanted,
		      struct fetch_answer *answer)
{
	char *address = address_of(s->ctx, node, port);
	struct fetch_request request = {
		.address = address,
		.method = "GET",
		.path = path,
		.timeout_ms = ASK_TIMEOUT_MS,
	};

	ask_until(s, &request, wanted, answer);
	g_free(address);
}

/* put NODE FILE version= [want=] */
static void put(struct script *s)
{
	struct world *w = s->ctx;
	char *address = address_of(w, atoi(s->words[1]), PORT_CONTROL);
	char *folder = g_path_get_dirname(s->path);
	char *path = g_build_filename(folder, s->words[2], NULL);
	char *raw = NULL;
	struct fetch_answer answer;
	struct fetch_request request = {
		.address = address,
		.method = "POST",
		.path = "/v1/config/put",
		.type = "application/json",
		.body_size = -1,
		.timeout_ms = ASK_TIMEOUT_MS,
	};
	char **parts, *text;

	assert_true(g_file_get_contents(path, &raw, NULL, NULL));
	parts = g_strsplit(raw, "VERSION", 2);
	text = g_strjoinv(script_value(s, "version", "1"), parts);
	request.body = text;
	ask_until(s, &request, script_value(s, "want", "200"), &answer);
	script_print(s, "put %s at %s: %d", script_value(s, "version", "1"),
		     s->words[1], answer.status);
	fetch_clear(&answer);
	g_strfreev(parts);
	g_free(text);
	g_free(raw);
	g_free(path);
	g_free(folder);
	g_free(address);
}

/* held VERSION: some control VM reads it back */
static void held(struct script *s)
{
	struct world *w = s->ctx;
	char *wanted = g_strdup_printf("{\"version\": %s,", s->words[1]);
	gint64 until = cluster_now_ms() + WAIT_MS;
	bool found = false;

	for (int i = 0; !found && cluster_now_ms() < until; i++) {
		char *address = address_of(w, 1 + i % CONTROLS, PORT_CONTROL);
		struct fetch_request request = {
			.address = address,
			.method = "GET",
			.path = "/v1/config/get",
			.timeout_ms = ASK_TIMEOUT_MS,
		};
		struct fetch_answer answer;

		(void)fetch(&request, &answer);
		if (answer.status == 200) {
			found = g_str_has_prefix(answer.body, wanted);
			script_print(s, "held %s: %s", s->words[1],
				     found ? "yes" : answer.body);
			found = true;
		}
		fetch_clear(&answer);
		g_free(address);
		usleep(POLL_US);
	}
	if (!found)
		script_print(s, "nobody reads it back");
	g_free(wanted);
}

/* ask METHOD PATH key= want= [id=] */
/* ---- a request on a thread of its own ---- */

/* Tries until somebody listens; what is answered first counts. */
static gpointer run_late_ask(gpointer ctx)
{
	struct late_ask *late = ctx;
	const char *headers[] = {
		"Host", "shop.example",	    "X-Api-Key", "k1", "Attempt-Id",
		"late", "Request-Deadline", "60000",	 NULL
	};
	struct fetch_request request = {
		.address = late->address,
		.method = "GET",
		.path = late->path,
		.headers = headers,
		.body = "",
		.timeout_ms = WAIT_MS,
	};

	while (!fetch(&request, &late->answer) || !late->answer.status) {
		fetch_clear(&late->answer);
		usleep(POLL_US);
	}
	return NULL;
}

/* begin PATH: sends a request to the entry, and does not wait for it */
static void begin(struct script *s)
{
	struct world *w = s->ctx;

	w->late.address = address_of(w, NODES, PORT_CALLERS);
	w->late.path = g_strdup(s->words[1]);
	w->asker = g_thread_new("late ask", run_late_ask, &w->late);
}

/* end: its answer */
static void end(struct script *s)
{
	struct world *w = s->ctx;

	g_thread_join(w->asker);
	script_print(s, "%s: %d %s", w->late.path, w->late.answer.status,
		     w->late.answer.body ? w->late.answer.body : "");
	fetch_clear(&w->late.answer);
	g_free(w->late.address);
	g_free(w->late.path);
}

static void ask(struct script *s)
{
	struct world *w = s->ctx;
	char *address = address_of(w, NODES, PORT_CALLERS);
	const char *headers[] = { "Host",
				  "shop.example",
				  "X-Api-Key",
				  script_value(s, "key", ""),
				  "Attempt-Id",
				  script_value(s, "id", "a1"),
				  "Request-Deadline",
				  "1500",
				  NULL };
	struct fetch_request request = {
		.address = address,
		.method = s->words[1],
		.path = s->words[2],
		.headers = headers,
		.body = "",
		.body_size = 0,
		.timeout_ms = ASK_TIMEOUT_MS,
	};
	struct fetch_answer answer;

	ask_until(s, &request, script_value(s, "want", "200"), &answer);
	g_mutex_lock(&w->lock);
	if (answer.status == 200)
		script_print(s,
			     "%s %s: 200 %s, endpoint saw %s target=%s "
			     "account=%s key=%s",
			     s->words[1], s->words[2], answer.body, w->seen.uri,
			     w->seen.target, w->seen.tenant,
			     w->seen.key_passed ? "passed" : "kept");
	else
		script_print(s, "%s %s: %d", s->words[1], s->words[2],
			     answer.status);
	g_mutex_unlock(&w->lock);
	fetch_clear(&answer);
	g_free(address);
}

/* Sends text as it is, "|" for a line's end, and reads to the close. */
static void raw(struct script *s)
{
	struct world *w = s->ctx;
	char *address_text = address_of(w, NODES, PORT_CALLERS);
	char *joined = g_strjoinv(" ", s->words + 1);
	char **lines = g_strsplit(joined, "|", 0);
	char *text = g_strjoinv("\r\n", lines);
	GString *got = g_string_new(NULL);
	struct timeval limit = { ASK_TIMEOUT_MS / 1000, 0 };
	struct address address;
	int before, fd = socket(AF_INET, SOCK_STREAM, 0);
	char buffer[4096];
	ssize_t n;

	g_mutex_lock(&w->lock);
	before = w->seen.requests;
	g_mutex_unlock(&w->lock);
	assert_true(address_parse(address_text, &address));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	assert_int_equal(connect(fd, (struct sockaddr *)&address.socket,
				 sizeof(address.socket)),
			 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	while ((n = read(fd, buffer, sizeof(buffer))) > 0)
		g_string_append_len(got, buffer, n);
	close(fd);
	g_mutex_lock(&w->lock);
	script_print(s, "%.12s, %s, endpoint saw %d more", got->str,
		     n ? "kept open" : "closed", w->seen.requests - before);
	g_mutex_unlock(&w->lock);
	g_string_free(got, TRUE);
	g_strfreev(lines);
	g_free(text);
	g_free(joined);
	g_free(address_text);
}

/* resolve NODE want=COUNT: how many addresses a directory gives */
static void resolve(struct script *s)
{
	struct fetch_answer answer;
	json_t *body;

	get_until(s, atoi(s->words[1]), PORT_DIRECTORY,
		  "/v1/resolve?name=shop.example&zone=a",
		  script_value(s, "want", "200"), &answer);
	body = json_loads(answer.body ? answer.body : "", 0, NULL);
	script_print(s, "node %s: %d, %zu addresses", s->words[1],
		     answer.status,
		     json_array_size(json_object_get(body, "addresses")));
	json_decref(body);
	fetch_clear(&answer);
}

static void ready(struct script *s)
{
	struct fetch_answer answer;

	get_until(s, NODES, PORT_READY, "/v1/readiness",
		  script_value(s, "want", "200"), &answer);
	script_print(s, "ready: %d", answer.status);
	fetch_clear(&answer);
}

static void metrics(struct script *s)
{
	struct fetch_answer answer;

	get_until(s, atoi(s->words[1]), PORT_METRICS, "/metrics", "200",
		  &answer);
	script_print(s, "node %s has metrics: %s", s->words[1],
		     answer.body && strstr(answer.body, s->words[2]) ? "yes"
								     : "no");
	fetch_clear(&answer);
}

static const struct script_command commands[] = {
	{ "start", 0, start },
	{ "endpoint", 0, endpoint },
	{ "kill", 1, kill_node },
	{ "restart", 1, restart },
	{ "wipe", 1, wipe },
	{ "terminate", 1, terminate },
	{ "hangup", 1, hang_up },
	{ "put", 2, put },
	{ "held", 1, held },
	{ "ask", 2, ask },
	{ "raw", 1, raw },
	{ "begin", 1, begin },
	{ "end", 0, end },
	{ "resolve", 1, resolve },
	{ "ready", 0, ready },
	{ "metrics", 2, metrics },
	{ 0 },
};

/* ---- running ---- */

/* Ports that the kernel gives, kept apart by holding them all at once. */
static void choose_ports(struct world *w)
{
	int fds[PORTS];
	struct address any;

	g_snprintf(w->network, sizeof(w->network), "127.%d.%d",
		   g_random_int_range(1, 255), g_random_int_range(0, 255));
	assert_true(address_parse("127.0.0.1:0", &any));
	for (int i = 0; i < PORTS; i++) {
		fds[i] = address_listen(&any, 1);
		assert_true(fds[i] >= 0);
		w->ports[i] = address_local_port(fds[i]);
	}
	for (int i = 0; i < PORTS; i++)
		close(fds[i]);
}

static void stop_endpoint(struct world *w)
{
	if (!w->server)
		return;
	g_atomic_int_set(&w->stop, 1);
	g_thread_join(w->beater);
	event_base_loopbreak(w->base);
	g_thread_join(w->server);
	evhttp_free(w->endpoint);
	event_base_free(w->base);
}

static void remove_folder(struct world *w)
{
	char *command[] = { (char *)"rm", (char *)"-r", w->folder, NULL };

	if (getenv("KEEP"))
		fprintf(stderr, "kept %s\n", w->folder);
	else
		g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL,
			     NULL, NULL, NULL, NULL, NULL);
	g_free(w->folder);
}

static void run_case(const char *path, const struct script_command *table)
{
	struct world w = { .folder = g_dir_make_tmp("radishdeal-XXXXXX",
						    NULL) };

	g_mutex_init(&w.lock);
	choose_ports(&w);
	script_check(path, table, &w);
	for (int i = 1; i <= NODES; i++)
		(void)end_node(&w, i, SIGKILL);
	stop_endpoint(&w);
	remove_folder(&w);
	g_mutex_clear(&w.lock);
}

static void test_platform_proc(void **state)
{
	(void)state;
	script_check_folder("test/cases/platform-proc", commands, run_case);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_platform_proc),
	};

	signal(SIGPIPE, SIG_IGN);
	evthread_use_pthreads();
	return cmocka_run_group_tests_name("platform_proc", tests, NULL, NULL);
}
