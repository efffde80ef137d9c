/*
 * Simulates routing in virtual time and compares it with baseline policies:
 * several entries dispatch to replicas with continuous batching and prefix
 * caches.
 * usage: bench_routing [SEED]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <radishdeal/admission.h>
#include <radishdeal/router.h>

#include "bench/meter.h"

#define ENTRIES 4
#define REPLICAS 48
#define DOMAINS 6
#define SLOTS 16
#define STEP_US 20000
#define FULL_BATCH_SLOWDOWN 0.3
#define PREFILL_US 60
#define PREFIX_BLOCK_TOKENS 64
#define CACHE_BLOCKS 600
#define CONVERSATIONS 900
#define DURATION_MS 60000
#define WARMUP_MS 10000
#define DEADLINE_MS 10000
#define REPORT_MS 400
#define ACCOUNTS 5

struct request {
	struct admission_ticket ticket;
	struct router_request route;
	int entry, account;
	int64_t arrived_us, dispatched_us, first_token_us;
	uint32_t remaining, output;
	uint32_t replica;
	int64_t prefill_done_us;
	int64_t sample_start_us;
	uint32_t sampled_tokens;
};

struct engine {
	GPtrArray *running; /* of struct request */
	GPtrArray *waiting;
	GHashTable *cache; /* set of prefix blocks */
	GQueue cache_order;
	int64_t next_step_us;
	double slowdown;
	bool down;
};

struct entry {
	struct router *router;
	struct admission *admission;
};

struct totals {
	double *ttft_ms;
	int count, arrived, rejected, missed_deadline, interrupted;
	double tokens_in_time;
	uint64_t prompt_tokens, cached_tokens;
	double idle_slot_ms; /* free slots that queued requests could use */
	double served_tokens[ACCOUNTS];
};

struct simulation {
	GRand *random;
	struct engine engines[REPLICAS];
	struct entry entries[ENTRIES];
	int64_t now_us;
	double rate_s; /* arrivals per second */
	int64_t next_arrival_us;
	uint32_t turns[CONVERSATIONS];
	bool faults;
	struct totals totals;
};

/* ---- policies ---- */

static double cost_random(void *ctx, const struct router_replica *r,
			  const struct router_request *request)
{
	(void)ctx;
	(void)r;
	(void)request;
	return 0;
}

/* Round robin: the replica least recently used by this entry. */
static double cost_round_robin(void *ctx, const struct router_replica *r,
			       const struct router_request *request)
{
	(void)ctx;
	(void)request;
	return (double)r->probed_ms;
}

static double cost_outstanding(void *ctx, const struct router_replica *r,
			       const struct router_request *request)
{
	(void)ctx;
	(void)request;
	return r->outstanding + r->other_requests;
}

/* The replica that the first prefix block of a request hashes to. */
static double cost_prefix(void *ctx, const struct router_replica *r,
			  const struct router_request *request)
{
	(void)ctx;
	return (double)((request->prefix[0] * 2654435761u + r->id * 40503u) %
			1000003);
}

static const struct router_policy policies[] = {
	{ .name = "random", .cost = cost_random },
	{ .name = "round robin", .cost = cost_round_robin },
	{ .name = "least outstanding", .cost = cost_outstanding },
	{ .name = "two choices", .cost = cost_outstanding, .sample = 2 },
	{ .name = "prefix hash only", .cost = cost_prefix },
};

/* ---- arrivals ---- */

static void make_request(struct simulation *sim, struct router_request *route)
{
	uint32_t c = (uint32_t)g_rand_int_range(sim->random, 0, CONVERSATIONS);
	uint32_t blocks = MIN(4 + sim->turns[c] * 3, ROUTER_PREFIX_MAX);

	sim->turns[c] = (sim->turns[c] + 1) % 12;
	memset(route, 0, sizeof(*route));
	route->prefix_tokens = PREFIX_BLOCK_TOKENS;
	route->prefix_count = blocks;
	route->prompt_tokens = blocks * PREFIX_BLOCK_TOKENS + 40;
	for (uint32_t i = 0; i < blocks; i++)
		/* The first block is a system prompt, shared by many. */
		route->prefix[i] = i ? c * 1000 + i : c % 8;
	route->output_tokens =
		(uint32_t)(20 -
			   log(g_rand_double_range(sim->random, 1e-9, 1)) * 80);
	route->output_tokens = MIN(route->output_tokens, 600);
}

