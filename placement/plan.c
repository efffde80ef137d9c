/* Planning: collects needs, orders them by value and picks VMs for them. */
#include <stdio.h>
#include <string.h>

#include "placement/plan.h"

const char *placement_action_name(enum placement_action action)
{
	static const char *const names[] = {
		[PLACEMENT_FORM] = "form",	 [PLACEMENT_REPAIR] = "repair",
		[PLACEMENT_RELEASE] = "release", [PLACEMENT_WAIT] = "wait",
		[PLACEMENT_PRELOAD] = "preload",
	};

	return names[action];
}

/* ---- decisions ---- */

void plan_emit(struct plan *plan, enum placement_action action,
	       const struct service *service, const struct replica *replica,
	       const struct pick *pick, const char *fmt, ...)
{
	struct placement_decision d = {
		.action = action,
		.replica = replica ? replica->id : 0,
		.service = service->name,
		.version = service->version,
	};
	va_list ap;

	if (pick)
		d.vm_count = pick->count;
	for (uint32_t i = 0; pick && i < pick->count; i++)
		d.vms[i] = pick->vms[i]->name;
	va_start(ap, fmt);
	vsnprintf(d.reason, sizeof(d.reason), fmt, ap);
	va_end(ap);
	plan->decide(plan->ctx, &d);
}

void plan_reserve(struct plan *plan, struct vm *vm)
{
	struct domain *d = vm->domain;

	if (vm->reserved)
		return;
	if (!vm->holder && d && d->count_plan == plan->p->plan_count) {
		d->usable -= MIN(d->usable, 1);
		if (model_has_weights(vm, d->count_service->weights))
			d->loaded -= MIN(d->loaded, 1);
	}
	vm->reserved = true;
	g_ptr_array_add(plan->reserved, vm);
}

static void reserve_pick(struct plan *plan, const struct pick *pick)
{
	for (uint32_t i = 0; i < pick->count; i++)
		plan_reserve(plan, pick->vms[i]);
}

static void release_replica(struct plan *plan, struct replica *r,
			    const char *reason)
{
	if (r->released)
		return;
	r->released = true;
	g_ptr_array_add(plan->released_replicas, r);
	plan_emit(plan, PLACEMENT_RELEASE, r->service, r, NULL, "%s", reason);
}

/* ---- surplus and versions ---- */

static uint32_t count_replicas(const struct service *s, bool only_healthy)
{
	uint32_t count = 0;

	for (guint i = 0; i < s->replicas->len; i++) {
		const struct replica *r = s->replicas->pdata[i];

		if (r->released)
			continue;
		if (!only_healthy || (r->healthy && !model_lost_vms(r)))
			count++;
	}
	return count;
}

static uint32_t count_domains(const struct replica *r)
{
	uint32_t domains = 0;

	for (uint32_t i = 0; i < r->vm_count; i++) {
		bool seen = false;

		for (uint32_t j = 0; j < i; j++)
			seen |= r->vms[i]->domain == r->vms[j]->domain;
		domains += seen ? 0 : 1;
	}
	return domains;
}

/* Of a service's surplus replicas, the highest score is released first. */
static int release_score(const struct replica *r)
{
	int score = 0;

	score += model_lost_vms(r) ? 1000 : 0;
	score += r->healthy ? 0 : 100;
	score += strcmp(r->version, r->service->version) ? 10 : 0;
	score += count_domains(r) > 1 ? 5 : 0;
	return score;
}

static struct replica *next_to_release(const struct service *s)
{
	struct replica *candidate = NULL;

	for (guint i = 0; i < s->replicas->len; i++) {
		struct replica *r = s->replicas->pdata[i];

		if (r->released)
			continue;
		if (!candidate || release_score(r) >= release_score(candidate))
			candidate = r;
	}
	return candidate;
}

static void release_surplus(struct plan *plan, struct service *s)
{
	char reason[PLACEMENT_REASON_MAX];

	while (count_replicas(s, false) > s->wanted) {
		const struct replica *candidate = next_to_release(s);

		if (s->keep_healthy && !s->removed && candidate->healthy &&
		    !model_lost_vms(candidate))
			return;
		snprintf(reason, sizeof(reason),
			 "%u replicas, preset requires %u",
			 count_replicas(s, false), s->wanted);
		release_replica(plan, next_to_release(s), reason);
	}
}

