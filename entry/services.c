/* The services of the configuration: their routers, queues and replicas. */
#include <inttypes.h>
#include <string.h>

#include <radishdeal/engine.h>

#include "common/log.h"
#include "control/demands.h"
#include "entry/call.h"

#define PREFIXES_PER_REPLICA 4096
/* Replicas compared for a request; of all, entries would take the same. */
#define SAMPLE 3
/* Of a replica's slots, for requests that are late already: the rest is for
 * those that can still be in time. */
#define LATE_FILL_PERMILLE 600u
/* Numbers of plain services' endpoints, apart from those of replicas. */
#define FIRST_PLAIN 1u

static const struct log services_log = { "services" };

void service_drop(gpointer data)
{
	struct entry_service *s = data;

	router_destroy(s->router);
	admission_destroy(s->admission);
	g_hash_table_unref(s->plain_names);
	g_hash_table_unref(s->plain);
	g_free(s->name);
	g_free(s);
}

struct entry_service *services_find(const struct entry *entry, const char *name)
{
	return g_hash_table_lookup(entry->services, name);
}

const char *services_head(const struct entry_service *s, uint32_t replica)
{
	const struct replica_state *r;
	const char *plain = g_hash_table_lookup(s->plain_names,
						GUINT_TO_POINTER(replica));

	if (plain)
		return plain;
	r = state_replica(s->entry->config, replica);
	return r && r->assign.vms.vms_len ? r->assign.vms.vms_val[0].name
					  : NULL;
}

static struct entry_service *add_service(struct entry *entry, const char *name,
					 const struct engine_spec *engine)
{
	struct entry_service *s = g_new0(struct entry_service, 1);
	struct router_opts opts = {
		.seed = g_rand_int(entry->random),
		.entry = (uint32_t)entry->opts.settings->node.id,
		.subset = (uint32_t)entry->opts.settings->limits.subset,
		.prefix_max = PREFIXES_PER_REPLICA,
	};
	const struct limit_settings *limits = &entry->opts.settings->limits;
	struct repeats_opts repeats = {
		.permille = (uint32_t)limits->repeat_permille,
		.window_ms = (int32_t)limits->repeat_window_ms,
	};

	s->entry = entry;
	s->name = g_strdup(name);
	s->engine = *engine;
	s->policy = (struct router_policy){
		.name = "first event",
		.cost = router_first_event_ms,
		.sample = SAMPLE,
		.ctx = &s->engine,
	};
	if (engine_is_known(engine))
		opts.policy = &s->policy;
	s->router = router_create(&opts);
	s->admission = admission_create();
	s->plain = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->plain_names = g_hash_table_new(NULL, NULL);
	s->next_plain = FIRST_PLAIN;
	repeats_init(&s->repeats, &repeats);
	g_hash_table_insert(entry->services, s->name, s);
	return s;
}

/* How the service's engine spends its time; all zero if that is not known. */
static const struct engine_spec *engine_of(const struct entry_service *s)
{
	static const struct engine_spec unknown;
	const struct service_state *state = state_service(s->entry->config,
							  s->name);

	return state ? &state->spec.engine : &unknown;
}

/* ---- following the configuration ---- */

static uint32_t count_entries(const struct entry *entry)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < entry->other_count; i++)
		count += *entry->others[i].callers_address != '\0';
	return MAX(count, 1);
}

struct pool_count {
	const char *pool;
	uint32_t count;
};

static void count_of_pool(void *ctx, const struct service_state *service)
{
	struct pool_count *c = ctx;

	c->count += *c->pool && !strcmp(service->spec.pool, c->pool);
}

/*
 * What may be repeated whatever the requests is counted for a pool over all
 * entries; each service of it has its part here.
 */
static void share_repeats(struct entry *entry, struct entry_service *s,
			  const struct service_spec *spec)
{
	uint32_t slack = (uint32_t)entry->opts.settings->limits.repeat_slack;
	struct pool_count c = { spec->pool, 0 };

	state_each_service(entry->config, count_of_pool, &c);
	repeats_set_slack(&s->repeats,
			  slack / count_entries(entry) / MAX(c.count, 1));
}

