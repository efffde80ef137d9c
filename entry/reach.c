#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "common/probe.h"
#include "entry/attempt.h"
#include "entry/reach.h"
#include "entry/upstream.h"

#define PROBES 3u
#define PROBE_TIMEOUT_MS 400
/* A connection that is accepted and reset at once reaches nothing. */
#define PROBE_HOLD_MS 100

static const struct log reach_log = { "reach" };

struct probe_slot {
	struct reach *reach;
	struct probe *probe; /* NULL once it has ended */
};

struct reach {
	struct entry *entry;
	struct entry_service *service;
	struct links *links;
	struct probe_slot slots[PROBES];
	uint32_t probe_count, open_probes, reached; /* of the round */
	int64_t round_ms;			    /* when it began */
	uint64_t last_probed;	/* endpoint; the next round begins after it */
	enum links_state state; /* as logged last */
};

struct reach *reach_create(struct entry_service *service)
{
	struct reach *reach = g_new0(struct reach, 1);

	reach->entry = service->entry;
	reach->service = service;
	reach->links = links_create(entry_now_ms(service->entry));
	return reach;
}

void reach_destroy(struct reach *reach)
{
	if (!reach)
		return;
	for (uint32_t i = 0; i < PROBES; i++)
		if (reach->slots[i].probe)
			probe_cancel(reach->slots[i].probe);
	links_destroy(reach->links);
	g_free(reach);
}

static int64_t now_ms(const struct reach *reach)
{
	return entry_now_ms(reach->entry);
}

/* ---- log ---- */

static void log_evidence(const struct reach *reach, const char *what)
{
	struct links_evidence e;

	links_get_evidence(reach->links, now_ms(reach), &e);
	log_note(&reach_log,
		 "%s service=%s state=%s was=%s silent_ms=%" PRId64 " usual_ms="
		 "%" PRId64 " waiting=%u silent=%u failed=%u probes=%u "
		 "reached=%u",
		 what, reach->service->name,
		 links_state_name(links_state(reach->links)),
		 links_state_name(reach->state), e.silent_ms, e.usual_ms,
		 e.waiting, e.silent, e.failed, reach->probe_count,
		 reach->reached);
}

static void log_change(struct reach *reach)
{
	enum links_state state = links_state(reach->links);

	if (state == reach->state)
		return;
	log_evidence(reach, "links to endpoints changed");
	reach->state = state;
}

/* ---- evidence ---- */

void reach_sent(const struct call *call)
{
	struct reach *reach = call->service->reach;

	if (call->attempt->endpoint)
		links_sent(reach->links, now_ms(reach),
			   call->attempt->endpoint);
}

void reach_answered(const struct call *call)
{
	struct reach *reach = call->service->reach;

	if (call->attempt->endpoint && call->attempt->upstream)
		links_answered(reach->links, now_ms(reach),
			       call->attempt->endpoint,
			       !upstream_is_reused(call->attempt->upstream));
}

void reach_heard(const struct call *call)
{
	struct reach *reach = call->service->reach;

	if (call->attempt->endpoint)
		links_heard(reach->links, now_ms(reach),
			    call->attempt->endpoint);
}

void reach_failed(const struct call *call)
{
	struct reach *reach = call->service->reach;

	if (call->attempt->endpoint)
		links_failed(reach->links, now_ms(reach),
			     call->attempt->endpoint);
}

void reach_ended(const struct call *call)
{
	if (call->attempt->endpoint)
		links_ended(call->service->reach->links,
			    call->attempt->endpoint);
}

/* ---- probes ---- */

struct target {
	uint64_t endpoint;
	char address[ADDRESS_MAX];
};

struct target_list {
	GArray *targets; /* of struct target */
	int64_t now_ms;
};

static void add_target(void *ctx, const struct router_replica *r)
{
	struct target_list *list = ctx;
	struct target target = { .endpoint = r->endpoint };

	if (!r->endpoint || list->now_ms >= r->fresh_until_ms)
		return;
	g_strlcpy(target.address, r->address, sizeof(target.address));
	g_array_append_val(list->targets, target);
}

static gint compare_targets(gconstpointer a, gconstpointer b)
{
	const struct target *x = a, *y = b;

	return x->endpoint < y->endpoint ? -1 : x->endpoint > y->endpoint;
}