/*
 * Rolls out a version one replica at a time, and only while as many replicas as
 * wanted are healthy.
 */
static void roll_out_version(struct plan *plan, struct service *s)
{
	char reason[PLACEMENT_REASON_MAX];

	if (count_replicas(s, true) < s->wanted)
		return;
	for (guint i = 0; i < s->replicas->len; i++) {
		struct replica *r = s->replicas->pdata[i];

		if (r->released || !strcmp(r->version, s->version))
			continue;
		snprintf(reason, sizeof(reason),
			 "runs version %s, preset requires %s", r->version,
			 s->version);
		release_replica(plan, r, reason);
		return;
	}
}

/* ---- needs ---- */

static int64_t latest_loss_ms(const struct replica *r)
{
	int64_t latest = 0;

	for (uint32_t i = 0; i < r->vm_count; i++)
		if (!model_vm_available(r->vms[i]))
			latest = MAX(latest, r->vms[i]->lost_ms);
	return latest;
}

static bool may_be_paused(const struct plan *plan, const struct replica *r)
{
	if (plan->p->opts.repair_at_once)
		return false;
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (r->vms[i]->leaving)
			return false;
	return plan->now_ms - latest_loss_ms(r) < plan->p->opts.pause_wait_ms;
}

/* A VM that is leaving completes its replica's requests first. */
static bool is_draining(const struct plan *plan, const struct replica *r)
{
	if (!r->busy)
		return false;
	for (uint32_t i = 0; i < r->vm_count; i++) {
		const struct vm *vm = r->vms[i];

		if (!vm->alive)
			return false;
		if (vm->leaving && plan->now_ms - vm->leaving_since_ms >=
					   plan->p->opts.drain_ms)
			return false;
	}
	return true;
}

/* The value grows with the share of its replicas that a service lacks. */
static double need_value(const struct service *s)
{
	uint32_t healthy = count_replicas(s, true);
	double lacking = s->wanted ? 1.0 - (double)MIN(healthy, s->wanted) /
						     s->wanted
				   : 0;

	return s->downtime_weight * (1.0 + lacking) +
	       (double)s->stranded_weight * s->vms_per_replica *
		       s->accelerators_per_vm / 8.0;
}

/* Returns what loading on `vms` VMs of one replica counts against loads_max. */
static uint32_t load_cost(const struct plan *plan, uint32_t vms)
{
	return plan->p->opts.loads_by_vm ? vms : MIN(vms, 1);
}

static void add_needs(struct plan *plan, struct service *s)
{
	uint32_t have = count_replicas(s, false);
	struct need need = { .service = s, .value = need_value(s) };

	for (guint i = 0; i < s->replicas->len; i++) {
		struct replica *r = s->replicas->pdata[i];

		need.missing = model_lost_vms(r);
		need.replica = r;
		need.urgent = plan->p->opts.load_first;
		if (!r->released && need.missing)
			g_array_append_val(plan->needs, need);
		if (!r->released)
			plan->loading += load_cost(plan, model_loading_vms(r));
	}
	need.replica = NULL;
	need.urgent = false;
	need.missing = s->vms_per_replica;
	for (; have < s->wanted; have++)
		g_array_append_val(plan->needs, need);
}

static gint compare_needs(gconstpointer a, gconstpointer b)
{
	const struct need *x = a, *y = b;

	if (x->urgent != y->urgent)
		return x->urgent ? -1 : 1;
	if (x->value != y->value)
		return x->value > y->value ? -1 : 1;
	if (x->missing != y->missing)
		return x->missing < y->missing ? -1 : 1;
	if (x->replica && y->replica)
		return x->replica->id < y->replica->id ? -1 : 1;
	return x->replica ? -1 : y->replica ? 1 : 0;
}

/* ---- meeting a need ---- */

static bool reserve_load(struct plan *plan, const struct need *need,
			 const struct pick *pick)
{
	if (!pick->loads)
		return true;
	if (plan->loading < plan->p->opts.loads_max) {
		plan->loading += load_cost(plan, pick->loads);
		return true;
	}
	plan_emit(plan, PLACEMENT_WAIT, need->service, need->replica, NULL,
		  "weight store has %u loads in progress, limit %u",
		  plan->loading, plan->p->opts.loads_max);
	return false;
}

