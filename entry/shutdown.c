/* The planned stop of an entry. */
#include <inttypes.h>

#include "common/http_server.h"
#include "common/log.h"
#include "entry/attempt.h"
#include "entry/call.h"
#include "entry/shutdown.h"
#include "entry/take.h"

/* After limits.drain_ms, time for the last responses to reach their sockets. */
#define FLUSH_MS 500

/* Part of that for what endpoints have sent before the end of the drain. */
#define PASS_ON_MS 200

/* What a stream of which nothing is known is expected to take of a drain. */
#define UNKNOWN_DRAIN_PERMILLE 750

/* After limits.linger_ms, time for requests that are being received. */
#define RECEIVE_MS 2000

static const struct log shutdown_log = { "shutdown" };

/** Requests without a complete response, by how far they have come. */
struct open_requests {
	uint32_t queued;	   /* waiting for a slot */
	uint32_t sent;		   /* at an endpoint, no response yet */
	uint32_t responding;	   /* the response has started */
	uint32_t awaiting_replica; /* to be retried */
	uint32_t booking;	   /* waiting for the booking ledger */
	uint32_t held;		   /* waiting for a configuration */
	uint32_t receiving;	   /* received in part */
	uint32_t unsent;	   /* complete, but not all of it sent */
	int64_t oldest_ms;	   /* age of the oldest call */
};

static void count_call(const struct call *call, struct open_requests *open)
{
	int64_t age_ms = (entry_now_us(call->entry) - call->started_us) / 1000;

	open->oldest_ms = MAX(open->oldest_ms, age_ms);
	if (reply_has_started(call->reply))
		open->responding++;
	else if (call->state == CALL_QUEUED)
		open->queued++;
	else if (call->state == CALL_DISPATCHED)
		open->sent++;
	else if (call->state == CALL_AWAITING_REPLICA)
		open->awaiting_replica++;
	else
		open->booking++;
}

static void count_open(const struct entry *entry, struct open_requests *open)
{
	GHashTableIter iter;
	gpointer key;

	*open = (struct open_requests){
		.held = entry->held_requests.length,
		.receiving = http_receiving_requests(),
		.unsent = http_unsent_responses(),
	};
	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		count_call(key, open);
}

static void log_phase(const struct entry *entry, const char *phase)
{
	struct open_requests open;

	count_open(entry, &open);
	log_note(&shutdown_log,
		 "%s elapsed_ms=%" PRId64 " queued=%u sent=%u responding=%u "
		 "awaiting_replica=%u booking=%u held=%u receiving=%u "
		 "unsent=%u oldest_ms=%" PRId64,
		 phase, entry_now_ms(entry) - entry->shutdown.began_ms,
		 open.queued, open.sent, open.responding, open.awaiting_replica,
		 open.booking, open.held, open.receiving, open.unsent,
		 open.oldest_ms);
}

void shutdown_begin(struct entry *entry, task_fn done, void *arg)
{
	const struct daemon_settings *settings = entry->opts.settings;
	int64_t now = entry_now_ms(entry);

	entry->draining = true;
	entry_send_status(entry);
	entry->shutdown = (struct shutdown){
		.done = done,
		.arg = arg,
		.began_ms = now,
		.reject_from_ms = now + daemon_settings_linger_ms(settings),
		.deadline_ms = now + daemon_settings_drain_ms(settings),
	};
	log_phase(entry, "stop began; no longer advertised to callers");
}

bool shutdown_begun(const struct entry *entry)
{
	return entry->shutdown.reject_from_ms;
}

bool shutdown_finished(const struct entry *entry)
{
	return shutdown_begun(entry) && !entry->shutdown.done;
}

bool shutdown_rejects(const struct entry *entry)
{
	return shutdown_begun(entry) &&
	       entry_now_ms(entry) >= entry->shutdown.reject_from_ms;
}

bool shutdown_leaves_time(const struct shutdown_question *question)
{
	const struct call_prospect *prospect = &question->prospect;
	const struct entry *entry = prospect->service->entry;
	int64_t left_ms = entry->shutdown.deadline_ms - entry_now_ms(entry);
	int64_t expected_ms;

	if (!shutdown_begun(entry) ||
	    (question->ends_by_ms &&
	     question->ends_by_ms <= entry->shutdown.deadline_ms))
		return true;
	expected_ms = call_class_expected_ms(prospect);
	if (expected_ms < 0 && question->new_stream)
		expected_ms = UNKNOWN_DRAIN_PERMILLE *
			      (entry->shutdown.deadline_ms -
			       entry->shutdown.began_ms) /
			      1000;
	if (expected_ms <= left_ms)
		return true;
	log_info(&shutdown_log,
		 "request %s: would outlast the stop expected_ms=%" PRId64
		 " left_ms=%" PRId64 " since=%s",
		 question->id, expected_ms, left_ms,
		 prospect->since == SINCE_ARRIVAL ? "arrival" : "dispatch");
	return false;
}

