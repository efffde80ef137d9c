/*
 * Target replica counts of the services that share a pool, from the measured
 * demand and the time to first token that the engine model predicts for it.
 */
#include <math.h>
#include <string.h>

#include <radishdeal/engine.h>

#include "control/feed.h"
#include "control/placer_internal.h"

#define PERMILLE 1000
#define MS_PER_KS 1e6
/* Share of a pool's VMs kept free, so that a lost VM is replaced at once. */
#define SPARE_PERMILLE 170
/* Assumed utilization of a pool before any request was measured. */
#define INITIAL_UTILIZATION 0.6
/* Factor on measured demand, to cover its peaks and losses of VMs. */
#define DEMAND_MARGIN 1.5
/* VMs change their model only if the highest cost falls to this fraction. */
#define REALLOCATION_RATIO 0.75
/* A pool too small for its targets is reallocated after this time. */
#define SHORTAGE_DELAY_MS 6000

/** A service that shares a pool. */
struct pool_service {
	const struct service_state *service;
	struct engine_load load; /* of all its replicas together */
	uint32_t target;
};

struct pool {
	struct placer *placer;
	const char *name;
	GArray *services;    /* of struct pool_service */
	GHashTable *domains; /* name -> count of usable VMs */
	GArray *domain_vms;  /* of uint32_t: the counts in `domains` */
	uint32_t vms;
};

static struct pool_service *service_at(const struct pool *pool, guint i)
{
	return &g_array_index(pool->services, struct pool_service, i);
}

/* ---- services and VMs of a pool ---- */

static void add_service(void *ctx, const struct service_state *service)
{
	struct pool *pool = ctx;
	struct pool_service ps = { .service = service };

	if (!service->spec.share_permille ||
	    strcmp(service->spec.pool, pool->name) != 0)
		return;
	g_array_append_val(pool->services, ps);
}

static void count_vm(void *ctx, const struct view_vm *vm)
{
	struct pool *pool = ctx;
	guint count;

	if (strcmp(vm->report.pool, pool->name) != 0 || vm->report.leaving ||
	    !placer_is_alive(pool->placer, vm))
		return;
	count = GPOINTER_TO_UINT(
		g_hash_table_lookup(pool->domains, vm->report.domain));
	g_hash_table_insert(pool->domains, vm->report.domain,
			    GUINT_TO_POINTER(count + 1));
	pool->vms++;
}

static void list_domain_vms(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint32_t count = GPOINTER_TO_UINT(value);

		g_array_append_val(pool->domain_vms, count);
	}
}

/* ---- load of the services ---- */

/* The configured shares are shares of the VMs' time. */
static void set_configured_load(const struct pool *pool,
				struct pool_service *ps)
{
	const struct service_spec *spec = &ps->service->spec;
	double vms = (double)spec->share_permille / PERMILLE * pool->vms;
	struct engine_load unit_load = {
		.requests_per_ms = 1,
		.prompt_tokens = spec->engine.mean_prompt_tokens,
		.answer_tokens = spec->engine.mean_output_tokens,
	};
	double unit_utilization = engine_utilization(&spec->engine, &unit_load,
						     spec->slots_per_replica);

	ps->load = unit_load;
	ps->load.requests_per_ms = 0;
	if (unit_utilization > 0)
		ps->load.requests_per_ms = INITIAL_UTILIZATION * vms /
					   spec->vms_per_replica /
					   unit_utilization;
}

/* Returns whether any demand was measured. */
static bool set_measured_load(const struct pool *pool, struct pool_service *ps)
{
	const struct placer *placer = pool->placer;
	const struct service_spec *spec = &ps->service->spec;
	struct service_demand demand;

	feed_sum_demand(placer->control->feed, placer_now_ms(placer),
			ps->service->name, &demand);
	ps->load = (struct engine_load){
		.requests_per_ms = DEMAND_MARGIN * demand.requests_per_ks /
				   MS_PER_KS,
		.prompt_tokens = demand.prompt_tokens,
		.answer_tokens = spec->engine.mean_output_tokens,
	};
	return demand.requests_per_ks != 0;
}

static void estimate_loads(struct pool *pool)
{
	bool measured = false;

	for (guint i = 0; i < pool->services->len; i++)
		measured |= set_measured_load(pool, service_at(pool, i));
	for (guint i = 0; !measured && i < pool->services->len; i++)
		set_configured_load(pool, service_at(pool, i));
}

/* ---- allocation ---- */

/*
 * Predicted time to first token with this many replicas, in ms; a relative
 * figure where the service has no engine timings.
 */
static double replica_cost(const void *ctx, uint32_t replicas)
{
	const struct pool_service *ps = ctx;
	const struct service_spec *spec = &ps->service->spec;
	struct engine_load per_replica = ps->load;

	/* Without engine timings, the cost is the configured share per VM. */
	if (!engine_has_timings(&spec->engine))
		return (double)spec->share_permille / spec->vms_per_replica /
		       replicas;
	per_replica.requests_per_ms /= replicas;
	return engine_ttft_ms(&spec->engine, &per_replica,
			      spec->slots_per_replica);
}