static void repair_with(struct plan *plan, const struct need *need,
			const struct pick *pick, const char *where)
{
	reserve_pick(plan, pick);
	if (!reserve_load(plan, need, pick))
		return;
	plan_emit(plan, PLACEMENT_REPAIR, need->service, need->replica, pick,
		  "%u of %u VMs lost; %s, %u load weights", need->missing,
		  need->replica->vm_count, where, pick->loads);
}

/*
 * Releases a broken replica of no higher value in the same domain whose
 * remaining VMs complete this one. Returns false if there is none.
 */
static bool release_donor(struct plan *plan, const struct need *need,
			  const struct domain *main_domain, uint32_t lacking)
{
	for (guint i = plan->needs->len; i > 0; i--) {
		struct need *other = &g_array_index(plan->needs, struct need,
						    i - 1);
		struct replica *donor = other->replica;
		struct pick survivors = { 0 };
		char reason[PLACEMENT_REASON_MAX];

		if (!donor || donor == need->replica || donor->released ||
		    other->value > need->value ||
		    (plan->p->opts.load_first &&
		     donor->service != need->service) ||
		    donor->service->accelerators_per_vm <
			    need->service->accelerators_per_vm)
			continue;
		pick_add_survivors(donor, &survivors);
		if (survivors.count < lacking || !survivors.count ||
		    survivors.vms[0]->reserved ||
		    pick_main_domain(&survivors) != main_domain)
			continue;
		snprintf(reason, sizeof(reason),
			 "its %u remaining VMs complete replica %u "
			 "in domain %s",
			 survivors.count, need->replica->id, main_domain->name);
		release_replica(plan, donor, reason);
		reserve_pick(plan, &survivors);
		return true;
	}
	return false;
}

/* Preloads the replica's weights on the free VMs of a pick. */
static void preload_pick(struct plan *plan, const struct need *need,
			 const struct pick *pick)
{
	for (uint32_t i = 0; i < pick->count; i++) {
		struct vm *vm = pick->vms[i];
		struct pick one = { .vms = { vm }, .count = 1, .loads = 1 };

		if (model_has_weights(vm, need->service->weights) ||
		    vm->holder || vm->preloading)
			continue;
		if (!reserve_load(plan, need, &one))
			return;
		plan_emit(plan, PLACEMENT_PRELOAD, need->service, need->replica,
			  &one, "for the repair of replica %u",
			  need->replica->id);
	}
}

/*
 * Repairs a replica with load_first: only with VMs that have the weights, in
 * its own or another domain. If there are too few, others preload the weights
 * while the replica keeps its assignment, as its lost VM may return.
 */
static void repair_with_loaded(struct plan *plan, const struct need *need,
			       const struct pick *survivors)
{
	struct service *s = need->service;
	const struct domain *main_domain = pick_main_domain(survivors);
	struct pick pick = *survivors, elsewhere = { 0 };
	bool complete = main_domain &&
			pick_from_domain(plan, main_domain, s, &pick);

	if (complete && !pick.loads) {
		repair_with(plan, need, &pick, "in its domain");
		return;
	}
	if (pick_one_domain(plan, s, &elsewhere) && !elsewhere.loads) {
		repair_with(plan, need, &elsewhere, "moved to one domain");
		return;
	}
	if (main_domain &&
	    release_donor(plan, need, main_domain,
			  s->vms_per_replica - survivors->count)) {
		reserve_pick(plan, survivors);
		return;
	}
	plan_emit(plan, PLACEMENT_WAIT, s, need->replica, NULL,
		  "%u of %u VMs lost, %u in its domain must load weights",
		  need->missing, need->replica->vm_count, pick.loads);
	if (!complete)
		return;
	plan->repairs_loading = true;
	reserve_pick(plan, &pick);
	preload_pick(plan, need, &pick);
}

