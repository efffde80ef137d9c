/* A call at an endpoint: sending it, and what comes of that. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/log.h"
#include "entry/call.h"

/* A stream without a token for this long is continued elsewhere. */
#define STALL_LIMIT_MS 5000
/* Above this much unread answer the endpoint is not read from. */
#define OUTPUT_HIGH_BYTES 65536u
#define PACE_TOKENS 16u
/* Bytes of an event that has not ended; no engine sends such. */
#define UNFINISHED_EVENT_MAX 65536u
#define US_PER_MS 1000

static const struct log attempt_log = { "call" };

static void drop_upstream(struct call *call)
{
	if (!call->upstream)
		return;
	upstream_cancel(call->upstream);
	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_STREAMS, -1);
}

static void note_read(struct call *call)
{
	if (call->unread)
		router_prefill_done(call->service->router, call->replica,
				    call->epoch, call->route.prompt_tokens);
	call->unread = false;
	call->service->late_unread -= call->late_unread ? 1 : 0;
	call->late_unread = false;
}

void attempt_finish(struct call *call)
{
	uint32_t expected = call->route.output_tokens;

	drop_upstream(call);
	note_read(call);
	if (call->replica)
		router_done(call->service->router, call->replica, call->epoch,
			    expected - MIN(expected, call->counted));
	call->replica = 0;
	call->counted = 0;
}

static void avoid_replica(struct call *call)
{
	struct router_request *route = &call->route;

	if (route->avoid_count < G_N_ELEMENTS(route->avoid))
		route->avoid[route->avoid_count++] = call->replica;
}

static bool may_try_again(const struct call *call)
{
	return call->attempts < call->attempts_max &&
	       (call->req || call->booking_key) &&
	       entry_now_ms(call->entry) < call->deadline_ms;
}

/* Sends it on if any replica is there; its turn was already given. */
static bool go_on(struct call *call)
{
	struct entry *entry = call->entry;
	struct router_choice choice;

	call->route.no_pending_prefill = false;
	router_choose(call->service->router, entry_now_ms(entry),
		      ROUTER_FILL_UNLIMITED, &call->route, &choice);
	if (!choice.replica)
		return false;
	counters_add(entry->opts.counters,
		     call->started_reply ? COUNTER_RESUMES : COUNTER_RETRIES,
		     1);
	attempt_dispatch(call, &choice);
	return true;
}

/* Ends a call that no endpoint answered. */
static void fail(struct call *call, const char *why)
{
	if (call->may_have_run || call->started_reply)
		call_refuse(call, RD_UPSTREAM_BROKE, OUTCOME_UNKNOWN, why,
			    RETRY_AFTER_MS);
	else
		call_not_run(call, RD_NO_REPLICA, why, RETRY_AFTER_MS);
}

static void try_again(struct call *call, const char *why)
{
	int64_t now = entry_now_ms(call->entry);

	log_note(&attempt_log,
		 "request %s: %s replica=%u attempt=%u tokens=%u ms=%" PRId64,
		 call->id, why, call->replica, call->attempts, call->tokens,
		 (entry_now_us(call->entry) - call->sent_us) / 1000);
	avoid_replica(call);
	attempt_finish(call);
	if (!may_try_again(call) ||
	    !retry_budget_take(&call->service->retry_budget, now)) {
		fail(call, why);
		return;
	}
	if (go_on(call))
		return;
	/* A replica may be whole again soon; the avoided ones count too. */
	call->route.avoid_count = 0;
	call->state = CALL_PARKED;
	call->parked_until_ms = now + STALL_LIMIT_MS;
	if (!call->started_reply)
		call->parked_until_ms = MIN(call->parked_until_ms,
					    call->deadline_ms);
}

/* The endpoint surely did not run it, so even a booking may try again. */
static void not_sent(struct call *call)
{
	router_suspect(call->service->router, call->replica,
		       entry_now_ms(call->entry));
	if (!call->once_only || may_try_again(call)) {
		try_again(call, "refused the connection");
		return;
	}
	call_not_run(call, RD_NO_REPLICA, "the endpoint refused the connection",
		     RETRY_AFTER_MS);
}

static void broke(struct call *call, const char *why)
{
	call->may_have_run = true;
	if (!call->once_only) {
		try_again(call, why);
		return;
	}
	attempt_finish(call);
	if (call->booking_key)
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
	else
		call_refuse(call, RD_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, why, 0);
}

/* ---- the answer as it comes ---- */