/* Returns replica counts in the order of pool->services; g_free() them. */
static uint32_t *allocate(const struct pool *pool, uint32_t spare_permille)
{
	guint n = pool->services->len;
	struct pool_share *parts = g_new0(struct pool_share, n + 1);
	uint32_t *counts = g_new0(uint32_t, n + 1);

	for (guint i = 0; i < n; i++) {
		const struct pool_service *ps = service_at(pool, i);

		parts[i].cost = replica_cost;
		parts[i].ctx = ps;
		parts[i].vms_per_replica = ps->service->spec.vms_per_replica;
	}
	placement_divide(parts, n, (const uint32_t *)pool->domain_vms->data,
			 pool->domain_vms->len, spare_permille);
	for (guint i = 0; i < n; i++)
		counts[i] = parts[i].replicas;
	g_free(parts);
	return counts;
}

static double max_cost(const struct pool *pool, const uint32_t *counts)
{
	double worst = 0;

	for (guint i = 0; i < pool->services->len; i++)
		worst = MAX(worst, counts[i] ? replica_cost(service_at(pool, i),
							    counts[i])
					     : HUGE_VAL);
	return worst;
}

/* ---- choice of the targets ---- */

struct replica_count {
	const char *service;
	uint32_t count;
};

static void count_replica(void *ctx, const struct replica_state *replica)
{
	struct replica_count *c = ctx;

	c->count += !strcmp(replica->assign.service, c->service);
}

/* Returns the last target or, on a new leader, the number of replicas. */
static uint32_t current_target(const struct placer *placer, const char *service)
{
	struct replica_count c = { service, 0 };
	gpointer known;

	if (g_hash_table_lookup_extended(placer->target_replicas, service, NULL,
					 &known))
		return GPOINTER_TO_UINT(known);
	state_each_replica(placer_state(placer), count_replica, &c);
	return c.count;
}

static bool fits_pool(const struct pool *pool, const uint32_t *counts)
{
	uint32_t vms = 0;

	for (guint i = 0; i < pool->services->len; i++)
		vms += counts[i] *
		       service_at(pool, i)->service->spec.vms_per_replica;
	return vms <= pool->vms;
}

/*
 * Whether the pool has been too small for SHORTAGE_DELAY_MS; the first call
 * starts the time. VMs lost to a domain outage or a network partition often
 * return within seconds.
 */
static bool is_lasting_shortage(const struct pool *pool)
{
	GHashTable *shortages = pool->placer->short_since_ms;
	int64_t now = placer_now_ms(pool->placer);
	int64_t *since = g_hash_table_lookup(shortages, pool->name);

	if (since)
		return now - *since >= SHORTAGE_DELAY_MS;
	g_hash_table_insert(shortages, g_strdup(pool->name),
			    g_memdup2(&now, sizeof(now)));
	return false;
}

/*
 * Spare VMs cover losses: as VMs are lost, the targets stay until they have not
 * fitted into the pool for SHORTAGE_DELAY_MS; the spare VMs are then allocated
 * too. Targets that fit change only if clients would be served much sooner: if
 * the highest cost falls to REALLOCATION_RATIO of its current value or less.
 */
static void choose_targets(struct pool *pool)
{
	guint n = pool->services->len;
	uint32_t *current = g_new0(uint32_t, n + 1);
	uint32_t *targets = allocate(pool, SPARE_PERMILLE);

	for (guint i = 0; i < n; i++)
		current[i] = current_target(pool->placer,
					    service_at(pool, i)->service->name);
	if (fits_pool(pool, current))
		g_hash_table_remove(pool->placer->short_since_ms, pool->name);
	if (!fits_pool(pool, current) && !is_lasting_shortage(pool)) {
		memcpy(targets, current, n * sizeof(*current));
	} else if (!fits_pool(pool, current)) {
		g_free(targets);
		targets = allocate(pool, 0);
	} else if (max_cost(pool, targets) >
		   REALLOCATION_RATIO * max_cost(pool, current)) {
		memcpy(targets, current, n * sizeof(*current));
	}
	for (guint i = 0; i < n; i++)
		service_at(pool, i)->target = targets[i];
	g_free(targets);
	g_free(current);
}

static void store_targets(const struct pool *pool)
{
	GHashTable *targets = pool->placer->target_replicas;

	for (guint i = 0; i < pool->services->len; i++) {
		const struct pool_service *ps = service_at(pool, i);

		g_hash_table_replace(targets, g_strdup(ps->service->name),
				     GUINT_TO_POINTER(ps->target));
	}
	g_hash_table_add(pool->placer->allocated_pools, g_strdup(pool->name));
}

static void allocate_pool(struct placer *placer, const char *name)
{
	struct pool pool = {
		.placer = placer,
		.name = name,
		.services = g_array_new(FALSE, TRUE,
					sizeof(struct pool_service)),
		.domains = g_hash_table_new(g_str_hash, g_str_equal),
		.domain_vms = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};

	state_each_service(placer_state(placer), add_service, &pool);
	view_each(placer->control->view, count_vm, &pool);
	list_domain_vms(&pool);
	estimate_loads(&pool);
	choose_targets(&pool);
	store_targets(&pool);
	g_array_unref(pool.domain_vms);
	g_hash_table_unref(pool.domains);
	g_array_unref(pool.services);
}

uint32_t placer_target_replicas(struct placer *placer,
				const struct service_state *service)
{
	if (!g_hash_table_contains(placer->allocated_pools, service->spec.pool))
		allocate_pool(placer, service->spec.pool);
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(placer->target_replicas, service->name));
}

void placer_reset_targets(struct placer *placer)
{
	g_hash_table_remove_all(placer->allocated_pools);
}