/* Service time that an entry expects for a request after dispatch. */
static int64_t expected_service_ms(const struct router_request *route)
{
	return (int64_t)(route->prompt_tokens * PREFILL_US +
			 route->output_tokens * STEP_US *
				 (1 + FULL_BATCH_SLOWDOWN)) /
	       1000;
}

static void add_arrival(struct simulation *sim)
{
	struct request *r = g_new0(struct request, 1);
	int64_t now_ms = sim->now_us / 1000, retry_ms;
	static const char *const names[ACCOUNTS] = { "a", "b", "c", "d", "e" };
	/* The first account sends as much as all others together. */
	bool is_largest_account = g_rand_boolean(sim->random);

	make_request(sim, &r->route);
	r->entry = g_rand_int_range(sim->random, 0, ENTRIES);
	r->account = is_largest_account
			     ? 0
			     : g_rand_int_range(sim->random, 1, ACCOUNTS);
	r->arrived_us = sim->now_us;
	r->output = r->remaining = r->route.output_tokens;
	r->ticket.ctx = r;
	if (now_ms > WARMUP_MS)
		sim->totals.arrived++;
	if (!admission_enqueue(
		    sim->entries[r->entry].admission, now_ms, &r->ticket,
		    names[r->account],
		    r->route.prompt_tokens * 0.1 + r->route.output_tokens,
		    now_ms + DEADLINE_MS - expected_service_ms(&r->route),
		    &retry_ms))
		return;
	if (now_ms > WARMUP_MS)
		sim->totals.rejected++;
	g_free(r);
}

/* ---- engines ---- */

static uint32_t cache_prompt(struct engine *e, const struct request *r)
{
	uint32_t hit = 0;

	while (hit < r->route.prefix_count &&
	       g_hash_table_contains(e->cache, &r->route.prefix[hit]))
		hit++;
	for (uint32_t i = 0; i < r->route.prefix_count; i++) {
		uint64_t *block;

		if (g_hash_table_contains(e->cache, &r->route.prefix[i]))
			continue;
		block = g_memdup2(&r->route.prefix[i], sizeof(*block));
		g_hash_table_add(e->cache, block);
		g_queue_push_tail(&e->cache_order, block);
		if (e->cache_order.length > CACHE_BLOCKS)
			g_hash_table_remove(e->cache,
					    g_queue_pop_head(&e->cache_order));
	}
	return hit * PREFIX_BLOCK_TOKENS;
}

static void start_request(struct simulation *sim, struct engine *e,
			  struct request *r)
{
	uint32_t cached = cache_prompt(e, r);

	r->prefill_done_us = sim->now_us +
			     (int64_t)(r->route.prompt_tokens - cached) *
				     PREFILL_US;
	if (r->arrived_us / 1000 > WARMUP_MS) {
		sim->totals.prompt_tokens += r->route.prompt_tokens;
		sim->totals.cached_tokens += cached;
	}
	g_ptr_array_add(e->running, r);
}

static void finish_request(struct simulation *sim, struct request *r,
			   bool completed)
{
	struct entry *entry = &sim->entries[r->entry];
	bool counted = r->arrived_us / 1000 > WARMUP_MS;
	bool in_time = sim->now_us - r->arrived_us <=
		       (int64_t)DEADLINE_MS * 1000;

	router_done(entry->router, r->replica, 1,
		    r->route.output_tokens - (r->output - r->remaining));
	admission_finish(entry->admission, sim->now_us / 1000, &r->ticket,
			 r->route.prompt_tokens * 0.1 + r->output -
				 r->remaining);
	if (counted && !completed)
		sim->totals.interrupted++;
	else if (counted && !in_time)
		sim->totals.missed_deadline++;
	else if (counted)
		sim->totals.tokens_in_time += r->output;
	if (counted && completed)
		sim->totals.served_tokens[r->account] += r->output;
	g_free(r);
}

