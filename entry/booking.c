/*
 * Bookings: idempotency records in the replicated state. A booking is claimed
 * there before its call is dispatched, and its outcome is recorded before the
 * caller gets the response.
 */
#include <string.h>

#include <xxhash.h>

#include <event2/buffer.h>

#include "common/log.h"
#include "entry/call.h"
#include "entry/shutdown.h"
#include "wire/codec.h"

#define CLAIM_RETRY_MS 100
#define RECORD_RETRY_MS 500

static const struct log booking_log = { "booking" };

/** Result of a proposal, passed from the control task to the entry task. */
struct proposal_result {
	struct entry *entry;
	struct call *call;
	uint64_t claim_id; /* detects a freed and reused call */
	enum rd_result code;
	struct apply_result result;
	/* Response to the caller once the outcome is recorded. */
	booking_outcome outcome;
	int status;
	char *type;
	GBytes *body;
	GBytes *record; /* command that records the outcome; NULL for a claim */
};

static struct call *find_call(const struct proposal_result *r)
{
	if (!g_hash_table_contains(r->entry->calls, r->call) ||
	    r->call->claim_id != r->claim_id)
		return NULL;
	return r->call;
}

static void result_free(struct proposal_result *r)
{
	state_result_clear(&r->result);
	g_free(r->type);
	if (r->body)
		g_bytes_unref(r->body);
	if (r->record) {
		g_bytes_unref(r->record);
		r->entry->open_records--;
	}
	g_free(r);
}

static void post_result(struct proposal_result *r, enum rd_result code,
			const struct apply_result *result, task_fn next)
{
	r->code = code;
	if (result && !CODEC_COPY(apply_result, result, &r->result))
		r->code = RD_INTERNAL;
	task_post(r->entry->opts.task, next, r);
}

static struct proposal_result *new_result(struct call *call)
{
	struct proposal_result *r = g_new0(struct proposal_result, 1);

	r->entry = call->entry;
	r->call = call;
	r->claim_id = call->claim_id;
	return r;
}

static GBytes *encode(struct command *command)
{
	command->change_id = (char *)"";
	command->operator_name = (char *)"booking";
	command->time_ms = g_get_real_time() / 1000;
	return CODEC_ENCODE(command, command);
}

/* ---- recording ---- */

static void on_recorded(void *arg);

static void record_done(void *ctx, enum rd_result code,
			const struct apply_result *result)
{
	post_result(ctx, code, result, on_recorded);
}

static void record(struct proposal_result *r)
{
	control_post_proposal(r->entry->opts.control, g_bytes_ref(r->record),
			      record_done, r);
}

static void on_record_retry(evutil_socket_t fd, short what, void *arg)
{
	struct proposal_result *r = arg;

	(void)fd;
	(void)what;
	if (shutdown_finished(r->entry))
		return;
	g_hash_table_remove(r->entry->unrecorded, r);
	record(r);
}

/* `body` may be NULL if it is empty. */
static void respond_copy(struct call *call, int status, const char *type,
			 const void *body, size_t size)
{
	struct evbuffer *copy = evbuffer_new();

	if (size)
		evbuffer_add(copy, body, size);
	call_respond(call, status, type, copy);
	evbuffer_free(copy);
}

static void respond_recorded(struct proposal_result *r, struct call *call)
{
	gsize size;
	const void *body = g_bytes_get_data(r->body, &size);

	switch (r->outcome) {
	case BOOKING_ANSWERED:
		respond_copy(call, r->status, r->type, body, size);
		return;
	case BOOKING_NOT_RUN:
		call_fail(call, call->not_run_code, OUTCOME_NOT_RUN, NULL,
			  RETRY_AFTER_MS);
		return;
	default:
		call_fail(call, RD_OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, NULL, 0);
	}
}

/*
 * The caller does not wait longer than for the first attempt, but a claim
 * without an outcome would refuse the booking's key for good.
 */
static void on_recorded(void *arg)
{
	struct timeval after = { 0, RECORD_RETRY_MS * 1000 };
	struct proposal_result *r = arg;
	struct call *call = find_call(r);

	if (call)
		respond_recorded(r, call);
	r->call = NULL;
	if (!r->code) {
		result_free(r);
		return;
	}
	log_warn(&booking_log,
		 "outcome of a booking not recorded yet: %s; trying again",
		 rd_result_info(r->code)->name);
	g_hash_table_add(r->entry->unrecorded, r);
	event_base_once(r->entry->base, -1, EV_TIMEOUT, on_record_retry, r,
			&after);
}

void booking_drop_unrecorded(struct entry *entry)
{
	GHashTableIter iter;
	gpointer r;

	g_hash_table_iter_init(&iter, entry->unrecorded);
	while (g_hash_table_iter_next(&iter, &r, NULL))
		result_free(r);
	g_hash_table_unref(entry->unrecorded);
}

/*
 * The ledger keeps responses of up to RD_RESPONSE_MAX bytes. The caller gets a
 * larger one, but a repeated request can't: its outcome is unknown then.
 */
static GBytes *encode_without_response(const struct call *call,
				       struct command *command)
{
	struct finish_booking *f = &command->body.command_body_u.finish;

	log_warn(&booking_log,
		 "request %s: response is not recorded bytes=%u limit=%u "
		 "content_type_bytes=%zu",
		 call->id, f->response.body.body_len, RD_RESPONSE_MAX,
		 strlen(f->response.content_type));
	f->outcome = BOOKING_UNKNOWN;
	f->response = (struct booking_response){ .content_type = (char *)"" };
	return encode(command);
}

