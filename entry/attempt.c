/* Dispatch of a call to an endpoint, handling of the response and retries. */
#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/call_class.h"
#include "entry/kept.h"
#include "entry/leaving.h"
#include "entry/limits.h"
#include "entry/parts.h"
#include "entry/reach.h"
#include "entry/relay.h"

/*
 * A stream that gets data without a complete event for this long is cut. Also
 * the longest wait for a replica to retry at.
 */
#define STALL_LIMIT_MS 5000
/* Counts of a gap between data that complete no event. */
#define STALL_GAP_MAX_MS (STALL_LIMIT_MS / 4)
/* Above this much unsent output, reading from the endpoint is paused. */
#define OUTPUT_HIGH_WATER_BYTES 65536u
#define RATE_SAMPLE_TOKENS 16u
/* Limit on an incomplete event; no engine sends larger ones. */
#define INCOMPLETE_EVENT_MAX_BYTES 65536u
#define COPIED_PIECE_MAX_BYTES 4096
/* Limit on an incomplete chunk of a stream, which may hold several events. */
#define STREAM_CHUNK_MAX_BYTES 262144u
/* A request under which so many replicas ended isn't sent to another. */
#define REPLICA_ENDS_MAX 2u
/* Limit on the time until a stream's request is sent. */
#define UNSENT_STREAM_MS 5000
/* Lets a stream's deadline come before the timeout of its connection. */
#define DEADLINE_MARGIN_MS 1000
#define US_PER_MS 1000
/* Limit on the time until a request to another entry is sent. */
#define RELAY_UNSENT_MS 500

static const struct log attempt_log = { "call" };

/* `body` is empty, and belongs to the response then. */
static void init_response(struct response *response, struct evbuffer *body)
{
	*response = (struct response){ .body = body };
	TAILQ_INIT(&response->headers);
}

static void on_body_changed(struct evbuffer *body,
			    const struct evbuffer_cb_info *info, void *arg)
{
	struct attempt *attempt = arg;

	(void)info;
	room_set(attempt->answers, &attempt->held, evbuffer_get_length(body));
	room_got_on(attempt->answers, &attempt->held);
}

struct attempt *attempt_create(struct call *call)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	init_response(&attempt->response, evbuffer_new());
	attempt->answers = &call->entry->answers;
	attempt->held.owner = call;
	evbuffer_add_cb(attempt->response.body, on_body_changed, attempt);
	return attempt;
}

static void clear_head(struct response *response)
{
	evhttp_clear_headers(&response->headers);
	g_free(response->type);
}

void attempt_free(struct attempt *attempt)
{
	clear_head(&attempt->response);
	room_set(attempt->answers, &attempt->held, 0);
	evbuffer_free(attempt->response.body);
	g_free(attempt);
}

static void cancel_upstream(struct call *call)
{
	if (!call->attempt->upstream)
		return;
	upstream_cancel(call->attempt->upstream);
	call->attempt->upstream = NULL;
	if (!call->attempt->paused)
		reach_ended(call);
	counters_add(call->entry->opts.counters, COUNTER_IN_FLIGHT, -1);
}

static void clear_awaiting_first(struct call *call)
{
	if (call->attempt->awaiting_first)
		router_prefill_done(call->service->router,
				    call->attempt->replica,
				    call->attempt->epoch,
				    call->route.prompt_tokens);
	call->attempt->awaiting_first = false;
	call->service->overdue_awaiting_first -=
		call->attempt->overdue_awaiting_first ? 1 : 0;
	call->attempt->overdue_awaiting_first = false;
}

void attempt_finish(struct call *call)
{
	uint32_t expected = call->route.output_tokens;

	cancel_upstream(call);
	parts_attempt_over(call);
	clear_awaiting_first(call);
	if (call->attempt->replica)
		router_done(call->service->router, call->attempt->replica,
			    call->attempt->epoch,
			    expected - MIN(expected,
					   call->attempt->reported_tokens));
	call->attempt->replica = 0;
	call->attempt->peer = 0;
	call->attempt->endpoint = 0;
	call->attempt->reported_tokens = 0;
}

