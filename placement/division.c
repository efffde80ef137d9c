/* Division of a pool of VMs between models: greedy, highest cost first. */
#include <math.h>
#include <string.h>

#include <radishdeal/placement.h>

#define PERMILLE 1000u

struct division {
	struct pool_share *shares;
	uint32_t share_count;
	uint32_t *free_vms; /* in each domain */
	uint32_t domain_count;
	uint32_t budget; /* VMs that may still be assigned */
};

/*
 * Places one replica in the domain with the most free VMs. Returns false if it
 * does not fit.
 */
static bool place_one(struct division *d, struct pool_share *share)
{
	uint32_t size = share->vms_per_replica;
	uint32_t best = 0;

	if (!size || d->budget < size || !d->domain_count)
		return false;
	for (uint32_t i = 1; i < d->domain_count; i++)
		if (d->free_vms[i] > d->free_vms[best])
			best = i;
	if (d->free_vms[best] < size)
		return false;
	d->free_vms[best] -= size;
	d->budget -= size;
	share->replicas++;
	return true;
}

static double cost(const struct pool_share *share)
{
	return share->replicas ? share->cost(share->ctx, share->replicas)
			       : HUGE_VAL;
}

/* At equal cost larger replicas first: small ones fit into what is left. */
static bool precedes(const struct pool_share *x, const struct pool_share *y)
{
	if (cost(x) != cost(y))
		return cost(x) > cost(y);
	return x->vms_per_replica > y->vms_per_replica;
}

static struct pool_share *next_share(const struct division *d,
				     const bool *does_not_fit)
{
	struct pool_share *best = NULL;

	for (uint32_t i = 0; i < d->share_count; i++) {
		struct pool_share *share = &d->shares[i];

		if (does_not_fit[i])
			continue;
		if (!best || precedes(share, best))
			best = share;
	}
	return best;
}

static void place_all(struct division *d)
{
	bool *does_not_fit = g_new0(bool, d->share_count + 1);
	struct pool_share *share;

	while ((share = next_share(d, does_not_fit)))
		if (!place_one(d, share))
			does_not_fit[share - d->shares] = true;
	g_free(does_not_fit);
}

void placement_divide(struct pool_share *shares, uint32_t share_count,
		      const uint32_t *domain_vms, uint32_t domain_count,
		      uint32_t spare_permille)
{
	struct division d = {
		.shares = shares,
		.share_count = share_count,
		.free_vms = g_memdup2(domain_vms,
				      domain_count * sizeof(*domain_vms)),
		.domain_count = domain_count,
	};
	uint32_t vms = 0;

	for (uint32_t i = 0; i < domain_count; i++)
		vms += domain_vms[i];
	d.budget = vms - vms * spare_permille / PERMILLE;
	for (uint32_t i = 0; i < share_count; i++)
		shares[i].replicas = 0;
	place_all(&d);
	g_free(d.free_vms);
}
