/* Requests to VMs of a plain service. */
#include <stdlib.h>

#include <event2/buffer.h>

#include "common/http.h"
#include "test/fakes/announcer.h"
#include "test/fakes/platform_vm.h"

#define IDLE_TIMEOUT_S 15
#define US_PER_MS 1000
#define PADDING_BYTES 800

struct plain_call {
	struct platform_vm *vm;
	struct evhttp_request *req;
	struct http_disconnect_watch watch;
	struct event *timer;
	char id[PLATFORM_ID_SIZE];
};

static void log_call(const struct plain_call *c, const char *event)
{
	platform_log(c->vm, event, json_pack("{s:s}", "request", c->id));
}

static void call_free(struct plain_call *c)
{
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

static void on_answer(evutil_socket_t fd, short what, void *ctx)
{
	struct plain_call *c = ctx;
	struct evkeyvalq *out = evhttp_request_get_output_headers(c->req);
	char *seal = g_strdup_printf("seal-%s", c->id);
	char *padding = g_strnfill(PADDING_BYTES, 'y');
	char *body = g_strdup_printf("%s %s", c->id, padding);

	(void)fd;
	(void)what;
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

void platform_plain_add(struct platform_vm *vm, struct evhttp_request *req)
{
	struct plain_call *c = g_new0(struct plain_call, 1);
	const char *id = http_header(req, "Attempt-Id");
	int ms = vm->pool->plain_ms;
	struct timeval after = { 0, ms * US_PER_MS };

	c->vm = vm;
	c->req = req;
	g_strlcpy(c->id, id ? id : "-", sizeof(c->id));
	c->timer = evtimer_new(vm->pool->base, on_answer, c);
	log_call(c, "received");
	log_call(c, "begun");
	c->watch = (struct http_disconnect_watch){ on_disconnect, c };
	http_watch_disconnect(req, &c->watch);
	event_add(c->timer, &after);
}
