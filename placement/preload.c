/* Spare VMs load weights ahead of need, with what the store has left. */
#include "placement/plan.h"

/* Spares with a service's weights in all domains, or soon to have them. */
static uint32_t all_spares_with(const struct plan *plan,
				const struct service *s)
{
	uint32_t count = 0;

	for (guint i = 0; i < plan->p->domain_list->len; i++) {
		const struct domain *d = plan->p->domain_list->pdata[i];

		for (guint j = 0; j < d->vms->len; j++) {
			const struct vm *vm = d->vms->pdata[j];

			if (vm->holder || !vm->alive || vm->leaving)
				continue;
			count += model_has(vm, s->weights) ||
				 (vm->preloading &&
				  vm->preload_weights == s->weights);
		}
	}
	return count;
}

static uint32_t spares_with(const struct plan *plan, const struct domain *d,
			    const struct service *s)
{
	uint32_t count = 0;

	for (guint i = 0; i < d->vms->len; i++) {
		const struct vm *vm = d->vms->pdata[i];

		count += (model_usable(plan->p, vm, s, plan->now_ms) &&
			  model_has(vm, s->weights)) ||
			 (vm->preloading && !vm->holder &&
			  vm->preload_weights == s->weights);
	}
	return count;
}

/*
 * The service that gains most by one more spare of its weights here: what its
 * replicas in the domain would lose, over the spares that stand by already.
 */
static struct service *wants_spare(const struct plan *plan,
				   const struct domain *d, const struct vm *vm)
{
	struct service *best = NULL;
	double best_gain = 0;

	for (guint i = 0; i < plan->p->service_list->len; i++) {
		struct service *s = plan->p->service_list->pdata[i];
		uint32_t replicas = s->removed ? 0 : model_replicas_in(d, s);
		double gain;

		if (!replicas || !s->weights ||
		    !model_usable(plan->p, vm, s, plan->now_ms))
			continue;
		/* Larger replicas are hit more often. */
		gain = (double)replicas * s->vms_per_replica *
		       s->downtime_weight / (1 + spares_with(plan, d, s));
		/* Spares elsewhere help too: replicas move whole. */
		if (plan->p->opts.load_first)
			gain *= (double)s->replicas->len * s->vms_per_replica /
				(1 + all_spares_with(plan, s));
		if (gain > best_gain) {
			best = s;
			best_gain = gain;
		}
	}
	return best;
}

static uint32_t preloads_running(const struct plan *plan)
{
	uint32_t count = 0;

	for (guint i = 0; i < plan->p->domain_list->len; i++) {
		const struct domain *d = plan->p->domain_list->pdata[i];

		for (guint j = 0; j < d->vms->len; j++)
			count += ((struct vm *)d->vms->pdata[j])->preloading;
	}
	return count;
}

/* Whether a spare need not load anything for now. */
static bool is_useful(const struct plan *plan, const struct domain *d,
		      const struct vm *vm)
{
	if (!plan->p->opts.stage_all)
		return pick_stands_by(plan, d, vm);
	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (!s->removed && s->weights && model_has(vm, s->weights))
			return true;
	}
	return false;
}

static void preload_in(struct plan *plan, struct domain *d, uint32_t *budget)
{
	for (guint i = 0; i < d->vms->len && *budget; i++) {
		struct vm *vm = d->vms->pdata[i];
		struct pick pick = { .vms = { vm }, .count = 1 };
		struct service *s;

		if (vm->taken || vm->holder || vm->preloading || !vm->alive ||
		    vm->leaving || is_useful(plan, d, vm))
			continue;
		s = wants_spare(plan, d, vm);
		if (!s)
			continue;
		(*budget)--;
		plan_take(plan, vm);
		plan_tell(plan, PLACEMENT_PRELOAD, s, NULL, &pick,
			  "spare of domain %s, which has %u replicas of it",
			  d->name, model_replicas_in(d, s));
	}
}

/* ---- weights of other models, for VMs that have some in memory ---- */

/* Repairs that must load weights find the store free for so many VMs. */
#define STORE_RESERVE 2

/* The service of a VM's pool with most replicas whose weights it lacks. */
static const struct service *lacks(const struct plan *plan, const struct vm *vm)
{
	const struct service *best = NULL;

	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (s->removed || !s->weights || model_has(vm, s->weights) ||
		    (*s->pool && g_strcmp0(s->pool, vm->pool) != 0))
			continue;
		if (!best || s->wanted * s->vms_per_replica >
				     best->wanted * best->vms_per_replica)
			best = s;
	}
	return best;
}

static bool may_stage(const struct vm *vm, bool held)
{
	return vm->alive && !vm->leaving && !vm->taken && !vm->preloading &&
	       !vm->releasing && vm->weights && !vm->holder == !held;
}

static void stage_in(struct plan *plan, const struct domain *d, bool held,
		     uint32_t *budget)
{
	for (guint i = 0; i < d->vms->len && *budget; i++) {
		struct vm *vm = d->vms->pdata[i];
		struct pick pick = { .vms = { vm }, .count = 1 };
		const struct service *s;

		if (!may_stage(vm, held))
			continue;
		s = lacks(plan, vm);
		if (!s)
			continue;
		(*budget)--;
		plan_tell(plan, PLACEMENT_PRELOAD, s, NULL, &pick,
			  "to its disk, so that the VM can serve either");
	}
}

/*
 * With the weights of one model in memory and those of another on its disk a
 * VM replaces any that is lost at once. Spares get them first.
 */
static void stage_others(struct plan *plan, uint32_t budget)
{
	budget -= MIN(budget, STORE_RESERVE);
	for (int held = 0; held <= 1; held++)
		for (guint i = 0; i < plan->p->domain_list->len && budget; i++)
			stage_in(plan, plan->p->domain_list->pdata[i], held,
				 &budget);
}

/* Uses what the weight store has left once all replicas have theirs. */
void plan_preload(struct plan *plan)
{
	uint32_t used = plan->loading + preloads_running(plan);
	uint32_t budget = plan->p->opts.loads_max;

	budget -= MIN(budget, used);
	if (plan->p->opts.no_preload)
		return;
	for (guint i = 0; i < plan->p->domain_list->len && budget; i++)
		preload_in(plan, plan->p->domain_list->pdata[i], &budget);
	if (plan->p->opts.stage_all)
		stage_others(plan, budget);
}
