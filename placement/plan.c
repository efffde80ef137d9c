/* Deciding: what is amiss, what would mend it, what is worth doing first. */
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

/* ---- telling ---- */

void plan_tell(struct plan *plan, enum placement_action action,
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

void plan_take(struct plan *plan, struct vm *vm)
{
	struct domain *d = vm->domain;

	if (vm->taken)
		return;
	if (!vm->holder && d && d->counted_plan == plan->p->plans) {
		d->usable -= MIN(d->usable, 1);
		if (model_has(vm, d->counted_for->weights))
			d->loaded -= MIN(d->loaded, 1);
	}
	vm->taken = true;
	g_ptr_array_add(plan->taken, vm);
}

static void take(struct plan *plan, const struct pick *pick)
{
	for (uint32_t i = 0; i < pick->count; i++)
		plan_take(plan, pick->vms[i]);
}

static void give_up(struct plan *plan, struct replica *r, const char *reason)
{
	if (r->giving_up)
		return;
	r->giving_up = true;
	g_ptr_array_add(plan->given_up, r);
	plan_tell(plan, PLACEMENT_RELEASE, r->service, r, NULL, "%s", reason);
}

/* ---- surplus and versions ---- */

static uint32_t count_replicas(const struct service *s, bool only_whole)
{
	uint32_t count = 0;

	for (guint i = 0; i < s->replicas->len; i++) {
		const struct replica *r = s->replicas->pdata[i];

		if (r->giving_up)
			continue;
		if (!only_whole || (r->healthy && !model_missing(r)))
			count++;
	}
	return count;
}

static uint32_t domains_of(const struct replica *r)
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

/* Which replica is least worth keeping: greater is worse. */
static int badness(const struct replica *r)
{
	int points = 0;

	points += model_missing(r) ? 1000 : 0;
	points += r->healthy ? 0 : 100;
	points += strcmp(r->version, r->service->version) ? 10 : 0;
	points += domains_of(r) > 1 ? 5 : 0;
	return points;
}

static struct replica *worst_replica(const struct service *s)
{
	struct replica *worst = NULL;

	for (guint i = 0; i < s->replicas->len; i++) {
		struct replica *r = s->replicas->pdata[i];

		if (r->giving_up)
			continue;
		if (!worst || badness(r) >= badness(worst))
			worst = r;
	}
	return worst;
}

static void drop_surplus(struct plan *plan, struct service *s)
{
	char reason[PLACEMENT_REASON_MAX];

	while (count_replicas(s, false) > s->wanted) {
		const struct replica *worst = worst_replica(s);

		if (s->keep_healthy && !s->removed && worst->healthy &&
		    !model_missing(worst))
			return;
		snprintf(reason, sizeof(reason), "%u replicas, preset wants %u",
			 count_replicas(s, false), s->wanted);
		give_up(plan, worst_replica(s), reason);
	}
}

/*
 * Another version rolls through one replica at a time, and only while all
 * others that are wanted are whole.
 */
static void roll_version(struct plan *plan, struct service *s)
{
	char reason[PLACEMENT_REASON_MAX];

	if (count_replicas(s, true) < s->wanted)
		return;
	for (guint i = 0; i < s->replicas->len; i++) {
		struct replica *r = s->replicas->pdata[i];

		if (r->giving_up || !strcmp(r->version, s->version))
			continue;
		snprintf(reason, sizeof(reason),
			 "runs version %s, preset wants %s", r->version,
			 s->version);
		give_up(plan, r, reason);
		return;
	}
}

/* ---- needs ---- */

static int64_t latest_loss_ms(const struct replica *r)
{
	int64_t latest = 0;

	for (uint32_t i = 0; i < r->vm_count; i++)
		if (!model_serving(r->vms[i]))
			latest = MAX(latest, r->vms[i]->lost_ms);
	return latest;
}

static bool may_be_pausing(const struct plan *plan, const struct replica *r)
{
	if (plan->p->opts.repair_at_once)
		return false;
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (r->vms[i]->leaving)
			return false;
	return plan->now_ms - latest_loss_ms(r) < plan->p->opts.pause_wait_ms;
}

/* A VM that announced its leaving still finishes what its replica does. */
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

/* A service that has lost more of its replicas gains more by one. */
static double need_value(const struct service *s)
{
	uint32_t whole = count_replicas(s, true);
	double lacking =
		s->wanted ? 1.0 - (double)MIN(whole, s->wanted) / s->wanted : 0;

	return s->downtime_weight * (1.0 + lacking) +
	       (double)s->stranded_weight * s->vms_per_replica *
		       s->accelerators_per_vm / 8.0;
}

/* What loads of so many VMs of one replica count for. */
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

		need.missing = model_missing(r);
		need.replica = r;
		need.first = plan->p->opts.load_first;
		if (!r->giving_up && need.missing)
			g_array_append_val(plan->needs, need);
		if (!r->giving_up)
			plan->loading += load_cost(plan, model_loading(r));
	}
	need.replica = NULL;
	need.first = false;
	need.missing = s->vms_per_replica;
	for (; have < s->wanted; have++)
		g_array_append_val(plan->needs, need);
}