static bool can_resume(const struct call *call)
{
	return !call->format->can_resume || call->format->can_resume(call);
}

static void exclude_replica(struct call *call)
{
	struct router_request *route = &call->route;

	if (!call->attempt->replica)
		return;
	for (uint32_t i = 0; i < route->avoid_count; i++)
		if (route->avoid[i] == call->attempt->replica)
			return;
	if (route->avoid_count < G_N_ELEMENTS(route->avoid))
		route->avoid[route->avoid_count++] = call->attempt->replica;
}

/* A started stream goes on for as long as its entry can. */
static bool has_time_left(const struct call *call)
{
	return reply_has_started(call->reply) || call_has_time(call);
}

bool attempt_may_retry(const struct call *call)
{
	return call->attempts < call->attempts_max &&
	       call->replica_ends < REPLICA_ENDS_MAX && can_resume(call) &&
	       (reply_is_open(call->reply) || call->booking_key) &&
	       entry_now_ms(call->entry) < call->deadline_ms &&
	       has_time_left(call);
}

static void count_retry(const struct call *call)
{
	counters_add(call->entry->opts.counters,
		     reply_has_started(call->reply) ? COUNTER_RESUMES
						    : COUNTER_RETRIES,
		     1);
}

/*
 * Dispatches a call again to any usable replica, even one whose slots are all
 * taken: the call has already passed admission.
 */
static bool redispatch(struct call *call)
{
	struct entry *entry = call->entry;
	struct router_choice choice;

	if (relay_wanted(call) && attempt_relay(call)) {
		count_retry(call);
		return true;
	}
	call->route.no_pending_prefill = false;
	router_choose(call->service->router, entry_now_ms(entry),
		      ROUTER_FILL_UNLIMITED, &call->route, &choice);
	if (!choice.replica)
		return false;
	count_retry(call);
	attempt_dispatch(call, &choice);
	return true;
}

/* Ends a call after its last attempt failed. */
static void fail_after_attempts(struct call *call, const char *why)
{
	int64_t wait_ms = limits_wait_ms(call->service, 1);

	if (call->may_have_run || reply_has_started(call->reply))
		call_fail(call, RD_UPSTREAM_BROKE, OUTCOME_UNKNOWN, why,
			  RETRY_AFTER_MS);
	else
		call_fail_not_run(
			call, RD_NO_REPLICA, why,
			(int)MAX(MAX(RETRY_AFTER_MS, wait_ms),
				 call->attempt->response.retry_after_ms));
}

static void log_failed_attempt(const struct call *call, const char *why)
{
	log_note(&attempt_log,
		 "request %s: %s replica=%u entry=%u attempt=%u "
		 "content=%" PRIx64 " tokens=%u ms=%" PRId64,
		 call->id, why, call->attempt->replica, call->attempt->peer,
		 call->attempts, call->content, call->tokens,
		 (entry_now_us(call->entry) - call->attempt->sent_us) / 1000);
}

static void end_failed_attempt(struct call *call, const char *why)
{
	log_failed_attempt(call, why);
	exclude_replica(call);
	attempt_finish(call);
}

static bool try_another(struct call *call)
{
	struct retry_budget *budget = &call->service->retry_budget;

	return attempt_may_retry(call) &&
	       retry_budget_take(budget, entry_now_ms(call->entry)) &&
	       redispatch(call);
}

/*
 * After the current attempt has failed: tries another replica, or goes on with
 * the kept attempt. A request under which replicas end isn't waited for: the
 * kept one is probably silent for the same reason.
 */
static void go_back(struct call *call, const char *why)
{
	end_failed_attempt(call, why);
	if (call->replica_ends >= REPLICA_ENDS_MAX)
		fail_after_attempts(call, why);
	else if (!try_another(call))
		kept_restore(call, why);
}

