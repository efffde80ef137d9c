#include <string.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "common/accept_rest.h"
#include "common/address.h"
#include "common/log.h"
#include "wire/codec.h"
#include "wire/rpc_frame.h"

#define LISTEN_BACKLOG 128
#define HANDSHAKE_MS 5000
#define IDLE_TIMEOUT_S 30
#define SOCKET_TIMEOUT_MS 2000
/* Bytes of unsent replies above which the connection is closed. */
#define REPLY_BUFFER_MAX (96u * 1024 * 1024)

static const struct log rpc_log = { "rpc" };

struct server_conn {
	struct rpc_server *server;
	struct bufferevent *bev;
	struct rpc_session session;
	uint64_t number; /* in the order of their accepts */
	uint32_t peer;
	uint8_t client_nonce[RPC_NONCE_BYTES];
	uint8_t server_nonce[RPC_NONCE_BYTES];
	bool hello_received;
	struct event *handshake_timer; /* NULL once authenticated */
	GPtrArray *calls;	       /* of struct rpc_call without a reply */
};

struct rpc_call {
	struct server_conn *conn; /* NULL once the connection is closed */
	uint32_t xid;
};

struct rpc_server {
	struct rpc_server_opts opts;
	struct evconnlistener *listener;
	struct accept_rest rest;
	GPtrArray *conns;
	uint64_t accepted;
};

static void stop_handshake_timer(struct server_conn *conn)
{
	if (conn->handshake_timer)
		event_free(conn->handshake_timer);
	conn->handshake_timer = NULL;
}

static void conn_close(struct server_conn *conn)
{
	stop_handshake_timer(conn);
	for (guint i = 0; i < conn->calls->len; i++)
		((struct rpc_call *)conn->calls->pdata[i])->conn = NULL;
	g_ptr_array_unref(conn->calls);
	bufferevent_free(conn->bev);
	g_ptr_array_remove_fast(conn->server->conns, conn);
	g_free(conn);
}

static void write_reply(struct server_conn *conn, uint32_t xid, GBytes *result)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	rpc_frame_write(out, &conn->session, RPC_SIDE_SERVER, false, xid, 0,
			result);
}

static bool handle_hello(struct server_conn *conn,
			 const struct rpc_record *record)
{
	const struct rpc_identity *self = conn->server->opts.identity;
	struct hello_request request = { 0 };
	struct hello_reply reply = { .code = 0, .node = self->node };
	GBytes *bytes;
	bool compatible;

	if (!codec_decode((xdrproc_t)xdr_hello_request, record->body,
			  record->body_size, &request))
		return false;
	compatible = !strcmp(request.cluster, self->cluster) &&
		     request.format == RPC_FORMAT && !conn->hello_received;
	conn->peer = request.node;
	memcpy(conn->client_nonce, request.nonce, RPC_NONCE_BYTES);
	CODEC_FREE(hello_request, &request);
	if (!compatible)
		return false;
	conn->hello_received = true;
	rpc_random_bytes(conn->server_nonce, RPC_NONCE_BYTES);
	memcpy(reply.nonce, conn->server_nonce, RPC_NONCE_BYTES);
	bytes = CODEC_ENCODE(hello_reply, &reply);
	write_reply(conn, record->xid, bytes);
	g_bytes_unref(bytes);
	return true;
}

static bool proof_matches_key(struct server_conn *conn, GBytes *key,
			      const uint8_t *proof)
{
	const struct rpc_identity *self = conn->server->opts.identity;
	uint8_t expected[RPC_PROOF_BYTES];

	rpc_compute_proof(key, "client", self, conn->peer, self->node,
			  conn->client_nonce, conn->server_nonce, expected);
	return rpc_equal_const_time(proof, expected, sizeof(expected));
}

