/*
 * Placement while this member leads: keeps the planner's model current,
 * proposes what it decides, and brings the VMs to what the log says.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <radishdeal/placement.h>

#include "common/log.h"
#include "control/control_internal.h"
#include "control/orders.h"
#include "wire/codec.h"

#define FLAP_WAIT_MS 2000
#define FLAP_FORGET_MS 60000
#define ORDER_BACKOFF_MS 200
#define ORDER_BACKOFF_MAX_MS 5000
/* A load ahead that is not done by then may be decided on anew. */
#define PRELOAD_LIMIT_MS 120000
#define DECISIONS_KEPT 256
#define WAIT_LOG_MS 5000

/* Of a pool's VMs: kept free so that a lost VM is replaced at once. */
#define SPARE_PERMILLE 250
/* Starts of weight loads are counted over windows of this length. */
#define LOAD_WINDOW_MS 5000
/* On top of the time after which a head without a member gives up. */
#define STALL_MARGIN_MS 500
/* While the whole system starts, this many times as many loads at once. */
#define FIRST_LOADS_X 2
#define FIRST_LOADS_MS 8000
#define FIRST_PRELOAD_MS 2500
/* VMs announce themselves one by one when the whole system starts. */
#define FIRST_START_MS 300

static const struct log placer_log = { "placer" };

/** What was ordered of a VM. */
struct vm_orders {
	struct placer *placer;
	char *name;
	bool in_flight;
	int64_t next_ms; /* earliest time of the next order */
	int32_t backoff_ms;
	enum order_kind kind;	 /* of the order in flight */
	uint64_t epoch;		 /* of the order in flight */
	uint64_t released_epoch; /* the VM confirmed to hold nothing of it */
	int64_t released_ms;	 /* when it did */
	uint64_t formed_epoch;	 /* it accepted to take part under it */
	int64_t releasing_since_ms;
	int64_t preload_until_ms;  /* 0 unless told to load ahead */
	uint64_t warm_incarnation; /* of the VM when it was told to be warm */
	char warm_model[64];
	char preload_model[64];
	char preload_version[64];
};

struct placer {
	struct control *control;
	struct placement *placement;
	GHashTable *orders;	/* VM's name -> struct vm_orders */
	GHashTable *known;	/* replica's number -> epoch + 1 */
	GHashTable *whole;	/* replica's number -> epoch it was whole at */
	GHashTable *wanted;	/* service's name -> replicas, if shared out */
	GArray *loads;		/* int64_t: starts of loads in the window */
	GHashTable *services;	/* name -> itself, as put into the planner */
	GQueue decisions;	/* of char *, newest last */
	GHashTable *last_wait;	/* who waits and why -> int64_t: last logged */
	int64_t active_from_ms; /* 0 while not leading */
	int32_t proposals;
	uint32_t next_replica;
	uint64_t next_epoch;
	bool whole_system_starts;
};

static void orders_drop(gpointer data)
{
	struct vm_orders *o = data;

	g_free(o->name);
	g_free(o);
}

struct placer *placer_create(struct control *control)
{
	const struct limit_settings *limits = &control->opts.settings->limits;
	struct placer *placer = g_new0(struct placer, 1);
	struct placement_opts opts = {
		.pause_wait_ms = (int32_t)limits->pause_wait_ms,
		.drain_ms = (int32_t)limits->drain_ms,
		.flap_wait_ms = FLAP_WAIT_MS,
		.flap_forget_ms = FLAP_FORGET_MS,
		.loads_max = (uint32_t)limits->weight_loads,
		.loads_by_vm = control->opts.driver != NULL,
		.spread = control->opts.driver != NULL,
		.load_first = control->opts.driver != NULL,
	};

	placer->control = control;
	placer->placement = placement_create(&opts);
	placer->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       orders_drop);
	placer->known = g_hash_table_new(NULL, NULL);
	placer->whole = g_hash_table_new(NULL, NULL);
	placer->wanted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL);
	placer->loads = g_array_new(FALSE, FALSE, sizeof(int64_t));
	placer->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	placer->last_wait = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
	g_queue_init(&placer->decisions);
	return placer;
}

void placer_destroy(struct placer *placer)
{
	if (!placer)
		return;
	placement_destroy(placer->placement);
	g_hash_table_unref(placer->orders);
	g_hash_table_unref(placer->known);
	g_hash_table_unref(placer->whole);
	g_hash_table_unref(placer->wanted);
	g_array_unref(placer->loads);
	g_hash_table_unref(placer->services);
	g_hash_table_unref(placer->last_wait);
	g_queue_clear_full(&placer->decisions, g_free);
	g_free(placer);
}

static int64_t now_ms(const struct placer *placer)
{
	return control_now_ms(placer->control);
}

