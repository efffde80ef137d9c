#include <string.h>

#include <event2/bufferevent.h>

#include "common/address.h"
#include "common/log.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define SOCKET_TIMEOUT_MS 2000
#define CONNECT_LIMIT_MS 1000
#define RETRY_MS 200
#define PING_MS 500
/* A connection whose pings stay unanswered for this long is given up. */
#define SILENCE_LIMIT_PINGS 4
#define SEND_BUFFER_MAX (8u * 1024 * 1024)

static const struct log rpc_log = { "rpc" };

enum client_step {
	STEP_CLOSED,
	STEP_CONNECTING,
	STEP_HELLO,
	STEP_PROVE,
	STEP_READY,
};

struct pending {
	struct rpc_client *client;
	uint32_t xid;
	struct event *timer;
	rpc_done_fn done;
	void *ctx;
};

struct rpc_client {
	struct rpc_client_opts opts;
	char *address;
	struct bufferevent *bev;
	struct rpc_session session;
	enum client_step step;
	struct event *timer; /* retry when closed, ping when ready */
	GHashTable *pending; /* xid -> struct pending */
	uint32_t next_xid;
	int silent_pings;
	uint8_t client_nonce[RPC_NONCE_BYTES];
	uint8_t server_nonce[RPC_NONCE_BYTES];
};

static void arm(struct rpc_client *client, int ms)
{
	struct timeval after = { ms / 1000, (ms % 1000) * 1000 };

	event_add(client->timer, &after);
}

static void finish(struct pending *p, const void *result, size_t size)
{
	rpc_done_fn done = p->done;
	void *ctx = p->ctx;

	g_hash_table_steal(p->client->pending, GUINT_TO_POINTER(p->xid));
	event_free(p->timer);
	g_free(p);
	done(ctx, result, size);
}

static void fail_pending(struct rpc_client *client)
{
	GHashTableIter iter;
	gpointer value;

	for (;;) {
		g_hash_table_iter_init(&iter, client->pending);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			return;
		finish(value, NULL, 0);
	}
}

static void disconnect(struct rpc_client *client)
{
	bool was_ready = client->step == STEP_READY;

	client->step = STEP_CLOSED;
	if (client->bev)
		bufferevent_free(client->bev);
	client->bev = NULL;
	memset(&client->session, 0, sizeof(client->session));
	arm(client, RETRY_MS);
	fail_pending(client);
	if (was_ready && client->opts.ready_changed)
		client->opts.ready_changed(client->opts.ctx, false);
}

static uint32_t write_call(struct rpc_client *client, enum rpc_proc proc,
			   GBytes *args)
{
	uint32_t xid = ++client->next_xid;

	rpc_frame_write(bufferevent_get_output(client->bev), &client->session,
			RPC_SIDE_CLIENT, true, xid, proc, args);
	return xid;
}

static void send_hello(struct rpc_client *client)
{
	const struct rpc_identity *me = client->opts.identity;
	struct hello_request request = {
		.cluster = (char *)me->cluster,
		.format = RPC_FORMAT,
		.node = me->node,
		.incarnation = me->incarnation,
	};
	GBytes *bytes;

	rpc_random_bytes(client->client_nonce, RPC_NONCE_BYTES);
	memcpy(request.nonce, client->client_nonce, RPC_NONCE_BYTES);
	bytes = CODEC_ENCODE(hello_request, &request);
	write_call(client, RPC_HELLO, bytes);
	g_bytes_unref(bytes);
	client->step = STEP_HELLO;
}

static bool on_hello(struct rpc_client *client, const struct rpc_record *record)
{
	const struct rpc_identity *me = client->opts.identity;
	struct hello_reply reply = { 0 };
	struct handshake_proof proof;
	GBytes *bytes;

	if (!codec_decode((xdrproc_t)xdr_hello_reply, record->body,
			  record->body_size, &reply))
		return false;
	if (reply.node != client->opts.peer) {
		log_warn(&rpc_log, "%s answers as node %u, expected node %u",
			 client->address, reply.node, client->opts.peer);
		return false;
	}
	memcpy(client->server_nonce, reply.nonce, RPC_NONCE_BYTES);
	rpc_compute_proof(me->keys[0], "client", me, me->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, (uint8_t *)proof.proof);
	bytes = CODEC_ENCODE(handshake_proof, &proof);
	write_call(client, RPC_PROVE, bytes);
	g_bytes_unref(bytes);
	client->step = STEP_PROVE;
	return true;
}

