/* Choice of VMs for a replica, by domain and loaded weights. */
#include <string.h>

#include "placement/plan.h"

/*
 * Cost of obtaining the weights; greater than any number of accelerators. VMs
 * that have or load others cost most, as other replicas may need those.
 */
enum {
	PENALTY_ON_DISK = 1 << 15,	 /* has them on disk */
	PENALTY_LOADING = 1 << 16,	 /* is loading them */
	PENALTY_EMPTY = 1 << 17,	 /* has none in memory */
	PENALTY_OTHER_WEIGHTS = 1 << 18, /* has others in memory */
	PENALTY_LOADING_OTHER = 1 << 19, /* is loading others */
};

/* Lowest for VMs with the weights, then with the fewest extra accelerators. */
static int vm_penalty(const struct plan *plan, const struct service *s,
		      const struct vm *vm)
{
	int penalty = (int)(vm->accelerators - s->accelerators_per_vm);

	if (plan->p->opts.ignore_weights || vm->weights == s->weights)
		return penalty;
	if (model_has_weights(vm, s->weights))
		return penalty + PENALTY_ON_DISK;
	if (vm->preloading)
		penalty += vm->preload_weights == s->weights
				   ? PENALTY_LOADING
				   : PENALTY_LOADING_OTHER;
	else
		penalty += vm->weights ? PENALTY_OTHER_WEIGHTS : PENALTY_EMPTY;
	return penalty;
}

bool pick_is_standby(const struct plan *plan, const struct domain *d,
		     const struct vm *vm)
{
	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (!s->removed && vm->weights == s->weights &&
		    model_domain_replicas(d, s))
			return true;
	}
	return false;
}

/*
 * With load_first, which is for slow loads, spares are held back for the
 * services whose weights they have.
 */
static bool is_held_standby(const struct plan *plan, const struct domain *d,
			    const struct service *s, const struct vm *vm)
{
	return plan->p->opts.load_first && vm->weights &&
	       !model_has_weights(vm, s->weights) &&
	       pick_is_standby(plan, d, vm);
}

static bool is_picked(const struct pick *pick, const struct vm *vm)
{
	for (uint32_t i = 0; i < pick->count; i++)
		if (pick->vms[i] == vm)
			return true;
	return false;
}

static struct vm *best_in_domain(const struct plan *plan,
				 const struct domain *d,
				 const struct service *s,
				 const struct pick *pick)
{
	struct vm *best = NULL;

	for (guint i = 0; i < d->vms->len; i++) {
		struct vm *vm = d->vms->pdata[i];

		if (!model_vm_assignable(plan->p, vm, s, plan->now_ms) ||
		    is_picked(pick, vm) || is_held_standby(plan, d, s, vm))
			continue;
		if (!best)
			best = vm;
		else if (!plan->p->opts.first_fit &&
			 vm_penalty(plan, s, vm) < vm_penalty(plan, s, best))
			best = vm;
	}
	return best;
}

static void add_vm(struct pick *pick, const struct service *s, struct vm *vm)
{
	pick->vms[pick->count++] = vm;
	pick->loads += model_has_weights(vm, s->weights) ? 0 : 1;
}

bool pick_from_domain(const struct plan *plan, const struct domain *d,
		      const struct service *s, struct pick *pick)
{
	while (pick->count < s->vms_per_replica) {
		struct vm *vm = best_in_domain(plan, d, s, pick);

		if (!vm)
			return false;
		add_vm(pick, s, vm);
	}
	return true;
}

/*
 * Counts a domain's assignable VMs, and those of them that have the weights,
 * once per plan and service. plan_reserve() keeps the counts current.
 */
static void count_domain(const struct plan *plan, struct domain *d,
			 const struct service *s)
{
	if (d->count_plan == plan->p->plan_count && d->count_service == s)
		return;
	d->count_plan = plan->p->plan_count;
	d->count_service = s;
	d->usable = d->loaded = 0;
	for (guint i = 0; i < d->vms->len; i++) {
		const struct vm *vm = d->vms->pdata[i];

		if (!model_vm_assignable(plan->p, vm, s, plan->now_ms) ||
		    is_held_standby(plan, d, s, vm))
			continue;
		d->usable++;
		d->loaded += model_has_weights(vm, s->weights) ? 1 : 0;
	}
}

/*
 * Chooses the domain with the fewest loads; of several, the one where the
 * fewest VMs would be left over if all were used for such replicas (with the
 * option spread: the one with the most assignable VMs).
 */
bool pick_one_domain(const struct plan *plan, const struct service *s,
		     struct pick *pick)
{
	uint32_t n = s->vms_per_replica;
	bool spread = plan->p->opts.spread;
	uint32_t best_loads = UINT32_MAX, best_leftover = UINT32_MAX;
	struct domain *best = NULL;

	g_assert(n);
	for (guint i = 0; i < plan->p->domain_list->len; i++) {
		struct domain *d = plan->p->domain_list->pdata[i];
		uint32_t loads, leftover;

		count_domain(plan, d, s);
		if (d->usable < n)
			continue;
		loads = plan->p->opts.ignore_weights ? n
						     : n - MIN(n, d->loaded);
		leftover = spread ? UINT32_MAX - d->usable : d->usable % n;
		if (best && (loads > best_loads || (loads == best_loads &&
						    leftover >= best_leftover)))
			continue;
		best = d;
		best_loads = loads;
		best_leftover = leftover;
		if (plan->p->opts.first_fit)
			break;
	}
	memset(pick, 0, sizeof(*pick));
	return best && pick_from_domain(plan, best, s, pick);
}

bool pick_across_domains(const struct plan *plan, const struct service *s,
			 struct pick *pick)
{
	const char *centre = NULL;

	if (pick->count) {
		const struct domain *main_domain = pick->vms[0]->domain;

		g_assert(main_domain);
		centre = main_domain->data_centre;
	}
	for (int same_centre = 1; same_centre >= 0; same_centre--) {
		for (guint i = 0; i < plan->p->domain_list->len; i++) {
			const struct domain *d = plan->p->domain_list->pdata[i];

			if (same_centre && centre &&
			    strcmp(centre, d->data_centre) != 0)
				continue;
			if (pick_from_domain(plan, d, s, pick))
				return true;
			if (!centre && pick->count)
				centre = d->data_centre;
		}
	}
	return false;
}

void pick_add_survivors(const struct replica *r, struct pick *pick)
{
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (model_vm_available(r->vms[i]) && !r->vms[i]->straggling)
			add_vm(pick, r->service, r->vms[i]);
}

const struct domain *pick_main_domain(const struct pick *survivors)
{
	const struct domain *best = NULL;
	uint32_t best_count = 0;

	for (uint32_t i = 0; i < survivors->count; i++) {
		uint32_t count = 0;

		for (uint32_t j = 0; j < survivors->count; j++)
			count += survivors->vms[i]->domain ==
				 survivors->vms[j]->domain;
		if (count > best_count) {
			best = survivors->vms[i]->domain;
			best_count = count;
		}
	}
	return best;
}
