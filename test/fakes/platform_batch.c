/*
 * Continuous batching of a group: passes of several token steps, which read
 * prompts in pieces between them. A stream has an event for each pass.
 */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define IDLE_TIMEOUT_S 15
#define DEFAULT_URGENCY 5
#define TOKENS_PER_K 1000.0
#define US_PER_MS 1000
#define DARK_POLL_US 5000

struct generation {
	struct platform_vm *vm;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	char id[PLATFORM_ID_SIZE];
	int urgency;
	int prompt, read; /* tokens */
	int written, output;
	int sent_event; /* number of the last event */
	bool admitted, began;
	bool stalled; /* logged */
	int64_t deadline_us;
};

struct platform_batch {
	struct platform_vm *vm;
	GPtrArray *queue; /* of struct generation, in order of arrival; owned */
	struct event *pass;
	bool pending;
	int64_t due_us;
};

static void log_generation(const struct generation *g, const char *event)
{
	platform_log(g->vm, event,
		     json_pack("{s:s,s:i,s:i}", "request", g->id, "event_id",
			       g->sent_event, "tokens", g->written));
}

static void remove_generation(struct generation *g)
{
	g_ptr_array_remove(g->vm->batch->queue, g);
}

/* ---- ends ---- */

static void on_disconnect(void *ctx)
{
	struct generation *g = ctx;

	log_generation(g, "cancelled");
	evhttp_send_reply_end(g->req);
	remove_generation(g);
}

static void break_off(struct generation *g, const char *why)
{
	log_generation(g, "broken");
	platform_log(g->vm, why, NULL);
	http_unwatch_disconnect(g->req, IDLE_TIMEOUT_S);
	evhttp_connection_free(evhttp_request_get_connection(g->req));
	remove_generation(g);
}

static void reject(struct generation *g)
{
	http_unwatch_disconnect(g->req, IDLE_TIMEOUT_S);
	platform_reject(g->vm, g->req, 503);
	remove_generation(g);
}

static void end_work(struct generation *g, const char *why)
{
	if (g->began)
		break_off(g, why);
	else
		reject(g);
}

void platform_batch_abort(struct platform_vm *vm, const char *why)
{
	GPtrArray *queue = vm->batch ? vm->batch->queue : NULL;

	for (guint i = queue ? queue->len : 0; i > 0; i--)
		break_off(queue->pdata[i - 1], why);
}

/** A response of which evhttp has not yet written everything. */
struct unwritten {
	struct platform_vm *vm;
	char id[PLATFORM_ID_SIZE];
};

static void on_written(struct evhttp_request *req, void *ctx)
{
	struct unwritten *u = ctx;

	(void)req;
	platform_log(u->vm, "served", json_pack("{s:s}", "request", u->id));
	g_free(u);
}

static void complete(struct generation *g)
{
	struct unwritten *u = g_new0(struct unwritten, 1);

	u->vm = g->vm;
	g_strlcpy(u->id, g->id, sizeof(u->id));
	http_unwatch_disconnect(g->req, IDLE_TIMEOUT_S);
	evhttp_request_set_on_complete_cb(g->req, on_written, u);
	evhttp_send_reply_end(g->req);
	remove_generation(g);
}

/* ---- events ---- */

static int event_count(const struct generation *g)
{
	int stride = g->vm->pool->engine.steps_per_pass;

	return (g->output + stride - 1) / stride;
}

static void begin(struct generation *g)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(g->req);
	char *seal = g_strdup_printf("seal-%s", g->id);

	g->began = true;
	log_generation(g, "begun");
	evhttp_add_header(out, "Attempt-Id", g->id);
	evhttp_add_header(out, "Response-Seal", seal);
	evhttp_add_header(out, "Weight-Versions", "1");
	platform_vm_name_limit(g->vm, out);
	evhttp_add_header(out, "Content-Type", "text/event-stream");
	evhttp_send_reply_start(g->req, 200, "OK");
	g_free(seal);
}

static void send_event(struct generation *g)
{
	struct evbuffer *out = evbuffer_new();

	if (!g->began)
		begin(g);
	g->sent_event++;
	evbuffer_add_printf(out, "id: %d\ndata: %s %d of %d\n\n", g->sent_event,
			    g->id, g->sent_event, event_count(g));
	evhttp_send_reply_chunk(g->req, out);
	evbuffer_free(out);
	if (g->sent_event >= event_count(g))
		complete(g);
}

/* ---- passes ---- */

static int cache_used(const struct platform_batch *b)
{
	int used = 0;

	for (guint i = 0; i < b->queue->len; i++) {
		const struct generation *g = b->queue->pdata[i];

		if (g->admitted)
			used += g->read + g->written;
	}
	return used;
}

