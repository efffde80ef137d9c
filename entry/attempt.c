/* Dispatch of a call to an endpoint, handling of the response and retries. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/log.h"
#include "entry/parts.h"

/*
 * A stream without data for this long is resumed on another replica. Also the
 * longest wait for a replica to retry at.
 */
#define STALL_LIMIT_MS 5000
/* Above this much unsent output, reading from the endpoint is paused. */
#define OUTPUT_HIGH_WATER_BYTES 65536u
#define RATE_SAMPLE_TOKENS 16u
/* Limit on an incomplete event; no engine sends larger ones. */
#define INCOMPLETE_EVENT_MAX_BYTES 65536u
#define US_PER_MS 1000
/* A request under which so many replicas ended isn't sent to another. */
#define REPLICA_ENDS_MAX 2u

static const struct log attempt_log = { "call" };

static void cancel_upstream(struct call *call)
{
	if (!call->upstream)
		return;
	upstream_cancel(call->upstream);
	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_IN_FLIGHT, -1);
}

static void clear_awaiting_first(struct call *call)
{
	if (call->awaiting_first)
		router_prefill_done(call->service->router, call->replica,
				    call->epoch, call->route.prompt_tokens);
	call->awaiting_first = false;
	call->service->overdue_awaiting_first -= call->overdue_awaiting_first
							 ? 1
							 : 0;
	call->overdue_awaiting_first = false;
}

void attempt_finish(struct call *call)
{
	uint32_t expected = call->route.output_tokens;

	cancel_upstream(call);
	parts_attempt_over(call);
	clear_awaiting_first(call);
	if (call->replica)
		router_done(call->service->router, call->replica, call->epoch,
			    expected - MIN(expected, call->reported_tokens));
	call->replica = 0;
	call->reported_tokens = 0;
}

static void exclude_replica(struct call *call)
{
	struct router_request *route = &call->route;

	if (route->avoid_count < G_N_ELEMENTS(route->avoid))
		route->avoid[route->avoid_count++] = call->replica;
}

static bool may_retry(const struct call *call)
{
	return call->attempts < call->attempts_max &&
	       call->replica_ends < REPLICA_ENDS_MAX &&
	       (call->req || call->booking_key) &&
	       entry_now_ms(call->entry) < call->deadline_ms;
}

/*
 * Dispatches a call again to any usable replica, even one whose slots are all
 * taken: the call has already passed admission.
 */
static bool redispatch(struct call *call)
{
	struct entry *entry = call->entry;
	struct router_choice choice;

	call->route.no_pending_prefill = false;
	router_choose(call->service->router, entry_now_ms(entry),
		      ROUTER_FILL_UNLIMITED, &call->route, &choice);
	if (!choice.replica)
		return false;
	counters_add(entry->opts.counters,
		     call->response_started ? COUNTER_RESUMES : COUNTER_RETRIES,
		     1);
	attempt_dispatch(call, &choice);
	return true;
}

/* Ends a call after its last attempt failed. */
static void fail_after_attempts(struct call *call, const char *why)
{
	if (call->may_have_run || call->response_started)
		call_fail(call, RD_UPSTREAM_BROKE, OUTCOME_UNKNOWN, why,
			  RETRY_AFTER_MS);
	else
		call_fail_not_run(call, RD_NO_REPLICA, why, RETRY_AFTER_MS);
}

static void retry(struct call *call, const char *why)
{
	int64_t now = entry_now_ms(call->entry);

	log_note(&attempt_log,
		 "request %s: %s replica=%u attempt=%u tokens=%u ms=%" PRId64,
		 call->id, why, call->replica, call->attempts, call->tokens,
		 (entry_now_us(call->entry) - call->sent_us) / 1000);
	exclude_replica(call);
	attempt_finish(call);
	if (!may_retry(call) ||
	    !retry_budget_take(&call->service->retry_budget, now)) {
		fail_after_attempts(call, why);
		return;
	}
	if (redispatch(call))
		return;
	/*
	 * A replica may recover soon, including those excluded after a failed
	 * attempt.
	 */
	call->route.avoid_count = 0;
	call->state = CALL_AWAITING_REPLICA;
	call->replica_wait_until_ms = now + STALL_LIMIT_MS;
	if (!call->response_started)
		call->replica_wait_until_ms = MIN(call->replica_wait_until_ms,
						  call->deadline_ms);
}

/* The endpoint has not run the call, so even a once-only one may be retried. */
static void handle_not_sent(struct call *call)
{
	router_suspect(call->service->router, call->replica,
		       entry_now_ms(call->entry));
	if (!call->once_only || may_retry(call)) {
		retry(call, "refused the connection");
		return;
	}
	call_fail_not_run(call, RD_NO_REPLICA,
			  "the endpoint refused the connection",
			  RETRY_AFTER_MS);
}

