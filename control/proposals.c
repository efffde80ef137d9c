/*
 * Gets a command to whoever leads. Commands that pass here are idempotent by
 * their change id or claim id, so a lost answer is asked for again.
 */
#include "control/control_internal.h"
#include "wire/codec.h"

#define RETRY_MS 50
#define ATTEMPT_MS 1500

struct proposals {
	struct control *control;
	GHashTable *waiting; /* set of struct submission */
};

struct submission {
	struct proposals *owner;
	GBytes *command;
	int64_t deadline_ms;
	struct event *retry;
	bool may_be_accepted;
	control_done_fn done;
	void *ctx;
};

static void end(struct submission *s, enum rd_result code,
		const struct apply_result *result)
{
	g_hash_table_remove(s->owner->waiting, s);
	s->done(s->ctx, code, result);
	event_free(s->retry);
	g_bytes_unref(s->command);
	g_free(s);
}

static void retry(struct submission *s)
{
	struct timeval after = { 0, RETRY_MS * 1000 };

	if (control_now_ms(s->owner->control) >= s->deadline_ms)
		end(s, s->may_be_accepted ? RD_CHANGE_UNKNOWN : RD_NO_QUORUM,
		    NULL);
	else
		event_add(s->retry, &after);
}

static void answered(struct submission *s, enum rd_result code,
		     const struct apply_result *result)
{
	if (code == RD_OK || code == RD_OVERLOADED) {
		end(s, code, result);
		return;
	}
	/* These two mean that it was not, and will not be, applied. */
	if (code != RD_NOT_LEADER && code != RD_NO_QUORUM)
		s->may_be_accepted = true;
	retry(s);
}

static void on_local(void *ctx, enum rd_result code,
		     const struct apply_result *result)
{
	answered(ctx, code, result);
}

static void on_remote(void *ctx, const void *data, size_t size)
{
	struct submission *s = ctx;
	struct propose_reply reply = { 0 };

	if (!data ||
	    !codec_decode((xdrproc_t)xdr_propose_reply, data, size, &reply)) {
		answered(s, RD_TIMEOUT, NULL);
		return;
	}
	answered(s, (enum rd_result)reply.code,
		 reply.code ? NULL : &reply.result);
	CODEC_FREE(propose_reply, &reply);
}

static void attempt(struct submission *s)
{
	struct control *control = s->owner->control;
	uint32_t leader = control_leader(control);
	struct peer *peer;

	if (control->group &&
	    raft_role(group_raft(control->group)) == RAFT_LEADER) {
		group_propose(control->group, s->command, on_local, s);
		return;
	}
	peer = leader ? control_peer(control, leader) : NULL;
	if (!peer || !rpc_client_call(peer->client, RPC_PROPOSE, s->command,
				      ATTEMPT_MS, on_remote, s))
		answered(s, RD_NO_QUORUM, NULL);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	attempt(ctx);
}

void proposals_submit(struct proposals *proposals, GBytes *command,
		      int timeout_ms, control_done_fn done, void *ctx)
{
	struct submission *s = g_new0(struct submission, 1);

	s->owner = proposals;
	s->command = g_bytes_ref(command);
	s->deadline_ms = control_now_ms(proposals->control) + timeout_ms;
	s->retry = evtimer_new(proposals->control->base, on_retry, s);
	s->done = done;
	s->ctx = ctx;
	g_hash_table_add(proposals->waiting, s);
	attempt(s);
}

struct proposals *proposals_create(struct control *control)
{
	struct proposals *proposals = g_new0(struct proposals, 1);

	proposals->control = control;
	proposals->waiting = g_hash_table_new(NULL, NULL);
	return proposals;
}

void proposals_destroy(struct proposals *proposals)
{
	GHashTableIter iter;
	gpointer key;

	if (!proposals)
		return;
	/* Peers and group are gone, so nobody calls back any more. */
	for (;;) {
		g_hash_table_iter_init(&iter, proposals->waiting);
		if (!g_hash_table_iter_next(&iter, &key, NULL))
			break;
		end(key, RD_CHANGE_UNKNOWN, NULL);
	}
	g_hash_table_unref(proposals->waiting);
	g_free(proposals);
}