static void emit_token(struct simulation *sim, struct request *r)
{
	struct entry *entry = &sim->entries[r->entry];

	if (r->remaining == r->output) {
		r->first_token_us = sim->now_us;
		r->sample_start_us = sim->now_us;
		if (r->arrived_us / 1000 > WARMUP_MS)
			sim->totals.ttft_ms[sim->totals.count++] =
				(double)(sim->now_us - r->arrived_us) / 1000;
		router_add_prefill_sample(entry->router, r->replica,
					  r->route.prompt_tokens,
					  sim->now_us - r->dispatched_us);
	} else if (++r->sampled_tokens == 16) {
		router_add_step_sample(entry->router, r->replica,
				       sim->now_us / 1000, 16,
				       sim->now_us - r->sample_start_us);
		r->sampled_tokens = 0;
		r->sample_start_us = sim->now_us;
	}
	r->remaining--;
	router_progress(entry->router, r->replica, 1);
}

static void run_engine_step(struct simulation *sim, struct engine *e)
{
	double us;

	while (e->running->len < SLOTS && e->waiting->len)
		start_request(sim, e, g_ptr_array_steal_index(e->waiting, 0));
	for (guint i = e->running->len; i > 0; i--) {
		struct request *r = e->running->pdata[i - 1];

		if (r->prefill_done_us > sim->now_us)
			continue;
		emit_token(sim, r);
		if (r->remaining)
			continue;
		g_ptr_array_remove_index_fast(e->running, i - 1);
		finish_request(sim, r, true);
	}
	us = STEP_US * e->slowdown *
	     (1 + FULL_BATCH_SLOWDOWN * e->running->len / SLOTS);
	e->next_step_us = sim->now_us + (int64_t)us;
}

static void set_engine_down(struct simulation *sim, struct engine *e, bool down)
{
	e->down = down;
	while (down && e->running->len)
		finish_request(sim, g_ptr_array_steal_index_fast(e->running, 0),
			       false);
	while (down && e->waiting->len)
		finish_request(sim, g_ptr_array_steal_index_fast(e->waiting, 0),
			       false);
	for (int i = 0; i < ENTRIES; i++)
		router_set_health(sim->entries[i].router,
				  (uint32_t)(e - sim->engines) + 1,
				  down ? 0 : INT64_MAX, "vm-silent");
}

/* ---- entries ---- */

static void dispatch_queued(struct simulation *sim, int index)
{
	struct entry *entry = &sim->entries[index];
	struct admission_ticket *ticket;

	while ((ticket = admission_pop_expired(entry->admission,
					       sim->now_us / 1000))) {
		struct request *r = ticket->ctx;

		if (r->arrived_us / 1000 > WARMUP_MS)
			sim->totals.rejected++;
		g_free(r);
	}
	while ((ticket = admission_peek(entry->admission,
					sim->now_us / 1000))) {
		struct request *r = ticket->ctx;
		struct router_choice c;

		router_choose(entry->router, sim->now_us / 1000,
			      ROUTER_FILL_FREE_SLOT, &r->route, &c);
		if (!c.replica)
			return;
		admission_dequeue(entry->admission, ticket);
		router_sent(entry->router, c.replica, sim->now_us / 1000,
			    &r->route);
		r->replica = c.replica;
		r->dispatched_us = sim->now_us;
		g_ptr_array_add(sim->engines[c.replica - 1].waiting, r);
		if (!sim->engines[c.replica - 1].next_step_us)
			sim->engines[c.replica - 1].next_step_us = sim->now_us;
	}
}

static void report_loads(struct simulation *sim)
{
	for (int i = 0; i < REPLICAS; i++)
		for (int j = 0; j < ENTRIES; j++)
			router_set_load(sim->entries[j].router, (uint32_t)i + 1,
					sim->engines[i].running->len +
						sim->engines[i].waiting->len,
					0);
}

static void add_idle_time(struct simulation *sim, double ms)
{
	uint32_t waiting = 0, idle = 0;

	for (int i = 0; i < ENTRIES; i++)
		waiting += admission_waiting(sim->entries[i].admission);
	for (int i = 0; i < REPLICAS; i++)
		if (!sim->engines[i].down)
			idle += SLOTS -
				MIN(SLOTS, sim->engines[i].running->len);
	sim->totals.idle_slot_ms += MIN(waiting, idle) * ms;
}

