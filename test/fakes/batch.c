/* Continuous batching: every step gives one token to each running stream. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include <radishdeal/prefix.h>

#include "test/fakes/engine.h"

#define PREFIX_MAX 64
#define BYTES_PER_TOKEN 4
#define DEFAULT_TOKENS 16
/* How much slower a full batch is than an empty one. */
#define FULL_BATCH_SLOWDOWN 0.3

struct stream {
	struct run *run;
	struct evhttp_request *req; /* NULL once the caller left */
	struct http_disconnect_watch watch;
	char id[64];
	int priority;
	bool streaming;
	int next, total;  /* tokens */
	int64_t ready_us; /* when its prompt has been read */
	bool running;
	GString *text;
};

struct run {
	struct engine_vm *vm;
	GPtrArray *streams; /* of struct stream, by arrival */
	struct event *step;
	bool stepping;
};

static void log_serving(const struct stream *s, const char *event)
{
	const struct engine_vm *vm = s->run->vm;

	fake_log(vm->engine->log,
		 json_pack("{s:I,s:s,s:s,s:I,s:I,s:s,s:i,s:b}", "t_us",
			   (json_int_t)fake_now_us(), "event", event, "vm",
			   vm->name, "replica", (json_int_t)vm->replica,
			   "epoch", (json_int_t)vm->epoch, "request", s->id,
			   "tokens", s->next, "whole", engine_whole(vm)));
}

static void stream_free(struct stream *s)
{
	g_ptr_array_remove(s->run->streams, s);
	g_string_free(s->text, TRUE);
	g_free(s);
}

static void on_left(void *ctx)
{
	struct stream *s = ctx;

	log_serving(s, "cancelled");
	evhttp_send_reply_end(s->req);
	stream_free(s);
}

static void send_token(struct stream *s)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out,
			    "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,"
			    "\"delta\":{\"content\":\"w%d \"}}]}\n\n",
			    s->id, s->next);
	if (s->next + 1 == s->total)
		evbuffer_add_printf(out, "data: [DONE]\n\n");
	evhttp_send_reply_chunk(s->req, out);
	evbuffer_free(out);
}

static void answer_whole(struct stream *s)
{
	json_t *body = json_pack("{s:s,s:[{s:i,s:{s:s,s:s}}],s:{s:i}}", "id",
				 s->id, "choices", "index", 0, "message",
				 "role", "assistant", "content", s->text->str,
				 "usage", "completion_tokens", s->total);

	http_send_json(s->req, 200, body);
}

static void end_stream(struct stream *s)
{
	log_serving(s, "served");
	http_unwatch_disconnect(s->req, 600);
	if (s->streaming)
		evhttp_send_reply_end(s->req);
	else
		answer_whole(s);
	stream_free(s);
}

static void give_token(struct stream *s)
{
	if (s->streaming)
		send_token(s);
	else
		g_string_append_printf(s->text, "w%d ", s->next);
	if (++s->next >= s->total)
		end_stream(s);
}

static int running_count(const struct run *run)
{
	int n = 0;

	for (guint i = 0; i < run->streams->len; i++)
		n += ((struct stream *)run->streams->pdata[i])->running;
	return n;
}

static struct stream *next_waiting(struct run *run)
{
	struct stream *best = NULL;

	for (guint i = 0; i < run->streams->len; i++) {
		struct stream *s = run->streams->pdata[i];

		if (!s->running && (!best || s->priority < best->priority))
			best = s;
	}
	return best;
}

static void schedule(struct run *run);

/* A replica with a VM missing breaks off everything, as a real one would. */
static void break_off(struct run *run)
{
	for (guint i = run->streams->len; i > 0; i--) {
		struct stream *s = run->streams->pdata[i - 1];
		struct evhttp_connection *conn =
			evhttp_request_get_connection(s->req);

		log_serving(s, "broken");
		http_unwatch_disconnect(s->req, 600);
		evhttp_connection_free(conn);
		stream_free(s);
	}
}

static void on_step(evutil_socket_t fd, short what, void *ctx)
{
	struct run *run = ctx;
	GPtrArray *due = g_ptr_array_new();
	int64_t now = fake_now_us();

	(void)fd;
	(void)what;
	run->stepping = false;
	if (run->vm->paused) {
		schedule(run);
		g_ptr_array_unref(due);
		return;
	}
	if (!engine_whole(run->vm)) {
		break_off(run);
		g_ptr_array_unref(due);
		return;
	}
	while (running_count(run) < run->vm->slots) {
		struct stream *s = next_waiting(run);

		if (!s)
			break;
		s->running = true;
	}
	for (guint i = 0; i < run->streams->len; i++) {
		struct stream *s = run->streams->pdata[i];

		if (s->running && s->ready_us <= now)
			g_ptr_array_add(due, s);
	}
	for (guint i = 0; i < due->len; i++)
		give_token(due->pdata[i]);
	g_ptr_array_unref(due);
	schedule(run);
}

