#include <inttypes.h>
#include <string.h>

#include <event2/buffer.h>
#include <xxhash.h>

#include <radishdeal/quarantine.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/parts.h"
#include "wire/codec.h"

/* Time for a VM to show that it has lived on after a response. */
#define PROOF_MS 1000
/* Bytes that it had sent before may still be read for so long. */
#define UNREAD_MS 20
#define UNPROVEN_MAX 4096u
#define HTTP_REDIRECTS 300 /* the first status beyond the successes */

static const struct log parts_log = { "parts" };

struct parts {
	struct entry *entry;
	struct quarantine *quarantine;
	uint64_t version; /* for which calls were swept */
	/* Exchange with the leader: */
	uint64_t source, cursor; /* of its last reply */
	uint64_t acknowledged;	 /* own changes that it has */
	GQueue unproven;	 /* of struct unproven, the oldest first */
};

/** A response that ended with its connection: complete, or broken off. */
struct unproven {
	struct replica_ended end; /* if it is the end of its replica */
	struct broken_call call;
};

/* ---- log ---- */

static void on_changed(void *ctx, const struct quarantine_change *change)
{
	struct parts *parts = ctx;
	int64_t now = entry_now_ms(parts->entry);

	if (!change->held) {
		log_note(&parts_log, "part freed part=%" PRIx64, change->part);
		return;
	}
	log_note(&parts_log,
		 "part held part=%" PRIx64 " ends=%u first_end_ms_ago=%" PRId64
		 " last_end_ms_ago=%" PRId64 " last_success_ms_ago=%" PRId64
		 " hold_ms=%" PRId64,
		 change->part, change->ends, now - change->first_end_ms,
		 now - change->last_end_ms,
		 change->last_success_ms < 0 ? -1
					     : now - change->last_success_ms,
		 change->hold_until_ms - now);
}

/* ---- creation ---- */

static void free_unproven(gpointer data)
{
	struct unproven *u = data;

	g_free((char *)u->end.service);
	g_free(u);
}

struct parts *parts_create(struct entry *entry)
{
	struct parts *parts = g_new0(struct parts, 1);
	struct quarantine_opts opts = {
		.node = (uint32_t)entry->opts.settings->node.id,
		.changed = on_changed,
		.ctx = parts,
	};

	parts->entry = entry;
	parts->quarantine = quarantine_create(&opts);
	g_queue_init(&parts->unproven);
	return parts;
}

void parts_destroy(struct parts *parts)
{
	if (!parts)
		return;
	quarantine_destroy(parts->quarantine);
	g_queue_clear_full(&parts->unproven, free_unproven);
	g_free(parts);
}

/* ---- refusal ---- */

static void check(const struct call *call, struct quarantine_check *out)
{
	quarantine_check(call->entry->parts->quarantine,
			 entry_now_ms(call->entry), call->parts.ids,
			 call->parts.count, out);
}

static void refuse(struct call *call, const struct quarantine_check *found)
{
	char detail[80];

	g_snprintf(detail, sizeof(detail),
		   "%s %" PRIx64 " is held: %u replicas ended in a row",
		   found->part == call->content ? "content" : "part",
		   found->part, found->ends);
	counters_add(call->entry->opts.counters, COUNTER_PARTS_REFUSED, 1);
	if (call->ticket.waiting)
		admission_cancel(call->service->admission, &call->ticket);
	if (call->may_have_run || reply_has_started(call->reply))
		call_fail(call, RD_QUARANTINED, OUTCOME_UNKNOWN, detail, 0);
	else
		call_fail_not_run(call, RD_QUARANTINED, detail,
				  (int)found->retry_after_ms);
}

bool parts_are_held(const struct call *call)
{
	struct quarantine_check found;

	check(call, &found);
	return found.verdict == QUARANTINE_HELD;
}

