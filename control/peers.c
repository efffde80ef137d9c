/*
 * RPC between this process and the others of the system: the server that
 * answers their calls, and a client for each peer.
 */
#include <errno.h>
#include <string.h>

#include "common/address.h"
#include "common/log.h"
#include "control/control_internal.h"
#include "settings/ports.h"
#include "wire/codec.h"

#define DIGEST_TIMEOUT_MS 1000
/* Discovered peers not referenced for this long are removed. */
#define PEER_EXPIRY_MS 60000

static const struct log peers_log = { "peers" };

/* ---- serving ---- */

/* Sends an encoded reply; NULL: it exceeds a bound, and the call times out. */
static void send_reply(struct control *control, struct rpc_call *call,
		       const char *what, GBytes *bytes)
{
	if (bytes) {
		rpc_call_reply(call, bytes);
		g_bytes_unref(bytes);
		return;
	}
	counters_add(control->opts.counters, COUNTER_ENCODINGS_FAILED, 1);
	log_error(&peers_log,
		  "reply to a %s not sent: it exceeds a bound of its encoding",
		  what);
	rpc_call_discard(call);
}

/** A proposal of another process. */
struct remote_proposal {
	struct control *control;
	struct rpc_call *call;
};

/* Answers a remote proposal, and frees it. */
static void send_propose_reply(void *ctx, enum rd_result code,
			       const struct apply_result *result)
{
	struct remote_proposal *p = ctx;
	struct propose_reply reply = { .code = code };
	struct apply_result empty = { 0 };

	state_result_set(&empty, RD_OK, "");
	reply.result = result ? *result : empty;
	send_reply(p->control, p->call, "proposal",
		   CODEC_ENCODE(propose_reply, &reply));
	state_result_clear(&empty);
	g_free(p);
}

static void serve_propose(struct control *control, struct rpc_call *call,
			  const void *args, size_t size)
{
	struct remote_proposal *p = g_new(struct remote_proposal, 1);
	GBytes *command;

	*p = (struct remote_proposal){ control, call };
	if (!control->group) {
		send_propose_reply(p, RD_NOT_LEADER, NULL);
		return;
	}
	command = g_bytes_new(args, size);
	group_propose(control->group, command, send_propose_reply, p);
	g_bytes_unref(command);
}

static void serve_poll(struct control *control, struct rpc_call *call,
		       const void *args, size_t size)
{
	struct poll_request request = { 0 };
	struct poll_reply reply = { 0 };

	if (!codec_decode((xdrproc_t)xdr_poll_request, args, size, &request)) {
		rpc_call_discard(call);
		return;
	}
	(void)control_get_or_add_peer(control, request.node,
				      request.member_id != 0);
	follow_serve_poll(control, &request, &reply);
	CODEC_FREE(poll_request, &request);
	send_reply(control, call, "poll", CODEC_ENCODE(poll_reply, &reply));
	CODEC_FREE(poll_reply, &reply);
}

static void serve_digest(struct control *control, struct rpc_call *call,
			 const void *args, size_t size)
{
	struct digest digest = { 0 };
	bool_t full_digest_needed;

	if (!codec_decode((xdrproc_t)xdr_digest, args, size, &digest)) {
		rpc_call_discard(call);
		return;
	}
	full_digest_needed = !view_merge(control->view, control_now_ms(control),
					 &digest);
	CODEC_FREE(digest, &digest);
	if (full_digest_needed)
		counters_add(control->opts.counters, COUNTER_DIGESTS_MISSED, 1);
	if (control->opts.listener.digest)
		control->opts.listener.digest(control->opts.listener.ctx,
					      g_bytes_new(args, size));
	send_reply(control, call, "digest",
		   codec_encode((xdrproc_t)xdr_bool, &full_digest_needed));
}

static void serve(void *ctx, struct rpc_call *call, uint32_t node,
		  enum rpc_proc proc, const void *args, size_t size)
{
	struct control *control = ctx;

	switch (proc) {
	case RPC_RAFT:
		if (control->group &&
		    !group_receive(control->group, node, args, size))
			log_warn(&peers_log,
				 "consensus message from node %u cannot be "
				 "decoded",
				 node);
		rpc_call_discard(call);
		break;
	case RPC_PROPOSE:
		serve_propose(control, call, args, size);
		break;
	case RPC_POLL:
		serve_poll(control, call, args, size);
		break;
	case RPC_DIGEST:
		serve_digest(control, call, args, size);
		break;
	case RPC_NOTIFY_UPDATE:
		rpc_call_discard(call);
		follow_on_update(control->follow, node);
		break;
	default:
		log_warn(&peers_log, "node %u called unknown RPC procedure %u",
			 node, (unsigned)proc);
		rpc_call_discard(call);
	}
}

/* ---- connections ---- */

static void peer_free(gpointer data)
{
	struct peer *peer = data;

	rpc_client_destroy(peer->client);
	g_free(peer);
}

enum rd_result peers_open(struct control *control, char **why)
{
	const struct daemon_settings *settings = control->opts.settings;
	struct rpc_server_opts opts = {
		.base = control->base,
		.identity = &control->identity,
		.address = settings->listen.peers,
		.handle_call = serve,
		.ctx = control,
		.max_connections = ports_peer_connections(settings),
	};

