/* Sends orders to VMs until they match the state in the log. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "control/placer_internal.h"
#include "control/release.h"
#include "wire/codec.h"

#define ORDER_BACKOFF_MS 200
#define ORDER_BACKOFF_MAX_MS 5000
/* Added to head_stall_ms, after which a head without one of its VMs stops. */
#define HEAD_STALL_MARGIN_MS 500

static const struct log placer_log = { "placer" };

/* ---- orders ---- */

static bool order_may_send(void *ctx)
{
	struct vm_orders *o = ctx;
	struct control *control = o->placer->control;

	/* Reads the clock again, as this process may have been paused. */
	if (o->placer->active_from_ms &&
	    group_is_ready_leader(control->group)) {
		counters_add(control->opts.counters, COUNTER_ORDERS, 1);
		return true;
	}
	counters_add(control->opts.counters, COUNTER_ORDERS_WITHHELD, 1);
	log_warn(&placer_log, "order to %s withheld: no valid leader lease",
		 o->name);
	return false;
}

static void record_accepted(struct vm_orders *o, int64_t now)
{
	o->backoff_ms = 0;
	/* Leaves time for the VM's announcement to show the change. */
	o->next_ms = now + ORDER_DELIVERY_LIMIT_MS;
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
	int64_t now = placer_now_ms(o->placer);

	o->in_flight = false;
	log_info(&placer_log, "order %s to %s epoch %" PRIu64 ": %s",
		 order_kind_name(o->kind), o->name, o->epoch, names[result]);
	if (result == ORDER_STALE)
		counters_add(o->placer->control->opts.counters,
			     COUNTER_ORDERS_REFUSED, 1);
	if (result == ORDER_ACCEPTED) {
		record_accepted(o, now);
		return;
	}
	o->backoff_ms = CLAMP(o->backoff_ms * 2, ORDER_BACKOFF_MS,
			      ORDER_BACKOFF_MAX_MS);
	/* An unanswered order may still be in flight. */
	o->next_ms = now + (result == ORDER_LOST ? ORDER_DELIVERY_LIMIT_MS
						 : o->backoff_ms);
}