static gint compare_needs(gconstpointer a, gconstpointer b)
{
	const struct need *x = a, *y = b;

	if (x->first != y->first)
		return x->first ? -1 : 1;
	if (x->value != y->value)
		return x->value > y->value ? -1 : 1;
	if (x->missing != y->missing)
		return x->missing < y->missing ? -1 : 1;
	if (x->replica && y->replica)
		return x->replica->id < y->replica->id ? -1 : 1;
	return x->replica ? -1 : y->replica ? 1 : 0;
}

/* ---- meeting a need ---- */

static bool may_load(struct plan *plan, const struct need *need,
		     const struct pick *pick)
{
	if (!pick->loads)
		return true;
	if (plan->loading < plan->p->opts.loads_max) {
		plan->loading += load_cost(plan, pick->loads);
		return true;
	}
	plan_tell(plan, PLACEMENT_WAIT, need->service, need->replica, NULL,
		  "weight store is busy with %u loads, limit %u", plan->loading,
		  plan->p->opts.loads_max);
	return false;
}

static void repair_with(struct plan *plan, const struct need *need,
			const struct pick *pick, const char *where)
{
	take(plan, pick);
	if (!may_load(plan, need, pick))
		return;
	plan_tell(plan, PLACEMENT_REPAIR, need->service, need->replica, pick,
		  "%u of %u VMs lost; %s, %u load weights", need->missing,
		  need->replica->vm_count, where, pick->loads);
}

/* Broken replicas of the domain whose survivors would complete this one. */
static bool take_from_broken(struct plan *plan, const struct need *need,
			     const struct domain *home, uint32_t lacking)
{
	for (guint i = plan->needs->len; i > 0; i--) {
		struct need *other = &g_array_index(plan->needs, struct need,
						    i - 1);
		struct replica *donor = other->replica;
		struct pick survivors = { 0 };
		char reason[PLACEMENT_REASON_MAX];

		if (!donor || donor == need->replica || donor->giving_up ||
		    other->value > need->value ||
		    (plan->p->opts.load_first &&
		     donor->service != need->service) ||
		    donor->service->accelerators_per_vm <
			    need->service->accelerators_per_vm)
			continue;
		pick_add_survivors(donor, &survivors);
		if (survivors.count < lacking || !survivors.count ||
		    survivors.vms[0]->taken ||
		    pick_home_domain(&survivors) != home)
			continue;
		snprintf(reason, sizeof(reason),
			 "its %u VMs left complete replica %u in domain %s",
			 survivors.count, need->replica->id, home->name);
		give_up(plan, donor, reason);
		take(plan, &survivors);
		return true;
	}
	return false;
}

/* Has the free VMs of a pick load what the replica needs. */
static void load_pick(struct plan *plan, const struct need *need,
		      const struct pick *pick)
{
	for (uint32_t i = 0; i < pick->count; i++) {
		struct vm *vm = pick->vms[i];
		struct pick one = { .vms = { vm }, .count = 1, .loads = 1 };

		if (model_has(vm, need->service->weights) || vm->holder ||
		    vm->preloading)
			continue;
		if (!may_load(plan, need, &one))
			return;
		plan_tell(plan, PLACEMENT_PRELOAD, need->service, need->replica,
			  &one, "for the repair of replica %u",
			  need->replica->id);
	}
}

/*
 * Weights take long to load, so a replica is put together again out of VMs
 * that have them, wherever these are; only then do others load them, and the
 * replica is left as it is meanwhile: its lost VM may come back.
 */
static void repair_loaded(struct plan *plan, const struct need *need,
			  const struct pick *survivors)
{
	struct service *s = need->service;
	const struct domain *home = pick_home_domain(survivors);
	struct pick pick = *survivors, elsewhere = { 0 };
	bool complete = home && pick_fill_from(plan, home, s, &pick);

	if (complete && !pick.loads) {
		repair_with(plan, need, &pick, "in its domain");
		return;
	}
	if (pick_one_domain(plan, s, &elsewhere) && !elsewhere.loads) {
		repair_with(plan, need, &elsewhere, "moved to one domain");
		return;
	}
	if (home && take_from_broken(plan, need, home,
				     s->vms_per_replica - survivors->count)) {
		take(plan, survivors);
		return;
	}
	plan_tell(plan, PLACEMENT_WAIT, s, need->replica, NULL,
		  "%u of %u VMs lost, %u in its domain must load weights",
		  need->missing, need->replica->vm_count, pick.loads);
	if (!complete)
		return;
	plan->repair_waits = true;
	take(plan, &pick);
	load_pick(plan, need, &pick);
}

