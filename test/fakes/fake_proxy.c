/*
 * A TCP proxy that injects faults. Links are made and changed over its
 * control port:
 *   POST /link?target=IP:PORT            -> {"address": ..., "link": N}
 *   POST /set?link=N&what=WHAT           WHAT: heal, cut, cut-up, cut-down,
 *                                        reset, refuse, delay:MS,
 *                                        throttle:BYTES_PER_S
 * cut-up stops bytes from the client, cut-down bytes from the target, cut both.
 * A cut closes no connection: both ends keep theirs and receive nothing. Bytes
 * sent meanwhile are delivered after the link heals, as TCP does.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "common/address.h"
#include "common/http.h"
#include "test/fakes/announcer.h"

#define BACKLOG 128

struct proxy {
	struct event_base *base;
	const char *host;
	GPtrArray *links;
};

struct link {
	struct proxy *proxy;
	int number;
	struct address target;
	struct evconnlistener *listener;
	bool cut_up, cut_down, refuse;
	int delay_ms;
	int throttle; /* bytes per second, 0 for no limit */
	GPtrArray *pairs;
};

/** The two connections that a link joins. */
struct pair {
	struct link *link;
	struct bufferevent *client_end; /* connection from the client */
	struct bufferevent *target_end; /* connection to the target */
};

/** Bytes held back for the link's delay. */
struct delayed_bytes {
	struct link *link;
	struct bufferevent *to;
	struct pair *pair;
	struct evbuffer *bytes;
};

static void pair_close(struct pair *pair, bool abortive)
{
	struct linger now = { 1, 0 };

	if (abortive) {
		setsockopt(bufferevent_getfd(pair->client_end), SOL_SOCKET,
			   SO_LINGER, &now, sizeof(now));
		setsockopt(bufferevent_getfd(pair->target_end), SOL_SOCKET,
			   SO_LINGER, &now, sizeof(now));
	}
	bufferevent_free(pair->client_end);
	bufferevent_free(pair->target_end);
	g_ptr_array_remove(pair->link->pairs, pair);
	g_free(pair);
}

static bool pair_exists(const struct link *link, const struct pair *pair)
{
	return g_ptr_array_find(link->pairs, pair, NULL);
}

static void on_delay(evutil_socket_t fd, short what, void *arg)
{
	struct delayed_bytes *p = arg;

	(void)fd;
	(void)what;
	if (pair_exists(p->link, p->pair))
		bufferevent_write_buffer(p->to, p->bytes);
	evbuffer_free(p->bytes);
	g_free(p);
}

static void forward(struct pair *pair, struct bufferevent *from,
		    struct bufferevent *to)
{
	struct link *link = pair->link;
	struct timeval delay = { link->delay_ms / 1000,
				 (link->delay_ms % 1000) * 1000 };
	struct delayed_bytes *p;

	if (!link->delay_ms) {
		bufferevent_write_buffer(to, bufferevent_get_input(from));
		return;
	}
	p = g_new0(struct delayed_bytes, 1);
	p->link = link;
	p->pair = pair;
	p->to = to;
	p->bytes = evbuffer_new();
	evbuffer_add_buffer(p->bytes, bufferevent_get_input(from));
	event_base_once(link->proxy->base, -1, EV_TIMEOUT, on_delay, p, &delay);
}

static void on_client_read(struct bufferevent *bev, void *ctx)
{
	struct pair *pair = ctx;

	if (!pair->link->cut_up)
		forward(pair, bev, pair->target_end);
}

static void on_target_read(struct bufferevent *bev, void *ctx)
{
	struct pair *pair = ctx;

	if (!pair->link->cut_down)
		forward(pair, bev, pair->client_end);
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct pair *pair = ctx;
	struct link *link = pair->link;

	if (what & BEV_EVENT_CONNECTED) {
		address_set_tcp_options(bufferevent_getfd(bev), 0);
		return;
	}
	/* The end of a connection does not pass a cut link. */
	if (link->cut_up && link->cut_down)
		return;
	if (bev == pair->target_end && (what & BEV_EVENT_EOF) &&
	    !link->delay_ms) {
		bufferevent_flush(pair->client_end, EV_WRITE, BEV_FLUSH);
	}
	pair_close(pair, (what & BEV_EVENT_ERROR) != 0);
}

static void update_reading(struct pair *pair)
{
	struct link *link = pair->link;

	if (link->cut_up)
		bufferevent_disable(pair->client_end, EV_READ);
	else
		bufferevent_enable(pair->client_end, EV_READ);
	if (link->cut_down)
		bufferevent_disable(pair->target_end, EV_READ);
	else
		bufferevent_enable(pair->target_end, EV_READ);
}

