#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <xxhash.h>

#include <radishdeal/quarantine.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/call_class.h"
#include "entry/doubt.h"
#include "entry/kept.h"
#include "entry/leaving.h"
#include "entry/limits.h"
#include "entry/parts.h"
#include "entry/reach.h"
#include "entry/relay.h"
#include "entry/shutdown.h"

#define OUTPUT_EWMA_WEIGHT 0.05
#define US_PER_MS 1000

static const struct log call_log = { "call" };

void call_fail_not_run(struct call *call, enum rd_result code,
		       const char *detail, int retry_after_ms)
{
	call->not_run_code = code;
	if (call->booking_key)
		booking_end(call, BOOKING_NOT_RUN, 0, "", "", 0);
	else
		call_fail(call, code, OUTCOME_NOT_RUN, detail, retry_after_ms);
}

/* ---- start and end ---- */

static void destroy(struct call *call);

static void on_caller_disconnected(void *ctx)
{
	struct call *call = ctx;

	log_info(&call_log, "request %s: caller disconnected", call->id);
	counters_add(call->entry->opts.counters, COUNTER_CALLER_DISCONNECTED,
		     1);
	/*
	 * A booking continues without its caller: its outcome must be recorded.
	 */
	if (call->booking_key && call->state != CALL_QUEUED)
		return;
	if (call->booking_key)
		call_fail_not_run(call, RD_CALLER_LEFT, NULL, 0);
	else
		destroy(call);
}

static void hash_text(XXH3_state_t *hash, const char *text)
{
	/* With its end, so that two texts can't be divided in another way. */
	XXH3_64bits_update(hash, text ? text : "", text ? strlen(text) + 1 : 1);
}

/* Leaves out headers and keys, which may differ each time. */
static uint64_t content_of(const struct call_opts *opts, const char *method)
{
	XXH3_state_t *hash = XXH3_createState();
	gsize size = 0;
	const void *body = opts->body ? g_bytes_get_data(opts->body, &size)
				      : NULL;
	uint64_t digest;

	XXH3_64bits_reset(hash);
	hash_text(hash, opts->account);
	hash_text(hash, method);
	hash_text(hash, opts->host);
	hash_text(hash, opts->path);
	if (size)
		XXH3_64bits_update(hash, body, size);
	digest = XXH3_64bits_digest(hash) | QUARANTINE_CONTENT;
	XXH3_freeState(hash);
	return digest;
}

/* A request counts once, at the entry that has its caller. */
static void count_request(struct call *call)
{
	int64_t now = entry_now_ms(call->entry);

	retry_budget_add_request(&call->service->retry_budget, now);
	demand_add(&call->service->demand, now, call->route.prompt_tokens);
}

void call_start(struct entry *entry, const struct call_opts *opts)
{
	struct call *call = g_new0(struct call, 1);

	call->entry = entry;
	call->service = opts->service;
	call->call_class = call_class_ref(
		call->service, opts->route_name ? opts->route_name : "",
		opts->route.output_tokens);
	call->format = opts->format;
	call->data = opts->data;
	call->stream = opts->stream;
	call->deadline_covers_output = opts->deadline_covers_output;
	g_strlcpy(call->id, opts->id, sizeof(call->id));
	call->account = g_strdup(opts->account);
	call->priority = opts->priority;
	call->started_us = entry_now_us(entry);
	call->deadline_ms = opts->deadline_ms;
	call->completion_deadline_ms = opts->completion_deadline_ms;
	call->objective_deadline_ms = opts->objective_deadline_ms;
	call->method = evhttp_request_get_command(opts->req);
	call->path = g_strdup(opts->path);
	call->content = content_of(opts, http_method(opts->req));
	call->body = opts->body;
	call->once_only = opts->once_only;
	call->relayed = opts->relayed;
	call->attempts_max = MAX(opts->attempts_max, 1);
	call->booking_key = g_strdup(opts->booking_key);
	call->route = opts->route;
	call->parts = opts->parts;
	call->parts.ids[call->parts.count++] = call->content;
	call->attempt = attempt_create(call);
	g_hash_table_add(entry->calls, call);
	call->service->calls++;
	if (!call->relayed)
		count_request(call);
	call->reply = reply_create(&(struct reply_opts){
		.req = opts->req,
		.request_id = call->id,
		.slow_reader_s =
			(int)entry->opts.settings->limits.slow_sender_s,
		.caller_left = on_caller_disconnected,
		.ctx = call,
	});
	if (parts_refuse(call, false))
		return;
	if (call->booking_key)
		booking_begin(call);
	else
		call_enqueue(call);
}

static void release_admission(struct call *call)
{
	if (call->ticket.waiting)
		admission_cancel(call->service->admission, &call->ticket);
	if (!call->admitted)
		return;
	admission_finish(call->service->admission, entry_now_ms(call->entry),
			 &call->ticket,
			 call->route.prompt_tokens + call->tokens + 1.0);
	call->admitted = false;
}

