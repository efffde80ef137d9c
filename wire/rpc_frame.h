/**
 * @file
 * Records of one RPC connection: framing, headers and MACs. Private to wire/.
 */
#ifndef WIRE_RPC_FRAME_H
#define WIRE_RPC_FRAME_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/buffer.h>
#include <glib.h>

#include "wire/rpc.h"

#define RPC_MAC_BYTES 16
#define RPC_NONCE_BYTES 16
#define RPC_PROOF_BYTES 32
/* Before the handshake nobody may make us buffer more than this. */
#define RPC_RECORD_MAX_UNAUTHENTICATED 1024u
#define RPC_RECORD_MAX (72u * 1024 * 1024)

/** The two directions of a connection. */
enum rpc_side {
	RPC_SIDE_CLIENT = 'c',
	RPC_SIDE_SERVER = 's',
};

/** Keys and counters of a proven connection. */
struct rpc_session {
	bool proven;
	uint8_t key[RPC_PROOF_BYTES];
	uint64_t sent;
	uint64_t received;
};

/** A decoded record; `body` points into the record's own memory. */
struct rpc_record {
	bool is_call;
	uint32_t xid;
	uint32_t proc;
	const uint8_t *body;
	size_t body_size;
	uint8_t *memory;
};

/** Appends a record to `out`, with a MAC once the session is proven. */
void rpc_frame_write(struct evbuffer *out, struct rpc_session *session,
		     enum rpc_side sender, bool is_call, uint32_t xid,
		     uint32_t proc, GBytes *body);

/** What rpc_frame_read() found. */
enum rpc_frame_status {
	RPC_FRAME_RECORD,
	RPC_FRAME_MORE,
	RPC_FRAME_BAD,
};

/** Takes one record from `in`; free its memory with g_free(). */
enum rpc_frame_status rpc_frame_read(struct evbuffer *in,
				     struct rpc_session *session,
				     enum rpc_side sender,
				     struct rpc_record *record);

/** Fills bytes from the system's random source. */
void rpc_random_bytes(void *out, size_t size);

/** HMAC-SHA256 over a label, the cluster, both nodes and both nonces. */
void rpc_compute_proof(GBytes *key, const char *label,
		       const struct rpc_identity *identity, uint32_t client,
		       uint32_t server, const uint8_t *client_nonce,
		       const uint8_t *server_nonce, uint8_t *out);

/** Compares in constant time. */
bool rpc_equal_const_time(const uint8_t *a, const uint8_t *b, size_t size);

/** Bytes of all records written so far. */
uint64_t rpc_frame_bytes_written(void);

#endif
