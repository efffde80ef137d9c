/*
 * How many replicas each model of a pool is to have: as many as its callers'
 * demand needs, by what its engine's figures say of the wait.
 */
#include <math.h>
#include <string.h>

#include <radishdeal/engine.h>

#include "control/feed.h"
#include "control/placer_internal.h"

#define PERMILLE 1000
#define MS_PER_KS 1e6
/* Of a pool's VMs: kept free so that a lost VM is replaced at once. */
#define SPARE_PERMILLE 170
/* Of what a pool can carry: taken as its load before any request came. */
#define FIRST_LOAD 0.6
/* Demand is taken for higher than it was, for its waves and for losses. */
#define DEMAND_MARGIN 1.5
/* VMs change their model only for a worst strain below this share of it. */
#define WORTH_MOVING 0.75
/* Too few VMs for longer than this are divided anew. */
#define SHORTAGE_MS 6000

/** A service that shares a pool. */
struct sharer {
	const struct service_state *service;
	struct engine_load load; /* on all its replicas together */
	uint32_t wanted;
};

struct pool {
	struct placer *placer;
	const char *name;
	GArray *sharers;     /* of struct sharer */
	GHashTable *domains; /* name -> count of usable VMs */
	GArray *rooms;	     /* of uint32_t: those counts */
	uint32_t vms;
};

static struct sharer *sharer_at(const struct pool *pool, guint i)
{
	return &g_array_index(pool->sharers, struct sharer, i);
}

/* ---- who shares it ---- */

static void add_sharer(void *ctx, const struct service_state *service)
{
	struct pool *pool = ctx;
	struct sharer sharer = { .service = service };

	if (!service->spec.share_permille ||
	    strcmp(service->spec.pool, pool->name) != 0)
		return;
	g_array_append_val(pool->sharers, sharer);
}

static void add_domain(void *ctx, const struct view_vm *vm)
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

static void find_rooms(struct pool *pool)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		uint32_t count = GPOINTER_TO_UINT(value);

		g_array_append_val(pool->rooms, count);
	}
}

/* ---- what is asked of them ---- */

/* The stated shares are of the VMs' time. */
static void take_stated(const struct pool *pool, struct sharer *sharer)
{
	const struct service_spec *spec = &sharer->service->spec;
	double vms = (double)spec->share_permille / PERMILLE * pool->vms;
	struct engine_load one = {
		.requests_per_ms = 1,
		.prompt_tokens = spec->engine.usual_prompt,
		.answer_tokens = spec->engine.usual_answer,
	};
	double each = engine_utilization(&spec->engine, &one,
					 spec->slots_per_replica);

	sharer->load = one;
	sharer->load.requests_per_ms = 0;
	if (each > 0)
		sharer->load.requests_per_ms = FIRST_LOAD * vms /
					       spec->vms_per_replica / each;
}

/* Returns whether anything was asked of it. */
static bool take_measured(const struct pool *pool, struct sharer *sharer)
{
	const struct placer *placer = pool->placer;
	const struct service_spec *spec = &sharer->service->spec;
	struct service_demand demand;

	feed_sum_demand(placer->control->feed, placer_now_ms(placer),
			sharer->service->name, &demand);
	sharer->load = (struct engine_load){
		.requests_per_ms = DEMAND_MARGIN * demand.requests_per_ks /
				   MS_PER_KS,
		.prompt_tokens = demand.prompt_tokens,
		.answer_tokens = spec->engine.usual_answer,
	};
	return demand.requests_per_ks != 0;
}

static void find_loads(struct pool *pool)
{
	bool any = false;

	for (guint i = 0; i < pool->sharers->len; i++)
		any |= take_measured(pool, sharer_at(pool, i));
	for (guint i = 0; !any && i < pool->sharers->len; i++)
		take_stated(pool, sharer_at(pool, i));
}

/* ---- dividing ---- */

static double strain(const void *ctx, uint32_t replicas)
{
	const struct sharer *sharer = ctx;
	const struct service_spec *spec = &sharer->service->spec;
	struct engine_load each = sharer->load;

	/* Without a word on its engine, by the share of the VMs. */
	if (!engine_is_known(&spec->engine))
		return (double)spec->share_permille / spec->vms_per_replica /
		       replicas;
	each.requests_per_ms /= replicas;
	return engine_first_ms(&spec->engine, &each, spec->slots_per_replica);
}

/* Tells the replicas of each service, in their order. */
static uint32_t *divide(const struct pool *pool, uint32_t spare_permille)
{
	guint n = pool->sharers->len;
	struct division_part *parts = g_new0(struct division_part, n + 1);
	uint32_t *counts = g_new0(uint32_t, n + 1);

	for (guint i = 0; i < n; i++) {
		const struct sharer *sharer = sharer_at(pool, i);

		parts[i].strain = strain;
		parts[i].ctx = sharer;
		parts[i].vms_per_replica =
			sharer->service->spec.vms_per_replica;
	}
	placement_divide(parts, n, (const uint32_t *)pool->rooms->data,
			 pool->rooms->len, spare_permille);
	for (guint i = 0; i < n; i++)
		counts[i] = parts[i].replicas;
	g_free(parts);
	return counts;
}

