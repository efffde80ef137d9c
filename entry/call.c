#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "common/log.h"
#include "entry/call.h"

#define RETRY_AFTER_S 1
/* A stream without a token for this long is continued elsewhere. */
#define STALL_LIMIT_MS 5000
/* Above this much unread answer the endpoint is not read from. */
#define OUTPUT_HIGH_BYTES 65536u
#define PACE_TOKENS 16u
#define OUTPUT_SMOOTHING 0.05

static const struct log call_log = { "call" };

static void finish_attempt(struct call *call);

/* Ends a call that surely did not run. */
static void not_run(struct call *call, enum rd_result code, const char *detail,
		    int retry_after_s)
{
	call->refusal = code;
	if (call->booking_key)
		booking_end(call, BOOKING_NOT_RUN, 0, "", "", 0);
	else
		call_refuse(call, code, OUTCOME_NOT_RUN, detail, retry_after_s);
}

/* ---- life ---- */

static void on_caller_left(void *ctx)
{
	struct call *call = ctx;

	log_info(&call_log, "request %s: caller left", call->id);
	counters_add(call->entry->opts.counters, COUNTER_CALLER_LEFT, 1);
	/* Only frees it, its connection being gone. */
	evhttp_send_reply_end(call->req);
	call->req = NULL;
	/* A booking goes on: its outcome must be recorded. */
	if (call->booking_key && call->state != CALL_WAITING)
		return;
	if (call->booking_key)
		not_run(call, RD_CALLER_LEFT, NULL, 0);
	else
		call_destroy(call);
}

void call_start(struct entry *entry, const struct call_opts *opts)
{
	struct call *call = g_new0(struct call, 1);

	call->entry = entry;
	call->service = opts->service;
	call->req = opts->req;
	call->kind = opts->kind;
	g_strlcpy(call->id, opts->id, sizeof(call->id));
	call->account = g_strdup(opts->account->name);
	call->priority = opts->account->priority;
	call->started_us = entry_now_us(entry);
	call->deadline_ms = opts->deadline_ms;
	call->method = evhttp_request_get_command(opts->req);
	call->path = g_strdup(opts->path);
	call->content_type = g_strdup(opts->content_type);
	call->body = opts->body;
	call->chat = opts->chat;
	call->once_only = opts->once_only;
	call->booking_key = g_strdup(opts->booking_key);
	call->route = opts->route;
	call->answer = evbuffer_new();
	sse_init(&call->sse);
	g_hash_table_add(entry->calls, call);
	call->watch = (struct http_watch){ on_caller_left, call };
	http_watch(opts->req, &call->watch);
	if (call->booking_key)
		booking_begin(call);
	else
		call_enter(call);
}

static void leave_queue(struct call *call)
{
	if (call->ticket.waiting)
		admission_leave(call->service->admission, &call->ticket);
	if (!call->admitted)
		return;
	admission_finish(call->service->admission, entry_now_ms(call->entry),
			 &call->ticket,
			 call->route.prompt_tokens + call->sse.tokens + 1.0);
	call->admitted = false;
}

void call_destroy(struct call *call)
{
	finish_attempt(call);
	leave_queue(call);
	g_hash_table_remove(call->entry->calls, call);
	/* Whoever did not get an answer here is cut off with its server. */
	if (call->req)
		http_unwatch(call->req, 1);
	entry_want_pump(call->entry);
	evbuffer_free(call->answer);
	sse_clear(&call->sse);
	json_decref(call->chat);
	if (call->body)
		g_bytes_unref(call->body);
	g_free(call->account);
	g_free(call->path);
	g_free(call->content_type);
	g_free(call->booking_key);
	g_free(call->answer_type);
	g_free(call);
}

/* ---- answering the caller ---- */

static void unwatch(struct call *call)
{
	http_unwatch(call->req,
		     (int)call->entry->opts.settings->limits.slow_sender_s);
}

