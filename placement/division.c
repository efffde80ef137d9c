/* How a pool of VMs is divided between the models that it serves. */
#include <math.h>
#include <string.h>

#include <radishdeal/placement.h>

#define PERMILLE 1000u

struct division {
	struct pool_share *parts;
	uint32_t part_count;
	uint32_t *room; /* VMs left in each domain */
	uint32_t domain_count;
	uint32_t budget; /* VMs that may still be used */
};

/* Puts one replica into the domain with the most room; false if none fits. */
static bool place_one(struct division *d, struct pool_share *part)
{
	uint32_t size = part->vms_per_replica;
	uint32_t best = 0;

	if (!size || d->budget < size || !d->domain_count)
		return false;
	for (uint32_t i = 1; i < d->domain_count; i++)
		if (d->room[i] > d->room[best])
			best = i;
	if (d->room[best] < size)
		return false;
	d->room[best] -= size;
	d->budget -= size;
	part->replicas++;
	return true;
}

static double cost(const struct pool_share *part)
{
	return part->replicas ? part->cost(part->ctx, part->replicas)
			      : HUGE_VAL;
}

/* Large replicas first: what is left of a domain still holds small ones. */
static bool goes_before(const struct pool_share *x, const struct pool_share *y)
{
	if (cost(x) != cost(y))
		return cost(x) > cost(y);
	return x->vms_per_replica > y->vms_per_replica;
}

static struct pool_share *next_part(const struct division *d, const bool *full)
{
	struct pool_share *best = NULL;

	for (uint32_t i = 0; i < d->part_count; i++) {
		struct pool_share *part = &d->parts[i];

		if (full[i])
			continue;
		if (!best || goes_before(part, best))
			best = part;
	}
	return best;
}

static void place_all(struct division *d)
{
	bool *full = g_new0(bool, d->part_count + 1);
	struct pool_share *part;

	while ((part = next_part(d, full)))
		if (!place_one(d, part))
			full[part - d->parts] = true;
	g_free(full);
}

void placement_divide(struct pool_share *parts, uint32_t part_count,
		      const uint32_t *domain_vms, uint32_t domain_count,
		      uint32_t spare_permille)
{
	struct division d = {
		.parts = parts,
		.part_count = part_count,
		.room = g_memdup2(domain_vms,
				  domain_count * sizeof(*domain_vms)),
		.domain_count = domain_count,
	};
	uint32_t vms = 0;

	for (uint32_t i = 0; i < domain_count; i++)
		vms += domain_vms[i];
	d.budget = vms - vms * spare_permille / PERMILLE;
	for (uint32_t i = 0; i < part_count; i++)
		parts[i].replicas = 0;
	place_all(&d);
	g_free(d.room);
}