bool parts_refuse(struct call *call, bool dispatched)
{
	struct parts *parts = call->entry->parts;
	struct quarantine_check found;

	check(call, &found);
	if (found.verdict == QUARANTINE_HELD) {
		refuse(call, &found);
		return true;
	}
	if (found.verdict == QUARANTINE_TRIAL && dispatched) {
		log_note(&parts_log,
			 "part tried part=%" PRIx64 " ends=%u request=%s",
			 found.part, found.ends, call->id);
		counters_add(call->entry->opts.counters, COUNTER_PART_TRIALS,
			     1);
		call->attempt->trial_part = found.part;
		quarantine_begin_trial(parts->quarantine,
				       entry_now_ms(call->entry), found.part);
	}
	return false;
}

/* Whether a call is at an endpoint that has sent nothing of its answer. */
static bool may_cancel(const struct call *call)
{
	return call->state == CALL_DISPATCHED && call->attempt->upstream &&
	       !call->once_only && !call->attempt->trial_part &&
	       !call->tokens && !reply_has_started(call->reply) &&
	       !evbuffer_get_length(call->attempt->response.body);
}

/* A part that is held would end the replica that has the call. */
static void cancel(struct call *call)
{
	struct quarantine_check found;

	check(call, &found);
	if (found.verdict != QUARANTINE_HELD)
		return;
	attempt_finish(call);
	call->may_have_run = true;
	refuse(call, &found);
}

static void sweep_call(struct call *call)
{
	if (call->state == CALL_QUEUED || call->state == CALL_AWAITING_REPLICA)
		(void)parts_refuse(call, false);
	else if (may_cancel(call))
		cancel(call);
}

static void sweep(struct entry *entry)
{
	GPtrArray *calls = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	/* Refusing a call frees it, so iterate over a copy. */
	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(calls, key);
	for (guint i = 0; i < calls->len; i++)
		if (g_hash_table_contains(entry->calls, calls->pdata[i]))
			sweep_call(calls->pdata[i]);
	g_ptr_array_unref(calls);
}

/* ---- evidence ---- */

void parts_attempt_over(struct call *call)
{
	if (call->attempt->trial_part)
		quarantine_end_trial(call->entry->parts->quarantine,
				     call->attempt->trial_part);
	call->attempt->trial_part = 0;
}

void parts_trial_undecided(struct parts *parts, uint64_t part)
{
	quarantine_end_trial(parts->quarantine, part);
}

/*
 * Each entry numbers the endpoints of plain services by itself; their names
 * are the same at all entries.
 */
static uint32_t shared_number(const struct entry *entry,
			      const struct replica_ended *end)
{
	const struct entry_service *s = services_find(entry, end->service);
	const char *name =
		s ? g_hash_table_lookup(s->plain_names,
					GUINT_TO_POINTER(end->replica))
		  : NULL;

	return name ? (uint32_t)XXH3_64bits(name, strlen(name)) : end->replica;
}

/*
 * A call that was sent on after an end brought about another one, or was there
 * by chance once more. However soon that was, it isn't the same event.
 */
static int64_t dated_apart_ms(const struct replica_ended *end,
			      const struct broken_call *broken)
{
	int64_t apart_ms = broken->previous_end_ms + QUARANTINE_SAME_EVENT_MS +
			   1;

	return broken->previous_end_ms ? MAX(end->at_ms, apart_ms) : end->at_ms;
}

void parts_add_end(struct parts *parts, const struct replica_ended *end,
		   const struct broken_call *broken)
{
	quarantine_add_end(parts->quarantine, dated_apart_ms(end, broken),
			   shared_number(parts->entry, end), end->epoch,
			   broken->parts.ids, broken->parts.count,
			   broken->late);
	if (broken->trial_part)
		quarantine_end_trial(parts->quarantine, broken->trial_part);
}

static void add_unproven(struct parts *parts, struct call *call)
{
	struct unproven *u = g_new0(struct unproven, 1);

	u->end.service = g_strdup(call->service->name);
	u->end.replica = call->attempt->replica;
	u->end.epoch = call->attempt->epoch;
	u->end.at_ms = entry_now_ms(call->entry);
	u->call.parts = call->parts;
	u->call.trial_part = call->attempt->trial_part;
	call->attempt->trial_part = 0;
	g_queue_push_tail(&parts->unproven, u);
}