static void start_rejecting(struct entry *entry)
{
	log_phase(entry, "stop: rejecting new requests");
	entry->shutdown.lingered = true;
	early_release(entry);
}

static void log_ended(const struct call *call)
{
	const struct entry *entry = call->entry;
	int64_t now_us = entry_now_us(entry);
	int64_t arrived_ms = call->started_us / 1000 - entry->shutdown.began_ms;
	bool sent = call->attempt->upstream != NULL;

	log_note(&shutdown_log,
		 "request %s: ended by the stop arrived_ms=%" PRId64
		 " age_ms=%" PRId64 " attempts=%u started=%s quiet_ms=%" PRId64
		 " unread_bytes=%zu end_pending=%s service=%s replica=%u",
		 call->id, arrived_ms, (now_us - call->started_us) / 1000,
		 call->attempts, reply_has_started(call->reply) ? "yes" : "no",
		 sent ? now_us / 1000 - call->attempt->data_ms : 0,
		 sent ? upstream_unread_bytes(call->attempt->upstream) : 0,
		 sent && upstream_end_pending(call->attempt->upstream) ? "yes"
								       : "no",
		 call->service->name, call->attempt->replica);
}

/* Whether a part of the response has arrived that is still needed. */
static bool has_arrived(const struct call *call)
{
	return call->attempt->upstream &&
	       (reply_is_open(call->reply) || call->booking_key) &&
	       (upstream_end_pending(call->attempt->upstream) ||
		upstream_unread_bytes(call->attempt->upstream));
}

/*
 * Gives the calls that are still open their final response, but those of which
 * more can be passed on only from `pass_on_until_ms` on.
 */
static void end_calls(struct entry *entry, int64_t pass_on_until_ms)
{
	GPtrArray *calls = call_list(entry);

	for (guint i = 0; i < calls->len; i++) {
		struct call *call = calls->pdata[i];

		if (has_arrived(call) && entry_now_ms(entry) < pass_on_until_ms)
			continue;
		log_ended(call);
		call_end_for_shutdown(call);
	}
	g_ptr_array_unref(calls);
}

static void end_drain(struct entry *entry)
{
	struct shutdown *shutdown = &entry->shutdown;

	if (!shutdown->drained) {
		log_phase(entry, "stop: drain_ms have passed; ending open "
				 "requests");
		shutdown->drained = true;
		/* Later than due if the VM was suspended. */
		shutdown->deadline_ms = entry_now_ms(entry);
	}
	end_calls(entry, shutdown->deadline_ms + PASS_ON_MS);
}

static bool waits_for_senders(const struct entry *entry)
{
	const struct shutdown *shutdown = &entry->shutdown;

	return http_receiving_requests() &&
	       entry_now_ms(entry) < MIN(shutdown->reject_from_ms + RECEIVE_MS,
					 shutdown->deadline_ms);
}

void shutdown_tick(struct entry *entry)
{
	int64_t now = entry_now_ms(entry);

	/*
	 * Callers that have not yet learned of the shutdown still send their
	 * requests here, so these are accepted for limits.linger_ms.
	 */
	if (!entry->shutdown.done || !shutdown_rejects(entry))
		return;
	if (!entry->shutdown.lingered)
		start_rejecting(entry);
	if (g_hash_table_size(entry->calls)) {
		if (now < entry->shutdown.deadline_ms)
			return;
		end_drain(entry);
		if (g_hash_table_size(entry->calls))
			return;
	}
	if (waits_for_senders(entry))
		return;
	if (http_unsent_responses() &&
	    now < entry->shutdown.deadline_ms + FLUSH_MS)
		return;
	if (entry->open_records && now < entry->shutdown.deadline_ms)
		return;
	log_phase(entry, "stop finished");
	if (entry->open_records)
		log_warn(&shutdown_log,
			 "outcomes of bookings may not be recorded count=%u",
			 entry->open_records);
	if (http_unsent_responses())
		log_warn(&shutdown_log,
			 "slow callers do not get their whole response "
			 "unsent=%u",
			 http_unsent_responses());
	entry->shutdown.done(entry->shutdown.arg);
	entry->shutdown.done = NULL;
}