static void repair(struct plan *plan, const struct need *need)
{
	struct replica *r = need->replica;
	struct service *s = need->service;
	struct pick pick = { 0 }, elsewhere = { 0 };
	const struct domain *main_domain;

	if (is_draining(plan, r)) {
		plan_emit(plan, PLACEMENT_WAIT, s, r, NULL,
			  "a VM is leaving and requests are in flight, limit "
			  "%d ms",
			  plan->p->opts.drain_ms);
		return;
	}
	if (may_be_paused(plan, r)) {
		plan_emit(plan, PLACEMENT_WAIT, s, r, NULL,
			  "a VM may be paused: silent %d ms, limit %d ms",
			  (int)(plan->now_ms - latest_loss_ms(r)),
			  plan->p->opts.pause_wait_ms);
		return;
	}
	if (plan->p->opts.wait_for_own) {
		plan_emit(plan, PLACEMENT_WAIT, s, r, NULL,
			  "waiting for its lost VM to return");
		return;
	}
	pick_add_survivors(r, &pick);
	for (uint32_t i = 0; i < pick.count; i++)
		if (pick.vms[i]->reserved)
			return; /* used to complete another replica */
	if (plan->p->opts.load_first) {
		repair_with_loaded(plan, need, &pick);
		return;
	}
	main_domain = pick_main_domain(&pick);
	if (main_domain && pick_from_domain(plan, main_domain, s, &pick)) {
		repair_with(plan, need, &pick, "in its domain");
		return;
	}
	if (pick_one_domain(plan, s, &elsewhere)) {
		repair_with(plan, need, &elsewhere, "moved to one domain");
		return;
	}
	if (main_domain && release_donor(plan, need, main_domain,
					 s->vms_per_replica - pick.count)) {
		reserve_pick(plan, &pick);
		return;
	}
	if (s->cross_domain && pick_across_domains(plan, s, &pick)) {
		repair_with(plan, need, &pick, "across domains");
		return;
	}
	plan_emit(plan, PLACEMENT_WAIT, s, r, NULL,
		  "%u of %u VMs lost, no domain has VMs to complete it",
		  need->missing, r->vm_count);
}

static void form(struct plan *plan, const struct need *need)
{
	struct service *s = need->service;
	struct pick pick = { 0 };
	const char *where = "in one domain";

	if (!pick_one_domain(plan, s, &pick)) {
		memset(&pick, 0, sizeof(pick));
		where = "across domains";
		if (!s->cross_domain || !pick_across_domains(plan, s, &pick)) {
			plan_emit(plan, PLACEMENT_WAIT, s, NULL, NULL,
				  "no domain has %u free VMs",
				  s->vms_per_replica);
			return;
		}
	}
	if (plan->repairs_loading && pick.loads) {
		plan_emit(plan, PLACEMENT_WAIT, s, NULL, NULL,
			  "weight store is reserved for repairs");
		return;
	}
	reserve_pick(plan, &pick);
	if (!reserve_load(plan, need, &pick))
		return;
	plan_emit(plan, PLACEMENT_FORM, s, NULL, &pick,
		  "%u replicas, preset requires %u; %s, %u load weights",
		  count_replicas(s, false), s->wanted, where, pick.loads);
}

static void clear_marks(struct plan *plan)
{
	for (guint i = 0; i < plan->reserved->len; i++)
		((struct vm *)plan->reserved->pdata[i])->reserved = false;
	for (guint i = 0; i < plan->released_replicas->len; i++)
		((struct replica *)plan->released_replicas->pdata[i])
			->released = false;
}

void placement_plan(struct placement *p, int64_t now_ms,
		    void (*decide)(void *ctx,
				   const struct placement_decision *decision),
		    void *ctx)
{
	struct plan plan = {
		.p = p,
		.now_ms = now_ms,
		.decide = decide,
		.ctx = ctx,
		.needs = g_array_new(FALSE, FALSE, sizeof(struct need)),
		.reserved = g_ptr_array_new(),
		.released_replicas = g_ptr_array_new(),
	};

	p->plan_count++;
	for (guint i = 0; i < p->service_list->len; i++) {
		struct service *s = p->service_list->pdata[i];

		release_surplus(&plan, s);
		roll_out_version(&plan, s);
	}
	for (guint i = 0; i < p->service_list->len; i++)
		add_needs(&plan, p->service_list->pdata[i]);
	g_array_sort(plan.needs, compare_needs);
	for (guint i = 0; i < plan.needs->len; i++) {
		struct need *need = &g_array_index(plan.needs, struct need, i);

		if (need->replica && need->replica->released)
			continue;
		if (need->replica)
			repair(&plan, need);
		else
			form(&plan, need);
	}
	plan_preload(&plan);
	clear_marks(&plan);
	g_array_unref(plan.needs);
	g_ptr_array_unref(plan.reserved);
	g_ptr_array_unref(plan.released_replicas);
}
