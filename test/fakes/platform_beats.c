/* Heartbeats to a control VM, moving to another one after a failure. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "common/address.h"
#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define TIMEOUT_S 1
#define IN_FLIGHT_MAX 4
#define US_PER_MS 1000
#define MS_PER_S 1000

struct platform_beats {
	struct platform_vm *vm;
	json_t *(*body)(void *ctx);
	void *ctx;
	struct event *timer, *late_timer;
	GHashTable *conns; /* address -> evhttp_connection */
	char *named;	   /* `beatAddr`, or NULL */
	guint next;
	int in_flight;
	int late_ms;
	int64_t late_until_us;
	char *late_text; /* written, but to be sent later; or NULL */
};

struct beat {
	struct platform_beats *beats;
	char *text;
	guint tries;
};

static void send_beat(struct platform_beats *b, char *text, guint tries);

static struct timeval interval(int ms)
{
	return (struct timeval){ ms / MS_PER_S, ms % MS_PER_S * US_PER_MS };
}

static const char *target(const struct platform_beats *b)
{
	char **controls = b->vm->pool->controls;

	return b->named ? b->named
			: controls[b->next % g_strv_length(controls)];
}

static void take_named_address(struct platform_beats *b,
			       struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t size = evbuffer_get_length(in);
	json_t *answer = json_loadb((char *)evbuffer_pullup(in, -1), size, 0,
				    NULL);
	const char *named = json_string_value(json_object_get(answer, "beatAdd"
								      "r"));

	if (named) {
		g_free(b->named);
		b->named = g_strdup(named);
	}
	json_decref(answer);
}

static void on_answer(struct evhttp_request *req, void *ctx)
{
	struct beat *beat = ctx;
	struct platform_beats *b = beat->beats;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	b->in_flight--;
	if (status == 200) {
		take_named_address(b, req);
		g_free(beat->text);
	} else if (beat->tries < g_strv_length(b->vm->pool->controls)) {
		g_clear_pointer(&b->named, g_free);
		b->next++;
		send_beat(b, beat->text, beat->tries + 1);
	} else {
		g_free(beat->text);
	}
	g_free(beat);
}

static struct evhttp_connection *connection_to(struct platform_beats *b,
					       const char *address)
{
	struct evhttp_connection *conn = g_hash_table_lookup(b->conns, address);
	char **parts;

	if (conn)
		return conn;
	parts = g_strsplit(address, ":", 2);
	conn = evhttp_connection_base_new(b->vm->pool->base, NULL, parts[0],
					  (ev_uint16_t)atoi(parts[1]));
	evhttp_connection_set_timeout(conn, TIMEOUT_S);
	g_hash_table_insert(b->conns, g_strdup(address), conn);
	g_strfreev(parts);
	return conn;
}

/* Takes the text. */
static void send_beat(struct platform_beats *b, char *text, guint tries)
{
	const char *address = target(b);
	struct evhttp_connection *conn = connection_to(b, address);
	struct beat *beat = g_new0(struct beat, 1);
	struct evhttp_request *req = evhttp_request_new(on_answer, beat);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char *path = g_strdup_printf("/v1/instances/%s/heartbeat", b->vm->id);

	beat->beats = b;
	beat->text = text;
	beat->tries = tries;
	b->in_flight++;
	evhttp_add_header(headers, "Host", address);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), text, strlen(text));
	evhttp_make_request(conn, req, EVHTTP_REQ_POST, path);
	g_free(path);
}

static char *write_text(const struct platform_beats *b)
{
	json_t *body = b->body(b->ctx);
	char *text = json_dumps(body, JSON_COMPACT);
	char *copy = g_strdup(text);

	free(text);
	json_decref(body);
	return copy;
}

static void on_late(evutil_socket_t fd, short what, void *ctx)
{
	struct platform_beats *b = ctx;

	(void)fd;
	(void)what;
	if (b->late_text)
		send_beat(b, g_steal_pointer(&b->late_text), 1);
}

static void send_late(struct platform_beats *b)
{
	struct timeval after = interval(
		g_rand_int_range(b->vm->pool->random, 0, b->late_ms + 1));

	if (b->late_text)
		return;
	b->late_text = write_text(b);
	event_add(b->late_timer, &after);
}

void platform_beats_send_now(struct platform_beats *b)
{
	bool late = fake_now_us() < b->late_until_us;

	if (!b || !platform_vm_runs(b->vm) || b->in_flight >= IN_FLIGHT_MAX)
		return;
	if (!late)
		send_beat(b, write_text(b), 1);
	else if (b->late_ms >= 0)
		send_late(b);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	platform_beats_send_now(ctx);
}

void platform_beats_delay(struct platform_beats *b, int late_ms,
			  int64_t until_us)
{
	b->late_ms = late_ms;
	b->late_until_us = until_us;
}

struct platform_beats *platform_beats_create(struct platform_vm *vm,
					     json_t *(*body)(void *ctx),
					     void *ctx)
{
	struct platform_beats *b = g_new0(struct platform_beats, 1);
	struct timeval period = interval(vm->pool->heartbeat_ms);

	b->vm = vm;
	b->body = body;
	b->ctx = ctx;
	b->next = (guint)vm->number;
	b->conns =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)evhttp_connection_free);
	b->timer = event_new(vm->pool->base, -1, EV_PERSIST, on_timer, b);
	b->late_timer = evtimer_new(vm->pool->base, on_late, b);
	event_add(b->timer, &period);
	platform_beats_send_now(b);
	return b;
}
