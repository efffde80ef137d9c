/*
 * Fake plain service: one process acts as all its endpoints. Each run of a
 * booking appends a line to a file: key, endpoint, runs of the key so far.
 * A query `bytes=N` makes the answer about N bytes longer.
 */
#include <argp.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>

#include "common/http.h"
#include "test/fakes/announcer.h"

struct service {
	struct event_base *base;
	const char *name;
	FILE *runs;
	FILE *log; /* of calls, in the form of the engine's; NULL for none */
	GHashTable *counts; /* key -> runs */
	GPtrArray *endpoints;
	int delay_ms;
	char *padding; /* added to each answer; NULL for none */
};

struct endpoint {
	struct service *service;
	char name[64];
	char address[64];
	char data_centre[64];
	struct announcer *announcer;
	int64_t incarnation, sequence;
	int running;
	bool alive, leaving;
	char fault[32]; /* what fails in calls; empty for nothing */
};

struct arguments {
	const char *host, *name, *prefix, *entries, *key_file, *control_file,
		*runs_file, *log_file;
	int count, delay_ms, body_bytes;
};

static const struct argp_option options[] = {
	{ "host", 'h', "IP", 0, "address to listen on", 0 },
	{ "service", 'n', "NAME", 0, "name of the service", 0 },
	{ "prefix", 'p', "TEXT", 0, "start of the endpoints' names", 0 },
	{ "entries", 'e', "IP:PORT,...", 0, "entries to announce to at first",
	  0 },
	{ "key", 'k', "FILE", 0, "key for announcing", 0 },
	{ "control", 'c', "FILE", 0, "file to write the control address to",
	  0 },
	{ "runs", 'r', "FILE", 0, "file to which each run is appended", 0 },
	{ "log", 'o', "FILE", 0, "log of calls", 0 },
	{ "count", 'm', "N", 0, "number of endpoints", 0 },
	{ "delay-ms", 'd', "MS", 0, "duration of a call", 0 },
	{ "body-bytes", 'b', "N", 0, "bytes added to each answer", 0 },
	{ 0 }
};

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 'h':
		a->host = arg;
		break;
	case 'n':
		a->name = arg;
		break;
	case 'p':
		a->prefix = arg;
		break;
	case 'e':
		a->entries = arg;
		break;
	case 'k':
		a->key_file = arg;
		break;
	case 'c':
		a->control_file = arg;
		break;
	case 'r':
		a->runs_file = arg;
		break;
	case 'o':
		a->log_file = arg;
		break;
	case 'm':
		a->count = atoi(arg);
		break;
	case 'd':
		a->delay_ms = atoi(arg);
		break;
	case 'b':
		a->body_bytes = atoi(arg);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static const struct argp argp = { .options = options,
				  .parser = parse_argument };

static int count_run(struct endpoint *e, const char *key)
{
	int runs =
		GPOINTER_TO_INT(g_hash_table_lookup(e->service->counts, key)) +
		1;

	g_hash_table_insert(e->service->counts, g_strdup(key),
			    GINT_TO_POINTER(runs));
	fprintf(e->service->runs, "%s %s %d\n", key, e->name, runs);
	fflush(e->service->runs);
	return runs;
}

/** A call that is answered after the delay. */
struct pending {
	struct endpoint *endpoint;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	char *key, *id;
	int runs;
	char *padding; /* added to the answer; NULL for that of the service */
	bool disconnected;
};

static void log_call(const struct pending *p, const char *event)
{
	fake_log(p->endpoint->service->log,
		 json_pack("{s:I,s:s,s:s,s:s}", "t_us",
			   (json_int_t)fake_now_us(), "event", event, "vm",
			   p->endpoint->name, "request", p->id));
}

static void answer_call(struct pending *p)
{
	json_t *body = json_pack("{s:s,s:s,s:i}", "key", p->key, "endpoint",
				 p->endpoint->name, "run", p->runs);
	const char *padding = p->padding ? p->padding
					 : p->endpoint->service->padding;

	if (padding)
		json_object_set_new(body, "padding", json_string(padding));
	p->endpoint->running--;
	if (!p->disconnected) {
		log_call(p, "served");
		http_unwatch_disconnect(p->req, 600);
	}
	http_send_json(p->req, 200, body);
	g_free(p->key);
	g_free(p->id);
	g_free(p->padding);
	g_free(p);
}

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	answer_call(arg);
}

static void on_disconnect(void *ctx)
{
	struct pending *p = ctx;

	log_call(p, "cancelled");
	p->disconnected = true;
}

static void close_without_answer(struct evhttp_request *req)
{
	evhttp_connection_free(evhttp_request_get_connection(req));
}

/* Sends less than the stated Content-Length, then closes the connection. */
static void send_truncated_answer(struct evhttp_request *req)
{
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Length", "1000");
	evhttp_send_reply_start(req, 200, "OK");
	evbuffer_add_printf(out, "{\"half\":");
	evhttp_send_reply_chunk(req, out);
	evbuffer_free(out);
	evhttp_send_reply_end(req);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection",
			  "close");
}