static void count_end(struct call *call, enum counter which)
{
	struct counters *counters = call->entry->opts.counters;

	counters_add(counters, which, 1);
	counters_time(counters, HISTOGRAM_WHOLE,
		      entry_now_us(call->entry) - call->started_us);
}

/* Ends a stream so that nobody takes it for whole. */
static void break_stream(struct call *call, enum rd_result code)
{
	struct problem problem = { .code = code,
				   .outcome = OUTCOME_UNKNOWN,
				   .request_id = call->id };
	char *text = http_problem_text(&problem);
	struct evhttp_connection *conn =
		evhttp_request_get_connection(call->req);
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "event: error\ndata: %s\n\n", text);
	evhttp_send_reply_chunk(call->req, out);
	evbuffer_free(out);
	free(text);
	count_end(call, COUNTER_BROKEN);
	http_unwatch(call->req, 1);
	call->req = NULL;
	/* Closed without the last chunk, which tells any client. */
	bufferevent_flush(evhttp_connection_get_bufferevent(conn), EV_WRITE,
			  BEV_FLUSH);
	evhttp_connection_free(conn);
}

void call_refuse(struct call *call, enum rd_result code, enum outcome outcome,
		 const char *detail, int retry_after_s)
{
	struct problem problem = {
		.code = code,
		.outcome = outcome,
		.detail = detail,
		.request_id = call->id,
		.retry_after_s = retry_after_s,
	};

	log_info(&call_log, "request %s: refused code=%s outcome=%s account=%s",
		 call->id, rd_result_info(code)->name,
		 outcome == OUTCOME_NOT_RUN ? "not-run" : "unknown",
		 call->account);
	if (call->req && call->started_reply) {
		break_stream(call, code);
	} else if (call->req) {
		count_end(call, outcome == OUTCOME_NOT_RUN ? COUNTER_NOT_RUN
							   : COUNTER_UNKNOWN);
		unwatch(call);
		http_send_problem(call->req, &problem);
		call->req = NULL;
	}
	call_destroy(call);
}

void call_answer(struct call *call, int status, const char *type,
		 const void *body, size_t size)
{
	struct evkeyvalq *headers;

	if (call->req) {
		headers = evhttp_request_get_output_headers(call->req);
		if (type && *type)
			evhttp_add_header(headers, "Content-Type", type);
		evhttp_add_header(headers, "X-Request-Id", call->id);
		evbuffer_add(evhttp_request_get_output_buffer(call->req), body,
			     size);
		count_end(call, COUNTER_ANSWERED);
		unwatch(call);
		evhttp_send_reply(call->req, status, NULL, NULL);
		call->req = NULL;
	}
	call_destroy(call);
}

/* ---- waiting ---- */

/* Until when it may wait and still be answered in time. */
static int64_t waits_until_ms(const struct call *call, int64_t now)
{
	const struct entry *entry = call->entry;
	int64_t until = MIN(call->deadline_ms,
			    now + entry->opts.settings->limits.queue_ms);
	struct router_request expected = call->route;

	/* Only the first token of a stream has a deadline. */
	if (call->kind != CALL_CHAT)
		return until;
	/* What callers allow is more than what answers take. */
	expected.output_tokens = MIN(expected.output_tokens,
				     (uint32_t)call->service->mean_output);
	return MIN(until,
		   call->deadline_ms -
			   router_service_ms(call->service->router, &expected));
}

void call_enter(struct call *call)
{
	struct entry *entry = call->entry;
	int64_t now = entry_now_ms(entry);
	int64_t until = waits_until_ms(call, now);
	int64_t retry_ms = 0;
	double cost = call->route.prompt_tokens + call->route.output_tokens + 1;

	call->state = CALL_WAITING;
	call->ticket.ctx = call;
	if (admission_enter(call->service->admission, now, &call->ticket,
			    call->account, cost, until, &retry_ms)) {
		not_run(call, RD_OVERLOADED, NULL, (int)(retry_ms / 1000 + 1));
		return;
	}
	entry_want_pump(entry);
}

