/**
 * @file
 * Record marking, RPC headers and MACs of one connection. Other modules use
 * only its random source and constant-time comparison.
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
/* Limits what an unauthenticated peer can make this process buffer. */
#define RPC_RECORD_MAX_UNAUTHENTICATED 1024u
#define RPC_RECORD_MAX (72u * 1024 * 1024)

/** The two directions of a connection. */
enum rpc_side {
	RPC_SIDE_CLIENT = 'c',
	RPC_SIDE_SERVER = 's',
};

/** MAC key and record sequence numbers; unused until authenticated. */
struct rpc_session {
	bool authenticated;
	uint8_t key[RPC_PROOF_BYTES];
	uint64_t send_sequence;
	uint64_t receive_sequence;
};

/** A decoded record; `body` points into `memory`, which the record owns. */
struct rpc_record {
	bool is_call;
	uint32_t xid;
	uint32_t proc;
	const uint8_t *body;
	size_t body_size;
	uint8_t *memory;
};

/**
 * Appends a record to `out`, with a MAC if the session is authenticated. `body`
 * is borrowed and may be NULL.
 */
void rpc_frame_write(struct evbuffer *out, struct rpc_session *session,
		     enum rpc_side sender, bool is_call, uint32_t xid,
		     uint32_t proc, GBytes *body);

/** Result of rpc_frame_read(). */
enum rpc_frame_status {
	RPC_FRAME_RECORD,
	RPC_FRAME_INCOMPLETE,
	RPC_FRAME_INVALID,
};

/**
 * Removes one record from `in` and checks its MAC if the session is
 * authenticated. `record->memory` is released with g_free(); it is NULL unless
 * RPC_FRAME_RECORD is returned.
 */
enum rpc_frame_status rpc_frame_read(struct evbuffer *in,
				     struct rpc_session *session,
				     enum rpc_side sender,
				     struct rpc_record *record);

/** Fills `out` from getrandom(); blocks until the kernel's pool is ready. */
void rpc_random_bytes(void *out, size_t size);

/**
 * Computes HMAC-SHA256 over a label, the cluster name, both node ids and both
 * nonces. Writes RPC_PROOF_BYTES bytes to `out`.
 */
void rpc_compute_proof(GBytes *key, const char *label,
		       const struct rpc_identity *identity, uint32_t client,
		       uint32_t server, const uint8_t *client_nonce,
		       const uint8_t *server_nonce, uint8_t *out);

/** Compares bytes in a time that does not depend on their values. */
bool rpc_equal_const_time(const uint8_t *a, const uint8_t *b, size_t size);

/** Returns the total size in bytes of the records that this process wrote. */
uint64_t rpc_frame_bytes_written(void);

#endif