static double worst_strain(const struct pool *pool, const uint32_t *counts)
{
	double worst = 0;

	for (guint i = 0; i < pool->sharers->len; i++)
		worst = MAX(worst,
			    counts[i] ? strain(sharer_at(pool, i), counts[i])
				      : HUGE_VAL);
	return worst;
}

/* ---- what there is ---- */

struct replica_count {
	const char *service;
	uint32_t count;
};

static void count_replica(void *ctx, const struct replica_state *replica)
{
	struct replica_count *c = ctx;

	c->count += !strcmp(replica->assign.service, c->service);
}

/* A new leader goes on with what there is. */
static uint32_t wanted_before(const struct placer *placer, const char *service)
{
	struct replica_count c = { service, 0 };
	gpointer known;

	if (g_hash_table_lookup_extended(placer->wanted, service, NULL, &known))
		return GPOINTER_TO_UINT(known);
	state_each_replica(placer_state(placer), count_replica, &c);
	return c.count;
}

static bool fits(const struct pool *pool, const uint32_t *counts)
{
	uint32_t vms = 0;

	for (guint i = 0; i < pool->sharers->len; i++)
		vms += counts[i] *
		       sharer_at(pool, i)->service->spec.vms_per_replica;
	return vms <= pool->vms;
}

/*
 * Whether a pool has been too small for long. A domain that goes dark, or VMs
 * that are cut off, often come back within seconds.
 */
static bool is_lasting_shortage(const struct pool *pool)
{
	GHashTable *shortages = pool->placer->shortages;
	int64_t now = placer_now_ms(pool->placer);
	int64_t *since = g_hash_table_lookup(shortages, pool->name);

	if (since)
		return now - *since >= SHORTAGE_MS;
	g_hash_table_insert(shortages, g_strdup(pool->name),
			    g_memdup2(&now, sizeof(now)));
	return false;
}

/*
 * Spares are there to be used: as VMs get lost the numbers stay until they no
 * longer fit at all. They change when callers would be served much sooner.
 */
static void decide(struct pool *pool)
{
	guint n = pool->sharers->len;
	uint32_t *now = g_new0(uint32_t, n + 1);
	uint32_t *wanted = divide(pool, SPARE_PERMILLE);

	for (guint i = 0; i < n; i++)
		now[i] = wanted_before(pool->placer,
				       sharer_at(pool, i)->service->name);
	if (fits(pool, now))
		g_hash_table_remove(pool->placer->shortages, pool->name);
	if (!fits(pool, now) && !is_lasting_shortage(pool)) {
		memcpy(wanted, now, n * sizeof(*now));
	} else if (!fits(pool, now)) {
		g_free(wanted);
		wanted = divide(pool, 0);
	} else if (worst_strain(pool, wanted) >
		   WORTH_MOVING * worst_strain(pool, now)) {
		memcpy(wanted, now, n * sizeof(*now));
	}
	for (guint i = 0; i < n; i++)
		sharer_at(pool, i)->wanted = wanted[i];
	g_free(wanted);
	g_free(now);
}

static void keep(const struct pool *pool)
{
	GHashTable *wanted = pool->placer->wanted;

	for (guint i = 0; i < pool->sharers->len; i++) {
		const struct sharer *sharer = sharer_at(pool, i);

		g_hash_table_replace(wanted, g_strdup(sharer->service->name),
				     GUINT_TO_POINTER(sharer->wanted));
	}
	g_hash_table_add(pool->placer->divided, g_strdup(pool->name));
}

static void divide_pool(struct placer *placer, const char *name)
{
	struct pool pool = {
		.placer = placer,
		.name = name,
		.sharers = g_array_new(FALSE, TRUE, sizeof(struct sharer)),
		.domains = g_hash_table_new(g_str_hash, g_str_equal),
		.rooms = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};

	state_each_service(placer_state(placer), add_sharer, &pool);
	view_each(placer->control->view, add_domain, &pool);
	find_rooms(&pool);
	find_loads(&pool);
	decide(&pool);
	keep(&pool);
	g_array_unref(pool.rooms);
	g_hash_table_unref(pool.domains);
	g_array_unref(pool.sharers);
}

uint32_t placer_share(struct placer *placer,
		      const struct service_state *service)
{
	if (!g_hash_table_contains(placer->divided, service->spec.pool))
		divide_pool(placer, service->spec.pool);
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(placer->wanted, service->name));
}

void placer_forget_shares(struct placer *placer)
{
	g_hash_table_remove_all(placer->divided);
}