/* The newest generation yields its memory and is read again. */
static void preempt(struct platform_batch *b)
{
	for (guint i = b->queue->len; i > 1; i--) {
		struct generation *g = b->queue->pdata[i - 1];

		if (!g->admitted || !g->read)
			continue;
		log_generation(g, "preempted");
		g->admitted = false;
		g->read = 0;
		return;
	}
}

static int admitted_count(const struct platform_batch *b)
{
	int n = 0;

	for (guint i = 0; i < b->queue->len; i++)
		n += ((struct generation *)b->queue->pdata[i])->admitted;
	return n;
}

static struct generation *next_waiting(const struct platform_batch *b)
{
	struct generation *best = NULL;

	for (guint i = 0; i < b->queue->len; i++) {
		struct generation *g = b->queue->pdata[i];

		if (!g->admitted && (!best || g->urgency < best->urgency))
			best = g;
	}
	return best;
}

static void admit(struct platform_batch *b)
{
	const struct platform_engine_opts *engine = &b->vm->pool->engine;
	int free_tokens = engine->cache_tokens - cache_used(b);
	int slots = engine->slots - admitted_count(b);
	struct generation *g;

	while (slots-- > 0 && (g = next_waiting(b)) &&
	       g->prompt + g->written <= free_tokens) {
		g->admitted = true;
		free_tokens -= g->prompt + g->written;
	}
}

static bool is_read(const struct generation *g)
{
	return g->admitted && g->read >= g->prompt + g->written;
}

/* Reads prompts for a pass; returns the number of tokens read. */
static int read_prompts(struct platform_batch *b, int steps)
{
	int left = b->vm->pool->engine.prefill_chunk_tokens * steps;
	int budget = left;

	for (guint i = 0; i < b->queue->len && left; i++) {
		struct generation *g = b->queue->pdata[i];
		int tokens = MIN(left, g->prompt + g->written - g->read);

		if (!g->admitted || tokens <= 0)
			continue;
		g->read += tokens;
		left -= tokens;
	}
	return budget - left;
}

static GPtrArray *list_writers(const struct platform_batch *b)
{
	GPtrArray *writers = g_ptr_array_new();

	for (guint i = 0; i < b->queue->len; i++)
		if (is_read(b->queue->pdata[i]))
			g_ptr_array_add(writers, b->queue->pdata[i]);
	return writers;
}

static double step_ms(const struct platform_batch *b, const GPtrArray *writers)
{
	const struct platform_engine_opts *engine = &b->vm->pool->engine;
	double ms = engine->step_ms;

	for (guint i = 0; i < writers->len; i++) {
		const struct generation *g = writers->pdata[i];

		ms += engine->per_request_ms +
		      engine->context_ms_per_k * (g->prompt + g->written) /
			      TOKENS_PER_K;
	}
	return ms;
}

static void schedule(struct platform_batch *b, double ms)
{
	int64_t now = fake_now_us();
	struct timeval after;
	int64_t us;

	b->due_us = MAX(b->due_us + (int64_t)(ms * US_PER_MS), now);
	us = b->due_us - now;
	after = (struct timeval){ us / G_USEC_PER_SEC, us % G_USEC_PER_SEC };
	b->pending = true;
	event_add(b->pass, &after);
}

static void plan_pass(struct platform_batch *b)
{
	const struct platform_engine_opts *engine = &b->vm->pool->engine;
	GPtrArray *writers;
	double ms;
	int steps;

	admit(b);
	writers = list_writers(b);
	steps = writers->len ? engine->steps_per_pass : 1;
	ms = step_ms(b, writers) * steps;
	ms += read_prompts(b, steps) * 1e3 / engine->prefill_tokens_per_s;
	g_ptr_array_unref(writers);
	schedule(b, ms * platform_group_slowness(b->vm));
}

static void end_expired(struct platform_batch *b)
{
	int64_t now = fake_now_us();

	for (guint i = b->queue->len; i > 0; i--) {
		struct generation *g = b->queue->pdata[i - 1];

		if (now >= g->deadline_us)
			end_work(g, "deadline");
	}
}

static void break_group(struct platform_batch *b)
{
	struct platform_vm *vm = b->vm;

	for (guint i = b->queue->len; i > 0; i--)
		end_work(b->queue->pdata[i - 1], "stalled");
	vm->state = GROUP_BROKEN;
	platform_log(vm, "group-broken", NULL);
	platform_beats_send_now(vm->beats);
}

