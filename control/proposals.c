/*
 * Submits commands to the current leader, retrying until a deadline. Commands
 * are idempotent by their change id or claim id, so one whose reply was lost
 * is submitted again.
 */
#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

#define RETRY_DELAY_MS 50
#define ATTEMPT_TIMEOUT_MS 1500

static const struct log proposals_log = { "proposals" };

struct proposals {
	struct control *control;
	GHashTable *pending; /* set of struct submission */
};

struct submission {
	struct proposals *owner;
	GBytes *command;
	int64_t deadline_ms;
	struct event *retry_timer;
	bool may_be_accepted;
	control_done_fn done; /* NULL once given up */
	void *ctx;
};

static void finish_submission(struct submission *s, enum rd_result code,
			      const struct apply_result *result)
{
	g_hash_table_remove(s->owner->pending, s);
	if (s->done)
		s->done(s->ctx, code, result);
	event_free(s->retry_timer);
	g_bytes_unref(s->command);
	g_free(s);
}

static void schedule_retry(struct submission *s)
{
	struct timeval delay = { 0, RETRY_DELAY_MS * 1000 };

	if (!s->done || control_now_ms(s->owner->control) >= s->deadline_ms)
		finish_submission(s,
				  s->may_be_accepted ? RD_CHANGE_UNKNOWN
						     : RD_NO_QUORUM,
				  NULL);
	else
		event_add(s->retry_timer, &delay);
}

static void handle_result(struct submission *s, enum rd_result code,
			  const struct apply_result *result)
{
	if (code == RD_OK || code == RD_OVERLOADED || code == RD_TOO_LARGE) {
		finish_submission(s, code, result);
		return;
	}
	/* Only these two results mean that it was not accepted. */
	if (code != RD_NOT_LEADER && code != RD_NO_QUORUM)
		s->may_be_accepted = true;
	schedule_retry(s);
}

static void on_local_result(void *ctx, enum rd_result code,
			    const struct apply_result *result)
{
	handle_result(ctx, code, result);
}

static void on_remote_reply(void *ctx, const void *data, size_t size)
{
	struct submission *s = ctx;
	struct propose_reply reply = { 0 };

	if (!data ||
	    !codec_decode((xdrproc_t)xdr_propose_reply, data, size, &reply)) {
		handle_result(s, RD_TIMEOUT, NULL);
		return;
	}
	handle_result(s, (enum rd_result)reply.code,
		      reply.code ? NULL : &reply.result);
	CODEC_FREE(propose_reply, &reply);
}

static void submit_once(struct submission *s)
{
	struct control *control = s->owner->control;
	uint32_t leader = control_leader(control);
	struct peer *peer;

	if (control->group && !group_failed(control->group) &&
	    raft_role(group_raft(control->group)) == RAFT_LEADER) {
		group_propose(control->group, s->command, on_local_result, s);
		return;
	}
	peer = leader ? control_peer(control, leader) : NULL;
	if (!peer || !rpc_client_call(peer->client, RPC_PROPOSE, s->command,
				      ATTEMPT_TIMEOUT_MS, on_remote_reply, s))
		handle_result(s, RD_NO_QUORUM, NULL);
}

static void on_retry(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	submit_once(ctx);
}

void proposals_submit(struct proposals *proposals, GBytes *command,
		      int timeout_ms, control_done_fn done, void *ctx)
{
	struct submission *s;

	if (!command) {
		counters_add(proposals->control->opts.counters,
			     COUNTER_ENCODINGS_FAILED, 1);
		log_error(&proposals_log, "a command exceeds a bound of its "
					  "encoding and is not submitted");
		done(ctx, RD_TOO_LARGE, NULL);
		return;
	}
	s = g_new0(struct submission, 1);
	s->owner = proposals;
	s->command = g_bytes_ref(command);
	s->deadline_ms = control_now_ms(proposals->control) + timeout_ms;
	s->retry_timer = evtimer_new(proposals->control->base, on_retry, s);
	s->done = done;
	s->ctx = ctx;
	g_hash_table_add(proposals->pending, s);
	submit_once(s);
}

bool proposals_pending(const struct proposals *proposals)
{
	return g_hash_table_size(proposals->pending) > 0;
}

static void give_up(struct submission *s)
{
	control_done_fn done = s->done;

	if (evtimer_pending(s->retry_timer, NULL)) {
		finish_submission(s,
				  s->may_be_accepted ? RD_CHANGE_UNKNOWN
						     : RD_NO_QUORUM,
				  NULL);
		return;
	}
	/* An attempt is in flight and holds the submission. */
	s->done = NULL;
	if (done)
		done(s->ctx, RD_CHANGE_UNKNOWN, NULL);
}

void proposals_give_up(struct proposals *proposals)
{
	GList *all = g_hash_table_get_keys(proposals->pending);

	for (GList *link = all; link; link = link->next)
		give_up(link->data);
	g_list_free(all);
}

struct proposals *proposals_create(struct control *control)
{
	struct proposals *proposals = g_new0(struct proposals, 1);

	proposals->control = control;
	proposals->pending = g_hash_table_new(NULL, NULL);
	return proposals;
}

void proposals_destroy(struct proposals *proposals)
{
	GHashTableIter iter;
	gpointer key;

	if (!proposals)
		return;
	/* Peers and group are destroyed already: no callback can follow. */
	for (;;) {
		g_hash_table_iter_init(&iter, proposals->pending);
		if (!g_hash_table_iter_next(&iter, &key, NULL))
			break;
		finish_submission(key, RD_CHANGE_UNKNOWN, NULL);
	}
	g_hash_table_unref(proposals->pending);
	g_free(proposals);
}