static void complete_handshake(struct server_conn *conn, GBytes *key,
			       uint32_t xid)
{
	const struct rpc_identity *self = conn->server->opts.identity;
	struct handshake_proof proof;
	GBytes *bytes;

	rpc_compute_proof(key, "server", self, conn->peer, self->node,
			  conn->client_nonce, conn->server_nonce,
			  (uint8_t *)proof.proof);
	bytes = CODEC_ENCODE(handshake_proof, &proof);
	write_reply(conn, xid, bytes);
	g_bytes_unref(bytes);
	rpc_compute_proof(key, "session", self, conn->peer, self->node,
			  conn->client_nonce, conn->server_nonce,
			  conn->session.key);
	conn->session.authenticated = true;
	stop_handshake_timer(conn);
	bufferevent_set_timeouts(
		conn->bev, &(struct timeval){ .tv_sec = IDLE_TIMEOUT_S }, NULL);
}

static bool handle_prove(struct server_conn *conn,
			 const struct rpc_record *record)
{
	const struct rpc_identity *self = conn->server->opts.identity;
	struct handshake_proof proof;

	if (!conn->hello_received ||
	    !codec_decode((xdrproc_t)xdr_handshake_proof, record->body,
			  record->body_size, &proof))
		return false;
	for (int i = 0; i < RPC_KEYS_MAX; i++) {
		if (!self->keys[i] ||
		    !proof_matches_key(conn, self->keys[i],
				       (uint8_t *)proof.proof))
			continue;
		complete_handshake(conn, self->keys[i], record->xid);
		return true;
	}
	log_warn(&rpc_log,
		 "node %u failed to prove the cluster key; "
		 "connection closed",
		 conn->peer);
	return false;
}

static void dispatch_call(struct server_conn *conn,
			  const struct rpc_record *record)
{
	const struct rpc_server_opts *opts = &conn->server->opts;
	struct rpc_call *call = g_new0(struct rpc_call, 1);

	call->conn = conn;
	call->xid = record->xid;
	g_ptr_array_add(conn->calls, call);
	opts->handle_call(opts->ctx, call, conn->peer,
			  (enum rpc_proc)record->proc, record->body,
			  record->body_size);
}

static bool handle_record(struct server_conn *conn,
			  const struct rpc_record *record)
{
	if (!record->is_call)
		return false;
	if (record->proc == RPC_HELLO && !conn->session.authenticated)
		return handle_hello(conn, record);
	if (record->proc == RPC_PROVE && !conn->session.authenticated)
		return handle_prove(conn, record);
	if (!conn->session.authenticated)
		return false;
	if (record->proc == RPC_NULL)
		write_reply(conn, record->xid, NULL);
	else
		dispatch_call(conn, record);
	return true;
}

static void on_read(struct bufferevent *bev, void *ctx)
{
	struct server_conn *conn = ctx;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct rpc_record record;
	enum rpc_frame_status status;
	bool ok;

	for (;;) {
		status = rpc_frame_read(in, &conn->session, RPC_SIDE_CLIENT,
					&record);
		if (status == RPC_FRAME_INCOMPLETE)
			break;
		ok = status == RPC_FRAME_RECORD && handle_record(conn, &record);
		g_free(record.memory);
		if (!ok) {
			log_debug(&rpc_log,
				  "invalid record from node %u; "
				  "connection closed",
				  conn->peer);
			conn_close(conn);
			return;
		}
	}
	if (evbuffer_get_length(bufferevent_get_output(bev)) > REPLY_BUFFER_MAX)
		conn_close(conn);
}

static void on_event(struct bufferevent *bev, short events, void *ctx)
{
	(void)bev;
	(void)events;
	conn_close(ctx);
}

static void on_handshake_timeout(evutil_socket_t fd, short what, void *ctx)
{
	struct server_conn *conn = ctx;

	(void)fd;
	(void)what;
	log_warn(&rpc_log,
		 "handshake not complete in time; connection closed "
		 "node=%u limit_ms=%d",
		 conn->peer, conn->server->opts.handshake_ms);
	conn_close(conn);
}

static void start_handshake_timer(struct server_conn *conn)
{
	int limit_ms = conn->server->opts.handshake_ms;
	struct timeval limit = { limit_ms / 1000, limit_ms % 1000 * 1000 };

	conn->handshake_timer = evtimer_new(conn->server->opts.base,
					    on_handshake_timeout, conn);
	event_add(conn->handshake_timer, &limit);
}