static void destroy(struct call *call)
{
	kept_drop(call);
	attempt_finish(call);
	release_admission(call);
	g_hash_table_remove(call->entry->calls, call);
	call->service->calls--;
	reply_destroy(call->reply);
	entry_schedule_dispatch(call->entry);
	attempt_free(call->attempt);
	if (call->body)
		g_bytes_unref(call->body);
	call->format->free_data(call->data);
	call_class_unref(call->call_class);
	g_free(call->account);
	g_free(call->path);
	g_free(call->booking_key);
	g_free(call);
}

void call_abandon(struct call *call)
{
	if (reply_is_open(call->reply))
		reply_abandon(call->reply);
	destroy(call);
}

/* ---- responding to the caller ---- */

static void count_outcome(struct call *call, enum counter which)
{
	struct counters *counters = call->entry->opts.counters;

	counters_add(counters, which, 1);
	counters_record_duration(counters, HISTOGRAM_RESPONSE_TIME,
				 entry_now_us(call->entry) - call->started_us);
}

/* Ends a stream such that the caller cannot mistake it for complete. */
static void cut_off_stream(struct call *call, const struct problem *problem)
{
	struct evbuffer *out = evbuffer_new();

	if (call->format->append_stream_error)
		call->format->append_stream_error(problem, out);
	reply_cut_off(call->reply, out);
	evbuffer_free(out);
	count_outcome(call, COUNTER_STREAMS_CUT_OFF);
}

void call_fail(struct call *call, enum rd_result code, enum outcome outcome,
	       const char *detail, int retry_after_ms)
{
	struct problem problem = {
		.code = code,
		.outcome = outcome,
		.detail = detail,
		.request_id = call->id,
		.retry_after_ms = retry_after_ms,
		.close = call->entry->draining,
	};

	log_note(&call_log,
		 "request %s: refused code=%s outcome=%s account=%s "
		 "after_ms=%" PRId64 " attempts=%u retry_after_ms=%d "
		 "detail=\"%s\"",
		 call->id, rd_result_info(code)->name,
		 outcome == OUTCOME_NOT_RUN ? "not-run" : "unknown",
		 call->account,
		 (entry_now_us(call->entry) - call->started_us) / 1000,
		 call->attempts, retry_after_ms, detail ? detail : "-");
	if (reply_is_open(call->reply) && reply_has_started(call->reply)) {
		cut_off_stream(call, &problem);
	} else if (reply_is_open(call->reply)) {
		count_outcome(call, outcome == OUTCOME_NOT_RUN
					    ? COUNTER_NOT_RUN
					    : COUNTER_OUTCOME_UNKNOWN);
		reply_send_error(call->reply, call->format->send_error,
				 &problem);
	}
	destroy(call);
}

void call_respond(struct call *call, int status, const char *type,
		  struct evbuffer *body)
{
	struct evkeyvalq *headers;

	if (reply_is_open(call->reply)) {
		headers = reply_headers(call->reply);
		if (type && *type)
			evhttp_add_header(headers, "Content-Type", type);
		call->format->response_headers(call, headers);
		leaving_add_header(call, headers);
		if (call->entry->draining)
			evhttp_add_header(headers, "Connection", "close");
		count_outcome(call, COUNTER_COMPLETED);
		reply_send(call->reply, status, body);
	}
	destroy(call);
}

void call_start_stream(struct call *call)
{
	struct evkeyvalq *headers = reply_headers(call->reply);

	call->format->response_headers(call, headers);
	leaving_add_header(call, headers);
	if (call->entry->draining)
		evhttp_add_header(headers, "Connection", "close");
	reply_start_stream(call->reply);
	call->first_byte_us = entry_now_us(call->entry);
	estimate_add(&call->service->first_byte,
		     (double)(call->first_byte_us - call->attempt->sent_us) /
			     US_PER_MS);
	counters_record_duration(call->entry->opts.counters, HISTOGRAM_TTFT,
				 call->first_byte_us - call->started_us);
}

void call_complete_stream(struct call *call)
{
	struct entry_service *service = call->service;

	if (!reply_has_started(call->reply))
		call_start_stream(call);
	call_class_add_complete(call);
	service->mean_output += OUTPUT_EWMA_WEIGHT *
				(call->tokens - service->mean_output);
	count_outcome(call, COUNTER_COMPLETED);
	log_info(&call_log,
		 "request %s: stream complete service=%s replica=%u tokens=%u "
		 "first_ms=%" PRId64 " ms=%" PRId64,
		 call->id, service->name, call->attempt->replica, call->tokens,
		 (call->first_byte_us - call->started_us) / 1000,
		 (entry_now_us(call->entry) - call->started_us) / 1000);
	reply_end_stream(call->reply);
	destroy(call);
}

/* ---- queueing ---- */

