#include <errno.h>
#include <string.h>

#include <event2/bufferevent.h>

#include "common/address.h"
#include "common/log.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define SOCKET_TIMEOUT_MS 2000
#define CONNECT_TIMEOUT_MS 1000
#define RECONNECT_DELAY_MS 200
#define PING_INTERVAL_MS 500
/* The connection is closed after this many unanswered pings. */
#define UNANSWERED_PINGS_MAX 4
#define SEND_BUFFER_MAX (8u * 1024 * 1024)

static const struct log rpc_log = { "rpc" };

enum client_state {
	STATE_CLOSED,
	STATE_CONNECTING,
	STATE_HELLO_SENT,
	STATE_PROOF_SENT,
	STATE_READY,
};

struct pending_call {
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
	enum client_state state;
	bool peer_closed;    /* see rpc_client_peer_closed() */
	struct event *timer; /* by state: reconnect, timeout or ping */
	GHashTable *pending; /* xid -> struct pending_call */
	uint32_t next_xid;
	int unanswered_pings;
	uint8_t client_nonce[RPC_NONCE_BYTES];
	uint8_t server_nonce[RPC_NONCE_BYTES];
};

static void set_timer(struct rpc_client *client, int ms)
{
	struct timeval after = { ms / 1000, (ms % 1000) * 1000 };

	event_add(client->timer, &after);
}

static void complete_call(struct pending_call *p, const void *result,
			  size_t size)
{
	rpc_done_fn done = p->done;
	void *ctx = p->ctx;

	g_hash_table_steal(p->client->pending, GUINT_TO_POINTER(p->xid));
	event_free(p->timer);
	g_free(p);
	done(ctx, result, size);
}

static void fail_pending_calls(struct rpc_client *client)
{
	GHashTableIter iter;
	gpointer value;

	for (;;) {
		g_hash_table_iter_init(&iter, client->pending);
		if (!g_hash_table_iter_next(&iter, NULL, &value))
			return;
		complete_call(value, NULL, 0);
	}
}

static void disconnect(struct rpc_client *client)
{
	bool was_ready = client->state == STATE_READY;

	client->state = STATE_CLOSED;
	if (client->bev)
		bufferevent_free(client->bev);
	client->bev = NULL;
	memset(&client->session, 0, sizeof(client->session));
	set_timer(client, RECONNECT_DELAY_MS);
	fail_pending_calls(client);
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
	const struct rpc_identity *self = client->opts.identity;
	struct hello_request request = {
		.cluster = (char *)self->cluster,
		.format = RPC_FORMAT,
		.node = self->node,
		.incarnation = self->incarnation,
	};
	GBytes *bytes;

	rpc_random_bytes(client->client_nonce, RPC_NONCE_BYTES);
	memcpy(request.nonce, client->client_nonce, RPC_NONCE_BYTES);
	bytes = CODEC_ENCODE(hello_request, &request);
	write_call(client, RPC_HELLO, bytes);
	g_bytes_unref(bytes);
	client->state = STATE_HELLO_SENT;
}

static bool on_hello_reply(struct rpc_client *client,
			   const struct rpc_record *record)
{
	const struct rpc_identity *self = client->opts.identity;
	struct hello_reply reply = { 0 };
	struct handshake_proof proof;
	GBytes *bytes;

	if (!codec_decode((xdrproc_t)xdr_hello_reply, record->body,
			  record->body_size, &reply))
		return false;
	if (reply.node != client->opts.peer) {
		log_warn(&rpc_log,
			 "%s identified as node %u, expected node %u; closed",
			 client->address, reply.node, client->opts.peer);
		return false;
	}
	memcpy(client->server_nonce, reply.nonce, RPC_NONCE_BYTES);
	rpc_compute_proof(self->keys[0], "client", self, self->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, (uint8_t *)proof.proof);
	bytes = CODEC_ENCODE(handshake_proof, &proof);
	write_call(client, RPC_PROVE, bytes);
	g_bytes_unref(bytes);
	client->state = STATE_PROOF_SENT;
	return true;
}

static bool on_proof_reply(struct rpc_client *client,
			   const struct rpc_record *record)
{
	const struct rpc_identity *self = client->opts.identity;
	struct handshake_proof proof;
	uint8_t expected[RPC_PROOF_BYTES];

	if (!codec_decode((xdrproc_t)xdr_handshake_proof, record->body,
			  record->body_size, &proof))
		return false;
	rpc_compute_proof(self->keys[0], "server", self, self->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, expected);
	if (!rpc_equal_const_time((uint8_t *)proof.proof, expected,
				  sizeof(expected)))
		return false;
	rpc_compute_proof(self->keys[0], "session", self, self->node,
			  client->opts.peer, client->client_nonce,
			  client->server_nonce, client->session.key);
	client->session.authenticated = true;
	client->state = STATE_READY;
	client->peer_closed = false;
	client->unanswered_pings = 0;
	set_timer(client, PING_INTERVAL_MS);
	if (client->opts.ready_changed)
		client->opts.ready_changed(client->opts.ctx, true);
	return true;
}

