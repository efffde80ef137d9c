#include <event2/buffer.h>

#include "common/log.h"
#include "entry/kept.h"
#include "entry/upstream.h"

static const struct log kept_log = { "call" };

/** The fields of struct call that belong to an attempt. */
struct kept_attempt {
	struct upstream *upstream;
	uint32_t replica;
	uint32_t peer;
	uint64_t epoch;
	char address[ADDRESS_MAX];
	uint64_t endpoint;
	int64_t sent_us;
	int64_t first_event_us;
	int64_t rate_sampled_us;
	uint32_t rate_sample_tokens;
	bool overdue_awaiting_first;
	bool awaiting_first;
	uint32_t reported_tokens;
	uint64_t trial_part;
	int status;
	enum response_class response_class;
	size_t response_bytes;
	char *response_type;
	struct evbuffer *response_body;
	int64_t data_ms;
	int64_t eventless_ms;
	size_t unread_bytes; /* when it was set aside, e.g. half a chunk */
};

#define SWAP(type, a, b)           \
	do {                       \
		type swapped_ = a; \
		a = b;             \
		b = swapped_;      \
	} while (0)

static void swap_connection(struct call *call, struct kept_attempt *kept)
{
	char address[ADDRESS_MAX];

	SWAP(struct upstream *, call->upstream, kept->upstream);
	SWAP(uint32_t, call->replica, kept->replica);
	SWAP(uint32_t, call->peer, kept->peer);
	SWAP(uint64_t, call->epoch, kept->epoch);
	SWAP(uint64_t, call->endpoint, kept->endpoint);
	g_strlcpy(address, call->address, sizeof(address));
	g_strlcpy(call->address, kept->address, sizeof(call->address));
	g_strlcpy(kept->address, address, sizeof(kept->address));
	SWAP(int64_t, call->sent_us, kept->sent_us);
	SWAP(uint64_t, call->trial_part, kept->trial_part);
}

static void swap_progress(struct call *call, struct kept_attempt *kept)
{
	SWAP(int64_t, call->first_event_us, kept->first_event_us);
	SWAP(int64_t, call->rate_sampled_us, kept->rate_sampled_us);
	SWAP(uint32_t, call->rate_sample_tokens, kept->rate_sample_tokens);
	SWAP(bool, call->overdue_awaiting_first, kept->overdue_awaiting_first);
	SWAP(bool, call->awaiting_first, kept->awaiting_first);
	SWAP(uint32_t, call->reported_tokens, kept->reported_tokens);
	SWAP(int64_t, call->data_ms, kept->data_ms);
	SWAP(int64_t, call->eventless_ms, kept->eventless_ms);
}

static void swap_response(struct call *call, struct kept_attempt *kept)
{
	SWAP(int, call->status, kept->status);
	SWAP(enum response_class, call->response_class, kept->response_class);
	SWAP(size_t, call->response_bytes, kept->response_bytes);
	SWAP(char *, call->response_type, kept->response_type);
	SWAP(struct evbuffer *, call->response_body, kept->response_body);
}

static void swap_attempts(struct call *call, struct kept_attempt *kept)
{
	swap_connection(call, kept);
	swap_progress(call, kept);
	swap_response(call, kept);
}

static void free_kept(struct call *call)
{
	evbuffer_free(call->kept->response_body);
	g_free(call->kept->response_type);
	g_free(call->kept);
	call->kept = NULL;
}

bool kept_is_possible(const struct call *call)
{
	/* Another response's head would take the place of this one's. */
	bool head_unsent = call->status && !reply_has_started(call->reply);

	return !call->kept && !head_unsent && upstream_can_wait(call->upstream);
}

void kept_set(struct call *call)
{
	call->kept = g_new0(struct kept_attempt, 1);
	call->kept->response_body = evbuffer_new();
	upstream_pause(call->upstream, true);
	call->kept->unread_bytes = upstream_unread_bytes(call->upstream);
	swap_attempts(call, call->kept);
}

void kept_restore(struct call *call, const char *why)
{
	attempt_finish(call);
	swap_attempts(call, call->kept);
	free_kept(call);
	call->state = CALL_DISPATCHED;
	call->paused = false;
	call->doubt = NULL;
	/* The replica may look silent until what has arrived is read. */
	call->search_due_ms = entry_now_ms(call->entry) +
			      call->entry->opts.settings->limits.stall_ms;
	call->data_ms = entry_now_ms(call->entry);
	log_note(&kept_log,
		 "request %s: kept attempt goes on replica=%u reason=\"%s\"",
		 call->id, call->replica, why);
	/* The sample must not include the time in which nothing was read. */
	if (call->rate_sampled_us)
		call->rate_sampled_us = entry_now_us(call->entry);
	call->rate_sample_tokens = 0;
	upstream_pause(call->upstream, false);
}

void kept_drop(struct call *call)
{
	if (!call->kept)
		return;
	swap_attempts(call, call->kept);
	log_info(&kept_log, "request %s: kept attempt ends replica=%u other=%u",
		 call->id, call->replica, call->kept->replica);
	attempt_finish(call);
	swap_attempts(call, call->kept);
	free_kept(call);
}

bool kept_has_arrived(const struct call *call)
{
	const struct kept_attempt *kept = call->kept;

	return kept &&
	       upstream_unread_bytes(kept->upstream) > kept->unread_bytes;
}