static void repair(struct plan *plan, const struct need *need)
{
	struct replica *r = need->replica;
	struct service *s = need->service;
	struct pick pick = { 0 }, elsewhere = { 0 };
	const struct domain *home;

	if (is_draining(plan, r)) {
		plan_tell(plan, PLACEMENT_WAIT, s, r, NULL,
			  "a VM is leaving and requests are in flight, limit "
			  "%d ms",
			  plan->p->opts.drain_ms);
		return;
	}
	if (may_be_pausing(plan, r)) {
		plan_tell(plan, PLACEMENT_WAIT, s, r, NULL,
			  "a VM may be pausing: silent %d ms, limit %d ms",
			  (int)(plan->now_ms - latest_loss_ms(r)),
			  plan->p->opts.pause_wait_ms);
		return;
	}
	if (plan->p->opts.wait_for_own) {
		plan_tell(plan, PLACEMENT_WAIT, s, r, NULL,
			  "waits for its own VM");
		return;
	}
	pick_add_survivors(r, &pick);
	for (uint32_t i = 0; i < pick.count; i++)
		if (pick.vms[i]->taken)
			return; /* they complete another replica */
	if (plan->p->opts.load_first) {
		repair_loaded(plan, need, &pick);
		return;
	}
	home = pick_home_domain(&pick);
	if (home && pick_fill_from(plan, home, s, &pick)) {
		repair_with(plan, need, &pick, "in its domain");
		return;
	}
	if (pick_one_domain(plan, s, &elsewhere)) {
		repair_with(plan, need, &elsewhere, "moved to one domain");
		return;
	}
	if (home && take_from_broken(plan, need, home,
				     s->vms_per_replica - pick.count)) {
		take(plan, &pick);
		return;
	}
	if (s->cross_domain && pick_across(plan, s, &pick)) {
		repair_with(plan, need, &pick, "across domains");
		return;
	}
	plan_tell(plan, PLACEMENT_WAIT, s, r, NULL,
		  "%u of %u VMs lost, no domain can complete it", need->missing,
		  r->vm_count);
}

static void form(struct plan *plan, const struct need *need)
{
	struct service *s = need->service;
	struct pick pick = { 0 };
	const char *where = "in one domain";

	if (!pick_one_domain(plan, s, &pick)) {
		memset(&pick, 0, sizeof(pick));
		where = "across domains";
		if (!s->cross_domain || !pick_across(plan, s, &pick)) {
			plan_tell(plan, PLACEMENT_WAIT, s, NULL, NULL,
				  "no domain has %u free VMs",
				  s->vms_per_replica);
			return;
		}
	}
	if (plan->repair_waits && pick.loads) {
		plan_tell(plan, PLACEMENT_WAIT, s, NULL, NULL,
			  "repairs have the weight store first");
		return;
	}
	take(plan, &pick);
	if (!may_load(plan, need, &pick))
		return;
	plan_tell(plan, PLACEMENT_FORM, s, NULL, &pick,
		  "%u replicas, preset wants %u; %s, %u load weights",
		  count_replicas(s, false), s->wanted, where, pick.loads);
}

static void clear_marks(struct plan *plan)
{
	for (guint i = 0; i < plan->taken->len; i++)
		((struct vm *)plan->taken->pdata[i])->taken = false;
	for (guint i = 0; i < plan->given_up->len; i++)
		((struct replica *)plan->given_up->pdata[i])->giving_up = false;
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
		.taken = g_ptr_array_new(),
		.given_up = g_ptr_array_new(),
	};

	p->plans++;
	for (guint i = 0; i < p->service_list->len; i++) {
		struct service *s = p->service_list->pdata[i];

		drop_surplus(&plan, s);
		roll_version(&plan, s);
	}
	for (guint i = 0; i < p->service_list->len; i++)
		add_needs(&plan, p->service_list->pdata[i]);
	g_array_sort(plan.needs, compare_needs);
	for (guint i = 0; i < plan.needs->len; i++) {
		struct need *need = &g_array_index(plan.needs, struct need, i);

		if (need->replica && need->replica->giving_up)
			continue;
		if (need->replica)
			repair(&plan, need);
		else
			form(&plan, need);
	}
	plan_preload(&plan);
	clear_marks(&plan);
	g_array_unref(plan.needs);
	g_ptr_array_unref(plan.taken);
	g_ptr_array_unref(plan.given_up);
}
