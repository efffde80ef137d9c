#include <event2/buffer.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/kept.h"
#include "entry/upstream.h"

static const struct log kept_log = { "call" };

static void swap_attempts(struct call *call)
{
	struct attempt *current = call->attempt;

	call->attempt = call->kept;
	call->kept = current;
}

/* Ends the current attempt; the kept one is current then. */
static void end_current(struct call *call)
{
	attempt_finish(call);
	attempt_free(call->attempt);
	call->attempt = call->kept;
	call->kept = NULL;
}

bool kept_is_possible(const struct call *call)
{
	/* One whose head the caller doesn't have is ended by a move. */
	bool head_unsent = call->attempt->response.status &&
			   !reply_has_started(call->reply);

	return !call->kept && !head_unsent &&
	       upstream_can_wait(call->attempt->upstream);
}

void kept_set(struct call *call)
{
	struct upstream *upstream = call->attempt->upstream;

	upstream_pause(upstream, true);
	call->attempt->unread_bytes = upstream_unread_bytes(upstream);
	call->kept = call->attempt;
	call->attempt = attempt_create(call);
}

void kept_restore(struct call *call, const char *why)
{
	end_current(call);
	call->state = CALL_DISPATCHED;
	call->attempt->paused = false;
	call->doubt = NULL;
	/* The replica may look silent until what has arrived is read. */
	call->search_due_ms = entry_now_ms(call->entry) +
			      call->entry->opts.settings->limits.stall_ms;
	call->attempt->data_ms = entry_now_ms(call->entry);
	log_note(&kept_log,
		 "request %s: kept attempt goes on replica=%u reason=\"%s\"",
		 call->id, call->attempt->replica, why);
	/* The sample must not include the time in which nothing was read. */
	if (call->attempt->rate_sampled_us)
		call->attempt->rate_sampled_us = entry_now_us(call->entry);
	call->attempt->rate_sample_tokens = 0;
	upstream_pause(call->attempt->upstream, false);
}

void kept_drop(struct call *call)
{
	if (!call->kept)
		return;
	log_info(&kept_log, "request %s: kept attempt ends replica=%u other=%u",
		 call->id, call->kept->replica, call->attempt->replica);
	swap_attempts(call);
	end_current(call);
}

bool kept_has_arrived(const struct call *call)
{
	const struct attempt *kept = call->kept;

	return kept &&
	       upstream_unread_bytes(kept->upstream) > kept->unread_bytes;
}
