/* Continuous batching: each step emits one token of every running request. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include <radishdeal/prefix.h>

#include "test/fakes/engine.h"

#define PREFIX_MAX 64
#define BYTES_PER_TOKEN 4
#define DEFAULT_TOKENS 16
/* Relative increase of the step time from an empty to a full batch. */
#define FULL_BATCH_SLOWDOWN 0.3

struct batch_request {
	struct batch *batch;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	char id[64];
	int priority;
	bool streaming;
	int position;	 /* index of the next token */
	int token_count; /* index after the last token */
	int64_t prefill_end_us;
	bool running;
	bool crashes; /* ends the VM that begins to answer it */
	GString *text;
};

struct batch {
	struct engine_vm *vm;
	GPtrArray *requests; /* of struct batch_request, in order of arrival */
	struct event *step;  /* timer of the next step */
	bool step_pending;
};

static void log_request(const struct batch_request *s, const char *event)
{
	const struct engine_vm *vm = s->batch->vm;

	fake_log(vm->engine->log,
		 json_pack("{s:I,s:s,s:s,s:I,s:I,s:s,s:i,s:b}", "t_us",
			   (json_int_t)fake_now_us(), "event", event, "vm",
			   vm->name, "replica", (json_int_t)vm->replica,
			   "epoch", (json_int_t)vm->epoch, "request", s->id,
			   "tokens", s->position, "whole",
			   engine_replica_healthy(vm)));
}

static void request_free(struct batch_request *s)
{
	g_ptr_array_remove(s->batch->requests, s);
	g_string_free(s->text, TRUE);
	g_free(s);
}

static void on_disconnect(void *ctx)
{
	struct batch_request *s = ctx;

	log_request(s, "cancelled");
	evhttp_send_reply_end(s->req);
	request_free(s);
}

static void send_token(struct batch_request *s)
{
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out,
			    "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,"
			    "\"delta\":{\"content\":\"w%d \"}}]}\n\n",
			    s->id, s->position);
	if (s->position + 1 == s->token_count)
		evbuffer_add_printf(out, "data: [DONE]\n\n");
	evhttp_send_reply_chunk(s->req, out);
	evbuffer_free(out);
}

static void send_answer(struct batch_request *s)
{
	json_t *body = json_pack("{s:s,s:[{s:i,s:{s:s,s:s}}],s:{s:i}}", "id",
				 s->id, "choices", "index", 0, "message",
				 "role", "assistant", "content", s->text->str,
				 "usage", "completion_tokens", s->token_count);

	http_send_json(s->req, 200, body);
}

static void complete_request(struct batch_request *s)
{
	log_request(s, "served");
	http_unwatch_disconnect(s->req, 600);
	if (s->streaming)
		evhttp_send_reply_end(s->req);
	else
		send_answer(s);
	request_free(s);
}

static void emit_token(struct batch_request *s)
{
	if (s->streaming)
		send_token(s);
	else
		g_string_append_printf(s->text, "w%d ", s->position);
	if (++s->position >= s->token_count)
		complete_request(s);
}

static int running_count(const struct batch *batch)
{
	int n = 0;

	for (guint i = 0; i < batch->requests->len; i++)
		n += ((struct batch_request *)batch->requests->pdata[i])
			     ->running;
	return n;
}

static struct batch_request *next_waiting(struct batch *batch)
{
	struct batch_request *best = NULL;

	for (guint i = 0; i < batch->requests->len; i++) {
		struct batch_request *s = batch->requests->pdata[i];

		if (!s->running && (!best || s->priority < best->priority))
			best = s;
	}
	return best;
}

static void schedule_step(struct batch *batch);

/* Closes the connections of all requests, as an engine that lost a VM does. */
static void abort_requests(struct batch *batch)
{
	for (guint i = batch->requests->len; i > 0; i--) {
		struct batch_request *s = batch->requests->pdata[i - 1];
		struct evhttp_connection *conn =
			evhttp_request_get_connection(s->req);

		log_request(s, "broken");
		http_unwatch_disconnect(s->req, 600);
		evhttp_connection_free(conn);
		request_free(s);
	}
}

static bool crash_due(const GPtrArray *due)
{
	for (guint i = 0; i < due->len; i++)
		if (((struct batch_request *)due->pdata[i])->crashes)
			return true;
	return false;
}

static void on_step(evutil_socket_t fd, short what, void *ctx)
{
	struct batch *batch = ctx;
	GPtrArray *due = g_ptr_array_new();
	int64_t now = fake_now_us();
	bool crash;

	(void)fd;
	(void)what;
	batch->step_pending = false;
	if (batch->vm->paused) {
		schedule_step(batch);
		g_ptr_array_unref(due);
		return;
	}
	if (!engine_replica_healthy(batch->vm)) {
		abort_requests(batch);
		g_ptr_array_unref(due);
		return;
	}
	while (running_count(batch) < batch->vm->slots) {
		struct batch_request *s = next_waiting(batch);

		if (!s)
			break;
		s->running = true;
	}
	for (guint i = 0; i < batch->requests->len; i++) {
		struct batch_request *s = batch->requests->pdata[i];

		if (s->running && s->prefill_end_us <= now)
			g_ptr_array_add(due, s);
	}
	crash = crash_due(due);
	for (guint i = 0; !crash && i < due->len; i++)
		emit_token(due->pdata[i]);
	g_ptr_array_unref(due);
	if (crash)
		engine_kill_vm(batch->vm);
	else
		schedule_step(batch);
}

