/* How many replicas each model of a pool is to have. */
#include <string.h>

#include "control/placer_internal.h"

/* Of a pool's VMs: kept free so that a lost VM is replaced at once. */
#define SPARE_PERMILLE 250

/** The replicas that a service could have of its pool. */
struct share {
	uint32_t with_spares; /* if some VMs are kept free */
	uint32_t at_most;     /* if all are used */
};

struct pool {
	struct placer *placer;
	const char *name;
	GArray *parts;	     /* of struct division_part */
	GPtrArray *services; /* of const struct service_state, in that order */
	GHashTable *domains; /* name -> count of usable VMs */
};

static void add_part(void *ctx, const struct service_state *service)
{
	struct pool *pool = ctx;
	struct division_part part = {
		.work = (double)service->spec.share_permille /
			MAX(service->spec.vms_per_replica, 1),
		.vms_per_replica = service->spec.vms_per_replica,
	};

	if (!service->spec.share_permille ||
	    strcmp(service->spec.pool, pool->name) != 0)
		return;
	g_array_append_val(pool->parts, part);
	g_ptr_array_add(pool->services, (gpointer)service);
}

static void add_domain(void *ctx, const struct view_vm *vm)
{
	struct pool *pool = ctx;
	guint count;

	if (strcmp(vm->report.pool, pool->name) != 0 || vm->report.leaving ||
	    !view_alive(pool->placer->control->view, vm,
			placer_now_ms(pool->placer)))
		return;
	count = GPOINTER_TO_UINT(
		g_hash_table_lookup(pool->domains, vm->report.domain));
	g_hash_table_insert(pool->domains, vm->report.domain,
			    GUINT_TO_POINTER(count + 1));
}

static GArray *domain_sizes(const struct pool *pool)
{
	GArray *vms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint32_t count = GPOINTER_TO_UINT(value);

		g_array_append_val(vms, count);
	}
	return vms;
}

static const struct division_part *part_at(const GArray *parts, guint i)
{
	return &g_array_index(parts, struct division_part, i);
}

/* Notes the shares of all services of a pool. */
static void divide(struct placer *placer, const char *name)
{
	struct pool pool = {
		.placer = placer,
		.name = name,
		.parts = g_array_new(FALSE, TRUE, sizeof(struct division_part)),
		.services = g_ptr_array_new(),
		.domains = g_hash_table_new(g_str_hash, g_str_equal),
	};
	GArray *vms, *all;

	state_each_service(placer_state(placer), add_part, &pool);
	view_each(placer->control->view, add_domain, &pool);
	vms = domain_sizes(&pool);
	all = g_array_copy(pool.parts);
	placement_divide((struct division_part *)pool.parts->data,
			 pool.parts->len, (const uint32_t *)vms->data, vms->len,
			 SPARE_PERMILLE);
	placement_divide((struct division_part *)all->data, all->len,
			 (const uint32_t *)vms->data, vms->len, 0);
	for (guint i = 0; i < pool.services->len; i++) {
		const struct service_state *service = pool.services->pdata[i];
		struct share share = {
			part_at(pool.parts, i)->replicas,
			part_at(all, i)->replicas,
		};

		g_hash_table_insert(placer->shares, service->name,
				    g_memdup2(&share, sizeof(share)));
	}
	g_array_unref(all);
	g_array_unref(vms);
	g_array_unref(pool.parts);
	g_ptr_array_unref(pool.services);
	g_hash_table_unref(pool.domains);
}

static const struct share *find_share(struct placer *placer,
				      const struct service_state *service)
{
	const struct share *share = g_hash_table_lookup(placer->shares,
							service->name);

	if (share)
		return share;
	divide(placer, service->spec.pool);
	return g_hash_table_lookup(placer->shares, service->name);
}

struct replica_count {
	const char *service;
	uint32_t count;
};

static void count_replica(void *ctx, const struct replica_state *replica)
{
	struct replica_count *c = ctx;

	c->count += !strcmp(replica->assign.service, c->service);
}

static uint32_t count_replicas(const struct placer *placer, const char *service)
{
	struct replica_count c = { service, 0 };

	state_each_replica(placer_state(placer), count_replica, &c);
	return c.count;
}

/*
 * The replicas wanted of a service that has a share of its pool. Spares are
 * there to be used: as VMs get lost the number stays until it no longer fits
 * at all, and it grows only where spares are left.
 */
uint32_t placer_share(struct placer *placer,
		      const struct service_state *service)
{
	const struct share *share = find_share(placer, service);
	gpointer known;
	uint32_t wanted;

	/* A new leader goes on with what there is. */
	if (g_hash_table_lookup_extended(placer->wanted, service->name, NULL,
					 &known))
		wanted = GPOINTER_TO_UINT(known);
	else
		wanted = count_replicas(placer, service->name);

	wanted = MAX(wanted, share->with_spares);
	wanted = MIN(wanted, share->at_most);
	g_hash_table_replace(placer->wanted, g_strdup(service->name),
			     GUINT_TO_POINTER(wanted));
	return wanted;
}

void placer_forget_shares(struct placer *placer)
{
	g_hash_table_remove_all(placer->shares);
}