void call_give_up(struct call *call, enum rd_result code)
{
	leave_queue(call);
	not_run(call, code, NULL, RETRY_AFTER_S);
}

/* ---- at an endpoint ---- */

static void drop_upstream(struct call *call)
{
	if (!call->upstream)
		return;
	upstream_cancel(call->upstream);
	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_STREAMS, -1);
}

static void finish_attempt(struct call *call)
{
	uint32_t expected = call->route.output_tokens;

	drop_upstream(call);
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
	return call->attempts < CALL_ATTEMPTS_MAX &&
	       (call->req || call->booking_key) &&
	       entry_now_ms(call->entry) < call->deadline_ms;
}

/* Sends it on if any replica is there; its turn was already given. */
static bool go_on(struct call *call)
{
	struct entry *entry = call->entry;
	struct router_choice choice;

	router_choose(call->service->router, entry_now_ms(entry), false,
		      &call->route, &choice);
	if (!choice.replica)
		return false;
	counters_add(entry->opts.counters,
		     call->started_reply ? COUNTER_RESUMES : COUNTER_RETRIES,
		     1);
	call_dispatch(call, &choice);
	return true;
}

static void try_again(struct call *call, const char *why)
{
	int64_t now = entry_now_ms(call->entry);

	log_info(&call_log, "request %s: replica %u %s, attempt %u tokens=%u",
		 call->id, call->replica, why, call->attempts,
		 call->sse.tokens);
	avoid_replica(call);
	finish_attempt(call);
	if (!may_try_again(call)) {
		call_refuse(call, RD_UPSTREAM_BROKE, OUTCOME_UNKNOWN, why,
			    RETRY_AFTER_S);
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
	router_suspect(call->service->router, call->replica);
	if (!call->once_only || may_try_again(call)) {
		try_again(call, "refused the connection");
		return;
	}
	not_run(call, RD_NO_REPLICA, "the endpoint refused the connection",
		RETRY_AFTER_S);
}

static void broke(struct call *call, const char *why)
{
	if (!call->once_only) {
		try_again(call, why);
		return;
	}
	finish_attempt(call);
	if (call->booking_key)
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
	else
		call_refuse(call, RD_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, why, 0);
}

static void measure_pace(struct call *call, uint32_t tokens)
{
	int64_t now_us = entry_now_us(call->entry);

	router_progress(call->service->router, call->replica, tokens);
	call->counted += tokens;
	if (!call->paced_us) {
		call->paced_us = now_us;
		call->paced_tokens = 0;
		router_prefill(call->service->router, call->replica,
			       call->route.prompt_tokens,
			       now_us - call->sent_us);
		return;
	}
	call->paced_tokens += tokens;
	if (call->paced_tokens < PACE_TOKENS)
		return;
	router_pace(call->service->router, call->replica, now_us / 1000,
		    call->paced_tokens, now_us - call->paced_us);
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
	struct evkeyvalq *headers;

	headers = evhttp_request_get_output_headers(call->req);
	evhttp_add_header(headers, "Content-Type", "text/event-stream");
	evhttp_add_header(headers, "Cache-Control", "no-store");
	evhttp_add_header(headers, "X-Request-Id", call->id);
	evhttp_send_reply_start(call->req, HTTP_OK, "OK");
	call->started_reply = true;
	counters_time(call->entry->opts.counters, HISTOGRAM_FIRST_TOKEN,
		      entry_now_us(call->entry) - call->started_us);
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
	tokens = sse_move(&call->sse, call->answer, events);
	if (tokens) {
		counters_add(call->entry->opts.counters, COUNTER_TOKENS,
			     tokens);
		measure_pace(call, tokens);
	}
	if (evbuffer_get_length(events) && call->req)
		forward(call, events);
	evbuffer_free(events);
}

static void on_head(void *ctx, int status, struct evkeyvalq *headers)
{
	struct call *call = ctx;
	const char *type = evhttp_find_header(headers, "Content-Type");

	call->status = status;
	g_free(call->answer_type);
	call->answer_type = g_strdup(type ? type : "");
}

static void on_data(void *ctx, struct evbuffer *data)
{
	struct call *call = ctx;
	size_t limit = (size_t)call->entry->opts.settings->limits.body_bytes;

	if (call->kind == CALL_CHAT_STREAM && call->status == HTTP_OK) {
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

static void end_stream(struct call *call)
{
	struct entry_service *service = call->service;

	service->mean_output += OUTPUT_SMOOTHING *
				(call->sse.tokens - service->mean_output);
	count_end(call, COUNTER_ANSWERED);
	log_info(&call_log, "request %s: whole, replica %u tokens=%u", call->id,
		 call->replica, call->sse.tokens);
	unwatch(call);
	evhttp_send_reply_end(call->req);
	call->req = NULL;
	call_destroy(call);
}

/* An engine says so when it is not what the entry took it for. */
static bool says_not_run(const struct call *call)
{
	return call->status == HTTP_SERVUNAVAIL || call->status == 409;
}

static void end_whole(struct call *call)
{
	size_t size = evbuffer_get_length(call->answer);
	const void *body = evbuffer_pullup(call->answer, -1);

	if (call->answer_too_large) {
		broke(call, "answered with more than body_bytes");
		return;
	}
	log_info(&call_log, "request %s: whole, replica %u status=%d bytes=%zu",
		 call->id, call->replica, call->status, size);
	finish_attempt(call);
	if (call->booking_key)
		booking_end(call, BOOKING_ANSWERED, call->status,
			    call->answer_type, body ? body : "", size);
	else
		call_answer(call, call->status, call->answer_type,
			    body ? body : "", size);
}

static void on_end(void *ctx, enum upstream_end end)
{
	struct call *call = ctx;
	bool stream = call->kind == CALL_CHAT_STREAM && call->status == HTTP_OK;

	call->upstream = NULL;
	counters_add(call->entry->opts.counters, COUNTER_STREAMS, -1);
	if (end == UPSTREAM_NOT_SENT)
		not_sent(call);
	else if (end == UPSTREAM_BROKE)
		broke(call, "broke off");
	else if (call->kind != CALL_PLAIN && says_not_run(call))
		try_again(call, "says it did not run it");
	else if (!stream)
		end_whole(call);
	else if (call->sse.done)
		end_stream(call);
	else
		broke(call, "ended the stream early");
}

/* The body of a stream that goes on: what the caller has already got. */
static GBytes *resumed_body(struct call *call)
{
	json_t *text, *body;
	char *quoted, *dumped;

	if (!call->sse.tokens || !call->chat)
		return g_bytes_ref(call->body);
	quoted = g_strdup_printf("\"%s\"", call->sse.text->str);
	text = json_loads(quoted, JSON_DECODE_ANY, NULL);
	g_free(quoted);
	body = json_copy(call->chat);
	json_object_set_new(body, "resume",
			    json_pack("{s:I,s:o}", "after",
				      (json_int_t)call->sse.tokens, "text",
				      text ? text : json_string("")));
	dumped = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return g_bytes_new_with_free_func(dumped, strlen(dumped), free, dumped);
}

static void reset_answer(struct call *call)
{
	evbuffer_drain(call->answer, evbuffer_get_length(call->answer));
	call->status = 0;
	call->answer_too_large = false;
	call->paced_us = 0;
	call->paused = false;
}

static void send_request(struct call *call, const char *address)
{
	char replica[16], epoch[24], priority[16], left[24];
	const char *headers[] = {
		"Content-Type",
		call->content_type,
		"X-Request-Id",
		call->id,
		"X-Replica",
		replica,
		"X-Epoch",
		epoch,
		"X-Priority",
		priority,
		"X-Deadline-Ms",
		left,
		"Idempotency-Key",
		call->booking_key,
		NULL,
	};
	struct upstream_request request = {
		.address = address,
		.method = call->method,
		.path = call->path,
		.headers = headers,
		.once_only = call->once_only,
		.idle_timeout_ms = STALL_LIMIT_MS,
		.head = on_head,
		.data = on_data,
		.end = on_end,
		.ctx = call,
	};

	if (call->kind != CALL_CHAT_STREAM)
		request.idle_timeout_ms = (int)MAX(
			1, call->deadline_ms - entry_now_ms(call->entry));
	snprintf(replica, sizeof(replica), "%u", call->replica);
	snprintf(epoch, sizeof(epoch), "%" PRIu64, call->epoch);
	snprintf(priority, sizeof(priority), "%u", call->priority);
	snprintf(left, sizeof(left), "%" PRId64,
		 call->deadline_ms - entry_now_ms(call->entry));
	request.body = resumed_body(call);
	call->upstream = upstream_send(call->entry->pool, &request);
	g_bytes_unref(request.body);
}

static void log_choice(const struct call *call,
		       const struct router_choice *choice)
{
	log_info(&call_log,
		 "request %s: to replica %u epoch=%" PRIu64 " at %s "
		 "cost_ms=%.1f "
		 "cached=%u "
		 "candidates=%u "
		 "stale=%u "
		 "suspect=%u full=%u failed=%u slow=%u left_out=%s",
		 call->id, choice->replica, choice->epoch, choice->address,
		 choice->cost_ms, choice->cached_tokens, choice->candidates,
		 choice->stale, choice->suspects, choice->full, choice->avoided,
		 choice->slow, *choice->worst ? choice->worst : "-");
}

void call_dispatch(struct call *call, const struct router_choice *choice)
{
	struct entry *entry = call->entry;

	if (call->ticket.waiting) {
		admission_take(call->service->admission, &call->ticket);
		call->admitted = true;
		counters_time(entry->opts.counters, HISTOGRAM_QUEUE,
			      entry_now_us(entry) - call->started_us);
	}
	log_choice(call, choice);
	reset_answer(call);
	call->attempts++;
	call->state = CALL_SENT;
	call->replica = choice->replica;
	call->epoch = choice->epoch;
	g_strlcpy(call->address, choice->address, sizeof(call->address));
	call->sent_us = entry_now_us(entry);
	router_sent(call->service->router, choice->replica, entry_now_ms(entry),
		    &call->route);
	counters_add(entry->opts.counters, COUNTER_STREAMS, 1);
	send_request(call, call->address);
}

void call_replica_lost(struct call *call, const char *why)
{
	if (call->state != CALL_SENT || !call->upstream)
		return;
	/* What may not be repeated can only wait for its own answer. */
	if (call->once_only)
		return;
	drop_upstream(call);
	broke(call, why);
}

static void tick_parked(struct call *call, int64_t now_ms)
{
	if (go_on(call) || now_ms < call->parked_until_ms)
		return;
	if (call->once_only)
		not_run(call, RD_NO_REPLICA, NULL, RETRY_AFTER_S);
	else
		call_refuse(call, RD_NO_REPLICA, OUTCOME_UNKNOWN,
			    "no replica to go on at", RETRY_AFTER_S);
}

void call_tick(struct call *call, int64_t now_ms)
{
	bool sent = call->state == CALL_SENT && call->upstream;

	if (call->state == CALL_PARKED) {
		tick_parked(call, now_ms);
		return;
	}
	if (now_ms < call->deadline_ms || !sent || call->started_reply)
		return;
	finish_attempt(call);
	if (call->booking_key)
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
	else
		call_refuse(call, RD_DEADLINE, OUTCOME_UNKNOWN, NULL, 0);
}