static void schedule_step(struct batch *batch)
{
	double us = batch->vm->engine->opts.step_us * batch->vm->step_factor;
	struct timeval after;

	if (batch->step_pending || !batch->requests->len)
		return;
	us *= 1 + FULL_BATCH_SLOWDOWN * running_count(batch) / batch->vm->slots;
	after.tv_sec = (time_t)(us / 1e6);
	after.tv_usec = (suseconds_t)us % 1000000;
	batch->step_pending = true;
	event_add(batch->step, &after);
}

static struct batch *get_batch(struct engine_vm *vm)
{
	if (!vm->batch) {
		vm->batch = g_new0(struct batch, 1);
		vm->batch->vm = vm;
		vm->batch->requests = g_ptr_array_new();
		vm->batch->step = evtimer_new(vm->engine->base, on_step,
					      vm->batch);
	}
	return vm->batch;
}

void batch_destroy(struct batch *batch)
{
	if (!batch)
		return;
	abort_requests(batch);
	batch->vm->batch = NULL;
	event_free(batch->step);
	g_ptr_array_unref(batch->requests);
	g_free(batch);
}

void batch_count(const struct batch *batch, int *running, int *waiting)
{
	*running = batch ? running_count(batch) : 0;
	*waiting = batch ? (int)batch->requests->len - *running : 0;
}

/* ---- the prompt cache ---- */

static void cache_block(struct engine_vm *vm, uint64_t block)
{
	json_int_t number = (json_int_t)block;
	uint64_t *copy;

	if (g_hash_table_contains(vm->cache, &block))
		return;
	copy = g_memdup2(&block, sizeof(block));
	g_hash_table_add(vm->cache, copy);
	g_queue_push_tail(&vm->cache_order, copy);
	json_array_append_new(vm->stored, json_integer(number));
	if ((int)vm->cache_order.length <= vm->engine->opts.cache_blocks)
		return;
	copy = g_queue_pop_head(&vm->cache_order);
	json_array_append_new(vm->dropped, json_integer((json_int_t)*copy));
	g_hash_table_remove(vm->cache, copy);
}

/* Caches the blocks of a prompt; returns the tokens that need a prefill. */
static int cache_prompt(struct engine_vm *vm, json_t *chat)
{
	char *text = json_dumps(json_object_get(chat, "messages"),
				JSON_COMPACT);
	uint64_t blocks[PREFIX_MAX];
	size_t size = text ? strlen(text) : 0;
	uint32_t n = prefix_hash(text ? text : "", size, blocks, PREFIX_MAX);
	uint32_t hits = 0;

	while (hits < n && g_hash_table_contains(vm->cache, &blocks[hits]))
		hits++;
	for (uint32_t i = 0; i < n; i++)
		cache_block(vm, blocks[i]);
	free(text);
	return (int)((size - (size_t)hits * PREFIX_BLOCK_BYTES) /
		     BYTES_PER_TOKEN);
}

/* ---- requests ---- */

static bool is_addressed_to(const struct engine_vm *vm,
			    struct evhttp_request *req)
{
	const char *replica = http_header(req, "X-Replica");
	const char *epoch = http_header(req, "X-Epoch");

	return replica && epoch && vm->replica &&
	       vm->replica == (uint32_t)atoi(replica) &&
	       vm->epoch == g_ascii_strtoll(epoch, NULL, 10) && !vm->rank &&
	       vm->ready && engine_replica_healthy(vm);
}

static bool has_crash_text(const struct engine_vm *vm, json_t *chat)
{
	const char *sought = vm->engine->opts.crash_text;
	char *text = json_dumps(json_object_get(chat, "messages"),
				JSON_COMPACT);
	bool found = sought && text && strstr(text, sought);

	free(text);
	return found;
}

static void start_request(struct engine_vm *vm, struct evhttp_request *req,
			  json_t *chat)
{
	struct batch_request *s = g_new0(struct batch_request, 1);
	json_t *limit = json_object_get(chat, "max_tokens");
	json_t *resume = json_object_get(chat, "resume");
	const char *id = http_header(req, "X-Request-Id");
	const char *priority = http_header(req, "X-Priority");

	s->batch = get_batch(vm);
	s->req = req;
	g_strlcpy(s->id, id ? id : "-", sizeof(s->id));
	s->priority = priority ? atoi(priority) : 0;
	s->streaming = json_is_true(json_object_get(chat, "stream"));
	s->token_count = json_is_integer(limit) ? (int)json_integer_value(limit)
						: DEFAULT_TOKENS;
	s->position = (int)json_integer_value(json_object_get(resume, "after"));
	s->text = g_string_new(NULL);
	s->crashes = has_crash_text(vm, chat);
	s->prefill_end_us = fake_now_us() + (int64_t)cache_prompt(vm, chat) *
						    vm->engine->opts.prefill_us;
	g_ptr_array_add(s->batch->requests, s);
	log_request(s, "begun");
	s->watch = (struct http_disconnect_watch){ on_disconnect, s };
	http_watch_disconnect(req, &s->watch);
	if (s->streaming) {
		evhttp_add_header(evhttp_request_get_output_headers(req),
				  "Content-Type", "text/event-stream");
		evhttp_send_reply_start(req, 200, "OK");
	}
	schedule_step(s->batch);
}

void batch_add_request(struct engine_vm *vm, struct evhttp_request *req)
{
	GBytes *body;
	json_t *chat;

	if (!is_addressed_to(vm, req)) {
		http_send_json(req, 409,
			       json_pack("{s:s}", "error", "not this replica"));
		return;
	}
	body = http_body(req);
	chat = json_loadb(g_bytes_get_data(body, NULL), g_bytes_get_size(body),
			  0, NULL);
	if (json_is_object(chat))
		start_request(vm, req, chat);
	else
		http_send_json(req, 400, json_pack("{s:s}", "error", "JSON"));
	json_decref(chat);
	g_bytes_unref(body);
}