void parts_answered(struct call *call)
{
	struct parts *parts = call->entry->parts;

	/* How the endpoint ended the answer was seen at that entry. */
	if (call->attempt->peer)
		return;
	/* An endpoint may have rejected the request without serving it. */
	if (call->attempt->response.status < HTTP_OK ||
	    call->attempt->response.status >= HTTP_REDIRECTS)
		return;
	if (call->attempt->response.is_framed)
		quarantine_add_success(parts->quarantine,
				       entry_now_ms(call->entry),
				       call->parts.ids, call->parts.count);
	else if (parts->unproven.length < UNPROVEN_MAX)
		add_unproven(parts, call);
}

static bool has_lived_on(const struct parts *parts,
			 const struct replica_ended *end)
{
	const struct entry_service *s = services_find(parts->entry,
						      end->service);
	const struct router_replica *r =
		s ? router_find(s->router, end->replica) : NULL;

	return r && r->epoch == end->epoch &&
	       r->last_response_ms > end->at_ms + UNREAD_MS;
}

/* Returns whether it is decided, or never will be. */
static bool decide(struct parts *parts, const struct unproven *u)
{
	const struct replica_ended *end = &u->end;
	bool lives = has_lived_on(parts, end);

	if (lives)
		quarantine_add_success(parts->quarantine, end->at_ms,
				       u->call.parts.ids, u->call.parts.count);
	else if (ends_found(parts->entry->ends, end->service, end->replica,
			    end->epoch, end->at_ms))
		parts_add_end(parts, end, &u->call);
	else if (entry_now_ms(parts->entry) - end->at_ms < PROOF_MS)
		return false;
	if (u->call.trial_part)
		quarantine_end_trial(parts->quarantine, u->call.trial_part);
	return true;
}

static void decide_unproven(struct parts *parts)
{
	GList *next;

	for (GList *l = parts->unproven.head; l; l = next) {
		next = l->next;
		if (!decide(parts, l->data))
			continue;
		free_unproven(l->data);
		g_queue_delete_link(&parts->unproven, l);
	}
}

void parts_tick(struct parts *parts)
{
	int64_t now = entry_now_ms(parts->entry);
	uint64_t version;

	decide_unproven(parts);
	version = quarantine_version(parts->quarantine, now);
	counters_set(parts->entry->opts.counters, COUNTER_PARTS_HELD,
		     quarantine_held(parts->quarantine, now));
	if (version == parts->version)
		return;
	parts->version = version;
	sweep(parts->entry);
}

/* ---- exchange with other entries ---- */

static void update_entries(struct parts *parts)
{
	GArray *nodes = entry_list_nodes(parts->entry);

	quarantine_set_entries(parts->quarantine, (uint32_t *)nodes->data,
			       nodes->len);
	g_array_unref(nodes);
}

void parts_apply_reply(struct parts *parts, const struct config_update *update)
{
	const struct poll_reply *reply = &update->reply;

	update_entries(parts);
	quarantine_merge(parts->quarantine, entry_now_ms(parts->entry),
			 reply->parts.parts_val, reply->parts.parts_len);
	/* A responder that didn't have the earlier records gets all of them. */
	if (reply->parts_source != parts->source)
		parts->acknowledged = 0;
	else if (update->parts_source == reply->parts_source)
		parts->acknowledged = MAX(parts->acknowledged,
					  update->parts_sent);
	parts->source = reply->parts_source;
	parts->cursor = reply->parts_cursor;
}

static void clear_record(gpointer record)
{
	CODEC_FREE(part_record, (struct part_record *)record);
}

void parts_fill_status(struct parts *parts, struct entry_status *status)
{
	status->at_ms = entry_now_ms(parts->entry);
	status->parts = g_array_new(FALSE, FALSE, sizeof(struct part_record));
	g_array_set_clear_func(status->parts, clear_record);
	status->parts_sent = quarantine_report(parts->quarantine, status->at_ms,
					       parts->acknowledged,
					       status->parts);
	status->parts_source = parts->source;
	status->parts_cursor = parts->cursor;
}
