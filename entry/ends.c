#include <inttypes.h>
#include <string.h>

#include <radishdeal/quarantine.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/parts.h"

/* Time from the last break for another response to show that the VM lives. */
#define CONFIRM_MS 100
/* Latest decision after the first break. */
#define DECIDE_MS 500
#define CALLS_PER_END_MAX 512u
#define DECIDED_MAX 64u
#define PARTS_LOGGED_MAX 12u
#define US_PER_MS 1000

static const struct log ends_log = { "ends" };

struct pending_end {
	struct replica_ended end;
	int64_t last_break_ms;
};

/** A replica that was found to have ended. */
struct decided_end {
	char *service;
	uint32_t replica;
	uint64_t epoch;
	int64_t at_ms;
};

struct ends {
	struct entry *entry;
	GPtrArray *pending; /* of struct pending_end */
	GQueue decided;	    /* of struct decided_end, the latest last */
};

static void free_pending(gpointer data)
{
	struct pending_end *p = data;

	g_array_unref(p->end.calls);
	g_free((char *)p->end.service);
	g_free(p);
}

static void free_decided(gpointer data)
{
	struct decided_end *d = data;

	g_free(d->service);
	g_free(d);
}

struct ends *ends_create(struct entry *entry)
{
	struct ends *ends = g_new0(struct ends, 1);

	ends->entry = entry;
	ends->pending = g_ptr_array_new_with_free_func(free_pending);
	g_queue_init(&ends->decided);
	return ends;
}

void ends_destroy(struct ends *ends)
{
	if (!ends)
		return;
	g_ptr_array_unref(ends->pending);
	g_queue_clear_full(&ends->decided, free_decided);
	g_free(ends);
}

/* ---- collecting breaks ---- */

static bool is_of_end(const struct call *call, const struct replica_ended *end)
{
	return call->attempt->replica == end->replica &&
	       call->attempt->epoch == end->epoch &&
	       !strcmp(call->service->name, end->service);
}

static struct pending_end *find_or_add(struct ends *ends,
				       const struct call *call)
{
	struct pending_end *p;

	for (guint i = 0; i < ends->pending->len; i++) {
		p = ends->pending->pdata[i];
		if (is_of_end(call, &p->end))
			return p;
	}
	p = g_new0(struct pending_end, 1);
	p->end.service = g_strdup(call->service->name);
	p->end.replica = call->attempt->replica;
	p->end.epoch = call->attempt->epoch;
	p->end.at_ms = entry_now_ms(ends->entry);
	p->end.calls = g_array_new(FALSE, FALSE, sizeof(struct broken_call));
	g_ptr_array_add(ends->pending, p);
	return p;
}

/* The end of a replica that leaves, or is formed anew, has a known reason. */
static bool end_is_unexplained(const struct call *call)
{
	const struct router_replica *r = router_find(call->service->router,
						     call->attempt->replica);

	return r && r->epoch == call->attempt->epoch &&
	       (r->fresh_until_ms ||
		strcmp(r->fault, replica_fault_name(REPLICA_VM_LEAVING)) != 0);
}

/* A VM that takes a request after its end goes on, and breaks connections. */
static bool lives_on(const struct ends *ends, const struct call *call)
{
	for (GList *l = ends->decided.head; l; l = l->next) {
		const struct decided_end *d = l->data;

		if (d->replica == call->attempt->replica &&
		    d->epoch == call->attempt->epoch &&
		    !strcmp(d->service, call->service->name))
			return call->attempt->sent_us / US_PER_MS > d->at_ms;
	}
	return false;
}

static bool is_late(const struct call *call)
{
	return call->attempt->first_event_us &&
	       entry_now_us(call->entry) - call->attempt->first_event_us >
		       QUARANTINE_LATE_MS * US_PER_MS;
}

bool ends_add_break(struct ends *ends, struct call *call)
{
	struct broken_call broken = { .parts = call->parts,
				      .trial_part = call->attempt->trial_part,
				      .late = is_late(call),
				      .previous_end_ms = call->last_end_ms };
	struct pending_end *p;

	if (!end_is_unexplained(call) || lives_on(ends, call))
		return false;
	p = find_or_add(ends, call);
	p->last_break_ms = entry_now_ms(ends->entry);
	p->end.requests++;
	if (p->end.calls->len == CALLS_PER_END_MAX)
		return true;
	g_array_append_val(p->end.calls, broken);
	/* The decision on this end is the result of the trial. */
	call->attempt->trial_part = 0;
	return true;
}

/* ---- decision ---- */

/* Calls sent there before the first break whose responses are still open. */
static uint32_t count_open(const struct ends *ends,
			   const struct replica_ended *end)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t open = 0;

	g_hash_table_iter_init(&iter, ends->entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct call *call = key;

		/* A paused connection doesn't show that it was closed. */
		open += call->attempt->upstream && !call->attempt->paused &&
			is_of_end(call, end) &&
			call->attempt->sent_us / US_PER_MS < end->at_ms;
	}
	return open;
}