static struct proposal_result *new_record(struct call *call,
					  booking_outcome outcome, int status,
					  const char *type, const void *body,
					  size_t size)
{
	struct command command = { .body.kind = CMD_FINISH_BOOKING };
	struct finish_booking *f = &command.body.command_body_u.finish;
	struct proposal_result *r = new_result(call);

	r->outcome = outcome;
	r->status = status;
	r->type = g_strdup(type);
	r->body = g_bytes_new(body, size);
	f->service = call->service->name;
	f->account = call->account;
	f->key = call->booking_key;
	f->claim_id = call->claim_id;
	f->entry = (uint32_t)call->entry->opts.settings->node.id;
	f->outcome = outcome;
	f->response.status = (uint32_t)status;
	f->response.content_type = r->type;
	f->response.body.body_val = (char *)g_bytes_get_data(r->body, NULL);
	f->response.body.body_len = (u_int)size;
	r->record = encode(&command);
	if (!r->record)
		r->record = encode_without_response(call, &command);
	r->entry->open_records++;
	return r;
}

void booking_end(struct call *call, booking_outcome outcome, int status,
		 const char *type, const void *body, size_t size)
{
	call->state = CALL_RECORDING;
	record(new_record(call, outcome, status, type, body, size));
}

/* ---- claiming ---- */

static void on_claim_retry(evutil_socket_t fd, short what, void *arg);

/*
 * Another call with the same booking is in flight. Its recorded response will
 * answer both, so the claim is retried until then or until the deadline.
 */
static void retry_claim_later(struct call *call)
{
	struct timeval after = { 0, CLAIM_RETRY_MS * 1000 };

	if (entry_now_ms(call->entry) + CLAIM_RETRY_MS >= call->deadline_ms) {
		call_fail(call, RD_IN_FLIGHT, OUTCOME_UNKNOWN, NULL,
			  RETRY_AFTER_MS);
		return;
	}
	event_base_once(call->entry->base, -1, EV_TIMEOUT, on_claim_retry,
			new_result(call), &after);
}

static void replay_response(struct call *call,
			    const struct apply_result *result)
{
	const struct booking_response *answer = &result->response;

	counters_add(call->entry->opts.counters, COUNTER_BOOKING_REPLAYS, 1);
	log_info(&booking_log,
		 "request %s: response replayed from the booking's record",
		 call->id);
	respond_copy(call, (int)answer->status, answer->content_type,
		     answer->body.body_val, answer->body.body_len);
}

static void handle_claim_granted(struct call *call)
{
	counters_add(call->entry->opts.counters, COUNTER_BOOKING_CLAIMS, 1);
	/*
	 * The caller may have disconnected meanwhile; then the call need not
	 * run.
	 */
	call->not_run_code = RD_CALLER_LEFT;
	if (!reply_is_open(call->reply))
		booking_end(call, BOOKING_NOT_RUN, 0, "", "", 0);
	else
		call_enqueue(call);
}

void booking_release(struct call *call)
{
	struct proposal_result *r = new_record(call, BOOKING_NOT_RUN, 0, "", "",
					       0);

	r->call = NULL;
	record(r);
}

static void handle_claim_failed(struct call *call, enum rd_result code,
				const char *detail)
{
	/*
	 * This call was not dispatched. With an unknown outcome, an earlier
	 * dispatch of the same booking may have run.
	 */
	enum outcome outcome = code == RD_OUTCOME_UNKNOWN ? OUTCOME_UNKNOWN
							  : OUTCOME_NOT_RUN;

	if (code == RD_CHANGE_UNKNOWN)
		booking_release(call);
	call_fail(call, code, outcome, detail && *detail ? detail : NULL,
		  code == RD_OUTCOME_UNKNOWN ? 0 : RETRY_AFTER_MS);
}

static void on_claimed(void *arg)
{
	struct proposal_result *r = arg;
	struct call *call = find_call(r);
	enum rd_result code = r->code ? r->code
				      : (enum rd_result)r->result.code;

	if (!call)
		goto done;
	if (code == RD_IN_FLIGHT)
		retry_claim_later(call);
	else if (code)
		handle_claim_failed(call, code, r->result.text);
	else if (r->result.outcome == BOOKING_ANSWERED)
		replay_response(call, &r->result);
	else
		handle_claim_granted(call);
done:
	result_free(r);
}

static void claim_done(void *ctx, enum rd_result code,
		       const struct apply_result *result)
{
	post_result(ctx, code, result, on_claimed);
}

static void claim(struct call *call)
{
	struct command command = { .body.kind = CMD_CLAIM_BOOKING };
	struct claim_booking *c = &command.body.command_body_u.claim;

	call->state = CALL_CLAIMING;
	c->service = call->service->name;
	c->account = call->account;
	c->key = call->booking_key;
	c->body_hash = call->body_hash;
	c->claim_id = call->claim_id;
	c->entry = (uint32_t)call->entry->opts.settings->node.id;
	control_post_proposal(call->entry->opts.control, encode(&command),
			      claim_done, new_result(call));
}

static void on_claim_retry(evutil_socket_t fd, short what, void *arg)
{
	struct proposal_result *r = arg;
	struct call *call = find_call(r);

	(void)fd;
	(void)what;
	if (call)
		claim(call);
	result_free(r);
}

static uint64_t hash_request(const struct call *call)
{
	gsize size = 0;
	const void *data = call->body ? g_bytes_get_data(call->body, &size)
				      : NULL;
	uint64_t hash = XXH64(call->path, strlen(call->path) + 1,
			      (XXH64_hash_t)call->method);

	return XXH64(data ? data : "", size, hash);
}

void booking_begin(struct call *call)
{
	call->body_hash = hash_request(call);
	call->claim_id = control_incarnation(call->entry->opts.control) << 32 |
			 ++call->entry->next_claim;
	claim(call);
}
