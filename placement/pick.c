/* Finding VMs for a replica: by domain, by the weights they have loaded. */
#include <string.h>

#include "placement/plan.h"

/* How far a VM is from having the weights; above any spare accelerators. */
enum {
	NEAR = 1 << 15,	 /* it has them on its disk */
	SOON = 1 << 16,	 /* it loads them already */
	EMPTY = 1 << 17, /* it has loaded nothing */
	OTHER = 1 << 18, /* it has loaded others, which some replica may want */
	TAKEN = 1 << 19, /* it is loading others */
};

/* Prefers loaded weights, then the VM with the fewest spare accelerators. */
static int preference(const struct plan *plan, const struct service *s,
		      const struct vm *vm)
{
	int points = (int)(vm->accelerators - s->accelerators_per_vm);

	if (plan->p->opts.ignore_weights || vm->weights == s->weights)
		return points;
	if (model_has(vm, s->weights))
		return points + NEAR;
	if (vm->preloading)
		points += vm->preload_weights == s->weights ? SOON : TAKEN;
	else
		points += vm->weights ? OTHER : EMPTY;
	return points;
}

bool pick_stands_by(const struct plan *plan, const struct domain *d,
		    const struct vm *vm)
{
	for (guint i = 0; i < plan->p->service_list->len; i++) {
		const struct service *s = plan->p->service_list->pdata[i];

		if (!s->removed && vm->weights == s->weights &&
		    model_replicas_in(d, s))
			return true;
	}
	return false;
}

/* Where loads take long, spares are kept for the replicas they are for. */
static bool is_kept(const struct plan *plan, const struct domain *d,
		    const struct service *s, const struct vm *vm)
{
	return plan->p->opts.load_first && vm->weights &&
	       !model_has(vm, s->weights) && pick_stands_by(plan, d, vm);
}

static bool picked(const struct pick *pick, const struct vm *vm)
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

		if (!model_usable(plan->p, vm, s, plan->now_ms) ||
		    picked(pick, vm) || is_kept(plan, d, s, vm))
			continue;
		if (!best)
			best = vm;
		else if (!plan->p->opts.first_fit &&
			 preference(plan, s, vm) < preference(plan, s, best))
			best = vm;
	}
	return best;
}

static void add_vm(struct pick *pick, const struct service *s, struct vm *vm)
{
	pick->vms[pick->count++] = vm;
	pick->loads += model_has(vm, s->weights) ? 0 : 1;
}

/* Fills a pick from one domain; false if it has too few. */
bool pick_fill_from(const struct plan *plan, const struct domain *d,
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
 * Counts a domain's usable VMs, and those of them with the weights loaded,
 * once per plan and service; taking a VM keeps the counts.
 */
static void count_domain(const struct plan *plan, struct domain *d,
			 const struct service *s)
{
	if (d->counted_plan == plan->p->plans && d->counted_for == s)
		return;
	d->counted_plan = plan->p->plans;
	d->counted_for = s;
	d->usable = d->loaded = 0;
	for (guint i = 0; i < d->vms->len; i++) {
		const struct vm *vm = d->vms->pdata[i];

		if (!model_usable(plan->p, vm, s, plan->now_ms) ||
		    is_kept(plan, d, s, vm))
			continue;
		d->usable++;
		d->loaded += model_has(vm, s->weights) ? 1 : 0;
	}
}

/*
 * Where to form: the domain with the fewest loads, then the one that leaves
 * the fewest VMs over that fill no further replica.
 */
bool pick_one_domain(const struct plan *plan, const struct service *s,
		     struct pick *pick)
{
	uint32_t n = s->vms_per_replica;
	bool spread = plan->p->opts.spread;
	uint32_t best_loads = UINT32_MAX, best_rest = UINT32_MAX;
	struct domain *best = NULL;

	g_assert(n);
	for (guint i = 0; i < plan->p->domain_list->len; i++) {
		struct domain *d = plan->p->domain_list->pdata[i];
		uint32_t loads, rest;

		count_domain(plan, d, s);
		if (d->usable < n)
			continue;
		loads = plan->p->opts.ignore_weights ? n
						     : n - MIN(n, d->loaded);
		rest = spread ? UINT32_MAX - d->usable : d->usable % n;
		if (best && (loads > best_loads ||
			     (loads == best_loads && rest >= best_rest)))
			continue;
		best = d;
		best_loads = loads;
		best_rest = rest;
		if (plan->p->opts.first_fit)
			break;
	}
	memset(pick, 0, sizeof(*pick));
	return best && pick_fill_from(plan, best, s, pick);
}

/* Across domains: those of one data centre first, the fullest first. */
bool pick_across(const struct plan *plan, const struct service *s,
		 struct pick *pick)
{
	const char *centre = NULL;

	if (pick->count) {
		const struct domain *home = pick->vms[0]->domain;

		g_assert(home);
		centre = home->data_centre;
	}
	for (int same_centre = 1; same_centre >= 0; same_centre--) {
		for (guint i = 0; i < plan->p->domain_list->len; i++) {
			const struct domain *d = plan->p->domain_list->pdata[i];

			if (same_centre && centre &&
			    strcmp(centre, d->data_centre) != 0)
				continue;
			if (pick_fill_from(plan, d, s, pick))
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
		if (model_serving(r->vms[i]) && !r->vms[i]->straggling)
			add_vm(pick, r->service, r->vms[i]);
}

/* The domain that holds most of a replica's survivors. */
const struct domain *pick_home_domain(const struct pick *survivors)
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