static const struct state *state_of(const struct placer *placer)
{
	return group_state(placer->control->group);
}

static const struct order_format *order_format(const struct placer *placer)
{
	const struct control_driver *driver = placer->control->opts.driver;

	return driver ? driver->orders : &native_orders;
}

static uint32_t loads_per_window(const struct placer *placer)
{
	const struct deployment *d = state_deployment(state_of(placer));

	return d ? d->loads_per_s * LOAD_WINDOW_MS / 1000 : 0;
}

static void count_loading(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	int64_t now = now_ms(placer);

	if (r->replica && !r->ready)
		g_array_append_val(placer->loads, now);
}

void placer_lead(struct placer *placer)
{
	const struct limit_settings *limits =
		&placer->control->opts.settings->limits;
	int64_t now = now_ms(placer);

	g_hash_table_remove_all(placer->wanted);
	placer->whole_system_starts = state_next_replica(state_of(placer)) == 1;
	if (placer->whole_system_starts) {
		placer->active_from_ms = now + FIRST_START_MS;
		return;
	}
	/*
	 * Orders of the last leader may be under way for ORDER_BOUND_MS, but
	 * for engines that all refuse an older leader; and a VM that this
	 * process has not heard of since its start may just not have had the
	 * time to be.
	 */
	placer->active_from_ms =
		MAX(order_format(placer)->fenced ? now : now + ORDER_BOUND_MS,
		    placer->control->started_ms + limits->vm_silence_ms +
			    2 * limits->digest_ms);
	/* What is loading now the last leader may have started just now. */
	g_array_set_size(placer->loads, 0);
	view_each(placer->control->view, count_loading, placer);
}

/* ---- the weight store's limit ---- */

static bool has_weights(const struct vm_report *r, const char *model,
			const char *version)
{
	return !strcmp(r->model, model) && !strcmp(r->model_version, version);
}

/* Until the first requests come, loads are fast, and nothing waits yet. */
static bool whole_system_starts(const struct placer *placer)
{
	return placer->whole_system_starts &&
	       now_ms(placer) - placer->active_from_ms < FIRST_LOADS_MS;
}

/* Whether one more load may start now; counts it if so. */
static bool take_load(struct placer *placer)
{
	uint32_t most = loads_per_window(placer);
	int64_t now = now_ms(placer);

	while (placer->loads->len &&
	       now - g_array_index(placer->loads, int64_t, 0) >= LOAD_WINDOW_MS)
		g_array_remove_index(placer->loads, 0);
	if (most && placer->loads->len >= most && !whole_system_starts(placer))
		return false;
	g_array_append_val(placer->loads, now);
	return true;
}

void placer_stop(struct placer *placer)
{
	placer->active_from_ms = 0;
	/* Orders in flight still call back; what they say is no longer used. */
	placer->proposals = 0;
}

/* ---- keeping the model current ---- */

static struct vm_orders *orders_of(struct placer *placer, const char *name)
{
	struct vm_orders *o = g_hash_table_lookup(placer->orders, name);

	if (!o) {
		o = g_new0(struct vm_orders, 1);
		o->placer = placer;
		o->name = g_strdup(name);
		g_hash_table_insert(placer->orders, o->name, o);
	}
	return o;
}

/* A load ahead ends with the VM's word that it has loaded, or in time. */
static void follow_preload(struct placer *placer, const struct vm_report *r)
{
	struct vm_orders *o = g_hash_table_lookup(placer->orders, r->name);

	if (!o || !o->preload_until_ms)
		return;
	if (r->replica || o->preload_until_ms < now_ms(placer) ||
	    has_weights(r, o->preload_model, o->preload_version))
		o->preload_until_ms = 0;
	placement_set_preloading(placer->placement, r->name,
				 o->preload_until_ms != 0);
}

static void put_vm(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	const struct vm_state *held = state_vm(state_of(placer), r->name);
	struct placement_vm vm = {
		.name = r->name,
		.domain = r->domain,
		.data_centre = r->data_centre,
		.pool = r->pool,
		.model = r->model,
		.adapter = r->adapter,
		.version = r->model_version,
		.accelerators = r->accelerators,
		.alive = view_alive(placer->control->view, seen,
				    now_ms(placer)),
		.leaving = r->leaving,
		.lost_ms = seen->lost_ms,
	};

	if (*r->service)
		return; /* a plain service's endpoint, not ours to place */
	placement_put_vm(placer->placement, now_ms(placer), &vm);
	placement_hold(placer->placement, r->name, held ? held->replica : 0,
		       held && held->releasing);
	follow_preload(placer, r);
}

static void put_held(void *ctx, const struct vm_state *held)
{
	struct placer *placer = ctx;

	placement_hold(placer->placement, held->name, held->replica,
		       held->releasing);
}