void placer_send_order(struct placer *placer, const struct view_vm *to,
		       struct order_intent *intent)
{
	struct vm_orders *o = placer_orders(placer, to->report.name);
	struct order order = {
		.format = placer_order_format(placer),
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

bool placer_order_is_due(struct placer *placer, const struct vm_orders *o)
{
	return !o->in_flight && placer_now_ms(placer) >= o->next_ms;
}

/* ---- VMs and what they report ---- */

const struct view_vm *placer_find_alive(const struct placer *placer,
					const char *name)
{
	const struct view *view = placer->control->view;
	const struct view_vm *seen = view_find(view, name);

	return seen && view_alive(view, seen, placer_now_ms(placer)) ? seen
								     : NULL;
}

static bool holds_replica(const struct view_vm *seen,
			  const struct assign_replica *a)
{
	return seen->report.replica == a->replica &&
	       seen->report.epoch == a->epoch;
}

/* ---- heads ---- */

static void record_head(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	gpointer number = GUINT_TO_POINTER(r->replica);
	GPtrArray *heads;

	if (!r->serving || !r->replica)
		return;
	heads = g_hash_table_lookup(placer->serving_heads, number);
	if (!heads) {
		heads = g_ptr_array_new();
		g_hash_table_insert(placer->serving_heads, number, heads);
	}
	g_ptr_array_add(heads, (gpointer)seen);
}

/*
 * Returns a VM whose last announcement, which may be outdated, reports that
 * it serves the replica under an epoch up to `max_epoch`; NULL if there is
 * none.
 */
static const struct view_vm *find_head(const struct placer *placer,
				       uint32_t replica, uint64_t max_epoch)
{
	const GPtrArray *heads = g_hash_table_lookup(placer->serving_heads,
						     GUINT_TO_POINTER(replica));
	const struct view_vm *found = NULL;

	for (guint i = 0; heads && i < heads->len; i++) {
		const struct view_vm *head = heads->pdata[i];

		if (head->report.epoch <= max_epoch)
			found = head;
	}
	return found;
}

/* ---- replicas ---- */

static void order_form(struct placer *placer, const struct assign_replica *a,
		       u_int rank, const struct view_vm *seen)
{
	const struct service_state *service =
		state_service(placer_state(placer), a->service);
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

	if (!placer_has_weights(&seen->report, intent.model, intent.version) &&
	    !placer_admit_load(placer))
		return;
	placer_send_order(placer, seen, &intent);
}

static void reconcile_replica_vm(struct placer *placer,
				 const struct assign_replica *a, u_int rank,
				 const struct view_vm *old_head)
{
	const char *name = a->vms.vms_val[rank].name;
	const struct view_vm *seen = placer_find_alive(placer, name);
	struct vm_orders *o = placer_orders(placer, name);

	o->releasing_since_ms = 0;
	if (!seen || holds_replica(seen, a) || !placer_order_is_due(placer, o))
		return;
	/*
	 * A head that serves under an older epoch accepts its order first, so
	 * that it has the new epoch before the other VMs leave the old one.
	 */
	if (old_head && old_head != seen &&
	    placer_orders(placer, old_head->report.name)->formed_epoch <
		    a->epoch)
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
	const struct vm_orders *o;

	for (u_int i = 0; i < a->vms.vms_len; i++) {
		const struct view_vm *seen =
			placer_find_alive(placer, a->vms.vms_val[i].name);

		if (!seen || !holds_replica(seen, a) || !seen->report.ready)
			return;
		if (!i)
			head = seen;
	}
	if (!head || head->report.serving)
		return;
	/*
	 * Do not wait for next_ms if the order before was ORDER_FORM: the
	 * announcement has confirmed it.
	 */
	o = placer_orders(placer, head->report.name);
	if (!placer_order_is_due(placer, o) &&
	    (o->in_flight || o->kind != ORDER_FORM))
		return;
	placer_send_order(placer, head, &intent);
}

/*
 * Whether the replica has to form again under a new epoch: its head reports the
 * loss of another VM, or all VMs were ready under this epoch and one has
 * released it since, so that it cannot become ready under this epoch again.
 */
static bool needs_new_epoch(const struct placer *placer,
			    const struct assign_replica *a)
{
	gpointer number = GUINT_TO_POINTER(a->replica);
	bool was_ready = g_hash_table_lookup(placer->ready_epochs, number) ==
			 GSIZE_TO_POINTER(a->epoch);
	bool released = false;

	for (u_int i = 0; i < a->vms.vms_len; i++) {
		const struct view_vm *seen =
			placer_find_alive(placer, a->vms.vms_val[i].name);

		if (!seen || seen->report.leaving)
			return false; /* the planner repairs it */
		if (holds_replica(seen, a) && seen->report.broken)
			return true;
		released |= !holds_replica(seen, a);
	}
	return was_ready && released;
}

static void renew_epoch(struct placer *placer, const struct assign_replica *a)
{
	struct command command = { .body.kind = CMD_ASSIGN_REPLICA };
	struct assign_replica *renewed = &command.body.command_body_u.assign;

	if (placer->pending_proposals)
		return;
	log_note(&placer_log,
		 "replica %u of %s: broken or released by a VM under epoch "
		 "%" PRIu64 ", forming it under a new epoch",
		 a->replica, a->service, a->epoch);
	*renewed = *a;
	renewed->epoch = state_last_epoch(placer_state(placer)) + 1;
	placer_propose(placer, &command);
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
	old_head = find_head(placer, a->replica, a->epoch - 1);
	if (old_head && !placer_find_alive(placer, old_head->report.name))
		old_head = NULL;
	for (u_int i = 0; i < a->vms.vms_len; i++)
		reconcile_replica_vm(placer, a, i, old_head);
	if (placer_order_format(placer)->requires_open)
		open_head(placer, a);
}

/* ---- release of VMs ---- */

static void propose_free(struct placer *placer, const struct vm_state *held)
{
	struct command command = { .body.kind = CMD_FREE_VM };
	struct free_vm *change = &command.body.command_body_u.freed;

	change->vm = held->name;
	change->replica = held->replica;
	change->epoch = held->epoch;
	placer_propose(placer, &command);
}

/* Whether the VM has no requests left, or drain_ms have passed. */
static bool is_drained(struct placer *placer, struct vm_orders *o,
		       const struct view_vm *seen)
{
	const struct limit_settings *limits =
		&placer->control->opts.settings->limits;

	if (!o->releasing_since_ms)
		o->releasing_since_ms = placer_now_ms(placer);
	/*
	 * Entries stop sending within one digest interval; only a load report
	 * made after that shows that the VM has no requests left.
	 */
	if (placer_now_ms(placer) - o->releasing_since_ms <
	    limits->announce_ms + 2 * limits->digest_ms)
		return false;
	if (!(seen->report.load.running + seen->report.load.waiting))
		return true;
	return placer_now_ms(placer) - o->releasing_since_ms >=
	       limits->drain_ms;
}

/*
 * Whether the head of the replica that a VM released can no longer serve: it
 * accepted a release itself, or it is not alive and the VM released the replica
 * so long ago that the head has stopped without it.
 */
static bool head_has_stopped(struct placer *placer, const struct vm_state *held,
			     const struct vm_orders *o)
{
	const struct view_vm *head = find_head(placer, held->replica,
					       held->epoch);

	if (!head || !strcmp(head->report.name, held->name))
		return true;
	if (placer_find_alive(placer, head->report.name))
		return placer_orders(placer, head->report.name)
			       ->released_epoch >= head->report.epoch;
	return placer_now_ms(placer) - o->released_ms >=
	       placer->control->opts.settings->limits.head_stall_ms +
		       HEAD_STALL_MARGIN_MS;
}

/* The head is released first, so that it accepts no request it cannot run. */
static bool must_wait_for_head(struct placer *placer,
			       const struct vm_state *held)
{
	const struct view_vm *head = find_head(placer, held->replica,
					       held->epoch);
	const struct vm_orders *o;

	if (!head || !strcmp(head->report.name, held->name) ||
	    !placer_find_alive(placer, head->report.name))
		return false;
	o = placer_orders(placer, head->report.name);
	return o->released_epoch < head->report.epoch &&
	       o->formed_epoch <= held->epoch;
}

static void reconcile_releasing(void *ctx, const struct vm_state *held)
{
	struct placer *placer = ctx;
	const struct view_vm *seen = placer_find_alive(placer, held->name);
	struct order_intent intent = {
		.kind = ORDER_RELEASE,
		.replica = held->replica,
	};
	struct vm_orders *o;

	if (!held->releasing || !seen)
		return;
	o = placer_orders(placer, held->name);
	if (o->in_flight)
		return;
	if (release_confirmed(held, &seen->report, o->released_epoch)) {
		if (head_has_stopped(placer, held, o))
			propose_free(placer, held);
		return;
	}
	if (placer_now_ms(placer) < o->next_ms ||
	    must_wait_for_head(placer, held) || !is_drained(placer, o, seen))
		return;
	intent.epoch = release_epoch(held, &seen->report);
	placer_send_order(placer, seen, &intent);
}

/*
 * Releases a VM that reports a replica although the log assigns it to none. An
 * earlier order is the cause.
 */
static void reconcile_stray(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	struct order_intent intent = {
		.kind = ORDER_RELEASE,
		.replica = r->replica,
		.epoch = r->epoch,
	};

	if (*r->service || !r->replica ||
	    state_vm(placer_state(placer), r->name) ||
	    !placer_find_alive(placer, r->name))
		return;
	if (placer_order_is_due(placer, placer_orders(placer, r->name)))
		placer_send_order(placer, seen, &intent);
}

/* ---- spares ---- */

struct spare {
	struct placer *placer;
	const struct view_vm *vm;
	const char *staged; /* model of the newest weights on its disk */
};

static void warm_for_service(void *ctx, const struct service_state *service)
{
	struct spare *spare = ctx;
	const struct vm_report *r = &spare->vm->report;
	const struct service_spec *spec = &service->spec;
	struct vm_orders *o = placer_orders(spare->placer, r->name);
	struct order_intent intent = {
		.kind = ORDER_WARM,
		.epoch = state_last_epoch(placer_state(spare->placer)),
		.service = service->name,
		.model = spec->model,
		.adapter = spec->adapter,
	};

	if (spec->is_plain || strcmp(spec->pool, r->pool) != 0 ||
	    strcmp(spec->model, spare->staged) != 0 ||
	    (o->warm_incarnation == r->incarnation &&
	     !strcmp(o->warm_model, spare->staged)) ||
	    !placer_order_is_due(spare->placer, o))
		return;
	o->warm_incarnation = r->incarnation;
	g_strlcpy(o->warm_model, spare->staged, sizeof(o->warm_model));
	placer_send_order(spare->placer, spare->vm, &intent);
}

/* Spare VMs hold their weights in memory, so that they can join at once. */
static void reconcile_spare(void *ctx, const struct view_vm *seen)
{
	struct placer *placer = ctx;
	const struct vm_report *r = &seen->report;
	u_int staged = r->staged.staged_len;
	struct spare spare = { placer, seen, NULL };

	if (*r->service || *r->model || !staged || r->replica || r->leaving ||
	    state_vm(placer_state(placer), r->name) ||
	    !placer_find_alive(placer, r->name))
		return;
	spare.staged = r->staged.staged_val[staged - 1];
	if (!placer_orders(placer, r->name)->preload_until_ms)
		state_each_service(placer_state(placer), warm_for_service,
				   &spare);
}

void placer_reconcile(struct placer *placer)
{
	const struct state *state = placer_state(placer);
	const struct view *view = placer->control->view;

	view_each(view, record_head, placer);
	state_each_replica(state, reconcile_replica, placer);
	state_each_vm(state, reconcile_releasing, placer);
	view_each(view, reconcile_stray, placer);
	if (placer_order_format(placer)->supports_warm)
		view_each(view, reconcile_spare, placer);
	/* The view owns the VMs and may free them before the next tick. */
	g_hash_table_remove_all(placer->serving_heads);
}