static bool vm_lives(const struct ends *ends, const struct pending_end *p)
{
	const struct entry_service *s = services_find(ends->entry,
						      p->end.service);
	const struct router_replica *r =
		s ? router_find(s->router, p->end.replica) : NULL;

	if (r && r->epoch == p->end.epoch &&
	    r->last_response_ms > p->last_break_ms)
		return true;
	return count_open(ends, &p->end) >= p->end.requests;
}

/** A part and the number of broken requests that had it. */
struct part_count {
	uint64_t id;
	uint32_t requests;
};

static void count_part(GArray *counts, uint64_t id)
{
	struct part_count added = { id, 1 };

	for (guint i = 0; i < counts->len; i++) {
		struct part_count *part = &g_array_index(counts,
							 struct part_count, i);

		if (part->id == id) {
			part->requests++;
			return;
		}
	}
	g_array_append_val(counts, added);
}

static gint compare_counts(gconstpointer a, gconstpointer b)
{
	const struct part_count *x = a, *y = b;

	if (x->requests != y->requests)
		return x->requests > y->requests ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

/* Returns the parts, as struct part_count, the most frequent first. */
static GArray *count_parts(const struct replica_ended *end)
{
	GArray *counts = g_array_new(FALSE, FALSE, sizeof(struct part_count));

	for (guint i = 0; i < end->calls->len; i++) {
		const struct broken_call *broken =
			&g_array_index(end->calls, struct broken_call, i);

		/* The last is the content, which the attempt's lines name. */
		for (uint32_t j = 0; j + 1 < broken->parts.count; j++)
			count_part(counts, broken->parts.ids[j]);
	}
	g_array_sort(counts, compare_counts);
	return counts;
}

static void log_end(const struct ends *ends, const struct replica_ended *end)
{
	const struct entry_service *s = services_find(ends->entry,
						      end->service);
	const char *vm = s ? services_head_vm(s, end->replica) : NULL;
	GString *text = g_string_new(NULL);
	GArray *counts = count_parts(end);

	for (guint i = 0; i < MIN(counts->len, PARTS_LOGGED_MAX); i++) {
		const struct part_count *part =
			&g_array_index(counts, struct part_count, i);

		g_string_append_printf(text, "%s%" PRIx64 ":%u", i ? "," : "",
				       part->id, part->requests);
	}
	log_note(&ends_log,
		 "replica ended replica=%u epoch=%" PRIu64 " vm=%s service=%s "
		 "requests=%u parts=%u most=%s",
		 end->replica, end->epoch, vm ? vm : "-", end->service,
		 end->requests, counts->len, text->len ? text->str : "-");
	g_string_free(text, TRUE);
	g_array_unref(counts);
}

static void report(const struct ends *ends, const struct replica_ended *end,
		   bool ended)
{
	struct parts *parts = ends->entry->parts;

	for (guint i = 0; i < end->calls->len; i++) {
		const struct broken_call *broken =
			&g_array_index(end->calls, struct broken_call, i);

		if (ended)
			parts_add_end(parts, end, broken);
		else if (broken->trial_part)
			parts_trial_undecided(parts, broken->trial_part);
	}
}

static void remember(struct ends *ends, const struct replica_ended *end)
{
	struct decided_end *d = g_new(struct decided_end, 1);

	*d = (struct decided_end){ g_strdup(end->service), end->replica,
				   end->epoch, end->at_ms };
	g_queue_push_tail(&ends->decided, d);
	if (ends->decided.length > DECIDED_MAX)
		free_decided(g_queue_pop_head(&ends->decided));
}

static void decide(struct ends *ends, const struct pending_end *p)
{
	bool ended = !vm_lives(ends, p);

	if (ended) {
		log_end(ends, &p->end);
		counters_add(ends->entry->opts.counters, COUNTER_REPLICA_ENDS,
			     1);
		remember(ends, &p->end);
	} else {
		log_info(&ends_log,
			 "connections broke, the replica goes on replica=%u "
			 "epoch=%" PRIu64 " service=%s requests=%u",
			 p->end.replica, p->end.epoch, p->end.service,
			 p->end.requests);
	}
	report(ends, &p->end, ended);
}

bool ends_found(const struct ends *ends, const char *service, uint32_t replica,
		uint64_t epoch, int64_t at_ms)
{
	for (GList *l = ends->decided.head; l; l = l->next) {
		const struct decided_end *d = l->data;

		if (d->replica == replica && d->epoch == epoch &&
		    !strcmp(d->service, service))
			return ABS(d->at_ms - at_ms) <= CONFIRM_MS;
	}
	return false;
}

void ends_tick(struct ends *ends)
{
	int64_t now = entry_now_ms(ends->entry);

	for (guint i = 0; i < ends->pending->len;) {
		struct pending_end *p = ends->pending->pdata[i];

		if (now - p->last_break_ms < CONFIRM_MS &&
		    now - p->end.at_ms < DECIDE_MS) {
			i++;
			continue;
		}
		decide(ends, p);
		g_ptr_array_remove_index(ends->pending, i);
	}
}