/* ---- how many replicas a pool is to have of each model ---- */

struct pool {
	struct placer *placer;
	const char *name;
	GArray *parts;	     /* of struct division_part */
	GPtrArray *services; /* of const struct service_state, in that order */
	GHashTable *domains; /* name -> count of usable VMs */
};

static void add_part(void *ctx, const struct service_state *service)
{
	struct pool *pool = ctx;
	struct division_part part = {
		.share_permille = service->spec.share_permille,
		.vms_per_replica = service->spec.vms_per_replica,
	};

	if (!part.share_permille || strcmp(service->spec.pool, pool->name) != 0)
		return;
	g_array_append_val(pool->parts, part);
	g_ptr_array_add(pool->services, (gpointer)service);
}

static void add_domain(void *ctx, const struct view_vm *vm)
{
	struct pool *pool = ctx;
	guint count;

	if (strcmp(vm->report.pool, pool->name) != 0 || vm->report.leaving ||
	    !view_alive(pool->placer->control->view, vm, now_ms(pool->placer)))
		return;
	count = GPOINTER_TO_UINT(
		g_hash_table_lookup(pool->domains, vm->report.domain));
	g_hash_table_insert(pool->domains, vm->report.domain,
			    GUINT_TO_POINTER(count + 1));
}

static GArray *domain_sizes(const struct pool *pool)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint32_t count = GPOINTER_TO_UINT(value);

		g_array_append_val(vms, count);
	}
	return vms;
}

static uint32_t divide(struct pool *pool, const GArray *vms,
		       const struct service_state *service,
		       uint32_t spare_permille)
{
	placement_divide((struct division_part *)pool->parts->data,
			 pool->parts->len, (const uint32_t *)vms->data,
			 vms->len, spare_permille);
	for (guint i = 0; i < pool->services->len; i++)
		if (pool->services->pdata[i] == service)
			return g_array_index(pool->parts, struct division_part,
					     i)
				.replicas;
	return 0;
}

struct replica_count {
	const char *service;
	uint32_t count;
};

static void count_replica(void *ctx, const struct replica_state *replica)
{
	struct replica_count *c = ctx;

	c->count += !strcmp(replica->assign.service, c->service);
}

static uint32_t count_replicas(const struct placer *placer, const char *service)
{
	struct replica_count c = { service, 0 };

	state_each_replica(state_of(placer), count_replica, &c);
	return c.count;
}

/*
 * The replicas wanted of a service that has a share of its pool. Spares are
 * there to be used: as VMs get lost the number stays until it no longer fits
 * at all, and it grows only where spares are left.
 */
static uint32_t share_of_pool(struct placer *placer,
			      const struct service_state *service)
{
	struct pool pool = {
		.placer = placer,
		.name = service->spec.pool,
		.parts = g_array_new(FALSE, TRUE, sizeof(struct division_part)),
		.services = g_ptr_array_new(),
		.domains = g_hash_table_new(g_str_hash, g_str_equal),
	};
	gpointer known;
	uint32_t wanted;
	GArray *vms;

	/* A new leader goes on with what there is. */
	if (g_hash_table_lookup_extended(placer->wanted, service->name, NULL,
					 &known))
		wanted = GPOINTER_TO_UINT(known);
	else
		wanted = count_replicas(placer, service->name);

	state_each_service(state_of(placer), add_part, &pool);
	view_each(placer->control->view, add_domain, &pool);
	vms = domain_sizes(&pool);
	wanted = MAX(wanted, divide(&pool, vms, service, SPARE_PERMILLE));
	wanted = MIN(wanted, divide(&pool, vms, service, 0));
	g_hash_table_replace(placer->wanted, g_strdup(service->name),
			     GUINT_TO_POINTER(wanted));
	g_array_unref(vms);
	g_array_unref(pool.parts);
	g_ptr_array_unref(pool.services);
	g_hash_table_unref(pool.domains);
	return wanted;
}

static void put_service(void *ctx, const struct service_state *service)
{
	struct placer *placer = ctx;
	const struct preset_spec *preset = service_preset(service);
	const struct service_spec *spec = &service->spec;
	struct placement_service s = {
		.name = service->name,
		.model = spec->model,
		.adapter = spec->adapter,
		.version = preset->model_version,
		.pool = spec->pool,
		.replicas = preset->replicas,
		.vms_per_replica = spec->vms_per_replica,
		.accelerators_per_vm = spec->accelerators_per_vm,
		.cross_domain = spec->cross_domain != 0,
		.downtime_weight = spec->downtime_weight,
		.stranded_weight = spec->stranded_weight,
	};

	if (spec->plain)
		return;
	if (spec->share_permille) {
		s.replicas = share_of_pool(placer, service);
		s.keep_whole = true;
	}
	placement_put_service(placer->placement, &s);
	g_hash_table_add(placer->services, g_strdup(service->name));
}

