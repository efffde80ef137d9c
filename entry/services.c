/*
 * Per-service state: routers, admission queues, replica health and load
 * reports.
 */
#include <inttypes.h>
#include <string.h>

#include <radishdeal/engine.h>

#include "common/log.h"
#include "control/demands.h"
#include "entry/attempt.h"
#include "entry/call.h"
#include "entry/leaving.h"
#include "entry/limits.h"
#include "entry/reach.h"
#include "entry/relay.h"

#define PREFIXES_PER_REPLICA 4096
/*
 * Random candidates compared per request. If all entries compared every
 * replica, they would all choose the same one.
 */
#define CANDIDATES_COMPARED 3
/*
 * Share of a replica's slots open to overdue requests; the rest is reserved for
 * those that can still meet their objective.
 */
#define OVERDUE_FILL_PERMILLE 600u
/* Endpoints of plain services are numbered separately from replicas. */
#define FIRST_PLAIN_NUMBER 1u

static const struct log services_log = { "services" };

void entry_service_free(gpointer data)
{
	struct entry_service *s = data;

	reach_destroy(s->reach);
	router_destroy(s->router);
	admission_destroy(s->admission);
	g_hash_table_unref(s->plain_names);
	g_hash_table_unref(s->plain_numbers);
	g_free(s->name);
	g_free(s);
}

struct entry_service *services_find(const struct entry *entry, const char *name)
{
	return g_hash_table_lookup(entry->services, name);
}

const char *services_head_vm(const struct entry_service *s, uint32_t replica)
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
		.limits = limits_table(entry->limits),
	};
	const struct limit_settings *limits = &entry->opts.settings->limits;
	struct retry_budget_opts retry_budget = {
		.permille = (uint32_t)limits->repeat_permille,
		.window_ms = (int32_t)limits->repeat_window_ms,
	};

	s->entry = entry;
	s->name = g_strdup(name);
	s->engine = *engine;
	s->policy = (struct router_policy){
		.name = "first event",
		.cost = router_ttft_ms,
		.sample = CANDIDATES_COMPARED,
		.ctx = &s->engine,
	};
	if (engine_has_timings(engine))
		opts.policy = &s->policy;
	s->router = router_create(&opts);
	s->admission = admission_create();
	s->reach = reach_create(s);
	s->plain_numbers = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	s->plain_names = g_hash_table_new(NULL, NULL);
	s->next_plain_number = FIRST_PLAIN_NUMBER;
	retry_budget_init(&s->retry_budget, &retry_budget);
	g_hash_table_insert(entry->services, s->name, s);
	return s;
}

/* Returns the specification of the service's engine; all zero if unknown. */
static const struct engine_spec *engine_of(const struct entry_service *s)
{
	static const struct engine_spec unknown;
	const struct service_state *state = state_service(s->entry->config,
							  s->name);

	return state ? &state->spec.engine : &unknown;
}

/* ---- configuration updates ---- */

static uint32_t count_entries(const struct entry *entry)
{
	GArray *nodes = entry_list_nodes(entry);
	uint32_t count = MAX(nodes->len, 1);

	g_array_unref(nodes);
	return count;
}

struct pool_count {
	const char *pool;
	uint32_t count;
};

static void count_pool_service(void *ctx, const struct service_state *service)
{
	struct pool_count *c = ctx;

	c->count += *c->pool && !strcmp(service->spec.pool, c->pool);
}

/*
 * limits.repeat_slack is the fixed part of a pool's retry budget. It is divided
 * equally among the entries, and on each among the services of the pool.
 */
static void update_retry_reserve(struct entry *entry, struct entry_service *s,
				 const struct service_spec *spec)
{
	uint32_t slack = (uint32_t)entry->opts.settings->limits.repeat_slack;
	struct pool_count c = { spec->pool, 0 };

	state_each_service(entry->config, count_pool_service, &c);
	retry_budget_set_reserve(&s->retry_budget,
				 slack / count_entries(entry) /
					 MAX(c.count, 1));
}

/*
 * Returns this entry's share of an account's limit over all entries. 0 means no
 * limit.
 */
static uint32_t local_limit(const struct entry *entry, uint32_t limit)
{
	uint32_t entries = MAX(1, entry->known_entry_count);

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
	update_retry_reserve(entry, s, &service->spec);
	for (u_int i = 0; i < service->spec.accounts.accounts_len; i++) {
		const struct account_spec *a =
			&service->spec.accounts.accounts_val[i];

		admission_put_account(s->admission, a->name, a->weight,
				      a->priority,
				      local_limit(entry, a->max_outstanding));
	}
}

