/* Requests to VMs of a plain service. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define IDLE_TIMEOUT_S 15
#define US_PER_MS 1000
#define PADDING_BYTES 800
/* A request to such a path ends each VM that begins to answer it. */
#define ENDING_PATH "/bad"
#define RETURN_MIN_MS 2000
#define RETURN_MAX_MS 4000

struct plain_call {
	struct platform_vm *vm;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	struct event *timer;
	char id[PLATFORM_ID_SIZE];
	bool ends_vm;
};

static void log_call(const struct plain_call *c, const char *event)
{
	platform_log(c->vm, event, json_pack("{s:s}", "request", c->id));
}

static void call_free(struct plain_call *c)
{
	g_ptr_array_remove_fast(c->vm->plain_calls, c);
	event_free(c->timer);
	g_free(c);
}

static void on_disconnect(void *ctx)
{
	struct plain_call *c = ctx;

	log_call(c, "cancelled");
	evhttp_send_reply_end(c->req);
	call_free(c);
}

void platform_plain_abort(struct platform_vm *vm)
{
	for (guint i = vm->plain_calls->len; i > 0; i--) {
		struct plain_call *c = vm->plain_calls->pdata[i - 1];

		log_call(c, "broken");
		http_unwatch_disconnect(c->req, IDLE_TIMEOUT_S);
		evhttp_connection_free(evhttp_request_get_connection(c->req));
		call_free(c);
	}
}

static void answer(struct plain_call *c)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(c->req);
	char *seal = g_strdup_printf("seal-%s", c->id);
	char *padding = g_strnfill(PADDING_BYTES, 'y');
	char *body = g_strdup_printf("%s %s", c->id, padding);

	http_unwatch_disconnect(c->req, IDLE_TIMEOUT_S);
	evhttp_add_header(out, "Attempt-Id", c->id);
	evhttp_add_header(out, "Response-Seal", seal);
	platform_vm_name_limit(c->vm, out);
	log_call(c, "served");
	http_send_text(c->req, 200, "text/plain", body);
	call_free(c);
	g_free(seal);
	g_free(padding);
	g_free(body);
}

static void on_answer(evutil_socket_t fd, short what, void *ctx)
{
	struct plain_call *c = ctx;

	(void)fd;
	(void)what;
	if (!c->ends_vm) {
		answer(c);
		return;
	}
	log_call(c, "ends its VM");
	platform_vm_crash_for(c->vm,
			      g_rand_int_range(c->vm->pool->random,
					       RETURN_MIN_MS, RETURN_MAX_MS));
}

void platform_plain_add(struct platform_vm *vm, struct evhttp_request *req)
{
	struct plain_call *c = g_new0(struct plain_call, 1);
	const char *id = http_header(req, "Attempt-Id");
	int ms = vm->pool->plain_ms;
	struct timeval after = { 0, ms * US_PER_MS };

	c->vm = vm;
	c->req = req;
	c->ends_vm = strstr(evhttp_request_get_uri(req), ENDING_PATH) != NULL;
	g_ptr_array_add(vm->plain_calls, c);
	g_strlcpy(c->id, id ? id : "-", sizeof(c->id));
	c->timer = evtimer_new(vm->pool->base, on_answer, c);
	log_call(c, "received");
	if (c->ends_vm)
		log_call(c, "will end its VM");
	log_call(c, "begun");
	c->watch = (struct http_disconnect_watch){ on_disconnect, c };
	http_watch_disconnect(req, &c->watch);
	event_add(c->timer, &after);
}