static void apply_throttle(struct pair *pair)
{
	struct timeval tick = { 0, 100000 };
	size_t tick_bytes = (size_t)pair->link->throttle / 10 + 1;
	struct ev_token_bucket_cfg *cfg;

	if (!pair->link->throttle) {
		bufferevent_set_rate_limit(pair->client_end, NULL);
		bufferevent_set_rate_limit(pair->target_end, NULL);
		return;
	}
	cfg = ev_token_bucket_cfg_new(tick_bytes, tick_bytes, tick_bytes,
				      tick_bytes, &tick);
	bufferevent_set_rate_limit(pair->client_end, cfg);
	bufferevent_set_rate_limit(pair->target_end, cfg);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int size, void *ctx)
{
	struct link *link = ctx;
	struct pair *pair;

	(void)listener;
	(void)from;
	(void)size;
	if (link->refuse) {
		evutil_closesocket(fd);
		return;
	}
	address_set_tcp_options(fd, 0);
	pair = g_new0(struct pair, 1);
	pair->link = link;
	pair->client_end = bufferevent_socket_new(link->proxy->base, fd,
						  BEV_OPT_CLOSE_ON_FREE);
	pair->target_end = bufferevent_socket_new(link->proxy->base, -1,
						  BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(link->pairs, pair);
	bufferevent_setcb(pair->client_end, on_client_read, NULL, on_event,
			  pair);
	bufferevent_setcb(pair->target_end, on_target_read, NULL, on_event,
			  pair);
	apply_throttle(pair);
	if (bufferevent_socket_connect(pair->target_end,
				       (struct sockaddr *)&link->target.socket,
				       sizeof(link->target.socket))) {
		pair_close(pair, true);
		return;
	}
	update_reading(pair);
}

static void make_link(struct proxy *proxy, struct evhttp_request *req)
{
	char *target = http_query(req, "target");
	struct link *link = g_new0(struct link, 1);
	struct address listen_address;
	char text[64];
	int fd;

	g_snprintf(text, sizeof(text), "%s:0", proxy->host);
	if (!target || !address_parse(target, &link->target) ||
	    !address_parse(text, &listen_address) ||
	    (fd = address_listen(&listen_address, BACKLOG)) < 0) {
		http_send_json(req, 400, json_pack("{s:s}", "error", "target"));
		g_free(target);
		g_free(link);
		return;
	}
	link->proxy = proxy;
	link->number = (int)proxy->links->len;
	link->pairs = g_ptr_array_new();
	link->listener = evconnlistener_new(proxy->base, on_accept, link,
					    LEV_OPT_CLOSE_ON_FREE, 0, fd);
	g_ptr_array_add(proxy->links, link);
	g_snprintf(text, sizeof(text), "%s:%d", proxy->host,
		   address_local_port(fd));
	http_send_json(req, 200,
		       json_pack("{s:s,s:i}", "address", text, "link",
				 link->number));
	g_free(target);
}

static void reset_pairs(struct link *link)
{
	for (guint i = link->pairs->len; i > 0; i--)
		pair_close(link->pairs->pdata[i - 1], true);
}

static void change_link(struct link *link, const char *what)
{
	link->refuse = !strcmp(what, "refuse");
	if (!strcmp(what, "heal")) {
		link->cut_up = link->cut_down = false;
		link->delay_ms = link->throttle = 0;
	} else if (!strcmp(what, "cut")) {
		link->cut_up = link->cut_down = true;
	} else if (!strcmp(what, "cut-up")) {
		link->cut_up = true;
	} else if (!strcmp(what, "cut-down")) {
		link->cut_down = true;
	} else if (!strcmp(what, "reset") || link->refuse) {
		reset_pairs(link);
	} else if (g_str_has_prefix(what, "delay:")) {
		link->delay_ms = atoi(what + strlen("delay:"));
	} else if (g_str_has_prefix(what, "throttle:")) {
		link->throttle = atoi(what + strlen("throttle:"));
	}
	for (guint i = 0; i < link->pairs->len; i++) {
		struct pair *pair = link->pairs->pdata[i];

		update_reading(pair);
		apply_throttle(pair);
		/* Forwards bytes that were buffered during a cut. */
		if (!link->cut_up)
			on_client_read(pair->client_end, pair);
		if (!link->cut_down)
			on_target_read(pair->target_end, pair);
	}
}

static void set_link(struct proxy *proxy, struct evhttp_request *req)
{
	char *number = http_query(req, "link");
	char *what = http_query(req, "what");
	guint at = number ? (guint)atoi(number) : G_MAXUINT;

	if (what && at < proxy->links->len) {
		change_link(proxy->links->pdata[at], what);
		http_send_json(req, 200, json_pack("{s:b}", "done", 1));
	} else {
		http_send_json(req, 404, json_pack("{s:b}", "done", 0));
	}
	g_free(number);
	g_free(what);
}

static void handle(struct evhttp_request *req, void *ctx)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (!strcmp(path, "/link"))
		make_link(ctx, req);
	else
		set_link(ctx, req);
}

int main(int argc, char **argv)
{
	struct proxy proxy = { .links = g_ptr_array_new() };
	char control[64];

	if (argc != 3) {
		fprintf(stderr, "usage: fake_proxy IP CONTROL-FILE\n");
		return 1;
	}
	signal(SIGPIPE, SIG_IGN);
	proxy.host = argv[1];
	proxy.base = event_base_new();
	fake_listen(proxy.base, proxy.host, handle, &proxy, control,
		    sizeof(control));
	fake_write_address(argv[2], control);
	event_base_dispatch(proxy.base);
	return 0;
}