static void update_replica(void *ctx, const struct replica_state *replica)
{
	struct entry *entry = ctx;
	const struct assign_replica *a = &replica->assign;
	struct entry_service *s = services_find(entry, a->service);
	const struct service_state *service = state_service(entry->config,
							    a->service);

	if (!s || !service || !a->vms.vms_len)
		return;
	router_put(s->router, a->replica, a->epoch,
		   service->spec.slots_per_replica, a->vms.vms_val[0].address);
	router_set_endpoint(s->router, a->replica,
			    limits_endpoint(a->vms.vms_val[0].name));
}

struct removal {
	struct entry *entry;
	struct entry_service *service;
	GArray *removed;
};

static void collect_removed(void *ctx, const struct router_replica *r)
{
	struct removal *removal = ctx;
	const struct replica_state *known =
		state_replica(removal->entry->config, r->id);
	uint32_t id = r->id;

	if (!known || known->released ||
	    strcmp(known->assign.service, removal->service->name) != 0)
		g_array_append_val(removal->removed, id);
}

/* A released replica gets no new calls; those in progress continue. */
static void remove_released(struct entry *entry, struct entry_service *s)
{
	const struct service_state *service = state_service(entry->config,
							    s->name);
	struct removal removal = {
		entry, s, g_array_new(FALSE, FALSE, sizeof(uint32_t))
	};

	if (service && !service->spec.is_plain)
		router_each(s->router, collect_removed, &removal);
	for (guint i = 0; i < removal.removed->len; i++)
		router_remove(s->router,
			      g_array_index(removal.removed, uint32_t, i));
	g_array_unref(removal.removed);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer data)
{
	struct entry_service *s = value;

	(void)key;
	(void)data;
	/* A service with calls in progress is removed after they have ended. */
	return !s->seen && !s->calls;
}

void services_update(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct entry_service *)value)->seen = false;
	state_each_service(entry->config, update_service, entry);
	state_each_replica(entry->config, update_replica, entry);
	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		remove_released(entry, value);
	g_hash_table_foreach_remove(entry->services, is_unused, NULL);
	services_update_health(entry);
}

/* ---- health of replicas ---- */

/*
 * After a restart nothing is known of VMs until they announce themselves. Until
 * then, replicas that were healthy before are presumed to be so.
 */
static int64_t presumed_until_ms(const struct entry *entry,
				 const struct replica_state *replica)
{
	int64_t for_ms = entry->opts.settings->limits.presume_ms;

	return replica->confirmed && for_ms ? entry->started_ms + for_ms : 0;
}

/*
 * A replica with a VM missing produces no output. So a replica that is
 * producing output is healthy, even if its VMs cannot reach their monitors.
 */
static void overrule_silence(const struct entry *entry,
			     const struct router_replica *r,
			     enum replica_fault *fault, int64_t *fresh_until_ms)
{
	int64_t active_until_ms =
		r->outstanding ? r->last_response_ms + EVIDENCE_STREAM_VALID_MS
			       : 0;

	if (*fault != REPLICA_VM_SILENT ||
	    active_until_ms <= entry_now_ms(entry))
		return;
	*fault = REPLICA_HEALTHY;
	*fresh_until_ms = active_until_ms;
}

/* -1: never */
static int64_t heard_ms_ago(const struct entry *entry, const char *vm)
{
	const struct view_vm *known = vm ? view_find(entry->view, vm) : NULL;

	return known ? entry_now_ms(entry) - known->heard_ms : -1;
}

/* Returns the name of a VM that has said that it leaves, or NULL. */
static const char *find_leaving(const struct entry *entry,
				const struct assign_replica *a)
{
	for (u_int i = 0; i < a->vms.vms_len; i++)
		if (leaving_has(entry->leaving, a->vms.vms_val[i].name))
			return a->vms.vms_val[i].name;
	return NULL;
}

