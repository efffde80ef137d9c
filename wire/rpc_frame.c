#include <string.h>
#include <sys/random.h>

#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>

#include "wire/rpc_frame.h"

#define RPC_PROGRAM 0x20524441u
#define RPC_VERSION 1u
#define MAC_FLAVOR 0x52440001
#define LAST_FRAGMENT 0x80000000u
#define HEADER_MAX 256

static uint64_t bytes_written;

uint64_t rpc_frame_bytes_written(void)
{
	return __atomic_load_n(&bytes_written, __ATOMIC_RELAXED);
}

void rpc_random_bytes(void *out, size_t size)
{
	uint8_t *at = out;

	while (size) {
		ssize_t n = getrandom(at, size, 0);

		if (n <= 0)
			continue;
		at += n;
		size -= (size_t)n;
	}
}

bool rpc_equal_const_time(const uint8_t *a, const uint8_t *b, size_t size)
{
	uint8_t difference = 0;

	for (size_t i = 0; i < size; i++)
		difference |= (uint8_t)(a[i] ^ b[i]);
	return difference == 0;
}

static void hmac_add_uint64(GHmac *hmac, uint64_t n)
{
	uint8_t bytes[8];

	for (int i = 0; i < 8; i++)
		bytes[i] = (uint8_t)(n >> (8 * i));
	g_hmac_update(hmac, bytes, sizeof(bytes));
}

void rpc_compute_proof(GBytes *key, const char *label,
		       const struct rpc_identity *identity, uint32_t client,
		       uint32_t server, const uint8_t *client_nonce,
		       const uint8_t *server_nonce, uint8_t *out)
{
	gsize key_size, out_size = RPC_PROOF_BYTES;
	const void *key_data = g_bytes_get_data(key, &key_size);
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, key_data, key_size);

	hmac_add_uint64(hmac, strlen(label));
	g_hmac_update(hmac, (const guchar *)label, -1);
	hmac_add_uint64(hmac, strlen(identity->cluster));
	g_hmac_update(hmac, (const guchar *)identity->cluster, -1);
	hmac_add_uint64(hmac, client);
	hmac_add_uint64(hmac, server);
	g_hmac_update(hmac, client_nonce, RPC_NONCE_BYTES);
	g_hmac_update(hmac, server_nonce, RPC_NONCE_BYTES);
	g_hmac_get_digest(hmac, out, &out_size);
	g_hmac_unref(hmac);
}

static void record_mac(const struct rpc_session *session, enum rpc_side sender,
		       uint64_t sequence, uint32_t xid, uint32_t proc,
		       const void *body, size_t size, uint8_t *mac)
{
	uint8_t full[RPC_PROOF_BYTES];
	gsize full_size = sizeof(full);
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, session->key,
				 sizeof(session->key));

	hmac_add_uint64(hmac, (uint64_t)sender);
	hmac_add_uint64(hmac, sequence);
	hmac_add_uint64(hmac, xid);
	hmac_add_uint64(hmac, proc);
	g_hmac_update(hmac, body, (gssize)size);
	g_hmac_get_digest(hmac, full, &full_size);
	g_hmac_unref(hmac);
	memcpy(mac, full, RPC_MAC_BYTES);
}

/* Encodes nothing: the results follow the header as the record's body. */
static bool_t xdr_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

static bool write_header(XDR *xdr, bool is_call, uint32_t xid, uint32_t proc,
			 struct opaque_auth *verifier)
{
	struct rpc_msg msg = { .rm_xid = xid };

	if (is_call) {
		msg.rm_direction = CALL;
		msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
		msg.rm_call.cb_prog = RPC_PROGRAM;
		msg.rm_call.cb_vers = RPC_VERSION;
		msg.rm_call.cb_proc = proc;
		msg.rm_call.cb_cred.oa_flavor = AUTH_NONE;
		msg.rm_call.cb_verf = *verifier;
		return xdr_callmsg(xdr, &msg);
	}
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = *verifier;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.proc = xdr_no_results;
	return xdr_replymsg(xdr, &msg);
}