static void handle_failure(struct call *call, const char *why)
{
	call->may_have_run = true;
	if (!call->once_only) {
		retry(call, why);
		return;
	}
	attempt_finish(call);
	if (call->booking_key)
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
	else
		call_fail(call, RD_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, why, 0);
}

/* ---- receiving the response ---- */

static void measure_decode_rate(struct call *call, uint32_t tokens)
{
	int64_t now_us = entry_now_us(call->entry);

	router_progress(call->service->router, call->replica, tokens);
	call->reported_tokens += tokens;
	clear_awaiting_first(call);
	if (!call->first_event_us)
		call->first_event_us = now_us;
	if (!call->rate_sampled_us) {
		call->rate_sampled_us = now_us;
		call->rate_sample_tokens = 0;
		router_add_prefill_sample(call->service->router, call->replica,
					  call->route.prompt_tokens,
					  now_us - call->sent_us);
		return;
	}
	call->rate_sample_tokens += tokens;
	if (call->rate_sample_tokens < RATE_SAMPLE_TOKENS)
		return;
	router_add_step_sample(call->service->router, call->replica,
			       now_us / 1000, call->rate_sample_tokens,
			       now_us - call->rate_sampled_us);
	call->rate_sampled_us = now_us;
	call->rate_sample_tokens = 0;
}

static void on_output_drained(struct evhttp_connection *conn, void *ctx)
{
	struct call *call = ctx;

	(void)conn;
	if (!call->paused || !call->upstream)
		return;
	call->paused = false;
	upstream_pause(call->upstream, false);
}

static void start_stream_response(struct call *call)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(call->req);

	call->format->response_headers(call, headers);
	if (call->entry->draining)
		evhttp_add_header(headers, "Connection", "close");
	evhttp_send_reply_start(call->req, HTTP_OK, "OK");
	call->response_started = true;
	call->first_byte_us = entry_now_us(call->entry);
	estimate_add(&call->service->first_byte,
		     (double)(call->first_byte_us - call->sent_us) / US_PER_MS);
	counters_record_duration(call->entry->opts.counters, HISTOGRAM_TTFT,
				 call->first_byte_us - call->started_us);
}

static void forward_events(struct call *call, struct evbuffer *events)
{
	struct evhttp_connection *conn;
	struct bufferevent *bev;

	if (!call->response_started)
		start_stream_response(call);
	evhttp_send_reply_chunk_with_cb(call->req, events, on_output_drained,
					call);
	conn = evhttp_request_get_connection(call->req);
	bev = evhttp_connection_get_bufferevent(conn);
	if (evbuffer_get_length(bufferevent_get_output(bev)) >
		    OUTPUT_HIGH_WATER_BYTES &&
	    call->upstream) {
		call->paused = true;
		upstream_pause(call->upstream, true);
	}
}

static void handle_stream_data(struct call *call, struct evbuffer *data)
{
	struct evbuffer *events = evbuffer_new();
	uint32_t tokens;

	evbuffer_add_buffer(call->response_body, data);
	tokens = call->format->move_events(call, call->response_body, events);
	if (tokens) {
		call->tokens += tokens;
		counters_add(call->entry->opts.counters, COUNTER_TOKENS,
			     tokens);
		measure_decode_rate(call, tokens);
	}
	if (evbuffer_get_length(events) && call->req)
		forward_events(call, events);
	evbuffer_free(events);
	if (evbuffer_get_length(call->response_body) >
	    INCOMPLETE_EVENT_MAX_BYTES) {
		cancel_upstream(call);
		handle_failure(call, "sent an event that is too long");
	}
}

static bool is_stream(const struct call *call)
{
	return call->stream && call->status == HTTP_OK &&
	       call->response_class == RESPONSE_FORWARD;
}

static bool on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	struct call *call = ctx;
	const char *type = evhttp_find_header(headers, "Content-Type");

	call->status = status;
	g_free(call->response_type);
	call->response_type = g_strdup(type ? type : "");
	call->is_framed = evhttp_find_header(headers, "Content-Length") ||
			  evhttp_find_header(headers, "Transfer-Encoding");
	call->response_class = call->format->classify_response(call, status,
							       headers);
	/*
	 * After a mismatched response, the response to this request may still
	 * follow on the connection, which must not be reused.
	 */
	return call->response_class != RESPONSE_MISMATCHED;
}

static void on_data(void *ctx, struct evbuffer *data)
{
	struct call *call = ctx;
	size_t limit = (size_t)call->entry->opts.settings->limits.body_bytes;

	router_response_activity(call->service->router, call->replica,
				 entry_now_ms(call->entry));
	if (call->response_class == RESPONSE_MISMATCHED) {
		evbuffer_drain(data, evbuffer_get_length(data));
		return;
	}
	if (is_stream(call)) {
		handle_stream_data(call, data);
		return;
	}
	if (evbuffer_get_length(call->response_body) +
		    evbuffer_get_length(data) >
	    limit) {
		call->response_too_large = true;
		evbuffer_drain(data, evbuffer_get_length(data));
		return;
	}
	evbuffer_add_buffer(call->response_body, data);
}