static void update_replica_health(void *ctx,
				  const struct replica_state *replica)
{
	struct entry *entry = ctx;
	const struct assign_replica *a = &replica->assign;
	struct entry_service *s = services_find(entry, a->service);
	const struct router_replica *r;
	enum replica_fault fault;
	const char *faulty_vm, *leaving_vm;
	int64_t fresh_until_ms;
	bool was_healthy;

	r = s ? router_find(s->router, a->replica) : NULL;
	if (!r)
		return;
	was_healthy = r->fresh_until_ms != 0;
	fault = view_check_replica(entry->view, a, entry_now_ms(entry),
				   presumed_until_ms(entry, replica),
				   &faulty_vm, &fresh_until_ms);
	overrule_silence(entry, r, &fault, &fresh_until_ms);
	leaving_vm = find_leaving(entry, a);
	if (leaving_vm) {
		fault = REPLICA_VM_LEAVING;
		faulty_vm = leaving_vm;
		fresh_until_ms = 0;
	}
	router_set_health(s->router, a->replica, fresh_until_ms,
			  replica_fault_name(fault));
	if (was_healthy == !fault)
		return;
	log_note(&services_log,
		 "replica health changed replica=%u epoch=%" PRIu64 " "
		 "service=%s state=%s vm=%s "
		 "heard_ms_ago=%" PRId64 " requests=%u",
		 a->replica, a->epoch, a->service, replica_fault_name(fault),
		 faulty_vm ? faulty_vm : "-", heard_ms_ago(entry, faulty_vm),
		 r->outstanding);
}

static uint32_t plain_number(struct entry_service *s, const char *vm)
{
	gpointer known = g_hash_table_lookup(s->plain_numbers, vm);

	if (!known) {
		char *name = g_strdup(vm);

		known = GUINT_TO_POINTER(s->next_plain_number++);
		g_hash_table_insert(s->plain_numbers, name, known);
		g_hash_table_insert(s->plain_names, known, name);
	}
	return GPOINTER_TO_UINT(known);
}

/* As for replicas, what the VM said of itself takes precedence over silence. */
static enum replica_fault plain_fault(const struct entry *entry,
				      const struct view_vm *vm)
{
	if (vm->report.leaving || leaving_has(entry->leaving, vm->report.name))
		return REPLICA_VM_LEAVING;
	if (!vm->report.ready)
		return REPLICA_VM_NOT_READY;
	return view_alive(entry->view, vm, entry_now_ms(entry))
		       ? REPLICA_HEALTHY
		       : REPLICA_VM_SILENT;
}

static void set_plain_health(struct entry_service *s, const struct view_vm *vm,
			     const struct router_replica *r)
{
	const struct entry *entry = s->entry;
	enum replica_fault fault = plain_fault(entry, vm);
	int64_t fresh_until_ms = fault ? 0 : vm->fresh_until_ms;
	bool was_healthy = r->fresh_until_ms != 0;

	overrule_silence(entry, r, &fault, &fresh_until_ms);
	router_set_health(s->router, r->id, fresh_until_ms,
			  replica_fault_name(fault));
	if (was_healthy != !fault)
		log_note(&services_log,
			 "endpoint health changed replica=%u service=%s "
			 "state=%s vm=%s heard_ms_ago=%" PRId64 " requests=%u",
			 r->id, s->name, replica_fault_name(fault),
			 vm->report.name, heard_ms_ago(entry, vm->report.name),
			 r->outstanding);
}

/* Endpoints of plain services announce the service that they belong to. */
static void update_plain_health(void *ctx, const struct view_vm *vm)
{
	struct entry *entry = ctx;
	const struct vm_report *report = &vm->report;
	struct entry_service *s =
		*report->service ? services_find(entry, report->service) : NULL;
	const struct service_state *service =
		s ? state_service(entry->config, report->service) : NULL;
	const struct router_replica *r;
	uint32_t number;

	if (!service || !service->spec.is_plain)
		return;
	number = plain_number(s, report->name);
	router_put(s->router, number, report->incarnation,
		   report->slots ? report->slots
				 : service->spec.slots_per_replica,
		   report->address);
	router_set_endpoint(s->router, number, limits_endpoint(report->name));
	r = router_find(s->router, number);
	if (r)
		set_plain_health(s, vm, r);
}

void services_update_health(struct entry *entry)
{
	state_each_replica(entry->config, update_replica_health, entry);
	view_each(entry->view, update_plain_health, entry);
	entry->health_version = view_version(entry->view);
	entry_schedule_dispatch(entry);
}

static uint32_t replica_number(const struct entry_service *s,
			       const struct vm_report *report)
{
	if (!*report->service)
		return report->replica;
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(s->plain_numbers, report->name));
}