static void schedule(struct run *run)
{
	double us = run->vm->engine->opts.step_us * run->vm->straggle;
	struct timeval after;

	if (run->stepping || !run->streams->len)
		return;
	us *= 1 + FULL_BATCH_SLOWDOWN * running_count(run) / run->vm->slots;
	after.tv_sec = (time_t)(us / 1e6);
	after.tv_usec = (suseconds_t)us % 1000000;
	run->stepping = true;
	event_add(run->step, &after);
}

static struct run *run_of(struct engine_vm *vm)
{
	if (!vm->run) {
		vm->run = g_new0(struct run, 1);
		vm->run->vm = vm;
		vm->run->streams = g_ptr_array_new();
		vm->run->step = evtimer_new(vm->engine->base, on_step, vm->run);
	}
	return vm->run;
}

void run_destroy(struct run *run)
{
	if (!run)
		return;
	break_off(run);
	run->vm->run = NULL;
	event_free(run->step);
	g_ptr_array_unref(run->streams);
	g_free(run);
}

void run_counts(const struct run *run, int *running, int *waiting)
{
	*running = run ? running_count(run) : 0;
	*waiting = run ? (int)run->streams->len - *running : 0;
}

/* ---- the prompt cache ---- */

static void cache_part(struct engine_vm *vm, uint64_t part)
{
	json_int_t number = (json_int_t)part;
	uint64_t *kept;

	if (g_hash_table_contains(vm->cache, &part))
		return;
	kept = g_memdup2(&part, sizeof(part));
	g_hash_table_add(vm->cache, kept);
	g_queue_push_tail(&vm->cache_order, kept);
	json_array_append_new(vm->stored, json_integer(number));
	if ((int)vm->cache_order.length <= vm->engine->opts.cache_parts)
		return;
	kept = g_queue_pop_head(&vm->cache_order);
	json_array_append_new(vm->dropped, json_integer((json_int_t)*kept));
	g_hash_table_remove(vm->cache, kept);
}

/* Reads a prompt; returns the tokens that were not cached. */
static int read_prompt(struct engine_vm *vm, json_t *chat)
{
	char *text = json_dumps(json_object_get(chat, "messages"),
				JSON_COMPACT);
	uint64_t parts[PREFIX_MAX];
	size_t size = text ? strlen(text) : 0;
	uint32_t n = prefix_hash(text ? text : "", size, parts, PREFIX_MAX);
	uint32_t hit = 0;

	while (hit < n && g_hash_table_contains(vm->cache, &parts[hit]))
		hit++;
	for (uint32_t i = 0; i < n; i++)
		cache_part(vm, parts[i]);
	free(text);
	return (int)((size - (size_t)hit * PREFIX_BLOCK_BYTES) /
		     BYTES_PER_TOKEN);
}

/* ---- requests ---- */

static bool addressed_here(const struct engine_vm *vm,
			   struct evhttp_request *req)
{
	const char *replica = http_header(req, "X-Replica");
	const char *epoch = http_header(req, "X-Epoch");

	return replica && epoch && vm->replica &&
	       vm->replica == (uint32_t)atoi(replica) &&
	       vm->epoch == g_ascii_strtoll(epoch, NULL, 10) && !vm->rank &&
	       vm->ready && engine_whole(vm);
}

static void start_stream(struct engine_vm *vm, struct evhttp_request *req,
			 json_t *chat)
{
	struct stream *s = g_new0(struct stream, 1);
	json_t *limit = json_object_get(chat, "max_tokens");
	json_t *resume = json_object_get(chat, "resume");
	const char *id = http_header(req, "X-Request-Id");
	const char *priority = http_header(req, "X-Priority");

	s->run = run_of(vm);
	s->req = req;
	g_strlcpy(s->id, id ? id : "-", sizeof(s->id));
	s->priority = priority ? atoi(priority) : 0;
	s->streaming = json_is_true(json_object_get(chat, "stream"));
	s->total = json_is_integer(limit) ? (int)json_integer_value(limit)
					  : DEFAULT_TOKENS;
	s->next = (int)json_integer_value(json_object_get(resume, "after"));
	s->text = g_string_new(NULL);
	s->ready_us = fake_now_us() + (int64_t)read_prompt(vm, chat) *
					      vm->engine->opts.prefill_us;
	g_ptr_array_add(s->run->streams, s);
	log_serving(s, "begun");
	s->watch = (struct http_disconnect_watch){ on_left, s };
	http_watch_disconnect(req, &s->watch);
	if (s->streaming) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", "text/event-stream");
		evhttp_send_reply_start(req, 200, "OK");
	}
	schedule(s->run);
}

void run_request(struct engine_vm *vm, struct evhttp_request *req)
{
	GBytes *body;
	json_t *chat;

	if (!addressed_here(vm, req)) {
		http_send_json(req, 409,
			       json_pack("{s:s}", "error", "not this replica"));
		return;
	}
	body = http_body(req);
	chat = json_loadb(g_bytes_get_data(body, NULL), g_bytes_get_size(body),
			  0, NULL);
	if (json_is_object(chat))
		start_stream(vm, req, chat);
	else
		http_send_json(req, 400, json_pack("{s:s}", "error", "JSON"));
	json_decref(chat);
	g_bytes_unref(body);
}