/* Latest time to leave the queue at which the deadline can still be met. */
static int64_t queue_deadline_ms(const struct call *call, int64_t now)
{
	const struct entry *entry = call->entry;
	int64_t until = MIN(call->deadline_ms,
			    now + entry->opts.settings->limits.queue_ms);
	struct router_request expected = call->route;

	if (!call->deadline_covers_output)
		return until;
	/* The caller's token limit usually exceeds the actual output. */
	expected.output_tokens = MIN(expected.output_tokens,
				     (uint32_t)call->service->mean_output);
	return MIN(until, call->deadline_ms -
				  router_expected_service_ms(
					  call->service->router, &expected));
}

static int64_t least_wait_ms(const struct call *call)
{
	uint32_t ahead;

	/* The limits here aren't those of the entry that will send it. */
	if (relay_wanted(call))
		return 0;
	ahead = admission_ahead(call->service->admission, call->account);
	return limits_wait_ms(call->service, ahead + 1);
}

void call_enqueue(struct call *call)
{
	struct entry *entry = call->entry;
	int64_t now = entry_now_ms(entry);
	int64_t until = queue_deadline_ms(call, now);
	int64_t retry_ms = 0;
	double cost = call->route.prompt_tokens + call->route.output_tokens + 1;

	call->state = CALL_QUEUED;
	call->ticket.ctx = call;
	call->ticket.objective_deadline_ms = call->objective_deadline_ms;
	call->ticket.least_wait_ms = least_wait_ms(call);
	if (admission_enqueue(call->service->admission, now, &call->ticket,
			      call->account, cost, until, &retry_ms)) {
		call_fail_not_run(call, RD_OVERLOADED, NULL, (int)retry_ms);
		return;
	}
	entry_schedule_dispatch(entry);
}

void call_reject_queued(struct call *call, enum rd_result code)
{
	int64_t wait_ms = limits_wait_ms(call->service, 1);

	release_admission(call);
	call_fail_not_run(call, code, NULL, (int)MAX(RETRY_AFTER_MS, wait_ms));
}

/* ---- deadlines ---- */

/* `sent` is the result of a call that may have run, `not_sent` of others. */
static void end_early(struct call *call, enum rd_result sent,
		      enum rd_result not_sent)
{
	bool may_have_run = call->may_have_run || call->attempt->upstream;

	attempt_finish(call);
	if (may_have_run)
		call_fail(call, sent, OUTCOME_UNKNOWN, NULL, 0);
	else
		call_fail(call, not_sent, OUTCOME_NOT_RUN, NULL,
			  RETRY_AFTER_MS);
}

static void handle_deadline(struct call *call)
{
	if (call->booking_key) {
		attempt_finish(call);
		booking_end(call, BOOKING_UNKNOWN, 0, "", "", 0);
		return;
	}
	end_early(call, RD_DEADLINE, RD_NO_REPLICA);
}

void call_end_for_shutdown(struct call *call)
{
	/* A response that waits to be recorded shows that the call has run. */
	if (call->state == CALL_RECORDING)
		call->may_have_run = true;
	if (call->booking_key && !call->may_have_run &&
	    !call->attempt->upstream)
		booking_release(call);
	end_early(call, RD_OUTCOME_UNKNOWN, RD_DRAINING);
}

GPtrArray *call_list(const struct entry *entry)
{
	GPtrArray *calls =
		g_ptr_array_sized_new(g_hash_table_size(entry->calls));
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(calls, key);
	return calls;
}

bool call_has_time(const struct call *call)
{
	struct shutdown_question question = {
		.id = call->id,
		.prospect = { .call_class = call->call_class,
			      .service = call->service,
			      .route = &call->route,
			      .since = SINCE_DISPATCH },
		.ends_by_ms = call->completion_deadline_ms,
	};

	return shutdown_leaves_time(&question);
}

/* Whether its connection to an endpoint isn't open, and probably never is. */
static bool waits_for_link(const struct call *call)
{
	return !call->attempt->peer &&
	       reach_state(call->service->reach) == LINKS_DOWN &&
	       upstream_is_connecting(call->attempt->upstream);
}

static void check_attempt(struct call *call, int64_t now_ms)
{
	if (waits_for_link(call)) {
		attempt_leave_unsent(call);
		return;
	}
	/* What has arrived is read before it is in doubt again. */
	if (!attempt_check_kept(call))
		doubt_check(call, now_ms);
}

void call_tick(struct call *call, int64_t now_ms)
{
	bool sent = call->state == CALL_DISPATCHED && call->attempt->upstream;
	bool awaiting_replica = call->state == CALL_AWAITING_REPLICA;

	if (call->completion_deadline_ms &&
	    now_ms >= call->completion_deadline_ms &&
	    (sent || awaiting_replica)) {
		handle_deadline(call);
		return;
	}
	if (awaiting_replica) {
		attempt_tick_awaiting(call, now_ms);
		return;
	}
	if (sent && now_ms >= call->deadline_ms &&
	    !reply_has_started(call->reply))
		handle_deadline(call);
	else if (sent)
		check_attempt(call, now_ms);
}