static struct entry_service *reported_service(struct entry *entry,
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

static bool is_head_vm(struct entry *entry, const struct vm_report *report)
{
	const struct replica_state *r = state_replica(entry->config,
						      report->replica);

	return *report->service ||
	       (r && !strcmp(r->assign.vms.vms_val[0].name, report->name));
}

void services_update_load(struct entry *entry, const struct vm_report *report)
{
	struct entry_service *s = reported_service(entry, report);

	if (!s || !is_head_vm(entry, report))
		return;
	router_set_load(s->router, replica_number(s, report),
			report->load.running + report->load.waiting,
			report->load.step_us);
	router_heard(s->router, replica_number(s, report));
}

struct load_list {
	GArray *loads; /* of struct replica_load */
	int64_t now_ms;
};

/*
 * Time since the last progress of a response, or since a request was sent to an
 * idle replica.
 */
static uint32_t idle_ms(const struct router_replica *r, int64_t now_ms)
{
	if (now_ms - r->last_response_ms < EVIDENCE_STREAM_VALID_MS)
		return (uint32_t)MAX(0, now_ms - r->last_response_ms);
	return (uint32_t)MAX(EVIDENCE_STREAM_VALID_MS,
			     now_ms - r->last_activity_ms);
}

static void add_load(void *ctx, const struct router_replica *r)
{
	struct load_list *list = ctx;
	struct replica_load load = {
		.replica = r->id,
		.epoch = r->epoch,
		.requests = r->outstanding,
		.last_byte_age_ms = idle_ms(r, list->now_ms),
	};

	if (r->outstanding)
		g_array_append_val(list->loads, load);
}

GArray *services_collect_loads(const struct entry *entry)
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

		if (engine_has_timings(engine_of(s)))
			router_each(s->router, add_load, &list);
	}
	return list.loads;
}

GArray *services_collect_demands(const struct entry *entry)
{
	GArray *demands = demands_create();
	int64_t now = entry_now_ms(entry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_service *s = value;
		struct service_demand current = { .service = s->name };

		demand_rate(&s->demand, now, &current.requests_per_ks,
			    &current.prompt_tokens);
		if (current.requests_per_ks && engine_has_timings(engine_of(s)))
			demands_add(demands, &current);
	}
	return demands;
}

static void clear_peer_load(void *ctx, const struct router_replica *r)
{
	struct router *router = ctx;

	router_set_other_requests(router, r->id, r->epoch, 0);
}

void services_apply_peer_loads(struct entry *entry,
			       const struct replica_load *loads, uint32_t count)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		if (engine_has_timings(engine_of(s)))
			router_each(s->router, clear_peer_load, s->router);
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct replica_state *r = state_replica(entry->config,
							      loads[i].replica);
		struct entry_service *s =
			r ? services_find(entry, r->assign.service) : NULL;

		if (s)
			router_set_other_requests(s->router, loads[i].replica,
						  loads[i].epoch,
						  loads[i].requests);
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

void services_update_cache(struct entry *entry, const struct vm_report *report,
			   json_t *cache)
{
	struct entry_service *s = reported_service(entry, report);
	uint64_t stored[256], dropped[256];
	guint stored_count, dropped_count;

	if (!s || !json_is_object(cache) || !is_head_vm(entry, report))
		return;
	/*
	 * A reset follows lost cache events, so evictions may be unknown: the
	 * list replaces all earlier entries.
	 */
	if (json_is_true(json_object_get(cache, "reset")))
		router_cache_reset(s->router, replica_number(s, report));
	stored_count = read_hashes(json_object_get(cache, "stored"), stored,
				   G_N_ELEMENTS(stored));
	dropped_count = read_hashes(json_object_get(cache, "dropped"), dropped,
				    G_N_ELEMENTS(dropped));
	router_update_cache(s->router, replica_number(s, report), stored,
			    stored_count, dropped, dropped_count);
}

/* ---- stalled replicas ---- */

struct stall_check {
	struct entry_service *service;
	int64_t now_ms;
	GArray *stalled; /* of uint32_t */
};

static void check_replica_stall(void *ctx, const struct router_replica *r)
{
	struct stall_check *check = ctx;
	int64_t limit = check->service->entry->opts.settings->limits.stall_ms;
	uint32_t id = r->id;

	if (r->outstanding && check->now_ms >= r->suspect_until_ms &&
	    pauses_awake_ms(&check->service->entry->pauses, r->last_activity_ms,
			    check->now_ms) >= limit)
		g_array_append_val(check->stalled, id);
}