static void retry(struct call *call, const char *why)
{
	int64_t now = entry_now_ms(call->entry);

	end_failed_attempt(call, why);
	if (!attempt_may_retry(call) ||
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
	if (!reply_has_started(call->reply))
		call->replica_wait_until_ms = MIN(call->replica_wait_until_ms,
						  call->deadline_ms);
}

/* An attempt that reached nobody is none of those that the route allows. */
static void note_unreached(struct call *call)
{
	if (call->attempt->peer) {
		relay_peer_failed(call);
		call->attempts--;
		return;
	}
	router_suspect(call->service->router, call->attempt->replica,
		       entry_now_ms(call->entry), SUSPECT_UNREACHABLE);
	if (call->unreached++ < UNREACHED_MAX &&
	    (call->relayed || relay_possible(call)))
		call->attempts--;
}

/* The endpoint has not run the call, so even a once-only one may be retried. */
static void handle_not_sent(struct call *call)
{
	note_unreached(call);
	if (call->kept) {
		go_back(call, "refused the connection");
		return;
	}
	if (!call->once_only || attempt_may_retry(call)) {
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
	if (call->kept) {
		go_back(call, why);
		return;
	}
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

/* Fails an attempt whose response was cut at one of this entry's limits. */
static void fail_cut(struct call *call, const char *why)
{
	log_note(&attempt_log, "request %s: response cut: %s replica=%u at=%s",
		 call->id, why, call->attempt->replica, call->attempt->address);
	counters_add(call->entry->opts.counters, COUNTER_ANSWERS_CUT, 1);
	handle_failure(call, why);
}

/* ---- receiving the response ---- */

static void measure_decode_rate(struct call *call, uint32_t tokens)
{
	int64_t now_us = entry_now_us(call->entry);

	router_progress(call->service->router, call->attempt->replica, tokens);
	call->attempt->reported_tokens += tokens;
	clear_awaiting_first(call);
	if (!call->attempt->first_event_us)
		call->attempt->first_event_us = now_us;
	if (!call->attempt->rate_sampled_us) {
		call->attempt->rate_sampled_us = now_us;
		call->attempt->rate_sample_tokens = 0;
		router_add_prefill_sample(call->service->router,
					  call->attempt->replica,
					  call->route.prompt_tokens,
					  now_us - call->attempt->sent_us);
		return;
	}
	call->attempt->rate_sample_tokens += tokens;
	if (call->attempt->rate_sample_tokens < RATE_SAMPLE_TOKENS)
		return;
	router_add_step_sample(call->service->router, call->attempt->replica,
			       now_us / 1000, call->attempt->rate_sample_tokens,
			       now_us - call->attempt->rate_sampled_us);
	call->attempt->rate_sampled_us = now_us;
	call->attempt->rate_sample_tokens = 0;
}

static void on_output_drained(struct evhttp_connection *conn, void *ctx)
{
	struct call *call = ctx;

	(void)conn;
	if (!call->attempt->paused || !call->attempt->upstream)
		return;
	call->attempt->paused = false;
	call->attempt->data_ms = entry_now_ms(call->entry);
	reach_sent(call);
	upstream_pause(call->attempt->upstream, false);
}

static void forward_events(struct call *call, struct evbuffer *events)
{
	size_t unsent_bytes;

	if (!reply_has_started(call->reply))
		call_start_stream(call);
	unsent_bytes = reply_send_events(call->reply, events, on_output_drained,
					 call);
	if (unsent_bytes > OUTPUT_HIGH_WATER_BYTES && call->attempt->upstream) {
		call->attempt->paused = true;
		/* What isn't read is no silence of the endpoint. */
		reach_ended(call);
		upstream_pause(call->attempt->upstream, true);
	}
}

/* Moving pieces of a few bytes would keep a buffer of 1 KiB for each. */
static void add_response_data(struct call *call, struct evbuffer *data)
{
	size_t size = evbuffer_get_length(data);
	char piece[COPIED_PIECE_MAX_BYTES];

	if (size > sizeof(piece)) {
		evbuffer_add_buffer(call->attempt->response.body, data);
		return;
	}
	evbuffer_remove(data, piece, size);
	evbuffer_add(call->attempt->response.body, piece, size);
}

/* Ends the attempt before its response, whose connection is closed. */
static void cut_response(struct call *call, const char *why)
{
	cancel_upstream(call);
	fail_cut(call, why);
}

static void note_activity(struct call *call)
{
	router_response_activity(call->service->router, call->attempt->replica,
				 entry_now_ms(call->entry));
}

/*
 * Adds up the time in which data came that completed no event. A long gap may
 * be this process's own, so it counts in part.
 */
static bool is_stalled(struct call *call, bool event_complete)
{
	int64_t now = entry_now_ms(call->entry);
	int64_t gap = MIN(now - call->attempt->data_ms, STALL_GAP_MAX_MS);

	call->attempt->data_ms = now;
	call->attempt->eventless_ms =
		event_complete ? 0 : call->attempt->eventless_ms + gap;
	return call->attempt->eventless_ms >= STALL_LIMIT_MS;
}

static const char *format_fault(const struct call *call)
{
	return call->format->stream_fault ? call->format->stream_fault(call)
					  : NULL;
}

static void handle_stream_data(struct call *call, struct evbuffer *data)
{
	struct evbuffer *events = evbuffer_new();
	bool stalled;
	uint32_t tokens;

	add_response_data(call, data);
	tokens = call->format->move_events(call, call->attempt->response.body,
					   events);
	if (tokens) {
		call->tokens += tokens;
		counters_add(call->entry->opts.counters, COUNTER_TOKENS,
			     tokens);
		measure_decode_rate(call, tokens);
	}
	stalled = is_stalled(call, evbuffer_get_length(events) != 0);
	if (evbuffer_get_length(events))
		note_activity(call);
	if (tokens)
		kept_drop(call);
	if (evbuffer_get_length(events) && reply_is_open(call->reply))
		forward_events(call, events);
	evbuffer_free(events);
	if (format_fault(call)) {
		cancel_upstream(call);
		handle_failure(call, format_fault(call));
	} else if (evbuffer_get_length(call->attempt->response.body) >
		   INCOMPLETE_EVENT_MAX_BYTES) {
		cut_response(call, "sent an event that is too long");
	} else if (stalled) {
		cut_response(call, "completed no event");
	}
}

/* Whether it is what an endpoint says of the request, to be passed on whole. */
static bool is_endpoints_answer(const struct response *response)
{
	return response->class == RESPONSE_FORWARD ||
	       response->class == RESPONSE_FAILED;
}

static bool is_stream(const struct call *call)
{
	return call->stream && call->method != EVHTTP_REQ_HEAD &&
	       call->attempt->response.status == HTTP_OK &&
	       call->attempt->response.class == RESPONSE_FORWARD;
}

/* Reads what the caller may get of the response, and what others need of it. */
static void read_head(struct call *call, int status, struct evkeyvalq *headers)
{
	const struct call_format *format = call->format;
	struct response *response = &call->attempt->response;
	const char *type = evhttp_find_header(headers, "Content-Type");

	response->status = status;
	g_free(response->type);
	response->type = g_strdup(type ? type : "");
	response->class = call->attempt->peer
				  ? relay_classify(call, status, headers)
				  : format->classify_response(call, status,
							      headers);
	/* The caller of a resumed stream has the headers of the first one. */
	if (is_endpoints_answer(response) && format->copy_response_headers &&
	    !reply_has_started(call->reply))
		format->copy_response_headers(headers, &response->headers);
	limits_read(call, headers);
	leaving_read(call, headers);
}

/* Ends a call for want of memory for its answer. */
static void drop_answer(struct call *call)
{
	struct evbuffer *body;

	log_note(&attempt_log,
		 "request %s: response dropped: no room replica=%u bytes=%zu",
		 call->id, call->attempt->replica,
		 call->attempt->response.bytes);
	counters_add(call->entry->opts.counters, COUNTER_ANSWERS_CUT, 1);
	kept_drop(call);
	attempt_finish(call);
	body = call->attempt->response.body;
	evbuffer_drain(body, evbuffer_get_length(body));
	if (call->booking_key)
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
	else
		call_fail(call, RD_UPSTREAM_BROKE, OUTCOME_UNKNOWN,
			  "no room for the answer", 0);
}

/* Ends the call itself, or others, while unfinished answers exceed their room.
 */
static void make_room(struct call *call)
{
	struct entry *entry = call->entry;
	struct room_holder *mover = &call->attempt->held;
	struct room_holder *holder;

	while ((holder = room_pick(&entry->answers, mover))) {
		struct call *other = holder->owner;

		drop_answer(other);
		/* Its kept attempt may be the holder. */
		if (other == call)
			return;
	}
}

static bool on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	struct call *call = ctx;

	reach_answered(call);
	read_head(call, status, headers);
	if (call->attempt->response.class != RESPONSE_MISMATCHED)
		return true;
	/* Its body may never end, nor be followed by this call's response. */
	cancel_upstream(call);
	handle_failure(call, "sent a response that is not taken");
	return false;
}

static void on_data(void *ctx, struct evbuffer *data)
{
	struct call *call = ctx;
	size_t limit = (size_t)call->entry->opts.settings->limits.body_bytes;

	reach_heard(call);
	call->attempt->response.bytes += evbuffer_get_length(data);
	if (is_stream(call)) {
		handle_stream_data(call, data);
		return;
	}
	call->attempt->data_ms = entry_now_ms(call->entry);
	note_activity(call);
	if (evbuffer_get_length(call->attempt->response.body) +
		    evbuffer_get_length(data) >
	    limit) {
		call->oversized_at = call->attempt->replica;
		cut_response(call, "answered with more than body_bytes");
		return;
	}
	add_response_data(call, data);
	make_room(call);
}

/* ---- end of the response ---- */

/*
 * No request makes a sound endpoint send such a response, so its replica is
 * avoided by all calls for a while.
 */
static void handle_exceeded(struct call *call)
{
	router_suspect(call->service->router, call->attempt->replica,
		       entry_now_ms(call->entry), SUSPECT_FAULTY);
	fail_cut(call, "sent a head or framing without end");
}

/*
 * The request itself may be the cause of a response over the limit. Another
 * replica's answer within it shows that it isn't.
 */
static void suspect_oversized(struct call *call)
{
	if (call->oversized_at && call->oversized_at != call->attempt->replica)
		router_suspect(call->service->router, call->oversized_at,
			       entry_now_ms(call->entry), SUSPECT_FAULTY);
}

static const void *body_text(struct evbuffer *body)
{
	return evbuffer_get_length(body) ? evbuffer_pullup(body, -1)
					 : (void *)"";
}

static void finish_response(struct call *call)
{
	const struct response *response = &call->attempt->response;
	size_t size = evbuffer_get_length(response->body);

	/* A whole answer doesn't give way, e.g. while it is recorded. */
	call->attempt->held.fixed = true;
	assert(is_endpoints_answer(response));
	suspect_oversized(call);
	log_info(&attempt_log,
		 "request %s: response complete replica=%u status=%d bytes=%zu "
		 "ms=%" PRId64,
		 call->id, call->attempt->replica,
		 call->attempt->response.status, size,
		 (entry_now_us(call->entry) - call->started_us) / 1000);
	kept_drop(call);
	parts_answered(call);
	call_class_add_complete(call);
	attempt_finish(call);
	if (call->booking_key)
		booking_end(call, BOOKING_ANSWERED, response->status,
			    response->type, body_text(response->body), size);
	else
		call_respond(call, response->status, response->type,
			     response->body);
}

static void handle_not_run(struct call *call)
{
	log_info(&attempt_log,
		 "request %s: not run by the endpoint replica=%u entry=%u "
		 "status=%d",
		 call->id, call->attempt->replica, call->attempt->peer,
		 call->attempt->response.status);
	if (call->kept) {
		go_back(call, "says it did not run it");
		return;
	}
	/* It says when to come back, as this entry would. */
	if (call->attempt->peer &&
	    call->attempt->response.status == HTTP_TOO_MANY_REQUESTS) {
		attempt_finish(call);
		call_fail_not_run(call, RD_OVERLOADED,
				  "another entry refused it",
				  call->attempt->response.retry_after_ms);
		return;
	}
	if (attempt_may_retry(call)) {
		retry(call, "says it did not run it");
		return;
	}
	attempt_finish(call);
	fail_after_attempts(call, "no endpoint could take it");
}

static bool should_retry_failure(const struct call *call)
{
	return call->attempt->response.class == RESPONSE_FAILED &&
	       !call->once_only && attempt_may_retry(call);
}

static const char *result_name(enum upstream_result result)
{
	switch (result) {
	case UPSTREAM_COMPLETE:
		return "complete";
	case UPSTREAM_NOT_SENT:
		return "not-sent";
	case UPSTREAM_EXCEEDED:
		return "exceeded";
	case UPSTREAM_CLOSED:
		return "closed";
	default:
		return "failed";
	}
}

static const char *class_name(enum response_class response_class)
{
	static const char *const names[] = {
		[RESPONSE_FORWARD] = "forward",
		[RESPONSE_NOT_RUN] = "not-run",
		[RESPONSE_FAILED] = "failed",
		[RESPONSE_NO_ANSWER] = "no-answer",
		[RESPONSE_MISMATCHED] = "mismatched",
	};

	return names[response_class];
}

/* Logged even where lines about successful requests aren't. */
static bool is_notable(const struct call *call, const struct upstream_end *end)
{
	return end->result != UPSTREAM_COMPLETE ||
	       end->framing == FRAMING_CLOSE ||
	       call->attempt->response.class == RESPONSE_FAILED ||
	       call->attempt->response.class == RESPONSE_MISMATCHED ||
	       (is_stream(call) && !call->attempt->response.bytes);
}

static void log_end(const struct call *call, const struct upstream_end *end)
{
	log_at(&attempt_log,
	       is_notable(call, end) ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_INFO,
	       "request %s: endpoint's response ended result=%s replica=%u "
	       "attempt=%u status=%d class=%s framing=%s failure=%s "
	       "connection=%s bytes=%zu incomplete=%zu tokens=%u started=%s",
	       call->id, result_name(end->result), call->attempt->replica,
	       call->attempts, call->attempt->response.status,
	       class_name(call->attempt->response.class),
	       upstream_framing_name(end->framing),
	       end->failure ? end->failure : "-",
	       end->reused_connection ? "reused" : "new",
	       call->attempt->response.bytes,
	       evbuffer_get_length(call->attempt->response.body), call->tokens,
	       reply_has_started(call->reply) ? "yes" : "no");
}

/*
 * Whether a stream without an event states that the caller has all of it. One
 * that only closes its connection may have broken off.
 */
static bool nothing_is_left(const struct call *call,
			    const struct upstream_end *end)
{
	bool resumes = reply_has_started(call->reply) ||
		       (call->format->caller_resumes &&
			call->format->caller_resumes(call));

	return resumes && end->framing != FRAMING_CLOSE;
}

/* Whether the endpoint ended the connection before its response was complete.
 */
static bool connection_broke(const struct call *call,
			     const struct upstream_end *end)
{
	bool unfinished = is_stream(call) &&
			  (!call->attempt->response.bytes ||
			   !call->format->stream_complete(call));

	return end->result == UPSTREAM_CLOSED ||
	       (end->result == UPSTREAM_COMPLETE &&
		end->framing == FRAMING_CLOSE && unfinished);
}

static void complete_stream(struct call *call)
{
	kept_drop(call);
	parts_answered(call);
	call_complete_stream(call);
}

static void on_end(void *ctx, const struct upstream_end *end)
{
	struct call *call = ctx;

	call->attempt->upstream = NULL;
	if (end->result != UPSTREAM_COMPLETE &&
	    end->result != UPSTREAM_EXCEEDED)
		reach_failed(call);
	if (!call->attempt->paused)
		reach_ended(call);
	counters_add(call->entry->opts.counters, COUNTER_IN_FLIGHT, -1);
	call->attempt->response.is_framed = end->framing != FRAMING_CLOSE;
	log_end(call, end);
	if (connection_broke(call, end) &&
	    ends_add_break(call->entry->ends, call) &&
	    end->result == UPSTREAM_CLOSED) {
		call->replica_ends++;
		call->last_end_ms = entry_now_ms(call->entry);
	}
	if (end->result == UPSTREAM_NOT_SENT)
		handle_not_sent(call);
	else if (end->result == UPSTREAM_EXCEEDED)
		handle_exceeded(call);
	else if (end->result == UPSTREAM_FAILED ||
		 end->result == UPSTREAM_CLOSED)
		handle_failure(call, "broke off");
	else if (call->attempt->response.class == RESPONSE_NOT_RUN)
		handle_not_run(call);
	else if (call->attempt->response.class == RESPONSE_NO_ANSWER)
		handle_failure(call, "another entry has no answer");
	else if (should_retry_failure(call) ||
		 (call->kept &&
		  call->attempt->response.class == RESPONSE_FAILED))
		handle_failure(call, "failed");
	else if (reply_has_started(call->reply) && !is_stream(call))
		handle_failure(call, "refused to go on with the stream");
	else if (!is_stream(call))
		finish_response(call);
	else if (!call->format->stream_complete(call))
		handle_failure(call, "ended the stream early");
	else if (!call->attempt->response.bytes && !nothing_is_left(call, end))
		handle_failure(call, "ended the stream before an event");
	else
		complete_stream(call);
}

/* ---- sending ---- */

static void add_headers(void *ctx, struct evkeyvalq *out)
{
	const struct call *call = ctx;

	if (!call->attempt->peer) {
		call->format->request_headers(call, out);
		return;
	}
	call->format->relay_headers(call, out);
	relay_add_header(call, out);
}

static void reset_response(struct call *call)
{
	struct attempt *attempt = call->attempt;
	struct evbuffer *body = attempt->response.body;

	evbuffer_drain(body, evbuffer_get_length(body));
	clear_head(&attempt->response);
	init_response(&attempt->response, body);
	attempt->first_event_us = 0;
	attempt->rate_sampled_us = 0;
	attempt->data_ms = entry_now_ms(call->entry);
	attempt->eventless_ms = 0;
	attempt->paused = false;
	attempt->held.fixed = false;
	call->doubt = NULL;
	call->search_due_ms = 0;
}

/*
 * Silence alone ends no stream: its deadline does. One without a deadline may
 * be silent as long as its first event may take.
 */
static int64_t stream_idle_ms(const struct call *call)
{
	int64_t now_ms = entry_now_ms(call->entry);
	int64_t until_ms = call->completion_deadline_ms;

	if (!until_ms)
		until_ms = now_ms + call->deadline_ms -
			   call->started_us / US_PER_MS;
	return MAX(0, until_ms - now_ms) + DEADLINE_MARGIN_MS;
}

static void send_request(struct call *call)
{
	int64_t left_ms = MAX(1, call->deadline_ms - entry_now_ms(call->entry));
	struct upstream_request request = {
		.id = call->id,
		.address = call->attempt->address,
		.method = call->method,
		.path = call->path,
		.add_headers = add_headers,
		.once_only = call->once_only,
		.close_delimited = call->format->close_delimited,
		.unsent_timeout_ms = (int)left_ms,
		.idle_timeout_ms = (int)left_ms,
		.pending_max_bytes = STREAM_CHUNK_MAX_BYTES,
		.head = on_head,
		.data = on_data,
		.end = on_end,
		.ctx = call,
	};

	if (call->stream) {
		request.unsent_timeout_ms = UNSENT_STREAM_MS;
		request.idle_timeout_ms = (int)stream_idle_ms(call);
	} else {
		request.pending_max_bytes =
			(size_t)call->entry->opts.settings->limits.body_bytes;
	}
	if (call->attempt->peer)
		request.unsent_timeout_ms = MIN(request.unsent_timeout_ms,
						RELAY_UNSENT_MS);
	request.body = call->format->request_body(call);
	call->attempt->upstream = upstream_send(call->attempt->peer
							? call->entry->peer_pool
							: call->entry->pool,
						&request);
	reach_sent(call);
	if (request.body)
		g_bytes_unref(request.body);
}

static void log_choice(const struct call *call,
		       const struct router_choice *choice)
{
	log_info(&attempt_log,
		 "request %s: sent replica=%u epoch=%" PRIu64 " at=%s "
		 "service=%s content=%" PRIx64 " prompt=%u present=%u "
		 "cost_ms=%.1f cached=%u "
		 "candidates=%u stale=%u "
		 "suspect=%u full=%u failed=%u slow=%u limited=%u left_out=%s "
		 "after_ms=%" PRId64,
		 call->id, choice->replica, choice->epoch, choice->address,
		 call->service->name, call->content, call->route.prompt_tokens,
		 choice->in_flight, choice->cost_ms, choice->cached_tokens,
		 choice->candidates, choice->stale, choice->suspects,
		 choice->full, choice->avoided, choice->stragglers,
		 choice->limited, *choice->excluded ? choice->excluded : "-",
		 (call->attempt->sent_us - call->started_us) / 1000);
}

static void leave_queue(struct call *call)
{
	struct entry *entry = call->entry;

	if (!call->ticket.waiting)
		return;
	admission_dequeue(call->service->admission, &call->ticket);
	call->admitted = true;
	counters_record_duration(entry->opts.counters, HISTOGRAM_QUEUE,
				 entry_now_us(entry) - call->started_us);
}

static void begin_attempt(struct call *call)
{
	leave_queue(call);
	call->attempt->sent_us = entry_now_us(call->entry);
	reset_response(call);
	call->attempts++;
	call->state = CALL_DISPATCHED;
	counters_add(call->entry->opts.counters, COUNTER_IN_FLIGHT, 1);
}

bool attempt_relay(struct call *call)
{
	if (!relay_choose(call))
		return false;
	begin_attempt(call);
	counters_add(call->entry->opts.counters, COUNTER_RELAYED, 1);
	log_info(&attempt_log,
		 "request %s: sent to another entry entry=%u at=%s service=%s "
		 "attempt=%u unreached=%u after_ms=%" PRId64,
		 call->id, call->attempt->peer, call->attempt->address,
		 call->service->name, call->attempts, call->unreached,
		 (call->attempt->sent_us - call->started_us) / US_PER_MS);
	send_request(call);
	return true;
}

void attempt_leave_unsent(struct call *call)
{
	cancel_upstream(call);
	handle_not_sent(call);
}

void attempt_dispatch(struct call *call, const struct router_choice *choice)
{
	struct entry *entry = call->entry;

	if (parts_refuse(call, true))
		return;
	begin_attempt(call);
	log_choice(call, choice);
	call->attempt->replica = choice->replica;
	call->attempt->epoch = choice->epoch;
	call->attempt->endpoint = choice->endpoint;
	g_strlcpy(call->attempt->address, choice->address,
		  sizeof(call->attempt->address));
	router_sent(call->service->router, choice->replica, entry_now_ms(entry),
		    &call->route);
	call->attempt->awaiting_first = true;
	call->attempt->overdue_awaiting_first = call->route.no_pending_prefill;
	call->service->overdue_awaiting_first +=
		call->attempt->overdue_awaiting_first ? 1 : 0;
	send_request(call);
}

void attempt_move(struct call *call, const char *why)
{
	if (!kept_is_possible(call)) {
		cancel_upstream(call);
		handle_failure(call, why);
		return;
	}
	log_failed_attempt(call, why);
	exclude_replica(call);
	call->may_have_run = true;
	kept_set(call);
	if (!retry_budget_take(&call->service->retry_budget,
			       entry_now_ms(call->entry)) ||
	    !redispatch(call))
		kept_restore(call, "no other replica");
}

bool attempt_check_kept(struct call *call)
{
	if (!kept_has_arrived(call))
		return false;
	kept_restore(call, "more of the response has arrived");
	return true;
}

void attempt_tick_awaiting(struct call *call, int64_t now_ms)
{
	if (!has_time_left(call)) {
		fail_after_attempts(call, "no time is left to go on");
		return;
	}
	if (redispatch(call))
		return;
	if (now_ms >= call->replica_wait_until_ms)
		fail_after_attempts(call, "no replica to go on at");
	else if (!reply_has_started(call->reply) &&
		 now_ms + limits_wait_ms(call->service, 1) >
			 call->replica_wait_until_ms)
		fail_after_attempts(call, "all endpoints want rest");
}