/* What an account may use here: its part of what it may use everywhere. */
static uint32_t local_limit(const struct entry *entry, uint32_t limit)
{
	uint32_t entries = MAX(1, entry->other_count);

	return limit ? MAX(1, (limit + entries - 1) / entries) : 0;
}

static void update_service(void *ctx, const struct service_state *service)
{
	struct entry *entry = ctx;
	struct entry_service *s = services_find(entry, service->name);

	if (!s)
		s = add_service(entry, service->name, &service->spec.engine);
	s->engine = service->spec.engine;
	s->seen = true;
	s->revision = service->revision;
	share_repeats(entry, s, &service->spec);
	for (u_int i = 0; i < service->spec.accounts.accounts_len; i++) {
		const struct account_spec *a =
			&service->spec.accounts.accounts_val[i];

		admission_put_account(s->admission, a->name, a->weight,
				      a->priority,
				      local_limit(entry, a->max_outstanding));
	}
}

static void put_replica(void *ctx, const struct replica_state *replica)
{
	struct entry *entry = ctx;
	const struct assign_replica *a = &replica->assign;
	struct entry_service *s = services_find(entry, a->service);
	const struct service_state *service = state_service(entry->config,
							    a->service);

	if (s && service && a->vms.vms_len)
		router_put(s->router, a->replica, a->epoch,
			   service->spec.slots_per_replica,
			   a->vms.vms_val[0].address);
}

struct removal {
	struct entry *entry;
	struct entry_service *service;
	GArray *gone;
};

static void find_gone(void *ctx, const struct router_replica *r)
{
	struct removal *removal = ctx;
	const struct replica_state *known =
		state_replica(removal->entry->config, r->id);
	uint32_t id = r->id;

	if (!known || known->released ||
	    strcmp(known->assign.service, removal->service->name) != 0)
		g_array_append_val(removal->gone, id);
}

/* Calls at a released replica go on; it just gets no new ones. */
static void remove_gone(struct entry *entry, struct entry_service *s)
{
	const struct service_state *service = state_service(entry->config,
							    s->name);
	struct removal removal = {
		entry, s, g_array_new(FALSE, FALSE, sizeof(uint32_t))
	};

	if (service && !service->spec.plain)
		router_each(s->router, find_gone, &removal);
	for (guint i = 0; i < removal.gone->len; i++)
		router_remove(s->router,
			      g_array_index(removal.gone, uint32_t, i));
	g_array_unref(removal.gone);
}

static gboolean forget_unseen(gpointer key, gpointer value, gpointer data)
{
	struct entry_service *s = value;

	(void)key;
	(void)data;
	/* One with calls left goes when they have ended. */
	return !s->seen && !admission_waiting(s->admission) &&
	       !admission_serving(s->admission);
}

void services_update(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct entry_service *)value)->seen = false;
	state_each_service(entry->config, update_service, entry);
	state_each_replica(entry->config, put_replica, entry);
	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		remove_gone(entry, value);
	g_hash_table_foreach_remove(entry->services, forget_unseen, NULL);
	services_judge(entry);
}

/* ---- following the evidence ---- */

static void lose_calls(struct entry *entry, uint32_t replica,
		       const struct entry_service *service, const char *why)
{
	GPtrArray *lost = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, entry->calls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct call *call = key;

		if (call->replica == replica && call->service == service)
			g_ptr_array_add(lost, call);
	}
	for (guint i = 0; i < lost->len; i++)
		attempt_replica_lost(lost->pdata[i], why);
	g_ptr_array_unref(lost);
}

/* A replica whose VM is leaving finishes what it has. */
static bool loses_calls(enum replica_fault fault)
{
	return fault == REPLICA_VM_SILENT || fault == REPLICA_VM_OTHER_EPOCH;
}

/*
 * After a start nothing is known of VMs until they announce themselves; until
 * then what was whole before is taken to be so.
 */