/* Returns the connection that has been waiting for its proof longest, or NULL.
 */
static struct server_conn *oldest_unproved(const struct rpc_server *server)
{
	struct server_conn *oldest = NULL;

	for (guint i = 0; i < server->conns->len; i++) {
		struct server_conn *conn = server->conns->pdata[i];

		if (!conn->session.authenticated &&
		    (!oldest || conn->number < oldest->number))
			oldest = conn;
	}
	return oldest;
}

/* Other clients than processes of the cluster must not keep these out. */
static bool close_unproved(struct rpc_server *server)
{
	struct server_conn *conn = oldest_unproved(server);

	if (!conn)
		return false;
	log_debug(&rpc_log, "connection closed in favour of a new one");
	conn_close(conn);
	return true;
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	struct rpc_server *server = arg;

	(void)listener;
	accept_rest_begin(&server->rest);
	(void)close_unproved(server);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *from, int size, void *ctx)
{
	struct rpc_server *server = ctx;
	struct server_conn *conn;

	(void)listener;
	(void)from;
	(void)size;
	if ((int)server->conns->len >= server->opts.max_connections &&
	    !close_unproved(server)) {
		evutil_closesocket(fd);
		return;
	}
	address_set_tcp_options(fd, SOCKET_TIMEOUT_MS);
	conn = g_new0(struct server_conn, 1);
	conn->server = server;
	conn->number = ++server->accepted;
	conn->calls = g_ptr_array_new();
	conn->bev = bufferevent_socket_new(server->opts.base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(server->conns, conn);
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	start_handshake_timer(conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

struct rpc_server *rpc_server_create(const struct rpc_server_opts *opts)
{
	struct rpc_server *server;
	struct address address;
	int fd;

	if (!address_parse(opts->address, &address))
		return NULL;
	fd = address_listen(&address, LISTEN_BACKLOG);
	if (fd < 0)
		return NULL;
	server = g_new0(struct rpc_server, 1);
	server->opts = *opts;
	if (!server->opts.handshake_ms)
		server->opts.handshake_ms = HANDSHAKE_MS;
	server->conns = g_ptr_array_new();
	server->listener = evconnlistener_new(opts->base, on_accept, server,
					      LEV_OPT_CLOSE_ON_FREE, 0, fd);
	if (!server->listener) {
		evutil_closesocket(fd);
		rpc_server_destroy(server);
		return NULL;
	}
	accept_rest_init(&server->rest, opts->base, server->listener,
			 "listen.peers");
	evconnlistener_set_error_cb(server->listener, on_accept_error);
	return server;
}

void rpc_server_destroy(struct rpc_server *server)
{
	if (!server)
		return;
	for (guint i = server->conns->len; i > 0; i--)
		conn_close(server->conns->pdata[i - 1]);
	g_ptr_array_unref(server->conns);
	accept_rest_clear(&server->rest);
	if (server->listener)
		evconnlistener_free(server->listener);
	g_free(server);
}

int rpc_server_port(const struct rpc_server *server)
{
	return address_local_port(evconnlistener_get_fd(server->listener));
}

void rpc_call_discard(struct rpc_call *call)
{
	if (call->conn)
		g_ptr_array_remove_fast(call->conn->calls, call);
	g_free(call);
}

void rpc_call_reply(struct rpc_call *call, GBytes *result)
{
	if (call->conn)
		write_reply(call->conn, call->xid, result);
	rpc_call_discard(call);
}

bool rpc_server_unsent(const struct rpc_server *server)
{
	for (guint i = 0; i < server->conns->len; i++) {
		const struct server_conn *conn = server->conns->pdata[i];

		if (evbuffer_get_length(bufferevent_get_output(conn->bev)) > 0)
			return true;
	}
	return false;
}

uint64_t rpc_bytes_sent(void)
{
	return rpc_frame_bytes_written();
}