static void measure_pace(struct call *call, uint32_t tokens)
{
	int64_t now_us = entry_now_us(call->entry);

	router_progress(call->service->router, call->replica, tokens);
	call->counted += tokens;
	note_read(call);
	if (!call->paced_us) {
		call->paced_us = now_us;
		call->paced_tokens = 0;
		router_add_prefill_sample(call->service->router, call->replica,
					  call->route.prompt_tokens,
					  now_us - call->sent_us);
		return;
	}
	call->paced_tokens += tokens;
	if (call->paced_tokens < PACE_TOKENS)
		return;
	router_add_step_sample(call->service->router, call->replica,
			       now_us / 1000, call->paced_tokens,
			       now_us - call->paced_us);
	call->paced_us = now_us;
	call->paced_tokens = 0;
}

static void on_drained(struct evhttp_connection *conn, void *ctx)
{
	struct call *call = ctx;

	(void)conn;
	if (!call->paused || !call->upstream)
		return;
	call->paused = false;
	upstream_pause(call->upstream, false);
}

static void start_stream(struct call *call)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(call->req);

	call->format->answer_headers(call, headers);
	if (call->entry->draining)
		evhttp_add_header(headers, "Connection", "close");
	evhttp_send_reply_start(call->req, HTTP_OK, "OK");
	call->started_reply = true;
	call->first_us = entry_now_us(call->entry);
	estimate_add(&call->service->first,
		     (double)(call->first_us - call->sent_us) / US_PER_MS);
	counters_time(call->entry->opts.counters, HISTOGRAM_FIRST_TOKEN,
		      call->first_us - call->started_us);
}

static void forward(struct call *call, struct evbuffer *events)
{
	struct evhttp_connection *conn;
	struct bufferevent *bev;

	if (!call->started_reply)
		start_stream(call);
	evhttp_send_reply_chunk_with_cb(call->req, events, on_drained, call);
	conn = evhttp_request_get_connection(call->req);
	bev = evhttp_connection_get_bufferevent(conn);
	if (evbuffer_get_length(bufferevent_get_output(bev)) >
		    OUTPUT_HIGH_BYTES &&
	    call->upstream) {
		call->paused = true;
		upstream_pause(call->upstream, true);
	}
}

static void stream_data(struct call *call, struct evbuffer *data)
{
	struct evbuffer *events = evbuffer_new();
	uint32_t tokens;

	evbuffer_add_buffer(call->answer, data);
	tokens = call->format->move_events(call, call->answer, events);
	if (tokens) {
		call->tokens += tokens;
		counters_add(call->entry->opts.counters, COUNTER_TOKENS,
			     tokens);
		measure_pace(call, tokens);
	}
	if (evbuffer_get_length(events) && call->req)
		forward(call, events);
	evbuffer_free(events);
	if (evbuffer_get_length(call->answer) > UNFINISHED_EVENT_MAX) {
		drop_upstream(call);
		broke(call, "sent an event that is too long");
	}
}

static bool is_stream(const struct call *call)
{
	return call->stream && call->status == HTTP_OK &&
	       call->meaning == ANSWER_PASS;
}

static bool on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	struct call *call = ctx;
	const char *type = evhttp_find_header(headers, "Content-Type");

	call->status = status;
	g_free(call->answer_type);
	call->answer_type = g_strdup(type ? type : "");
	call->meaning = call->format->take_head(call, status, headers);
	/* Behind an answer to another request this one's is still to come. */
	return call->meaning != ANSWER_FOREIGN;
}

static void on_data(void *ctx, struct evbuffer *data)
{
	struct call *call = ctx;
	size_t limit = (size_t)call->entry->opts.settings->limits.body_bytes;

	router_response_activity(call->service->router, call->replica,
				 entry_now_ms(call->entry));
	if (call->meaning == ANSWER_FOREIGN) {
		evbuffer_drain(data, evbuffer_get_length(data));
		return;
	}
	if (is_stream(call)) {
		stream_data(call, data);
		return;
	}
	if (evbuffer_get_length(call->answer) + evbuffer_get_length(data) >
	    limit) {
		call->answer_too_large = true;
		evbuffer_drain(data, evbuffer_get_length(data));
		return;
	}
	evbuffer_add_buffer(call->answer, data);
}

/* ---- the answer's end ---- */

static void end_whole(struct call *call)
{
	size_t size = evbuffer_get_length(call->answer);
	const void *body = evbuffer_pullup(call->answer, -1);

	if (call->answer_too_large) {
		broke(call, "answered with more than body_bytes");
		return;
	}
	log_info(&attempt_log,
		 "request %s: whole replica=%u status=%d bytes=%zu "
		 "ms=%" PRId64,
		 call->id, call->replica, call->status, size,
		 (entry_now_us(call->entry) - call->started_us) / 1000);
	attempt_finish(call);
	if (call->booking_key)
		booking_end(call, BOOKING_ANSWERED, call->status,
			    call->answer_type, body ? body : "", size);
	else
		call_answer(call, call->status, call->answer_type,
			    body ? body : "", size);
}

