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
			count += vm->weights == s->weights ||
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
			  vm->weights == s->weights) ||
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

static void preload_in(struct plan *plan, struct domain *d, uint32_t *budget)
{
	for (guint i = 0; i < d->vms->len && *budget; i++) {
		struct vm *vm = d->vms->pdata[i];
		struct pick pick = { .vms = { vm }, .count = 1 };
		struct service *s;

		if (vm->taken || vm->holder || vm->preloading || !vm->alive ||
		    vm->leaving || pick_stands_by(plan, d, vm))
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
}
