#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "entry/ends.h"

/* Time from the last break for another response to show that the VM lives. */
#define CONFIRM_MS 100
/* Latest decision after the first break. */
#define DECIDE_MS 500
#define PARTS_PER_END_MAX 512u
#define PARTS_LOGGED_MAX 12u

static const struct log ends_log = { "ends" };

struct pending_end {
	struct replica_ended end;
	int64_t last_break_ms;
};

struct ends {
	struct entry *entry;
	GPtrArray *pending; /* of struct pending_end */
};

static void free_pending(gpointer data)
{
	struct pending_end *p = data;

	g_array_unref(p->end.parts);
	g_free((char *)p->end.service);
	g_free(p);
}

struct ends *ends_create(struct entry *entry)
{
	struct ends *ends = g_new0(struct ends, 1);

	ends->entry = entry;
	ends->pending = g_ptr_array_new_with_free_func(free_pending);
	return ends;
}

void ends_destroy(struct ends *ends)
{
	if (!ends)
		return;
	g_ptr_array_unref(ends->pending);
	g_free(ends);
}

/* ---- collecting breaks ---- */

static bool is_of_end(const struct call *call, const struct replica_ended *end)
{
	return call->replica == end->replica && call->epoch == end->epoch &&
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
	p->end.replica = call->replica;
	p->end.epoch = call->epoch;
	p->end.at_ms = entry_now_ms(ends->entry);
	p->end.parts = g_array_new(FALSE, FALSE, sizeof(struct ended_part));
	g_ptr_array_add(ends->pending, p);
	return p;
}

static void add_part(GArray *parts, uint64_t id)
{
	struct ended_part added = { id, 1 };

	for (guint i = 0; i < parts->len; i++) {
		struct ended_part *part = &g_array_index(parts,
							 struct ended_part, i);

		if (part->id == id) {
			part->requests++;
			return;
		}
	}
	if (parts->len < PARTS_PER_END_MAX)
		g_array_append_val(parts, added);
}

/* The end of a replica that leaves, or is formed anew, has a known reason. */
static bool end_is_unexplained(const struct call *call)
{
	const struct router_replica *r = router_find(call->service->router,
						     call->replica);

	return r && r->epoch == call->epoch &&
	       (r->fresh_until_ms ||
		strcmp(r->fault, replica_fault_name(REPLICA_VM_LEAVING)) != 0);
}

void ends_add_break(struct ends *ends, const struct call *call)
{
	struct pending_end *p;

	if (!end_is_unexplained(call))
		return;
	p = find_or_add(ends, call);
	p->last_break_ms = entry_now_ms(ends->entry);
	p->end.requests++;
	for (uint32_t i = 0; i < call->parts.count; i++)
		add_part(p->end.parts, call->parts.ids[i]);
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
		open += call->upstream && !call->paused &&
			is_of_end(call, end) &&
			call->sent_us / 1000 < end->at_ms;
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

static gint compare_parts(gconstpointer a, gconstpointer b)
{
	const struct ended_part *x = a, *y = b;

	if (x->requests != y->requests)
		return x->requests > y->requests ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

static void log_end(const struct replica_ended *end)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < MIN(end->parts->len, PARTS_LOGGED_MAX); i++) {
		const struct ended_part *part =
			&g_array_index(end->parts, struct ended_part, i);

		g_string_append_printf(text, "%s%" PRIx64 ":%u", i ? "," : "",
				       part->id, part->requests);
	}
	log_note(&ends_log,
		 "replica ended replica=%u epoch=%" PRIu64 " service=%s "
		 "requests=%u parts=%u most=%s",
		 end->replica, end->epoch, end->service, end->requests,
		 end->parts->len, text->len ? text->str : "-");
	g_string_free(text, TRUE);
}

static void decide(struct ends *ends, struct pending_end *p)
{
	if (vm_lives(ends, p)) {
		log_info(&ends_log,
			 "connections broke, the replica goes on replica=%u "
			 "epoch=%" PRIu64 " service=%s requests=%u",
			 p->end.replica, p->end.epoch, p->end.service,
			 p->end.requests);
		return;
	}
	g_array_sort(p->end.parts, compare_parts);
	log_end(&p->end);
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