/* Returns the endpoints that are said to be healthy, as struct target. */
static GArray *list_targets(const struct reach *reach)
{
	struct target_list list = {
		.targets = g_array_new(FALSE, FALSE, sizeof(struct target)),
		.now_ms = now_ms(reach),
	};

	router_each(reach->service->router, add_target, &list);
	/* By hash, so that neighbours are no rack. */
	g_array_sort(list.targets, compare_targets);
	return list.targets;
}

/* A process that was paused sees its own probes time out. */
static bool was_paused(const struct reach *reach)
{
	int64_t now = now_ms(reach);

	return pauses_awake_ms(&reach->entry->pauses, reach->round_ms, now) <
	       now - reach->round_ms;
}

static void on_probed(void *ctx, bool reachable)
{
	struct probe_slot *slot = ctx;
	struct reach *reach = slot->reach;

	slot->probe = NULL;
	reach->open_probes--;
	reach->reached += reachable;
	if (reach->open_probes)
		return;
	links_probed(reach->links, now_ms(reach),
		     was_paused(reach) ? 0 : reach->probe_count,
		     reach->reached);
	log_change(reach);
}

static void send_probe(struct reach *reach, struct probe_slot *slot,
		       const char *address)
{
	struct probe_opts opts = {
		.address = address,
		.timeout_ms = PROBE_TIMEOUT_MS,
		.hold_ms = PROBE_HOLD_MS,
		.done = on_probed,
		.ctx = slot,
	};

	slot->reach = reach;
	slot->probe = probe_start(reach->entry->base, &opts);
}

/* Each round asks the endpoints that follow those of the last one. */
static void send_probes(struct reach *reach, const GArray *targets)
{
	guint first = 0;

	while (first < targets->len &&
	       g_array_index(targets, struct target, first).endpoint <=
		       reach->last_probed)
		first++;
	reach->probe_count = MIN(PROBES, targets->len);
	reach->open_probes = reach->probe_count;
	reach->round_ms = now_ms(reach);
	reach->reached = 0;
	if (reach->state == LINKS_UP)
		log_evidence(reach, "no endpoint answers: probing");
	for (uint32_t i = 0; i < reach->probe_count; i++) {
		const struct target *target = &g_array_index(
			targets, struct target, (first + i) % targets->len);

		reach->last_probed = target->endpoint;
		send_probe(reach, &reach->slots[i], target->address);
	}
}

enum links_state reach_state(const struct reach *reach)
{
	return links_state(reach->links);
}

bool reach_allows(const struct call *call)
{
	return links_allow(call->service->reach->links, !call->once_only);
}

bool reach_in_doubt(const struct reach *reach)
{
	return links_in_doubt(reach->links, now_ms(reach));
}

static void tick(struct reach *reach)
{
	GArray *targets;

	if (reach->entry->pauses.just_ended) {
		links_paused(reach->links, now_ms(reach));
		return;
	}
	log_change(reach);
	if (reach->state == LINKS_UP && !reach_in_doubt(reach))
		return;
	targets = list_targets(reach);
	links_tick(reach->links, now_ms(reach), targets->len);
	log_change(reach);
	if (links_probe_due(reach->links, now_ms(reach), targets->len))
		send_probes(reach, targets);
	g_array_unref(targets);
}

void reach_tick(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;
	int64_t down = 0;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_service *s = value;

		tick(s->reach);
		down += reach_state(s->reach) == LINKS_DOWN;
	}
	counters_set(entry->opts.counters, COUNTER_LINKS_DOWN, down);
}

struct usable_count {
	int64_t now_ms;
	uint32_t usable;
};

static void count_usable(void *ctx, const struct router_replica *r)
{
	struct usable_count *count = ctx;

	count->usable += count->now_ms < r->fresh_until_ms;
}

bool reach_lost_most(const struct entry *entry)
{
	struct usable_count all = { .now_ms = entry_now_ms(entry) };
	struct usable_count down = all;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_service *s = value;

		router_each(s->router, count_usable, &all);
		if (reach_state(s->reach) == LINKS_DOWN)
			router_each(s->router, count_usable, &down);
	}
	return 2 * down.usable > all.usable;
}