static uint32_t load_of(const struct view *view, const char *vm)
{
	const struct view_vm *seen = view_find(view, vm);

	return seen ? seen->report.load.running + seen->report.load.waiting : 0;
}

static void put_replica(void *ctx, const struct replica_state *replica)
{
	struct placer *placer = ctx;
	const struct assign_replica *a = &replica->assign;
	gpointer number = GUINT_TO_POINTER(a->replica);
	gpointer epoch = GSIZE_TO_POINTER(a->epoch + 1);
	const struct view *view = placer->control->view;
	const char *vms[PLACEMENT_VMS_MAX], *culprit;
	int64_t fresh_until_ms;
	bool is_whole;

	if (g_hash_table_lookup(placer->known, number) != epoch) {
		for (u_int i = 0; i < a->vms.vms_len; i++)
			vms[i] = a->vms.vms_val[i].name;
		placement_put_replica(placer->placement, now_ms(placer),
				      a->replica, a->epoch, a->service,
				      a->model_version, vms, a->vms.vms_len);
		g_hash_table_insert(placer->known, number, epoch);
	}
	is_whole = view_judge(view, a, now_ms(placer), &culprit,
			      &fresh_until_ms) == REPLICA_WHOLE;
	placement_set_whole(placer->placement, a->replica, is_whole);
	if (is_whole)
		g_hash_table_insert(placer->whole, number,
				    GSIZE_TO_POINTER(a->epoch));
	placement_set_busy(placer->placement, a->replica,
			   load_of(view, a->vms.vms_val[0].name) > 0);
}

static gboolean forget_replica(gpointer key, gpointer value, gpointer data)
{
	struct placer *placer = data;
	const struct replica_state *r = state_replica(state_of(placer),
						      GPOINTER_TO_UINT(key));

	(void)value;
	if (r && !r->released)
		return FALSE;
	placement_remove_replica(placer->placement, GPOINTER_TO_UINT(key));
	return TRUE;
}

static gboolean forget_service(gpointer key, gpointer value, gpointer data)
{
	struct placer *placer = data;

	(void)value;
	if (state_service(state_of(placer), key))
		return FALSE;
	placement_remove_service(placer->placement, key);
	return TRUE;
}

static void update_model(struct placer *placer)
{
	const struct state *state = state_of(placer);
	const struct deployment *d = state_deployment(state);

	if (d && d->loads_at_once)
		placement_set_loads_max(placer->placement,
					d->loads_at_once *
						(whole_system_starts(placer)
							 ? FIRST_LOADS_X
							 : 1));

	state_each_service(state, put_service, placer);
	g_hash_table_foreach_remove(placer->services, forget_service, placer);
	view_each(placer->control->view, put_vm, placer);
	state_each_vm(state, put_held, placer);
	g_hash_table_foreach_remove(placer->known, forget_replica, placer);
	state_each_replica(state, put_replica, placer);
}

/* ---- carrying out decisions ---- */

static void on_proposed(void *ctx, enum rd_result code,
			const struct apply_result *result)
{
	struct placer *placer = ctx;

	if (placer->proposals > 0)
		placer->proposals--;
	if (code)
		log_info(&placer_log, "a decision was not taken up: %s",
			 rd_result_info(code)->name);
	else if (result->code)
		log_info(&placer_log, "a decision was refused: %s %s",
			 rd_result_info(result->code)->name, result->text);
}

static void propose(struct placer *placer, struct command *command)
{
	GBytes *bytes;

	command->change_id = (char *)"";
	command->operator_name = (char *)"placement";
	command->time_ms = g_get_real_time() / 1000;
	bytes = CODEC_ENCODE(command, command);
	placer->proposals++;
	group_propose(placer->control->group, bytes, on_proposed, placer);
	g_bytes_unref(bytes);
}

static void fill_ref(const struct placer *placer, const char *name,
		     struct vm_ref *ref)
{
	const struct view_vm *seen = view_find(placer->control->view, name);

	g_assert(seen);
	ref->name = (char *)name;
	ref->address = seen->report.address;
	ref->domain = seen->report.domain;
	ref->data_centre = seen->report.data_centre;
	ref->accelerators = seen->report.accelerators;
}

static void propose_assign(struct placer *placer,
			   const struct placement_decision *d)
{
	struct vm_ref refs[PLACEMENT_VMS_MAX];
	struct command command = { .body.kind = CMD_ASSIGN_REPLICA };
	struct assign_replica *assign = &command.body.command_body_u.assign;

	for (uint32_t i = 0; i < d->vm_count; i++)
		fill_ref(placer, d->vms[i], &refs[i]);
	assign->replica = d->replica ? d->replica : placer->next_replica++;
	assign->service = (char *)d->service;
	assign->epoch = ++placer->next_epoch;
	assign->model_version = (char *)d->version;
	assign->vms.vms_len = d->vm_count;
	assign->vms.vms_val = refs;
	propose(placer, &command);
}