/* ---- simulation loop ---- */

static void init_simulation(struct simulation *sim,
			    const struct router_policy *policy, double load,
			    bool faults, uint32_t seed)
{
	/* For 100 output and 700 uncached prompt tokens at a full batch. */
	double capacity = REPLICAS * SLOTS /
			  (100 * STEP_US / 1e6 * (1 + FULL_BATCH_SLOWDOWN) +
			   700 * PREFILL_US / 1e6);

	memset(sim, 0, sizeof(*sim));
	sim->random = g_rand_new_with_seed(seed);
	sim->rate_s = capacity * load;
	sim->faults = faults;
	sim->now_us = 1000;
	sim->next_arrival_us = 1000;
	sim->totals.ttft_ms = g_new(double,
				    (gsize)(sim->rate_s * DURATION_MS / 500));
	for (int i = 0; i < REPLICAS; i++) {
		struct engine *e = &sim->engines[i];

		e->running = g_ptr_array_new();
		e->waiting = g_ptr_array_new();
		e->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
		g_queue_init(&e->cache_order);
		e->slowdown = faults && i == 7 ? 4 : 1;
	}
	for (int i = 0; i < ENTRIES; i++) {
		struct router_opts opts = { .seed = seed + (uint32_t)i,
					    .entry = (uint32_t)i + 1,
					    .prefix_max = CACHE_BLOCKS,
					    .policy = policy };

		sim->entries[i].router = router_create(&opts);
		sim->entries[i].admission = admission_create();
		for (uint32_t j = 1; j <= REPLICAS; j++) {
			router_put(sim->entries[i].router, j, 1, SLOTS, "x:1");
			router_set_health(sim->entries[i].router, j, INT64_MAX,
					  "whole");
		}
	}
}

static void clear_simulation(struct simulation *sim)
{
	for (int i = 0; i < REPLICAS; i++) {
		struct engine *e = &sim->engines[i];

		g_ptr_array_set_free_func(e->running, g_free);
		g_ptr_array_set_free_func(e->waiting, g_free);
		g_ptr_array_unref(e->running);
		g_ptr_array_unref(e->waiting);
		g_queue_clear(&e->cache_order);
		g_hash_table_unref(e->cache);
	}
	for (int i = 0; i < ENTRIES; i++) {
		struct admission_ticket *t;

		while ((t = admission_peek(sim->entries[i].admission,
					   sim->now_us / 1000))) {
			admission_cancel(sim->entries[i].admission, t);
			g_free(t->ctx);
		}
		router_destroy(sim->entries[i].router);
		admission_destroy(sim->entries[i].admission);
	}
	g_rand_free(sim->random);
}

static void set_domain_down(struct simulation *sim, bool down)
{
	for (int i = 0; i < REPLICAS; i += DOMAINS)
		set_engine_down(sim, &sim->engines[i], down);
}

static void run_simulation(struct simulation *sim)
{
	int64_t tick = 2000, next_report = 0;

	for (; sim->now_us < (int64_t)DURATION_MS * 1000; sim->now_us += tick) {
		if (sim->faults && sim->now_us / 1000 == 25000)
			set_domain_down(sim, true);
		if (sim->faults && sim->now_us / 1000 == 45000)
			set_domain_down(sim, false);
		while (sim->next_arrival_us <= sim->now_us) {
			add_arrival(sim);
			sim->next_arrival_us -=
				(int64_t)(log(g_rand_double_range(sim->random,
								  1e-9, 1)) *
					  1e6 / sim->rate_s);
		}
		if (sim->now_us >= next_report) {
			report_loads(sim);
			next_report = sim->now_us + REPORT_MS * 1000;
		}
		for (int i = 0; i < ENTRIES; i++)
			dispatch_queued(sim, i);
		for (int i = 0; i < REPLICAS; i++)
			if (!sim->engines[i].down &&
			    sim->now_us >= sim->engines[i].next_step_us)
				run_engine_step(sim, &sim->engines[i]);
		if (sim->now_us / 1000 > WARMUP_MS)
			add_idle_time(sim, (double)tick / 1000);
	}
}