static bool on_proof(struct rpc_client *client, const struct rpc_record *record)
{
	const struct rpc_identity *me = client->opts.identity;
	struct handshake_proof proof;
	uint8_t expected[RPC_PROOF_BYTES];

	if (!codec_decode((xdrproc_t)xdr_handshake_proof, record->body,
			  record->body_size, &proof))
		return false;
	rpc_compute_proof(me->keys[0], "server", me, me->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, expected);
	if (!rpc_equal_const_time((uint8_t *)proof.proof, expected,
				  sizeof(expected)))
		return false;
	rpc_compute_proof(me->keys[0], "session", me, me->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, client->session.key);
	client->session.proven = true;
	client->step = STEP_READY;
	client->silent_pings = 0;
	arm(client, PING_MS);
	if (client->opts.ready_changed)
		client->opts.ready_changed(client->opts.ctx, true);
	return true;
}

static bool handle(struct rpc_client *client, const struct rpc_record *record)
{
	struct pending *p;

	if (record->is_call)
		return false;
	if (client->step == STEP_HELLO)
		return on_hello(client, record);
	if (client->step == STEP_PROVE)
		return on_proof(client, record);
	client->silent_pings = 0;
	p = g_hash_table_lookup(client->pending, GUINT_TO_POINTER(record->xid));
	if (p)
		finish(p, record->body, record->body_size);
	return true;
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct rpc_client *client = ctx;
	struct rpc_record record;
	enum rpc_frame_status status;
	bool ok;

	while (client->bev == bev) {
		status = rpc_frame_read(bufferevent_get_input(bev),
					&client->session, RPC_SIDE_SERVER,
					&record);
		if (status == RPC_FRAME_MORE)
			return;
		ok = status == RPC_FRAME_RECORD && handle(client, &record);
		g_free(record.memory);
		if (!ok) {
			disconnect(client);
			return;
		}
	}
}

static void on_event(struct bufferevent *bev, short what, void *ctx)
{
	struct rpc_client *client = ctx;

	if (what & BEV_EVENT_CONNECTED) {
		address_tune(bufferevent_getfd(bev), SOCKET_TIMEOUT_MS);
		send_hello(client);
		return;
	}
	disconnect(client);
}

static void connect_now(struct rpc_client *client)
{
	struct address address;

	if (!address_parse(client->address, &address))
		return;
	client->bev = bufferevent_socket_new(client->opts.base, -1,
					     BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(client->bev, on_read, NULL, on_event, client);
	bufferevent_enable(client->bev, EV_READ | EV_WRITE);
	client->step = STEP_CONNECTING;
	arm(client, CONNECT_LIMIT_MS);
	if (bufferevent_socket_connect(client->bev,
				       (struct sockaddr *)&address.socket,
				       sizeof(address.socket)))
		disconnect(client);
}

static void ping(struct rpc_client *client)
{
	if (client->silent_pings++ >= SILENCE_LIMIT_PINGS) {
		log_info(&rpc_log, "node %u silent for %d ms, limit %d ms",
			 client->opts.peer, client->silent_pings * PING_MS,
			 SILENCE_LIMIT_PINGS * PING_MS);
		disconnect(client);
		return;
	}
	write_call(client, RPC_NULL, NULL);
	arm(client, PING_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	struct rpc_client *client = ctx;

	(void)fd;
	(void)what;
	if (client->step == STEP_READY)
		ping(client);
	else if (client->step == STEP_CLOSED)
		connect_now(client);
	else
		disconnect(client);
}

struct rpc_client *rpc_client_create(const struct rpc_client_opts *opts)
{
	struct rpc_client *client = g_new0(struct rpc_client, 1);

	client->opts = *opts;
	client->address = g_strdup(opts->address);
	client->pending = g_hash_table_new(NULL, NULL);
	client->timer = evtimer_new(opts->base, on_timer, client);
	arm(client, 0);
	return client;
}

void rpc_client_destroy(struct rpc_client *client)
{
	if (!client)
		return;
	client->opts.ready_changed = NULL;
	disconnect(client);
	event_free(client->timer);
	g_hash_table_unref(client->pending);
	g_free(client->address);
	g_free(client);
}

bool rpc_client_is_ready(const struct rpc_client *client)
{
	return client->step == STEP_READY;
}

static void on_call_timeout(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	finish(ctx, NULL, 0);
}

bool rpc_client_call(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args, int timeout_ms, rpc_done_fn done, void *ctx)
{
	struct timeval after = { timeout_ms / 1000,
				 (timeout_ms % 1000) * 1000 };
	struct pending *p;

	if (client->step != STEP_READY)
		return false;
	p = g_new0(struct pending, 1);
	p->client = client;
	p->done = done;
	p->ctx = ctx;
	p->timer = evtimer_new(client->opts.base, on_call_timeout, p);
	event_add(p->timer, &after);
	p->xid = write_call(client, proc, args);
	g_hash_table_insert(client->pending, GUINT_TO_POINTER(p->xid), p);
	return true;
}

bool rpc_client_send(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args)
{
	struct evbuffer *out;

	if (client->step != STEP_READY)
		return false;
	out = bufferevent_get_output(client->bev);
	if (evbuffer_get_length(out) > SEND_BUFFER_MAX)
		return false;
	write_call(client, proc, args);
	return true;
}
