/* The RPC server's limits on clients that have not authenticated. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/address.h"
#include "common/clock.h"
#include "wire/rpc.h"

#define HANDSHAKE_MS 300
#define DRIP_MS 50
#define WATCHDOG_S 10
/* Record mark of a fragment of 1,000 bytes, the last of its record. */
#define RECORD_MARK "\x80\x00\x03\xe8"
#define RECORD_MARK_BYTES 4

struct slow_client {
	struct event_base *base;
	struct bufferevent *bev;
	struct event *drip;
	bool closed;
};

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	struct slow_client *client = ctx;

	(void)bev;
	if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	client->closed = true;
	event_base_loopbreak(client->base);
}

static void send_byte(evutil_socket_t fd, short what, void *ctx)
{
	struct slow_client *client = ctx;

	(void)fd;
	(void)what;
	bufferevent_write(client->bev, "", 1);
}

static void connect_client(struct slow_client *client, int port)
{
	struct timeval interval = { 0, DRIP_MS * 1000 };
	char *text = g_strdup_printf("127.0.0.1:%d", port);
	struct address address;

	assert_true(address_parse(text, &address));
	client->bev = bufferevent_socket_new(client->base, -1,
					     BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(client->bev, NULL, NULL, on_event, client);
	bufferevent_enable(client->bev, EV_READ | EV_WRITE);
	assert_int_equal(
		bufferevent_socket_connect(client->bev,
					   (struct sockaddr *)&address.socket,
					   sizeof(address.socket)),
		0);
	bufferevent_write(client->bev, RECORD_MARK, RECORD_MARK_BYTES);
	client->drip = event_new(client->base, -1, EV_PERSIST, send_byte,
				 client);
	event_add(client->drip, &interval);
	g_free(text);
}

static void test_slow_handshake_does_not_hold_a_connection(void **state)
{
	struct timeval watchdog = { WATCHDOG_S, 0 };
	struct rpc_identity identity = { .cluster = "slow", .node = 1 };
	struct slow_client client = { .base = event_base_new() };
	struct rpc_server_opts opts = {
		.base = client.base,
		.identity = &identity,
		.address = "127.0.0.1:0",
		.max_connections = 8,
		.handshake_ms = HANDSHAKE_MS,
	};
	struct rpc_server *server = rpc_server_create(&opts);

	(void)state;
	assert_non_null(server);
	connect_client(&client, rpc_server_port(server));
	event_base_loopexit(client.base, &watchdog);
	event_base_dispatch(client.base);
	assert_true(client.closed);
	event_free(client.drip);
	bufferevent_free(client.bev);
	rpc_server_destroy(server);
	event_base_free(client.base);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_slow_handshake_does_not_hold_a_connection),
	};

	return cmocka_run_group_tests_name("rpc", tests, NULL, NULL);
}
