/**
 * @file
 * ONC RPC between the nodes of a cluster: record-marked TCP over libevent, call
 * and reply headers encoded by libtirpc.
 *
 * In the handshake both ends prove knowledge of the cluster key over fresh
 * nonces. Every later record has an implicit sequence number and a MAC under a
 * key derived for the connection. All functions and callbacks run on the thread
 * that owns the event base. Arguments and results passed to callbacks are
 * borrowed until the callback returns.
 */
#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

/** Procedure numbers of the program. */
enum rpc_proc {
	RPC_NULL = 0,
	RPC_HELLO = 1,
	RPC_PROVE = 2,
	RPC_RAFT = 3, /* no reply */
	RPC_PROPOSE = 4,
	RPC_POLL = 5,
	RPC_DIGEST = 6, /* reply: an XDR bool, true requests a full digest */
	RPC_NOTIFY_UPDATE = 7, /* no reply */
};

#define RPC_FORMAT 1u
#define RPC_KEYS_MAX 2

/** Cluster name and keys, which both ends must share, and this node. */
struct rpc_identity {
	const char *cluster;
	uint32_t node;
	uint64_t incarnation;
	GBytes *keys[RPC_KEYS_MAX]; /* clients use [0]; servers accept all */
};

struct rpc_call;
struct rpc_server;
struct rpc_client;

/**
 * Handles a call. The handler passes `call` exactly once to rpc_call_reply() or
 * rpc_call_discard(), possibly after returning.
 */
typedef void (*rpc_handler_fn)(void *ctx, struct rpc_call *call, uint32_t peer,
			       enum rpc_proc proc, const void *args,
			       size_t size);

struct rpc_server_opts {
	struct event_base *base;
	const struct rpc_identity *identity;
	const char *address; /* a.b.c.d:port; port 0: chosen by the kernel */
	rpc_handler_fn handle_call;
	void *ctx;
	/* Another one closes the oldest without a proof, or is refused. */
	int max_connections;
	int handshake_ms; /* timeout of a whole handshake; 0: 5000 */
};

/** Starts listening. Returns NULL with errno set on failure. */
struct rpc_server *rpc_server_create(const struct rpc_server_opts *opts);

/** Closes the listener and all connections. NULL is allowed. */
void rpc_server_destroy(struct rpc_server *server);

/** Returns the port that the server listens on. */
int rpc_server_port(const struct rpc_server *server);

/**
 * Sends a reply, unless the connection is closed, and frees the call. `result`
 * is borrowed and may be NULL.
 */
void rpc_call_reply(struct rpc_call *call, GBytes *result);

/** Frees a call without replying. */
void rpc_call_discard(struct rpc_call *call);

/** Called once per call; `result` is NULL on timeout or disconnection. */
typedef void (*rpc_done_fn)(void *ctx, const void *result, size_t size);

struct rpc_client_opts {
	struct event_base *base;
	const struct rpc_identity *identity;
	const char *address;
	uint32_t peer; /* expected node id of the server */
	void (*ready_changed)(void *ctx, bool ready); /* may be NULL */
	void *ctx;
};

/** Creates a client that connects and reconnects automatically. */
struct rpc_client *rpc_client_create(const struct rpc_client_opts *opts);

/** Fails all pending calls and frees the client. NULL is allowed. */
void rpc_client_destroy(struct rpc_client *client);

/** Returns whether the handshake is complete. */
bool rpc_client_is_ready(const struct rpc_client *client);

/**
 * Returns whether the peer has closed or reset the last connection, or refused
 * a later one, and none has been opened since: a silent or unreachable peer
 * does neither.
 */
bool rpc_client_peer_closed(const struct rpc_client *client);

/**
 * Sends a call; `done` runs once. Returns false, without running `done`, if the
 * client is not ready.
 */
bool rpc_client_call(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args, int timeout_ms, rpc_done_fn done, void *ctx);

/**
 * Sends a call that gets no reply. Returns false if the client is not ready or
 * its output buffer is full.
 */
bool rpc_client_send(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args);

/** Whether bytes of calls have not been passed to the kernel yet. */
bool rpc_client_unsent(const struct rpc_client *client);

/** Whether bytes of replies have not been passed to the kernel yet. */
bool rpc_server_unsent(const struct rpc_server *server);

/** Returns the total bytes written by all RPC connections of this process. */
uint64_t rpc_bytes_sent(void);

#endif