	control->peers = g_ptr_array_new_with_free_func(peer_free);
	control->server = rpc_server_create(&opts);
	if (control->server)
		return RD_OK;
	*why = g_strdup_printf("listen.peers %s: %s", settings->listen.peers,
			       g_strerror(errno));
	return RD_IO;
}

static void on_ready_changed(void *ctx, bool ready)
{
	struct peer *peer = ctx;

	peer->lost_ms = ready ? 0 : control_now_ms(peer->control);
	log_info(&peers_log, "node %u is %s", peer->node,
		 ready ? "connected" : "disconnected");
	if (ready)
		follow_poll_now(peer->control->follow);
}

static struct peer *add_peer(struct control *control, uint32_t node,
			     const char *address, bool is_control)
{
	struct peer *peer = g_new0(struct peer, 1);
	struct rpc_client_opts opts = {
		.base = control->base,
		.identity = &control->identity,
		.address = address,
		.peer = node,
		.ready_changed = on_ready_changed,
		.ctx = peer,
	};

	peer->control = control;
	peer->node = node;
	peer->is_control = is_control;
	peer->lost_ms = control_now_ms(control);
	peer->client = rpc_client_create(&opts);
	g_ptr_array_add(control->peers, peer);
	return peer;
}

void peers_connect(struct control *control)
{
	const struct daemon_settings *settings = control->opts.settings;

	for (guint i = 0; i < settings->cluster.peers->len; i++) {
		const struct peer_settings *p =
			settings->cluster.peers->pdata[i];

		if (p->id != settings->node.id)
			(void)add_peer(control, (uint32_t)p->id, p->address,
				       p->control);
	}
}

struct peer *control_get_or_add_peer(struct control *control, uint32_t node,
				     bool is_control)
{
	const struct daemon_settings *settings = control->opts.settings;
	struct peer *peer = control_peer(control, node);
	char address[ADDRESS_MAX];

	if (!peer && (!daemon_settings_uses_seeds(settings) || !node ||
		      node == (uint32_t)settings->node.id))
		return NULL;
	if (!peer) {
		daemon_settings_node_address(settings, node, address,
					     sizeof(address));
		log_note(&peers_log, "node %u discovered at %s%s", node,
			 address, is_control ? ", has the control role" : "");
		peer = add_peer(control, node, address, is_control);
		peer->discovered = true;
	}
	peer->is_control |= is_control;
	peer->last_referenced_ms = control_now_ms(control);
	return peer;
}

void peers_tick(struct control *control)
{
	int64_t now = control_now_ms(control);

	for (guint i = control->peers->len; i > 0; i--) {
		const struct peer *peer = control->peers->pdata[i - 1];

		if (!peer->discovered ||
		    now - peer->last_referenced_ms < PEER_EXPIRY_MS)
			continue;
		log_note(&peers_log,
			 "node %u removed: not referenced for %d ms",
			 peer->node, PEER_EXPIRY_MS);
		g_ptr_array_remove_index(control->peers, i - 1);
	}
}

bool peers_unsent(const struct control *control)
{
	for (guint i = 0; i < control->peers->len; i++) {
		const struct peer *peer = control->peers->pdata[i];

		if (rpc_client_unsent(peer->client))
			return true;
	}
	return rpc_server_unsent(control->server);
}

void peers_close(struct control *control)
{
	if (control->peers)
		g_ptr_array_unref(control->peers);
	rpc_server_destroy(control->server);
}

struct peer *control_peer(const struct control *control, uint32_t node)
{
	for (guint i = 0; i < control->peers->len; i++) {
		struct peer *peer = control->peers->pdata[i];

		if (peer->node == node)
			return peer;
	}
	return NULL;
}

struct member_link peers_link(const struct control *control, uint32_t node)
{
	const struct peer *peer = control_peer(control, node);
	struct member_link link = { 0 };

	if (!peer)
		return link;
	link.lost_ms = peer->lost_ms;
	link.closed = rpc_client_peer_closed(peer->client);
	return link;
}

/* ---- sending ---- */

void peers_send_raft(struct control *control, uint64_t member, GBytes *bytes)
{
	struct peer *peer = control_get_or_add_peer(
		control, group_node_of(control->group, member), true);

	if (peer)
		(void)rpc_client_send(peer->client, RPC_RAFT, bytes);
}

void peers_notify_update(struct control *control)
{
	for (guint i = 0; i < control->peers->len; i++) {
		struct peer *peer = control->peers->pdata[i];

		(void)rpc_client_send(peer->client, RPC_NOTIFY_UPDATE, NULL);
	}
	follow_poll_now(control->follow);
}

static void digest_done(void *ctx, const void *result, size_t size)
{
	struct control *control = ctx;
	bool_t full_digest_needed = FALSE;

	if (result &&
	    codec_decode((xdrproc_t)xdr_bool, result, size,
			 &full_digest_needed) &&
	    full_digest_needed) {
		if (control->announcements)
			announcements_request_full_digest(
				control->announcements);
		else
			control->opts.listener.full_digest_needed(
				control->opts.listener.ctx);
	}
}

void peers_send_digest(struct control *control, GBytes *digest)
{
	for (guint i = 0; i < control->peers->len; i++) {
		struct peer *peer = control->peers->pdata[i];

		if (!rpc_client_call(peer->client, RPC_DIGEST, digest,
				     DIGEST_TIMEOUT_MS, digest_done, control))
			continue;
		counters_add(control->opts.counters, COUNTER_DIGESTS_SENT, 1);
	}
}
