#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/socket.h>

#include "common/address.h"
#include "control/orders.h"

#define RESPONSE_MAX 8192

const char *order_kind_name(enum order_kind kind)
{
	static const char *const names[] = {
		[ORDER_FORM] = "form",	     [ORDER_OPEN] = "open",
		[ORDER_RELEASE] = "release", [ORDER_LOAD] = "load",
		[ORDER_WARM] = "warm",
	};

	return names[kind];
}

struct pending_order {
	struct order order;
	char *address;
	char *text; /* HTTP request: head and body */
	struct bufferevent *bev;
	struct event *timer;
	bool sent;
};

static void finish_order(struct pending_order *s, enum order_result result)
{
	void (*done)(void *ctx, enum order_result result) = s->order.done;
	void *ctx = s->order.ctx;
	int fd = bufferevent_getfd(s->bev);
	struct linger abort_close = { .l_onoff = 1, .l_linger = 0 };

	if (fd >= 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_close,
				 sizeof(abort_close));
	bufferevent_free(s->bev);
	event_free(s->timer);
	g_free(s->address);
	g_free(s->text);
	g_free(s);
	done(ctx, result);
}

static char *request_text(const struct order *order)
{
	const struct order_format *format = order->format;
	char *body = format->body(order->intent);
	char *headers = format->headers ? format->headers(order->intent)
					: g_strdup("");
	char *text = g_strdup_printf("POST /v1/order HTTP/1.1\r\n"
				     "Host: %s\r\n"
				     "Content-Type: application/json\r\n"
				     "Connection: close\r\n%s"
				     "Content-Length: %zu\r\n\r\n%s",
				     order->address, headers, strlen(body),
				     body);

	g_free(headers);
	free(body);
	return text;
}

static void write_order(struct pending_order *s)
{
	size_t size = strlen(s->text);

	address_set_tcp_options(bufferevent_getfd(s->bev),
				ORDER_DELIVERY_LIMIT_MS);
	if (!s->order.may_send(s->order.ctx)) {
		finish_order(s, ORDER_WITHHELD);
		return;
	}
	s->sent = true;
	/*
	 * Written directly rather than through the event loop, so that no delay
	 * of the loop falls between the lease check and the copy to the kernel.
	 */
	if (send(bufferevent_getfd(s->bev), s->text, size, MSG_NOSIGNAL) !=
	    (ssize_t)size)
		finish_order(s, ORDER_LOST);
}

static void on_response(struct bufferevent *bev, void *ctx)
{
	struct pending_order *s = ctx;
	size_t size;
	char *line = evbuffer_readln(bufferevent_get_input(bev), &size,
				     EVBUFFER_EOL_CRLF);
	int status = 0;

	if (!line)
		return;
	if (sscanf(line, "HTTP/1.%*d %d", &status) != 1)
		status = 0;
	free(line);
	finish_order(s, status ? s->order.format->classify_status(status)
			       : ORDER_LOST);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct pending_order *s = ctx;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		write_order(s);
	else
		finish_order(s, s->sent ? ORDER_LOST : ORDER_WITHHELD);
}

static void on_timeout(evutil_socket_t fd, short what, void *ctx)
{
	struct pending_order *s = ctx;

	(void)fd;
	(void)what;
	finish_order(s, s->sent ? ORDER_LOST : ORDER_WITHHELD);
}

void order_send(struct event_base *base, const struct order *order)
{
	struct pending_order *s = g_new0(struct pending_order, 1);
	struct timeval limit = { order->timeout_ms / 1000,
				 (order->timeout_ms % 1000) * 1000 };
	struct address address;

	s->order = *order;
	s->address = g_strdup(order->address);
	s->text = request_text(order);
	s->bev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	s->timer = evtimer_new(base, on_timeout, s);
	event_add(s->timer, &limit);
	bufferevent_setcb(s->bev, on_response, NULL, on_event, s);
	bufferevent_setwatermark(s->bev, EV_READ, 0, RESPONSE_MAX);
	bufferevent_enable(s->bev, EV_READ);
	if (!address_parse(order->address, &address) ||
	    bufferevent_socket_connect(s->bev,
				       (struct sockaddr *)&address.socket,
				       sizeof(address.socket)))
		finish_order(s, ORDER_WITHHELD);
}