static void said_not_run(struct call *call)
{
	log_info(&attempt_log,
		 "request %s: not run by the endpoint replica=%u "
		 "status=%d",
		 call->id, call->replica, call->status);
	if (may_try_again(call)) {
		try_again(call, "says it did not run it");
		return;
	}
	attempt_finish(call);
	fail(call, "no endpoint could take it");
}

static bool worth_another(const struct call *call)
{
	return call->meaning == ANSWER_FAILED && !call->once_only &&
	       may_try_again(call);
}

static void on_end(void *ctx, enum upstream_end end)
{
	struct call *call = ctx;

	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_STREAMS, -1);
	if (end == UPSTREAM_NOT_SENT)
		not_sent(call);
	else if (end == UPSTREAM_BROKE)
		broke(call, "broke off");
	else if (call->meaning == ANSWER_FOREIGN)
		broke(call, "answered another request");
	else if (call->meaning == ANSWER_NOT_RUN)
		said_not_run(call);
	else if (worth_another(call))
		broke(call, "failed");
	else if (!is_stream(call))
		end_whole(call);
	else if (call->format->stream_complete(call))
		call_end_stream(call);
	else
		broke(call, "ended the stream early");
}

/* ---- sending ---- */

static void add_headers(void *ctx, struct evkeyvalq *out)
{
	const struct call *call = ctx;

	call->format->request_headers(call, out);
}

static void reset_answer(struct call *call)
{
	evbuffer_drain(call->answer, evbuffer_get_length(call->answer));
	call->status = 0;
	call->meaning = ANSWER_PASS;
	call->answer_too_large = false;
	call->paced_us = 0;
	call->paused = false;
}

static void send_request(struct call *call)
{
	struct upstream_request request = {
		.address = call->address,
		.method = call->method,
		.path = call->path,
		.add_headers = add_headers,
		.once_only = call->once_only,
		.unframed = call->format->unframed,
		.idle_timeout_ms = STALL_LIMIT_MS,
		.head = on_head,
		.data = on_data,
		.end = on_end,
		.ctx = call,
	};

	if (!call->stream)
		request.idle_timeout_ms = (int)MAX(
			1, call->deadline_ms - entry_now_ms(call->entry));
	request.body = call->format->request_body(call);
	call->upstream = upstream_send(call->entry->pool, &request);
	if (request.body)
		g_bytes_unref(request.body);
}

static void log_choice(const struct call *call,
		       const struct router_choice *choice)
{
	log_info(&attempt_log,
		 "request %s: sent replica=%u epoch=%" PRIu64 " at=%s "
		 "service=%s prompt=%u present=%u cost_ms=%.1f cached=%u "
		 "candidates=%u stale=%u "
		 "suspect=%u full=%u failed=%u slow=%u left_out=%s "
		 "after_ms=%" PRId64,
		 call->id, choice->replica, choice->epoch, choice->address,
		 call->service->name, call->route.prompt_tokens,
		 choice->in_flight, choice->cost_ms, choice->cached_tokens,
		 choice->candidates, choice->stale, choice->suspects,
		 choice->full, choice->avoided, choice->stragglers,
		 *choice->excluded ? choice->excluded : "-",
		 (call->sent_us - call->started_us) / 1000);
}

void attempt_dispatch(struct call *call, const struct router_choice *choice)
{
	struct entry *entry = call->entry;

	if (call->ticket.waiting) {
		admission_dequeue(call->service->admission, &call->ticket);
		call->admitted = true;
		counters_time(entry->opts.counters, HISTOGRAM_QUEUE,
			      entry_now_us(entry) - call->started_us);
	}
	call->sent_us = entry_now_us(entry);
	log_choice(call, choice);
	reset_answer(call);
	call->attempts++;
	call->state = CALL_SENT;
	call->replica = choice->replica;
	call->epoch = choice->epoch;
	g_strlcpy(call->address, choice->address, sizeof(call->address));
	router_sent(call->service->router, choice->replica, entry_now_ms(entry),
		    &call->route);
	call->unread = true;
	call->late_unread = call->route.no_pending_prefill;
	call->service->late_unread += call->late_unread ? 1 : 0;
	counters_add(entry->opts.counters, COUNTER_STREAMS, 1);
	send_request(call);
}

void attempt_replica_lost(struct call *call, const char *why)
{
	if (call->state != CALL_SENT || !call->upstream)
		return;
	/* What may not be repeated can only wait for its own answer. */
	if (call->once_only)
		return;
	drop_upstream(call);
	broke(call, why);
}

void attempt_tick_parked(struct call *call, int64_t now_ms)
{
	if (go_on(call) || now_ms < call->parked_until_ms)
		return;
	fail(call, "no replica to go on at");
}