static int64_t presumed_until_ms(const struct entry *entry,
				 const struct replica_state *replica)
{
	int64_t for_ms = entry->opts.settings->limits.presume_ms;

	return replica->confirmed && for_ms ? entry->began_ms + for_ms : 0;
}

/*
 * A replica of which a VM is missing answers nothing. So one whose answers
 * come is whole, though its VMs may be cut off from their homes.
 */
static int64_t moves_until_ms(const struct router_replica *r)
{
	return r->outstanding ? r->answered_ms + EVIDENCE_MOVING_MS : 0;
}

static void judge_replica(void *ctx, const struct replica_state *replica)
{
	struct entry *entry = ctx;
	const struct assign_replica *a = &replica->assign;
	struct entry_service *s = services_find(entry, a->service);
	const struct router_replica *r;
	enum replica_fault fault;
	const char *culprit;
	int64_t fresh_until_ms;
	bool was_whole;

	r = s ? router_find(s->router, a->replica) : NULL;
	if (!r)
		return;
	was_whole = r->fresh_until_ms != 0;
	fault = view_judge(entry->view, a, entry_now_ms(entry),
			   presumed_until_ms(entry, replica), &culprit,
			   &fresh_until_ms);
	if (fault == REPLICA_VM_SILENT &&
	    moves_until_ms(r) > entry_now_ms(entry)) {
		fault = REPLICA_WHOLE;
		fresh_until_ms = moves_until_ms(r);
	}
	router_set_fresh(s->router, a->replica, fresh_until_ms,
			 replica_fault_name(fault));
	if (was_whole == !fault)
		return;
	log_note(&services_log,
		 "replica judged replica=%u epoch=%" PRIu64 " service=%s "
		 "state=%s vm=%s",
		 a->replica, a->epoch, a->service, replica_fault_name(fault),
		 culprit ? culprit : "-");
	if (loses_calls(fault))
		lose_calls(entry, a->replica, s, replica_fault_name(fault));
}

static uint32_t plain_number(struct entry_service *s, const char *vm)
{
	gpointer known = g_hash_table_lookup(s->plain, vm);

	if (!known) {
		char *name = g_strdup(vm);

		known = GUINT_TO_POINTER(s->next_plain++);
		g_hash_table_insert(s->plain, name, known);
		g_hash_table_insert(s->plain_names, known, name);
	}
	return GPOINTER_TO_UINT(known);
}

/* Endpoints of plain services announce which service they belong to. */
static void judge_plain(void *ctx, const struct view_vm *vm)
{
	struct entry *entry = ctx;
	const struct vm_report *r = &vm->report;
	struct entry_service *s = *r->service ? services_find(entry, r->service)
					      : NULL;
	const struct service_state *service =
		s ? state_service(entry->config, r->service) : NULL;
	bool alive = view_alive(entry->view, vm, entry_now_ms(entry));
	bool good = alive && r->ready && !r->leaving;
	uint32_t number;

	if (!service || !service->spec.plain)
		return;
	number = plain_number(s, r->name);
	router_put(s->router, number, r->incarnation,
		   r->slots ? r->slots : service->spec.slots_per_replica,
		   r->address);
	router_set_fresh(s->router, number, good ? vm->fresh_until_ms : 0,
			 good	      ? "whole"
			 : !alive     ? "vm-silent"
			 : r->leaving ? "vm-leaving"
				      : "vm-not-ready");
	if (!alive)
		lose_calls(entry, number, s, "vm-silent");
}

void services_judge(struct entry *entry)
{
	state_each_replica(entry->config, judge_replica, entry);
	view_each(entry->view, judge_plain, entry);
	entry->judged_version = view_version(entry->view);
	entry_want_pump(entry);
}

static uint32_t replica_of(const struct entry_service *s,
			   const struct vm_report *report)
{
	if (!*report->service)
		return report->replica;
	return GPOINTER_TO_UINT(g_hash_table_lookup(s->plain, report->name));
}

static struct entry_service *service_of(struct entry *entry,
					const struct vm_report *report)
{
	const struct replica_state *r;

	if (*report->service)
		return services_find(entry, report->service);
	r = state_replica(entry->config, report->replica);
	return r && r->assign.epoch == report->epoch
		       ? services_find(entry, r->assign.service)
		       : NULL;
}