static void run_call(struct endpoint *e, struct evhttp_request *req,
		     const char *key)
{
	struct pending *p = g_new0(struct pending, 1);
	struct timeval delay = { e->service->delay_ms / 1000,
				 (e->service->delay_ms % 1000) * 1000 };
	const char *id = http_header(req, "X-Request-Id");
	char *bytes = http_query(req, "bytes");

	p->endpoint = e;
	p->req = req;
	p->key = g_strdup(key);
	p->id = g_strdup(id ? id : "-");
	p->runs = count_run(e, key);
	p->padding = bytes ? g_strnfill((gsize)atoi(bytes), 'x') : NULL;
	g_free(bytes);
	log_call(p, "begun");
	e->running++;
	p->watch = (struct http_disconnect_watch){ on_disconnect, p };
	http_watch_disconnect(req, &p->watch);
	event_base_once(e->service->base, -1, EV_TIMEOUT, on_delay, p, &delay);
}

static void handle(struct evhttp_request *req, void *ctx)
{
	struct endpoint *e = ctx;
	const char *key = http_header(req, "Idempotency-Key");

	if (!e->alive || !strcmp(e->fault, "silent"))
		return;
	if (!strcmp(e->fault, "close-before")) {
		close_without_answer(req);
	} else if (!strcmp(e->fault, "close-after")) {
		count_run(e, key ? key : "-");
		close_without_answer(req);
	} else if (!strcmp(e->fault, "half")) {
		count_run(e, key ? key : "-");
		send_truncated_answer(req);
	} else {
		run_call(e, req, key ? key : "-");
	}
}

static json_t *announcement(void *ctx)
{
	struct endpoint *e = ctx;

	if (!e->alive)
		return NULL;
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:{s:i}}", "vm",
			 e->name, "address", e->address, "data_centre",
			 e->data_centre, "domain", "plain", "service",
			 e->service->name, "incarnation",
			 (json_int_t)e->incarnation, "sequence",
			 (json_int_t)++e->sequence, "ready", 1, "leaving",
			 e->leaving, "load", "running", e->running);
}

/*
 * POST /set?vm=NAME&what=CHANGE, `*` for all endpoints. CHANGE: kill, leave,
 * revive, good, or a fault of calls: silent, close-before, close-after, half.
 */
static void handle_control(struct evhttp_request *req, void *ctx)
{
	struct service *service = ctx;
	char *name = http_query(req, "vm");
	char *what = http_query(req, "what");
	int changed = 0;

	for (guint i = 0; name && what && i < service->endpoints->len; i++) {
		struct endpoint *e = service->endpoints->pdata[i];

		if (strcmp(name, e->name) != 0 && strcmp(name, "*") != 0)
			continue;
		changed++;
		if (!strcmp(what, "kill"))
			e->alive = false;
		else if (!strcmp(what, "leave"))
			e->leaving = true;
		else if (!strcmp(what, "revive")) {
			e->alive = true;
			e->leaving = false;
			e->incarnation++;
			*e->fault = '\0';
		} else
			g_strlcpy(e->fault, strcmp(what, "good") ? what : "",
				  sizeof(e->fault));
		announcer_send_now(e->announcer);
	}
	http_send_json(req, changed ? 200 : 404,
		       json_pack("{s:i}", "changed", changed));
	g_free(name);
	g_free(what);
}

static void add_endpoint(struct service *s, const struct arguments *a,
			 int number, const char *const *entries,
			 const char *key)
{
	struct endpoint *e = g_new0(struct endpoint, 1);
	struct announcer_opts opts = {
		.base = s->base,
		.entries = entries,
		.key = key,
		.body = announcement,
		.ctx = e,
	};

	e->service = s;
	e->alive = true;
	e->incarnation = fake_now_us() / 1000;
	g_snprintf(e->name, sizeof(e->name), "%s%d", a->prefix, number);
	g_snprintf(e->data_centre, sizeof(e->data_centre), "%c",
		   'a' + number % 3);
	fake_listen(s->base, a->host, handle, e, e->address,
		    sizeof(e->address));
	e->announcer = announcer_create(&opts);
	g_ptr_array_add(s->endpoints, e);
}

int main(int argc, char **argv)
{
	struct arguments a = { .host = "127.0.0.1",
			       .name = "queue",
			       .prefix = "queue-",
			       .count = 3,
			       .delay_ms = 5 };
	struct service service = { .endpoints = g_ptr_array_new() };
	char control[64];
	char **entries;
	char *key;

	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (!a.entries || !a.key_file || !a.control_file || !a.runs_file) {
		fprintf(stderr, "--entries, --key, --control and --runs are "
				"required\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	service.base = event_base_new();
	service.name = a.name;
	service.delay_ms = a.delay_ms;
	if (a.body_bytes)
		service.padding = g_strnfill((gsize)a.body_bytes, 'x');
	service.counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL);
	service.runs = fopen(a.runs_file, "a");
	if (!service.runs) {
		perror(a.runs_file);
		return 1;
	}
	if (a.log_file)
		service.log = fopen(a.log_file, "a");
	entries = g_strsplit(a.entries, ",", 0);
	key = fake_read_key(a.key_file);
	for (int i = 0; i < a.count; i++)
		add_endpoint(&service, &a, i, (const char *const *)entries,
			     key);
	fake_listen(service.base, a.host, handle_control, &service, control,
		    sizeof(control));
	fake_write_address(a.control_file, control);
	event_base_dispatch(service.base);
	return 0;
}
