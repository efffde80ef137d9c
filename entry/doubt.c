#include <inttypes.h>
#include <string.h>

#include <radishdeal/engine.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/doubt.h"
#include "entry/parts.h"
#include "entry/reach.h"
#include "entry/relay.h"

/* A stream that is silent for longer is in doubt, whatever its replica does. */
#define SILENT_STREAM_MS 5000
/* Interval between searches for another replica. */
#define SEARCH_MS 250

static const struct log doubt_log = { "doubt" };

/* An entry that has a request moves it itself before this. */
#define SILENT_PEER_MS 1500
/* Silence of an attempt that is moved once all links are down. */
#define SILENT_LINK_MS 250

/** Why an attempt is in doubt. */
struct finding {
	const char *reason;
	int64_t silent_ms;	   /* since anything came on its connection */
	int64_t replica_silent_ms; /* for any attempt there; -1: unknown */
	int64_t limit_ms;	   /* on `silent_ms`, for a move */
};

static int64_t awake_ms(const struct call *call, int64_t since_ms,
			int64_t now_ms)
{
	return pauses_awake_ms(&call->entry->pauses, since_ms, now_ms);
}

static bool reported_lost(const struct router_replica *r)
{
	return !r->fresh_until_ms &&
	       (!strcmp(r->fault, replica_fault_name(REPLICA_VM_SILENT)) ||
		!strcmp(r->fault, replica_fault_name(REPLICA_VM_OTHER_EPOCH)));
}

/* An engine batches its requests, so a sound one soon sends output of some. */
static bool is_stalled(const struct call *call, int64_t replica_silent_ms)
{
	return engine_has_timings(&call->service->engine) &&
	       replica_silent_ms >= call->entry->opts.settings->limits.stall_ms;
}

/* Whether this entry saw it fail, and has seen no response of it since. */
static bool unheard_since_suspected(const struct router_replica *r)
{
	return r->suspected_ms && r->last_response_ms <= r->suspected_ms;
}

static void find_doubt(const struct call *call, int64_t now_ms,
		       struct finding *found)
{
	const struct router_replica *r = router_find(call->service->router,
						     call->attempt->replica);
	bool known = r && r->epoch == call->attempt->epoch;

	memset(found, 0, sizeof(*found));
	found->limit_ms = call->entry->opts.settings->limits.stall_ms;
	found->replica_silent_ms =
		known ? awake_ms(call, r->last_activity_ms, now_ms) : -1;
	found->silent_ms = awake_ms(call, call->attempt->data_ms, now_ms);
	if (call->attempt->peer) {
		found->limit_ms = SILENT_PEER_MS;
		if (call->stream && found->silent_ms >= SILENT_PEER_MS)
			found->reason = "entry-silent";
	} else if (reach_state(call->service->reach) == LINKS_DOWN &&
		   relay_possible(call)) {
		found->limit_ms = SILENT_LINK_MS;
		found->reason = "links-down";
	} else if (known && is_stalled(call, found->replica_silent_ms)) {
		found->reason = "stalled";
		/* A request that came later gets no answer either. */
		found->silent_ms = MAX(found->silent_ms,
				       found->replica_silent_ms);
	} else if (known && reported_lost(r)) {
		found->reason = r->fault;
		if (unheard_since_suspected(r))
			found->silent_ms = MAX(
				found->silent_ms,
				awake_ms(call, r->last_response_ms, now_ms));
	} else if (r && !known) {
		found->reason = "replaced";
	} else if (call->stream && found->silent_ms >= SILENT_STREAM_MS) {
		found->reason = "silent";
	}
}

static bool has_other_replica(struct call *call, int64_t now_ms)
{
	struct router_request route = call->route;
	struct router_choice choice;

	if (relay_wanted(call) && relay_possible(call))
		return true;
	if (now_ms < call->search_due_ms)
		return false;
	if (route.avoid_count < G_N_ELEMENTS(route.avoid))
		route.avoid[route.avoid_count++] = call->attempt->replica;
	route.no_pending_prefill = false;
	router_choose(call->service->router, now_ms, ROUTER_FILL_UNLIMITED,
		      &route, &choice);
	if (choice.replica && choice.replica != call->attempt->replica)
		return true;
	call->search_due_ms = now_ms + SEARCH_MS;
	return false;
}

/* Returns what keeps the attempt where it is, or NULL. */
static const char *missing_for_move(struct call *call,
				    const struct finding *found, int64_t now_ms)
{
	if (found->silent_ms < found->limit_ms)
		return "silence";
	if (!attempt_may_retry(call))
		return "attempts";
	if (!retry_budget_available(&call->service->retry_budget, now_ms))
		return "retry-budget";
	if (!has_other_replica(call, now_ms))
		return "other-replica";
	/* A move would end it: as a trial, or as its part is held now. */
	return call->attempt->trial_part || parts_are_held(call) ? "part"
								 : NULL;
}

static void log_decision(const struct call *call, const struct finding *found,
			 const char *missing, int64_t now_ms)
{
	log_note(&doubt_log,
		 "request %s: attempt %s reason=%s missing=%s replica=%u "
		 "attempt=%u of=%u started=%s "
		 "doubt_ms=%" PRId64 " silent_ms=%" PRId64 " "
		 "replica_silent_ms=%" PRId64,
		 call->id, missing ? "kept" : "moved", found->reason,
		 missing ? missing : "-", call->attempt->replica,
		 call->attempts, call->attempts_max,
		 reply_has_started(call->reply) ? "yes" : "no",
		 now_ms - call->doubt_since_ms, found->silent_ms,
		 found->replica_silent_ms);
}

void doubt_check(struct call *call, int64_t now_ms)
{
	struct finding found;
	const char *missing;

	/* What isn't read, or wasn't read yet, is no silence. */
	if (call->once_only || call->attempt->paused ||
	    call->entry->pauses.just_ended)
		return;
	find_doubt(call, now_ms, &found);
	if (!found.reason) {
		call->doubt = NULL;
		return;
	}
	if (!call->doubt)
		call->doubt_since_ms = now_ms;
	missing = missing_for_move(call, &found, now_ms);
	if (!missing) {
		log_decision(call, &found, NULL, now_ms);
		attempt_move(call, found.reason);
		return;
	}
	if (!call->doubt)
		log_decision(call, &found, missing, now_ms);
	call->doubt = found.reason;
}
