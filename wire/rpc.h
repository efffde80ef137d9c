/**
 * @file
 * ONC RPC between the system's processes: record-marked TCP over libevent,
 * call and reply headers by libtirpc.
 *
 * A connection starts with a handshake in which both ends prove the cluster
 * key on fresh nonces; every later record carries a sequence number and a MAC
 * under a key of that connection. Everything runs on the thread that owns the
 * event base. Handlers get arguments that live until they return.
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
	RPC_DIGEST = 6, /* reply: one XDR bool, true asks for a full one */
	RPC_NOTIFY_UPDATE = 7, /* no reply */
};

#define RPC_FORMAT 1u
#define RPC_KEYS_MAX 2

/** What both ends must agree on, and who this process is. */
struct rpc_identity {
	const char *cluster;
	uint32_t node;
	uint64_t incarnation;
	GBytes *keys[RPC_KEYS_MAX]; /* the first is used, both are accepted */
};

struct rpc_call;
struct rpc_server;
struct rpc_client;

/** A call to answer. The handler replies once, now or later. */
typedef void (*rpc_handler_fn)(void *ctx, struct rpc_call *call, uint32_t peer,
			       enum rpc_proc proc, const void *args,
			       size_t size);

struct rpc_server_opts {
	struct event_base *base;
	const struct rpc_identity *identity;
	const char *address; /* a.b.c.d:port; port 0 lets the kernel choose */
	rpc_handler_fn serve;
	void *ctx;
	int max_connections;
};

/** Starts listening. NULL with errno set on failure. */
struct rpc_server *rpc_server_create(const struct rpc_server_opts *opts);

/** Closes the listener and all connections. NULL is allowed. */
void rpc_server_destroy(struct rpc_server *server);

/** Returns the port in use. */
int rpc_server_port(const struct rpc_server *server);

/** Sends a reply and frees the call; no-op if its connection is gone. */
void rpc_call_reply(struct rpc_call *call, GBytes *result);

/** Frees a call that gets no reply. */
void rpc_call_discard(struct rpc_call *call);

/** Called once per call: `result` is NULL if none came. */
typedef void (*rpc_done_fn)(void *ctx, const void *result, size_t size);

struct rpc_client_opts {
	struct event_base *base;
	const struct rpc_identity *identity;
	const char *address;
	uint32_t peer; /* node expected to answer */
	void (*ready_changed)(void *ctx, bool ready); /* may be NULL */
	void *ctx;
};

/** Creates a client that keeps a connection up by itself. */
struct rpc_client *rpc_client_create(const struct rpc_client_opts *opts);

/** Fails all calls in flight and frees the client. NULL is allowed. */
void rpc_client_destroy(struct rpc_client *client);

/** Returns whether the handshake is done. */
bool rpc_client_is_ready(const struct rpc_client *client);

/** Calls; false (and no callback) if not connected. */
bool rpc_client_call(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args, int timeout_ms, rpc_done_fn done, void *ctx);

/** Sends without a reply; false if not connected or the buffer is full. */
bool rpc_client_send(struct rpc_client *client, enum rpc_proc proc,
		     GBytes *args);

/** Bytes written by all RPC connections of this process. */
uint64_t rpc_bytes_sent(void);

#endif