struct outcome {
	double p50, p95, p99, goodput, hit, idle, rejected, fairness_error;
};

static void measure(const struct router_policy *policy, double load,
		    bool faults, uint32_t seed, struct outcome *o)
{
	static struct simulation sim;
	double seconds = (DURATION_MS - WARMUP_MS) / 1000.0, sum = 0,
	       small_accounts = 0;

	init_simulation(&sim, policy, load, faults, seed);
	run_simulation(&sim);
	o->p50 = meter_percentile(sim.totals.ttft_ms, sim.totals.count, 50);
	o->p95 = meter_percentile(sim.totals.ttft_ms, sim.totals.count, 95);
	o->p99 = meter_percentile(sim.totals.ttft_ms, sim.totals.count, 99);
	o->goodput = sim.totals.tokens_in_time / seconds;
	o->hit = 100.0 * (double)sim.totals.cached_tokens /
		 (double)MAX(1, sim.totals.prompt_tokens);
	o->idle = sim.totals.idle_slot_ms / (DURATION_MS - WARMUP_MS);
	o->rejected = 100.0 * sim.totals.rejected / MAX(1, sim.totals.arrived);
	for (int i = 0; i < ACCOUNTS; i++)
		sum += sim.totals.served_tokens[i];
	for (int i = 1; i < ACCOUNTS; i++)
		small_accounts += sim.totals.served_tokens[i];
	/* Equal weights: under overload each account should get a fifth. */
	o->fairness_error = load > 1 && sum > 0
				    ? fabs(100 * small_accounts / sum - 80)
				    : 0;
	g_free(sim.totals.ttft_ms);
	clear_simulation(&sim);
}

int main(int argc, char **argv)
{
	static const double loads[] = { 0.5, 0.9, 1.5, 3 };
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	double max_overload_goodput = 0, min_overload_goodput = 1e9;
	bool best_p99 = true, best_goodput = true;

	for (int faults = 0; faults < 2; faults++)
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			struct outcome ours = { 0 }, other;

			printf("# load %.1f%s\n", loads[l],
			       faults ? ", straggler and a domain outage" : "");
			printf("# %-18s %8s %8s %8s %9s %6s %7s %7s %7s\n",
			       "policy", "p50 ms", "p95 ms", "p99 ms", "tok/s",
			       "hit %", "idle", "rej %", "unfair");
			for (int p = -1; p < (int)G_N_ELEMENTS(policies); p++) {
				const struct router_policy *policy =
					p < 0 ? &router_policy_cost
					      : &policies[p];
				measure(policy, loads[l], faults, seed, &other);
				printf("# %-18s %8.0f %8.0f %8.0f %9.0f %6.1f "
				       "%7.2f %7.1f %7.1f\n",
				       p < 0 ? "radishdeal" : policy->name,
				       other.p50, other.p95, other.p99,
				       other.goodput, other.hit, other.idle,
				       other.rejected, other.fairness_error);
				if (p < 0)
					ours = other;
				best_p99 &= p < 0 || ours.p99 <= other.p99;
				best_goodput &= p < 0 ||
						ours.goodput >=
							other.goodput * 0.999;
			}
			if (loads[l] > 1 && !faults) {
				max_overload_goodput = MAX(max_overload_goodput,
							   ours.goodput);
				min_overload_goodput = MIN(min_overload_goodput,
							   ours.goodput);
				meter_report("fairness_error",
					     ours.fairness_error, "percent", 5,
					     ours.fairness_error < 5);
			}
			if (loads[l] == 0.9)
				meter_report(faults ? "first_token_p95_dark"
						    : "first_token_p95",
					     ours.p95, "ms", 670,
					     ours.p95 <= 670);
		}
	meter_report("goodput_3x_over_1.5x",
		     min_overload_goodput / max_overload_goodput, "ratio", 0.95,
		     min_overload_goodput / max_overload_goodput >= 0.95);
	meter_report("p99_beats_baselines", best_p99, "of-all", 1, best_p99);
	meter_report("goodput_beats_baselines", best_goodput, "of-all", 1,
		     best_goodput);
	return 0;
}