static bool is_head(struct entry *entry, const struct vm_report *report)
{
	const struct replica_state *r = state_replica(entry->config,
						      report->replica);

	return *report->service ||
	       (r && !strcmp(r->assign.vms.vms_val[0].name, report->name));
}

void services_load(struct entry *entry, const struct vm_report *report)
{
	struct entry_service *s = service_of(entry, report);

	if (!s || !is_head(entry, report))
		return;
	router_load(s->router, replica_of(s, report),
		    report->load.running + report->load.waiting,
		    report->load.step_us);
	router_trust(s->router, replica_of(s, report));
}

struct load_list {
	GArray *loads; /* of struct replica_load */
	int64_t now_ms;
};

/* Since the last byte of an answer, or since an idle one got something. */
static uint32_t quiet_ms(const struct router_replica *r, int64_t now_ms)
{
	if (now_ms - r->answered_ms < EVIDENCE_MOVING_MS)
		return (uint32_t)MAX(0, now_ms - r->answered_ms);
	return (uint32_t)MAX(EVIDENCE_MOVING_MS, now_ms - r->heard_ms);
}

static void add_load(void *ctx, const struct router_replica *r)
{
	struct load_list *list = ctx;
	struct replica_load load = {
		.replica = r->id,
		.epoch = r->epoch,
		.requests = r->outstanding,
		.quiet_ms = quiet_ms(r, list->now_ms),
	};

	if (r->outstanding)
		g_array_append_val(list->loads, load);
}

GArray *services_loads(const struct entry *entry)
{
	struct load_list list = {
		.loads = g_array_new(FALSE, FALSE, sizeof(struct replica_load)),
		.now_ms = entry_now_ms(entry),
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_service *s = value;

		if (engine_is_known(engine_of(s)))
			router_each(s->router, add_load, &list);
	}
	return list.loads;
}

GArray *services_demands(const struct entry *entry)
{
	GArray *demands = demands_create();
	int64_t now = entry_now_ms(entry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_service *s = value;
		struct service_demand told = { .service = s->name };

		demand_rate(&s->demand, now, &told.requests_per_ks,
			    &told.prompt_tokens);
		if (told.requests_per_ks && engine_is_known(engine_of(s)))
			demands_add(demands, &told);
	}
	return demands;
}

static void forget_others_load(void *ctx, const struct router_replica *r)
{
	struct router *router = ctx;

	router_others(router, r->id, r->epoch, 0);
}

void services_take_loads(struct entry *entry, const struct replica_load *loads,
			 uint32_t count)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		if (engine_is_known(engine_of(s)))
			router_each(s->router, forget_others_load, s->router);
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct replica_state *r = state_replica(entry->config,
							      loads[i].replica);
		struct entry_service *s =
			r ? services_find(entry, r->assign.service) : NULL;

		if (s)
			router_others(s->router, loads[i].replica,
				      loads[i].epoch, loads[i].requests);
	}
}

static guint read_hashes(json_t *list, uint64_t *out, guint max)
{
	guint n = 0;
	size_t i;
	json_t *value;

	json_array_foreach(list, i, value) {
		if (n < max)
			out[n++] = (uint64_t)json_integer_value(value);
	}
	return n;
}

void services_cache(struct entry *entry, const struct vm_report *report,
		    json_t *cache)
{
	struct entry_service *s = service_of(entry, report);
	uint64_t stored[256], dropped[256];
	guint stored_count, dropped_count;

	if (!s || !json_is_object(cache) || !is_head(entry, report))
		return;
	/* A gap hides what was dropped; what is listed now is the truth. */
	if (json_is_true(json_object_get(cache, "reset")))
		router_cache_reset(s->router, replica_of(s, report));
	stored_count = read_hashes(json_object_get(cache, "stored"), stored,
				   G_N_ELEMENTS(stored));
	dropped_count = read_hashes(json_object_get(cache, "dropped"), dropped,
				    G_N_ELEMENTS(dropped));
	router_cache(s->router, replica_of(s, report), stored, stored_count,
		     dropped, dropped_count);
}

