/* Preloading of weights on spare VMs, within the limit of concurrent loads. */
#include "placement/plan.h"

/* Counts the spares of all domains that have or load a service's weights. */
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
			count += model_has_weights(vm, s->weights) ||
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

		count += (model_vm_assignable(plan->p, vm, s, plan->now_ms) &&
			  model_has_weights(vm, s->weights)) ||
			 (vm->preloading && !vm->holder &&
			  vm->preload_weights == s->weights);
	}
	return count;
}

/*
 * Returns the service that gains most from one more spare with its weights in
 * this domain, or NULL. The gain is the weighted number of the service's VMs
 * there, divided by the number of its spares including the new one.
 */
static struct service *service_for_spare(const struct plan *plan,
					 const struct domain *d,
					 const struct vm *vm)
{
	struct service *best = NULL;
	double best_gain = 0;

	for (guint i = 0; i < plan->p->service_list->len; i++) {
		struct service *s = plan->p->service_list->pdata[i];
		uint32_t replicas = s->removed ? 0
					       : model_domain_replicas(d, s);
		double gain;

		if (!replicas || !s->weights ||
		    !model_vm_assignable(plan->p, vm, s, plan->now_ms))
			continue;
		/* Larger replicas lose a VM more often. */
		gain = (double)replicas * s->vms_per_replica *
		       s->downtime_weight / (1 + spares_with(plan, d, s));
		/* Spares elsewhere count too: a repair may move the replica. */
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

/* Whether a spare has weights that make a preload unnecessary. */
static bool is_prepared(const struct plan *plan, const struct domain *d,
			const struct vm *vm)
{
	if (!plan->p->opts.stage_all)
		return pick_is_standby(plan, d, vm);
	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (!s->removed && s->weights &&
		    model_has_weights(vm, s->weights))
			return true;
	}
	return false;
}

static void preload_domain(struct plan *plan, struct domain *d,
			   uint32_t *budget)
{
	for (guint i = 0; i < d->vms->len && *budget; i++) {
		struct vm *vm = d->vms->pdata[i];
		struct pick pick = { .vms = { vm }, .count = 1 };
		struct service *s;

		if (vm->reserved || vm->holder || vm->preloading ||
		    !vm->alive || vm->leaving || is_prepared(plan, d, vm))
			continue;
		s = service_for_spare(plan, d, vm);
		if (!s)
			continue;
		(*budget)--;
		plan_reserve(plan, vm);
		plan_emit(plan, PLACEMENT_PRELOAD, s, NULL, &pick,
			  "spare of domain %s, which has %u "
			  "replicas of this service",
			  d->name, model_domain_replicas(d, s));
	}
}

/* ---- staging of other models' weights on disk ---- */

/* Concurrent loads that staging leaves free for repairs. */
#define STAGING_RESERVE 2

/* Returns the largest service of a VM's pool whose weights it lacks. */
static const struct service *service_to_stage(const struct plan *plan,
					      const struct vm *vm)
{
	const struct service *best = NULL;

	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (s->removed || !s->weights ||
		    model_has_weights(vm, s->weights) ||
		    (*s->pool && g_strcmp0(s->pool, vm->pool) != 0))
			continue;
		if (!best || s->wanted * s->vms_per_replica >
				     best->wanted * best->vms_per_replica)
			best = s;
	}
	return best;
}

static bool may_stage(const struct vm *vm, bool assigned)
{
	return vm->alive && !vm->leaving && !vm->reserved && !vm->preloading &&
	       !vm->releasing && vm->weights && !vm->holder == !assigned;
}

static void stage_domain(struct plan *plan, const struct domain *d,
			 bool assigned, uint32_t *budget)
{
	for (guint i = 0; i < d->vms->len && *budget; i++) {
		struct vm *vm = d->vms->pdata[i];
		struct pick pick = { .vms = { vm }, .count = 1 };
		const struct service *s;

		if (!may_stage(vm, assigned))
			continue;
		s = service_to_stage(plan, vm);
		if (!s)
			continue;
		(*budget)--;
		plan_emit(plan, PLACEMENT_PRELOAD, s, NULL, &pick,
			  "staged on disk, so that the VM can "
			  "serve either model");
	}
}

/*
 * With the weights of one model in memory and those of another on disk, a VM
 * can replace a lost one of either at once. Spares are staged first.
 */
static void stage_weights(struct plan *plan, uint32_t budget)
{
	budget -= MIN(budget, STAGING_RESERVE);
	for (int assigned = 0; assigned <= 1; assigned++)
		for (guint i = 0; i < plan->p->domain_list->len && budget; i++)
			stage_domain(plan, plan->p->domain_list->pdata[i],
				     assigned, &budget);
}

/* Limited to the loads that repairs and new replicas leave of loads_max. */
void plan_preload(struct plan *plan)
{
	uint32_t used = plan->loading + preloads_running(plan);
	uint32_t budget = plan->p->opts.loads_max;

	budget -= MIN(budget, used);
	if (plan->p->opts.no_preload)
		return;
	for (guint i = 0; i < plan->p->domain_list->len && budget; i++)
		preload_domain(plan, plan->p->domain_list->pdata[i], &budget);
	if (plan->p->opts.stage_all)
		stage_weights(plan, budget);
}