static void propose_release(struct placer *placer,
			    const struct placement_decision *d)
{
	const struct replica_state *r = state_replica(state_of(placer),
						      d->replica);
	struct command command = { .body.kind = CMD_RELEASE_REPLICA };

	if (!r)
		return;
	command.body.command_body_u.release.replica = d->replica;
	command.body.command_body_u.release.epoch = r->assign.epoch;
	propose(placer, &command);
}

static void keep_line(struct placer *placer, const char *line)
{
	g_queue_push_tail(&placer->decisions, g_strdup(line));
	if (placer->decisions.length > DECISIONS_KEPT)
		g_free(g_queue_pop_head(&placer->decisions));
}

/* A wait is logged when it is new and now and then, not at each tick. */
static bool wait_is_new(struct placer *placer,
			const struct placement_decision *d)
{
	char *key = g_strdup_printf("%s/%u/%.16s", d->service, d->replica,
				    d->reason);
	int64_t now = now_ms(placer);
	int64_t *last = g_hash_table_lookup(placer->last_wait, key);

	if (last && now - *last < WAIT_LOG_MS) {
		g_free(key);
		return false;
	}
	g_hash_table_replace(placer->last_wait, key,
			     g_memdup2(&now, sizeof(now)));
	return true;
}

static void log_decision(struct placer *placer,
			 const struct placement_decision *d)
{
	GString *line = g_string_new(NULL);

	if (d->action == PLACEMENT_WAIT && !wait_is_new(placer, d))
		goto done;
	g_string_append_printf(line, "%s service=%s replica=%u",
			       placement_action_name(d->action), d->service,
			       d->replica);
	if (d->vm_count)
		g_string_append(line, " vms=");
	for (uint32_t i = 0; i < d->vm_count; i++)
		g_string_append_printf(line, "%s%s", i ? "," : "", d->vms[i]);
	g_string_append_printf(line, " reason=\"%s\"", d->reason);
	log_note(&placer_log, "%s", line->str);
	keep_line(placer, line->str);
done:
	g_string_free(line, TRUE);
}

void placer_each_decision(const struct placer *placer,
			  void (*visit)(void *ctx, const char *line), void *ctx)
{
	for (GList *link = placer->decisions.head; link; link = link->next)
		visit(ctx, link->data);
}

/* ---- orders ---- */

static bool order_may_send(void *ctx)
{
	struct vm_orders *o = ctx;
	struct control *control = o->placer->control;

	/* The clock is read again here: this process may have been paused. */
	if (o->placer->active_from_ms && group_leads(control->group)) {
		counters_add(control->opts.counters, COUNTER_ORDERS, 1);
		return true;
	}
	counters_add(control->opts.counters, COUNTER_ORDERS_LATE, 1);
	log_warn(&placer_log, "order to %s withheld: the lease has run out",
		 o->name);
	return false;
}

static void note_accepted(struct vm_orders *o, int64_t now)
{
	o->backoff_ms = 0;
	/* Time for the VM's announcement to say so. */
	o->next_ms = now + ORDER_BOUND_MS;
	if (o->kind == ORDER_WARM)
		o->next_ms = now;
	if (o->kind == ORDER_FORM)
		o->formed_epoch = MAX(o->formed_epoch, o->epoch);
	if (o->kind != ORDER_RELEASE)
		return;
	if (o->released_epoch < o->epoch)
		o->released_ms = now;
	o->released_epoch = MAX(o->released_epoch, o->epoch);
}

static void order_done(void *ctx, enum order_result result)
{
	static const char *const names[] = { "accepted", "stale", "refused",
					     "withheld", "lost" };
	struct vm_orders *o = ctx;
	int64_t now = now_ms(o->placer);

	o->in_flight = false;
	log_info(&placer_log, "order %s to %s epoch %" PRIu64 ": %s",
		 order_kind_name(o->kind), o->name, o->epoch, names[result]);
	if (result == ORDER_STALE)
		counters_add(o->placer->control->opts.counters,
			     COUNTER_ORDERS_REFUSED, 1);
	if (result == ORDER_ACCEPTED) {
		note_accepted(o, now);
		return;
	}
	o->backoff_ms = CLAMP(o->backoff_ms * 2, ORDER_BACKOFF_MS,
			      ORDER_BACKOFF_MAX_MS);
	/* One that was lost may still be under way. */
	o->next_ms = now +
		     (result == ORDER_LOST ? ORDER_BOUND_MS : o->backoff_ms);
}