void rpc_frame_write(struct evbuffer *out, struct rpc_session *session,
		     enum rpc_side sender, bool is_call, uint32_t xid,
		     uint32_t proc, GBytes *body)
{
	uint8_t mac[RPC_MAC_BYTES];
	char header[HEADER_MAX];
	struct opaque_auth verifier = { .oa_flavor = AUTH_NONE };
	gsize size = 0;
	const void *data = body ? g_bytes_get_data(body, &size) : "";
	uint32_t mark;
	XDR xdr;

	if (session->authenticated) {
		record_mac(session, sender, session->send_sequence++, xid,
			   is_call ? proc : 0, data, size, mac);
		verifier.oa_flavor = MAC_FLAVOR;
		verifier.oa_base = (char *)mac;
		verifier.oa_length = sizeof(mac);
	}
	xdrmem_create(&xdr, header, sizeof(header), XDR_ENCODE);
	if (!write_header(&xdr, is_call, xid, proc, &verifier))
		g_assert_not_reached();
	mark = htonl(LAST_FRAGMENT | (uint32_t)(xdr_getpos(&xdr) + size));
	evbuffer_add(out, &mark, sizeof(mark));
	evbuffer_add(out, header, xdr_getpos(&xdr));
	evbuffer_add(out, data, size);
	__atomic_fetch_add(&bytes_written,
			   sizeof(mark) + xdr_getpos(&xdr) + size,
			   __ATOMIC_RELAXED);
	xdr_destroy(&xdr);
}

static bool read_header(XDR *xdr, struct rpc_record *record, uint8_t *mac,
			bool *has_mac)
{
	char verifier[MAX_AUTH_BYTES], credential[MAX_AUTH_BYTES];
	struct rpc_msg msg = { 0 };
	struct opaque_auth *v;
	uint32_t *direction = (uint32_t *)(record->memory + 4);

	record->is_call = ntohl(*direction) == CALL;
	if (record->is_call) {
		msg.rm_call.cb_cred.oa_base = credential;
		msg.rm_call.cb_verf.oa_base = verifier;
		if (!xdr_callmsg(xdr, &msg) ||
		    msg.rm_call.cb_rpcvers != RPC_MSG_VERSION ||
		    msg.rm_call.cb_prog != RPC_PROGRAM ||
		    msg.rm_call.cb_vers != RPC_VERSION)
			return false;
		record->proc = (uint32_t)msg.rm_call.cb_proc;
		v = &msg.rm_call.cb_verf;
	} else {
		msg.acpted_rply.ar_verf.oa_base = verifier;
		msg.acpted_rply.ar_results.proc = xdr_no_results;
		if (!xdr_replymsg(xdr, &msg) ||
		    msg.rm_reply.rp_stat != MSG_ACCEPTED ||
		    msg.acpted_rply.ar_stat != SUCCESS)
			return false;
		v = &msg.acpted_rply.ar_verf;
	}
	record->xid = msg.rm_xid;
	*has_mac = v->oa_flavor == MAC_FLAVOR && v->oa_length == RPC_MAC_BYTES;
	if (*has_mac)
		memcpy(mac, v->oa_base, RPC_MAC_BYTES);
	return true;
}

static bool decode_record(struct rpc_record *record, size_t size,
			  struct rpc_session *session, enum rpc_side sender)
{
	uint8_t mac[RPC_MAC_BYTES], expected[RPC_MAC_BYTES];
	bool has_mac = false, ok;
	XDR xdr;

	xdrmem_create(&xdr, (char *)record->memory, (u_int)size, XDR_DECODE);
	ok = read_header(&xdr, record, mac, &has_mac);
	if (ok) {
		record->body = record->memory + xdr_getpos(&xdr);
		record->body_size = size - xdr_getpos(&xdr);
	}
	xdr_destroy(&xdr);
	if (!ok || !session->authenticated)
		return ok;
	record_mac(session, sender, session->receive_sequence++, record->xid,
		   record->is_call ? record->proc : 0, record->body,
		   record->body_size, expected);
	return has_mac && rpc_equal_const_time(mac, expected, sizeof(mac));
}

enum rpc_frame_status rpc_frame_read(struct evbuffer *in,
				     struct rpc_session *session,
				     enum rpc_side sender,
				     struct rpc_record *record)
{
	uint32_t mark, limit, size;

	memset(record, 0, sizeof(*record));
	if (evbuffer_copyout(in, &mark, sizeof(mark)) < (ssize_t)sizeof(mark))
		return RPC_FRAME_INCOMPLETE;
	mark = ntohl(mark);
	size = mark & ~LAST_FRAGMENT;
	limit = session->authenticated ? RPC_RECORD_MAX
				       : RPC_RECORD_MAX_UNAUTHENTICATED;
	if (!(mark & LAST_FRAGMENT) || size < 24 || size > limit)
		return RPC_FRAME_INVALID;
	if (evbuffer_get_length(in) < sizeof(mark) + size)
		return RPC_FRAME_INCOMPLETE;
	evbuffer_drain(in, sizeof(mark));
	record->memory = g_malloc(size);
	evbuffer_remove(in, record->memory, size);
	if (decode_record(record, size, session, sender))
		return RPC_FRAME_RECORD;
	g_free(record->memory);
	record->memory = NULL;
	return RPC_FRAME_INVALID;
}