static bool handle_reply(struct rpc_client *client,
			 const struct rpc_record *record)
{
	struct pending_call *p;

	if (record->is_call)
		return false;
	if (client->state == STATE_HELLO_SENT)
		return on_hello_reply(client, record);
	if (client->state == STATE_PROOF_SENT)
		return on_proof_reply(client, record);
	client->unanswered_pings = 0;
	p = g_hash_table_lookup(client->pending, GUINT_TO_POINTER(record->xid));
	if (p)
		complete_call(p, record->body, record->body_size);
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
		if (status == RPC_FRAME_INCOMPLETE)
			return;
		ok = status == RPC_FRAME_RECORD &&
		     handle_reply(client, &record);
		g_free(record.memory);
		if (!ok) {
			disconnect(client);
			return;
		}
	}
}

/* Whether the peer's end of the connection said that it is over. */
static bool closed_by_peer(short events, int error)
{
	return events & BEV_EVENT_EOF ||
	       (events & BEV_EVENT_ERROR &&
		(error == ECONNREFUSED || error == ECONNRESET ||
		 error == EPIPE));
}

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	struct rpc_client *client = ctx;
	int error = EVUTIL_SOCKET_ERROR();

	if (events & BEV_EVENT_CONNECTED) {
		address_set_tcp_options(bufferevent_getfd(bev),
					SOCKET_TIMEOUT_MS);
		send_hello(client);
		return;
	}
	if (closed_by_peer(events, error))
		client->peer_closed = true;
	disconnect(client);
}

static void start_connect(struct rpc_client *client)
{
	struct address address;

	if (!address_parse(client->address, &address))
		return;
	client->bev = bufferevent_socket_new(client->opts.base, -1,
					     BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(client->bev, on_read, NULL, on_event, client);
	bufferevent_enable(client->bev, EV_READ | EV_WRITE);
	client->state = STATE_CONNECTING;
	set_timer(client, CONNECT_TIMEOUT_MS);
	if (bufferevent_socket_connect(client->bev,
				       (struct sockaddr *)&address.socket,
				       sizeof(address.socket)))
		disconnect(client);
}

static void send_ping(struct rpc_client *client)
{
	if (client->unanswered_pings++ >= UNANSWERED_PINGS_MAX) {
		log_info(&rpc_log,
			 "node %u answered no ping for %d ms, limit %d ms; "
			 "connection closed",
			 client->opts.peer,
			 client->unanswered_pings * PING_INTERVAL_MS,
			 UNANSWERED_PINGS_MAX * PING_INTERVAL_MS);
		disconnect(client);
		return;
	}
	write_call(client, RPC_NULL, NULL);
	set_timer(client, PING_INTERVAL_MS);
}

static void on_timer(evutil_socket_t fd, short events, void *ctx)
{
	struct rpc_client *client = ctx;

	(void)fd;
	(void)events;
	if (client->state == STATE_READY)
		send_ping(client);
	else if (client->state == STATE_CLOSED)
		start_connect(client);
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
	set_timer(client, 0);
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
	return client->state == STATE_READY;
}

bool rpc_client_peer_closed(const struct rpc_client *client)
{
	return client->peer_closed;
}

static void on_call_timeout(evutil_socket_t fd, short events, void *ctx)
{
	(void)fd;
	(void)events;
	complete_call(ctx, NULL, 0);
}

bool rpc_client_call(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args, int timeout_ms, rpc_done_fn done, void *ctx)
{
	struct timeval after = { timeout_ms / 1000,
				 (timeout_ms % 1000) * 1000 };
	struct pending_call *p;

	if (client->state != STATE_READY)
		return false;
	p = g_new0(struct pending_call, 1);
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

	if (client->state != STATE_READY)
		return false;
	out = bufferevent_get_output(client->bev);
	if (evbuffer_get_length(out) > SEND_BUFFER_MAX)
		return false;
	write_call(client, proc, args);
	return true;
}

bool rpc_client_unsent(const struct rpc_client *client)
{
	return client->bev &&
	       evbuffer_get_length(bufferevent_get_output(client->bev)) > 0;
}