static void send_order(struct placer *placer, const struct view_vm *to,
		       struct order_intent *intent)
{
	struct vm_orders *o = orders_of(placer, to->report.name);
	struct order order = {
		.format = order_format(placer),
		.address = to->report.address,
		.intent = intent,
		.timeout_ms = (int)placer->control->opts.settings->limits
				      .order_timeout_ms,
		.may_send = order_may_send,
		.done = order_done,
		.ctx = o,
	};

	o->in_flight = true;
	o->kind = intent->kind;
	o->epoch = intent->epoch;
	intent->vm = to->report.name;
	intent->term = raft_term(group_raft(placer->control->group));
	order_send(placer->control->base, &order);
}

static bool order_is_due(struct placer *placer, const struct vm_orders *o)
{
	return !o->in_flight && now_ms(placer) >= o->next_ms;
}

static void preload(struct placer *placer, const struct placement_decision *d)
{
	const struct view_vm *seen = view_find(placer->control->view,
					       d->vms[0]);
	const struct service_state *service = state_service(state_of(placer),
							    d->service);
	struct vm_orders *o = orders_of(placer, d->vms[0]);
	struct order_intent intent = {
		.kind = ORDER_LOAD,
		.epoch = state_last_epoch(state_of(placer)),
		.version = d->version,
	};

	/* Who is spare shows once all VMs have announced themselves. */
	if (placer->whole_system_starts &&
	    now_ms(placer) - placer->active_from_ms < FIRST_PRELOAD_MS)
		return;
	if (!seen || !service || !order_is_due(placer, o) || !take_load(placer))
		return;
	log_decision(placer, d);
	intent.service = service->name;
	intent.model = service->spec.model;
	intent.adapter = service->spec.adapter;
	o->preload_until_ms = now_ms(placer) + PRELOAD_LIMIT_MS;
	g_strlcpy(o->preload_model, service->spec.model,
		  sizeof(o->preload_model));
	g_strlcpy(o->preload_version, d->version, sizeof(o->preload_version));
	placement_set_preloading(placer->placement, d->vms[0], true);
	placement_set_preload_weights(placer->placement, d->vms[0],
				      service->spec.model,
				      service->spec.adapter, d->version);
	send_order(placer, seen, &intent);
}

static void on_decision(void *ctx, const struct placement_decision *d)
{
	struct placer *placer = ctx;

	if (d->action != PLACEMENT_PRELOAD)
		log_decision(placer, d);
	if (d->action == PLACEMENT_FORM || d->action == PLACEMENT_REPAIR)
		propose_assign(placer, d);
	else if (d->action == PLACEMENT_RELEASE)
		propose_release(placer, d);
	else if (d->action == PLACEMENT_PRELOAD)
		preload(placer, d);
}

/* ---- bringing VMs to what the log says ---- */

static const struct view_vm *find_alive(const struct placer *placer,
					const char *name)
{
	const struct view *view = placer->control->view;
	const struct view_vm *seen = view_find(view, name);

	return seen && view_alive(view, seen, now_ms(placer)) ? seen : NULL;
}

static bool holds(const struct view_vm *seen, const struct assign_replica *a)
{
	return seen->report.replica == a->replica &&
	       seen->report.epoch == a->epoch;
}

/** Looks for the VM that serves a replica under some epoch. */
struct head_search {
	uint32_t replica;
	uint64_t least_epoch, most_epoch;
	const struct view_vm *head;
};

static void search_head(void *ctx, const struct view_vm *seen)
{
	struct head_search *search = ctx;
	const struct vm_report *r = &seen->report;

	if (r->serving && r->replica == search->replica &&
	    r->epoch >= search->least_epoch && r->epoch <= search->most_epoch)
		search->head = seen;
}

/* Who served it, by its last word, alive or not; NULL if nobody did. */
static const struct view_vm *find_head(const struct placer *placer,
				       uint32_t replica, uint64_t least_epoch,
				       uint64_t most_epoch)
{
	struct head_search search = { replica, least_epoch, most_epoch, NULL };

	view_each(placer->control->view, search_head, &search);
	return search.head;
}

static void order_form(struct placer *placer, const struct assign_replica *a,
		       u_int rank, const struct view_vm *seen)
{
	const struct service_state *service = state_service(state_of(placer),
							    a->service);
	struct order_intent intent = {
		.kind = ORDER_FORM,
		.replica = a->replica,
		.epoch = a->epoch,
		.rank = rank,
		.service = a->service,
		.model = service ? service->spec.model : "",
		.adapter = service ? service->spec.adapter : "",
		.version = a->model_version,
		.slots = service ? service->spec.slots_per_replica : 1,
		.vms = a->vms.vms_val,
		.vm_count = a->vms.vms_len,
	};

	if (!has_weights(&seen->report, intent.model, intent.version) &&
	    !take_load(placer))
		return;
	send_order(placer, seen, &intent);
}