static void check_service_stalls(struct entry_service *s)
{
	struct stall_check check = {
		.service = s,
		.now_ms = entry_now_ms(s->entry),
		.stalled = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};

	router_each(s->router, check_replica_stall, &check);
	for (guint i = 0; i < check.stalled->len; i++) {
		uint32_t id = g_array_index(check.stalled, uint32_t, i);

		log_note(&services_log,
			 "replica stalled replica=%u service=%s "
			 "silent_ms=%d",
			 id, s->name,
			 (int)s->entry->opts.settings->limits.stall_ms);
		router_suspect(s->router, id, check.now_ms, SUSPECT_STALLED);
	}
	g_array_unref(check.stalled);
}

/*
 * Engines batch their requests, so a healthy one soon sends output of some
 * stream.
 */
void services_check_stalls(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;

	if (entry->pauses.just_ended)
		return;
	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		if (engine_has_timings(engine_of(s)))
			check_service_stalls(s);
	}
}

/* ---- dispatch of queued calls ---- */

/* Returns the time in which no call can be sent to an endpoint. */
static int64_t wait_for_endpoints_ms(const struct entry_service *s)
{
	/* Other entries' endpoints may take them earlier. */
	if (reach_state(s->reach) != LINKS_UP)
		return 0;
	return limits_wait_ms(s, 1);
}

/* Rejects the calls that expire before any endpoint takes one. */
static void reject_expired(struct entry_service *s)
{
	int64_t now = entry_now_ms(s->entry);
	int64_t until_ms = now + wait_for_endpoints_ms(s);
	struct admission_ticket *ticket;

	while ((ticket = admission_pop_expired(s->admission, until_ms))) {
		uint32_t free_slots, slots;

		router_capacity(s->router, now, &free_slots, &slots);
		call_reject_queued(ticket->ctx,
				   slots ? RD_OVERLOADED : RD_NO_REPLICA);
	}
}

static bool accepts_requests(const struct entry_service *s)
{
	const struct service_state *service = state_service(s->entry->config,
							    s->name);

	return service && service_active_preset(service)->admit;
}

/*
 * Whether further overdue requests must wait, so that they do not delay the
 * first events of others.
 */
static bool overdue_limit_reached(const struct entry_service *s)
{
	return s->overdue_awaiting_first >=
	       router_overdue_limit(s->router, entry_now_ms(s->entry),
				    count_entries(s->entry));
}

/*
 * Dispatches the call of a ticket. Returns false if no replica can accept it
 * now.
 */
static bool dispatch_ticket(struct entry_service *s,
			    struct admission_ticket *ticket)
{
	struct entry *entry = s->entry;
	struct call *call = ticket->ctx;
	bool has_timings = engine_has_timings(engine_of(s));
	int64_t started = entry_now_us(entry);
	struct router_choice choice;

	if (!call_has_time(call)) {
		call_reject_queued(call, RD_DRAINING);
		return true;
	}
	if (relay_wanted(call) && attempt_relay(call))
		return true;
	if (has_timings && ticket->overdue && overdue_limit_reached(s))
		return false;
	call->route.no_pending_prefill = has_timings && ticket->overdue;
	router_choose(s->router, entry_now_ms(entry),
		      ticket->overdue ? OVERDUE_FILL_PERMILLE
				      : ROUTER_FILL_FREE_SLOT,
		      &call->route, &choice);
	counters_record_duration(entry->opts.counters, HISTOGRAM_DECISION,
				 entry_now_us(entry) - started);
	if (!choice.replica)
		return false;
	attempt_dispatch(call, &choice);
	return true;
}

static void dispatch_service(struct entry_service *s)
{
	struct admission_ticket *ticket;

	reject_expired(s);
	if (!accepts_requests(s)) {
		/* Queued calls are rejected when maintenance starts. */
		while ((ticket = admission_peek(s->admission,
						entry_now_ms(s->entry))))
			call_reject_queued(ticket->ctx, RD_MAINTENANCE);
		return;
	}
	do
		ticket = admission_peek(s->admission, entry_now_ms(s->entry));
	while (ticket && dispatch_ticket(s, ticket));
}

void services_dispatch_queued(struct entry *entry)
{
	GHashTableIter iter;
	gpointer value;
	int64_t waiting = 0;

	g_hash_table_iter_init(&iter, entry->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_service *s = value;

		dispatch_service(s);
		waiting += admission_waiting(s->admission);
	}
	counters_set(entry->opts.counters, COUNTER_QUEUED, waiting);
}