/* ---- replicas that answer nothing ---- */

struct watching {
	struct entry_service *service;
	int64_t now_ms;
	GArray *silent; /* of uint32_t */
};

static void watch_replica(void *ctx, const struct router_replica *r)
{
	struct watching *w = ctx;
	int64_t limit = w->service->entry->opts.settings->limits.stall_ms;
	uint32_t id = r->id;

	if (r->outstanding && w->now_ms - r->heard_ms >= limit &&
	    w->now_ms >= r->suspect_until_ms)
		g_array_append_val(w->silent, id);
}

static void watch_service(struct entry_service *s)
{
	struct watching w = {
		.service = s,
		.now_ms = entry_now_ms(s->entry),
		.silent = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};

	router_each(s->router, watch_replica, &w);
	for (guint i = 0; i < w.silent->len; i++) {
		uint32_t id = g_array_index(w.silent, uint32_t, i);

		log_note(&services_log,
			 "replica stalled replica=%u service=%s "
			 "silent_ms=%d",
			 id, s->name,
			 (int)s->entry->opts.settings->limits.stall_ms);
		router_suspect(s->router, id, w.now_ms);
		lose_calls(s->entry, id, s, "stalled");
	}
	g_array_unref(w.silent);
}

/* Engines batch: one that is well sends something of some stream soon. */
void services_watch(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		if (engine_is_known(engine_of(s)))
			watch_service(s);
	}
}

/* ---- turns ---- */

static void expire_waiting(struct entry_service *s)
{
	int64_t now = entry_now_ms(s->entry);
	struct admission_ticket *ticket;

	while ((ticket = admission_expired(s->admission, now))) {
		uint32_t free_slots, slots;

		router_capacity(s->router, now, &free_slots, &slots);
		call_give_up(ticket->ctx,
			     slots ? RD_OVERLOADED : RD_NO_REPLICA);
	}
}

static bool admits(const struct entry_service *s)
{
	const struct service_state *service = state_service(s->entry->config,
							    s->name);

	return service && service_active_preset(service)->admit;
}

/* Late requests must not stand between others and their first events. */
static bool late_must_wait(const struct entry_service *s)
{
	return s->late_unread >= router_late_limit(s->router,
						   entry_now_ms(s->entry),
						   count_entries(s->entry));
}

/* Sends whose turn it is; false if there is no place for it now. */
static bool send_next(struct entry_service *s, struct admission_ticket *ticket)
{
	struct entry *entry = s->entry;
	struct call *call = ticket->ctx;
	bool engine = engine_is_known(engine_of(s));
	int64_t started = entry_now_us(entry);
	struct router_choice choice;

	if (engine && ticket->late && late_must_wait(s))
		return false;
	call->route.after_reads = engine && ticket->late;
	router_choose(s->router, entry_now_ms(entry),
		      ticket->late ? LATE_FILL_PERMILLE : ROUTER_FILL_ALL,
		      &call->route, &choice);
	counters_time(entry->opts.counters, HISTOGRAM_DECISION,
		      entry_now_us(entry) - started);
	if (!choice.replica)
		return false;
	attempt_dispatch(call, &choice);
	return true;
}

static void pump_service(struct entry_service *s)
{
	struct admission_ticket *ticket;

	expire_waiting(s);
	if (!admits(s)) {
		/* What has not begun when maintenance starts does not begin. */
		while ((ticket = admission_peek(s->admission,
						entry_now_ms(s->entry))))
			call_give_up(ticket->ctx, RD_MAINTENANCE);
		return;
	}
	do
		ticket = admission_peek(s->admission, entry_now_ms(s->entry));
	while (ticket && send_next(s, ticket));
}

void services_pump(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;
	int64_t waiting = 0;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		pump_service(s);
		waiting += admission_waiting(s->admission);
	}
	counters_set(entry->opts.counters, COUNTER_QUEUED, waiting);
}