static void reconcile_member(struct placer *placer,
			     const struct assign_replica *a, u_int rank,
			     const struct view_vm *old_head)
{
	const char *name = a->vms.vms_val[rank].name;
	const struct view_vm *seen = find_alive(placer, name);
	struct vm_orders *o = orders_of(placer, name);

	o->releasing_since_ms = 0;
	if (!seen || holds(seen, a) || !order_is_due(placer, o))
		return;
	/*
	 * A head that serves under an older epoch goes first: it must know
	 * that its members are no longer with it.
	 */
	if (old_head && old_head != seen &&
	    orders_of(placer, old_head->report.name)->formed_epoch < a->epoch)
		return;
	order_form(placer, a, rank, seen);
}

static void open_head(struct placer *placer, const struct assign_replica *a)
{
	struct order_intent intent = {
		.kind = ORDER_OPEN,
		.replica = a->replica,
		.epoch = a->epoch,
		.service = a->service,
	};
	const struct view_vm *head = NULL;

	for (u_int i = 0; i < a->vms.vms_len; i++) {
		const struct view_vm *seen = find_alive(placer,
							a->vms.vms_val[i].name);

		if (!seen || !holds(seen, a) || !seen->report.ready)
			return;
		if (!i)
			head = seen;
	}
	if (!head || head->report.serving)
		return;
	/* What was accepted before was the order to take part. */
	if (!order_is_due(placer, orders_of(placer, head->report.name)) &&
	    (orders_of(placer, head->report.name)->in_flight ||
	     orders_of(placer, head->report.name)->kind != ORDER_FORM))
		return;
	send_order(placer, head, &intent);
}

/* A replica that was whole and of which a VM let go can't become so again. */
static bool needs_new_epoch(const struct placer *placer,
			    const struct assign_replica *a)
{
	gpointer number = GUINT_TO_POINTER(a->replica);
	bool was_whole = g_hash_table_lookup(placer->whole, number) ==
			 GSIZE_TO_POINTER(a->epoch);
	bool let_go = false;

	for (u_int i = 0; i < a->vms.vms_len; i++) {
		const struct view_vm *seen = find_alive(placer,
							a->vms.vms_val[i].name);

		if (!seen || seen->report.leaving)
			return false; /* the planner repairs it */
		if (holds(seen, a) && seen->report.broken)
			return true;
		let_go |= !holds(seen, a);
	}
	return was_whole && let_go;
}

static void renew_epoch(struct placer *placer, const struct assign_replica *a)
{
	struct command command = { .body.kind = CMD_ASSIGN_REPLICA };
	struct assign_replica *renewed = &command.body.command_body_u.assign;

	if (placer->proposals)
		return;
	log_note(&placer_log,
		 "replica %u of %s: a VM let go of epoch %" PRIu64 ", formed "
		 "anew",
		 a->replica, a->service, a->epoch);
	*renewed = *a;
	renewed->epoch = state_last_epoch(state_of(placer)) + 1;
	propose(placer, &command);
}

static void reconcile_replica(void *ctx, const struct replica_state *replica)
{
	struct placer *placer = ctx;
	const struct assign_replica *a = &replica->assign;
	const struct view_vm *old_head;

	if (needs_new_epoch(placer, a)) {
		renew_epoch(placer, a);
		return;
	}
	old_head = find_head(placer, a->replica, 0, a->epoch - 1);
	if (old_head && !find_alive(placer, old_head->report.name))
		old_head = NULL;
	for (u_int i = 0; i < a->vms.vms_len; i++)
		reconcile_member(placer, a, i, old_head);
	if (order_format(placer)->opens)
		open_head(placer, a);
}

static void propose_free(struct placer *placer, const struct vm_state *held)
{
	struct command command = { .body.kind = CMD_FREE_VM };
	struct free_vm *change = &command.body.command_body_u.freed;

	change->vm = held->name;
	change->replica = held->replica;
	change->epoch = held->epoch;
	propose(placer, &command);
}

static bool drained(struct placer *placer, struct vm_orders *o,
		    const struct view_vm *seen)
{
	const struct limit_settings *limits =
		&placer->control->opts.settings->limits;

	if (!o->releasing_since_ms)
		o->releasing_since_ms = now_ms(placer);
	/* Entries stop within a digest; the load report must be later. */
	if (now_ms(placer) - o->releasing_since_ms <
	    limits->announce_ms + 2 * limits->digest_ms)
		return false;
	if (!(seen->report.load.running + seen->report.load.waiting))
		return true;
	return now_ms(placer) - o->releasing_since_ms >= limits->drain_ms;
}