/* ---- end of the response ---- */

static void finish_response(struct call *call)
{
	size_t size = evbuffer_get_length(call->response_body);
	const void *body = evbuffer_pullup(call->response_body, -1);

	if (call->response_too_large) {
		handle_failure(call, "answered with more than body_bytes");
		return;
	}
	log_info(&attempt_log,
		 "request %s: response complete replica=%u status=%d bytes=%zu "
		 "ms=%" PRId64,
		 call->id, call->replica, call->status, size,
		 (entry_now_us(call->entry) - call->started_us) / 1000);
	parts_answered(call);
	attempt_finish(call);
	if (call->booking_key)
		booking_end(call, BOOKING_ANSWERED, call->status,
			    call->response_type, body ? body : "", size);
	else
		call_respond(call, call->status, call->response_type,
			     body ? body : "", size);
}

static void handle_not_run(struct call *call)
{
	log_info(&attempt_log,
		 "request %s: not run by the endpoint replica=%u "
		 "status=%d",
		 call->id, call->replica, call->status);
	if (may_retry(call)) {
		retry(call, "says it did not run it");
		return;
	}
	attempt_finish(call);
	fail_after_attempts(call, "no endpoint could take it");
}

static bool should_retry_failure(const struct call *call)
{
	return call->response_class == RESPONSE_FAILED && !call->once_only &&
	       may_retry(call);
}

static void complete_stream(struct call *call)
{
	parts_answered(call);
	call_complete_stream(call);
}

static void on_end(void *ctx, enum upstream_result end)
{
	struct call *call = ctx;

	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_IN_FLIGHT, -1);
	if (end == UPSTREAM_CLOSED)
		ends_add_break(call->entry->ends, call);
	if (end == UPSTREAM_NOT_SENT)
		handle_not_sent(call);
	else if (end == UPSTREAM_FAILED || end == UPSTREAM_CLOSED)
		handle_failure(call, "broke off");
	else if (call->response_class == RESPONSE_MISMATCHED)
		handle_failure(call, "answered another request");
	else if (call->response_class == RESPONSE_NOT_RUN)
		handle_not_run(call);
	else if (should_retry_failure(call))
		handle_failure(call, "failed");
	else if (call->response_started && !is_stream(call))
		handle_failure(call, "refused to go on with the stream");
	else if (!is_stream(call))
		finish_response(call);
	else if (call->format->stream_complete(call))
		complete_stream(call);
	else
		handle_failure(call, "ended the stream early");
}

/* ---- sending ---- */

static void add_headers(void *ctx, struct evkeyvalq *out)
{
	const struct call *call = ctx;

	call->format->request_headers(call, out);
}

static void reset_response(struct call *call)
{
	evbuffer_drain(call->response_body,
		       evbuffer_get_length(call->response_body));
	call->status = 0;
	call->response_class = RESPONSE_FORWARD;
	call->response_too_large = false;
	call->first_event_us = 0;
	call->rate_sampled_us = 0;
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
		.close_delimited = call->format->close_delimited,
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

	if (parts_refuse(call, true))
		return;
	if (call->ticket.waiting) {
		admission_dequeue(call->service->admission, &call->ticket);
		call->admitted = true;
		counters_record_duration(entry->opts.counters, HISTOGRAM_QUEUE,
					 entry_now_us(entry) -
						 call->started_us);
	}
	call->sent_us = entry_now_us(entry);
	log_choice(call, choice);
	reset_response(call);
	call->attempts++;
	call->state = CALL_DISPATCHED;
	call->replica = choice->replica;
	call->epoch = choice->epoch;
	g_strlcpy(call->address, choice->address, sizeof(call->address));
	router_sent(call->service->router, choice->replica, entry_now_ms(entry),
		    &call->route);
	call->awaiting_first = true;
	call->overdue_awaiting_first = call->route.no_pending_prefill;
	call->service->overdue_awaiting_first += call->overdue_awaiting_first
							 ? 1
							 : 0;
	counters_add(entry->opts.counters, COUNTER_IN_FLIGHT, 1);
	send_request(call);
}

void attempt_replica_lost(struct call *call, const char *why)
{
	if (call->state != CALL_DISPATCHED || !call->upstream)
		return;
	/* A call that must not be repeated can only wait for its response. */
	if (call->once_only)
		return;
	cancel_upstream(call);
	handle_failure(call, why);
}

void attempt_tick_awaiting(struct call *call, int64_t now_ms)
{
	if (redispatch(call) || now_ms < call->replica_wait_until_ms)
		return;
	fail_after_attempts(call, "no replica to go on at");
}