static void log_stalled(const struct platform_batch *b)
{
	for (guint i = 0; i < b->queue->len; i++) {
		struct generation *g = b->queue->pdata[i];

		if (!g->stalled)
			log_generation(g, "stalled");
		g->stalled = true;
	}
}

/* Whether the pass may go on. */
static bool makes_progress(struct platform_batch *b)
{
	struct platform_vm *vm = b->vm;
	int64_t now = fake_now_us();

	if (platform_group_whole(vm)) {
		vm->broken_at_us = 0;
		return platform_vm_runs(vm) && now >= vm->held_until_us;
	}
	if (platform_group_lost(vm))
		log_stalled(b);
	if (!vm->broken_at_us)
		vm->broken_at_us = now + vm->pool->engine.stall_ms *
						 (int64_t)US_PER_MS;
	if (now >= vm->broken_at_us)
		break_group(b);
	return false;
}

static void write_tokens(struct platform_batch *b)
{
	GPtrArray *writers = list_writers(b);

	for (guint i = 0; i < writers->len; i++) {
		struct generation *g = writers->pdata[i];
		int tokens = MIN(b->vm->pool->engine.steps_per_pass,
				 g->output - g->written);

		g->written += tokens;
		g->read += tokens;
		send_event(g);
	}
	g_ptr_array_unref(writers);
}

static void on_pass(evutil_socket_t fd, short what, void *ctx)
{
	struct platform_batch *b = ctx;

	(void)fd;
	(void)what;
	b->pending = false;
	if (!makes_progress(b)) {
		b->due_us = fake_now_us() + DARK_POLL_US;
		if (b->queue->len)
			schedule(b, 0);
		return;
	}
	write_tokens(b);
	end_expired(b);
	if (cache_used(b) > b->vm->pool->engine.cache_tokens)
		preempt(b);
	if (b->queue->len)
		plan_pass(b);
}

static struct platform_batch *get_batch(struct platform_vm *vm)
{
	if (!vm->batch) {
		vm->batch = g_new0(struct platform_batch, 1);
		vm->batch->vm = vm;
		vm->batch->queue = g_ptr_array_new_with_free_func(g_free);
		vm->batch->pass = evtimer_new(vm->pool->base, on_pass,
					      vm->batch);
	}
	return vm->batch;
}

void platform_batch_count(const struct platform_vm *vm, int *running,
			  int *waiting)
{
	*running = vm->batch ? admitted_count(vm->batch) : 0;
	*waiting = vm->batch ? (int)vm->batch->queue->len - *running : 0;
}

/* ---- requests ---- */

static int header_number(struct evhttp_request *req, const char *name,
			 int fallback)
{
	const char *text = http_header(req, name);

	return text ? atoi(text) : fallback;
}

static struct generation *read_request(struct platform_vm *vm,
				       struct evhttp_request *req)
{
	struct generation *g = g_new0(struct generation, 1);
	const char *id = http_header(req, "Attempt-Id");
	const char *tokens = http_header(req, "Token-Count");

	g->vm = vm;
	g->req = req;
	g_strlcpy(g->id, id ? id : "-", sizeof(g->id));
	if (!tokens || sscanf(tokens, "%d,%d", &g->prompt, &g->output) != 2)
		g->prompt = g->output = 1;
	g->urgency = header_number(req, "Request-Urgency", DEFAULT_URGENCY);
	g->sent_event = header_number(req, "Last-Event-Id", 0);
	g->written = MIN(g->sent_event * vm->pool->engine.steps_per_pass,
			 g->output);
	g->deadline_us = fake_now_us() +
			 header_number(req, "Request-Deadline", 60000) *
				 (int64_t)US_PER_MS;
	return g;
}

static bool accepts(const struct platform_vm *vm)
{
	const struct platform_engine_opts *engine = &vm->pool->engine;

	return !vm->batch ||
	       (int)vm->batch->queue->len < engine->slots + engine->queue;
}

void platform_batch_add(struct platform_vm *vm, struct evhttp_request *req)
{
	struct platform_batch *b = get_batch(vm);
	struct generation *g;

	if (vm->state == GROUP_NONE || !vm->members->len ||
	    strcmp(vm->members->pdata[0], vm->id) != 0) {
		platform_reject(vm, req, 421);
		return;
	}
	if (vm->state != GROUP_OPEN || !accepts(vm)) {
		platform_reject(vm, req, 503);
		return;
	}
	g = read_request(vm, req);
	g_ptr_array_add(b->queue, g);
	log_generation(g, "received");
	g->watch = (struct http_disconnect_watch){ on_disconnect, g };
	http_watch_disconnect(req, &g->watch);
	if (b->pending)
		return;
	b->due_us = fake_now_us();
	plan_pass(b);
}