/*
 * Whether the head of the replica that a VM let go of can serve no more: it
 * said so itself, or it is not heard of and has stood still for too long.
 */
static bool head_is_done(struct placer *placer, const struct vm_state *held,
			 const struct vm_orders *o)
{
	const struct view_vm *head = find_head(placer, held->replica,
					       held->epoch, held->epoch);

	if (!head || !strcmp(head->report.name, held->name))
		return true;
	if (find_alive(placer, head->report.name))
		return orders_of(placer, head->report.name)->released_epoch >=
		       held->epoch;
	return now_ms(placer) - o->released_ms >=
	       placer->control->opts.settings->limits.head_stall_ms +
		       STALL_MARGIN_MS;
}

/* The head goes first, so that it takes nothing that cannot run. */
static bool waits_for_head(struct placer *placer, const struct vm_state *held)
{
	const struct view_vm *head = find_head(placer, held->replica,
					       held->epoch, held->epoch);

	return head && strcmp(head->report.name, held->name) != 0 &&
	       find_alive(placer, head->report.name) &&
	       orders_of(placer, head->report.name)->released_epoch <
		       held->epoch &&
	       orders_of(placer, head->report.name)->formed_epoch <=
		       held->epoch;
}

static void reconcile_releasing(void *ctx, const struct vm_state *held)
{
	struct placer *placer = ctx;
	const struct view_vm *seen = find_alive(placer, held->name);
	struct order_intent intent = {
		.kind = ORDER_RELEASE,
		.replica = held->replica,
		.epoch = held->epoch,
	};
	struct vm_orders *o;

	if (!held->releasing || !seen)
		return;
	o = orders_of(placer, held->name);
	if (o->in_flight)
		return;
	if (o->released_epoch >= held->epoch) {
		if (head_is_done(placer, held, o))
			propose_free(placer, held);
		return;
	}
	if (now_ms(placer) < o->next_ms || waits_for_head(placer, held) ||
	    !drained(placer, o, seen))
		return;
	send_order(placer, seen, &intent);
}

/* A VM that nobody holds but that says it serves: left by an older order. */
static void reconcile_stray(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	struct order_intent intent = {
		.kind = ORDER_RELEASE,
		.replica = r->replica,
		.epoch = r->epoch,
	};

	if (*r->service || !r->replica || state_vm(state_of(placer), r->name) ||
	    !find_alive(placer, r->name))
		return;
	if (order_is_due(placer, orders_of(placer, r->name)))
		send_order(placer, seen, &intent);
}

struct spare {
	struct placer *placer;
	const struct view_vm *vm;
};

static void warm_for(void *ctx, const struct service_state *service)
{
	struct spare *spare = ctx;
	const struct vm_report *r = &spare->vm->report;
	const struct service_spec *spec = &service->spec;
	struct vm_orders *o = orders_of(spare->placer, r->name);
	struct order_intent intent = {
		.kind = ORDER_WARM,
		.epoch = state_last_epoch(state_of(spare->placer)),
		.service = service->name,
		.model = spec->model,
		.adapter = spec->adapter,
	};

	if (spec->plain || strcmp(spec->pool, r->pool) != 0 ||
	    strcmp(spec->model, r->model) != 0 ||
	    (o->warm_incarnation == r->incarnation &&
	     !strcmp(o->warm_model, r->model)) ||
	    !order_is_due(spare->placer, o))
		return;
	o->warm_incarnation = r->incarnation;
	g_strlcpy(o->warm_model, r->model, sizeof(o->warm_model));
	send_order(spare->placer, spare->vm, &intent);
}

/* Spares have their weights ready in memory, so that they join at once. */
static void reconcile_spare(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	struct spare spare = { placer, seen };

	if (*r->service || !*r->model || r->replica || r->leaving ||
	    state_vm(state_of(placer), r->name) || !find_alive(placer, r->name))
		return;
	if (!orders_of(placer, r->name)->preload_until_ms)
		state_each_service(state_of(placer), warm_for, &spare);
}

void placer_tick(struct placer *placer)
{
	const struct state *state = state_of(placer);

	if (!placer->active_from_ms ||
	    now_ms(placer) < placer->active_from_ms ||
	    !group_leads(placer->control->group))
		return;
	update_model(placer);
	if (!placer->proposals) {
		placer->next_replica = state_next_replica(state);
		placer->next_epoch = state_last_epoch(state);
		placement_plan(placer->placement, now_ms(placer), on_decision,
			       placer);
	}
	state_each_replica(state, reconcile_replica, placer);
	state_each_vm(state, reconcile_releasing, placer);
	view_each(placer->control->view, reconcile_stray, placer);
	if (order_format(placer)->warms)
		view_each(placer->control->view, reconcile_spare, placer);
}
