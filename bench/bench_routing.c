/*
 * Routing on the decision cores, in given time: several entries before
 * replicas that batch continuously and cache prefixes, against baselines.
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
#define FULL_SLOWDOWN 0.3
#define PREFILL_US 60
#define PART_TOKENS 64
#define CACHE_PARTS 600
#define CONVERSATIONS 900
#define LENGTH_MS 60000
#define WARM_MS 10000
#define DEADLINE_MS 10000
#define REPORT_MS 400
#define ACCOUNTS 5

struct request {
	struct admission_ticket ticket;
	struct router_request route;
	int entry, account;
	int64_t arrived_us, dispatched_us, first_us;
	uint32_t left, output;
	uint32_t replica;
	int64_t ready_us; /* prompt read */
	int64_t paced_us;
	uint32_t paced;
};

struct engine {
	GPtrArray *running; /* of struct request */
	GPtrArray *waiting;
	GHashTable *cache; /* part -> itself */
	GQueue order;
	int64_t next_step_us;
	double slow;
	bool dark;
};

struct entry {
	struct router *router;
	struct admission *admission;
};

struct totals {
	double *first_ms;
	int count, arrived, refused, late, broken;
	double tokens_in_time;
	uint64_t prompt_tokens, cached_tokens;
	double idle_ms; /* free slots while work waited, per slot */
	double served[ACCOUNTS];
};

struct world {
	GRand *random;
	struct engine engines[REPLICAS];
	struct entry entries[ENTRIES];
	int64_t now_us;
	double rate_s; /* requests a second */
	int64_t next_us;
	uint32_t turns[CONVERSATIONS];
	bool faults;
	struct totals t;
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

/* Least recently used by this entry: round robin. */
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

/* The replica that a conversation's first part hashes to. */
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

static void make_route(struct world *w, struct router_request *route)
{
	uint32_t c = (uint32_t)g_rand_int_range(w->random, 0, CONVERSATIONS);
	uint32_t parts = MIN(4 + w->turns[c] * 3, ROUTER_PREFIX_MAX);

	w->turns[c] = (w->turns[c] + 1) % 12;
	memset(route, 0, sizeof(*route));
	route->prefix_tokens = PART_TOKENS;
	route->prefix_count = parts;
	route->prompt_tokens = parts * PART_TOKENS + 40;
	for (uint32_t i = 0; i < parts; i++)
		/* The first part is the service's own, shared by many. */
		route->prefix[i] = i ? c * 1000 + i : c % 8;
	route->output_tokens =
		(uint32_t)(20 -
			   log(g_rand_double_range(w->random, 1e-9, 1)) * 80);
	route->output_tokens = MIN(route->output_tokens, 600);
}

/* What an entry expects a request to take once it is begun. */
static int64_t service_ms(const struct router_request *route)
{
	return (int64_t)(route->prompt_tokens * PREFILL_US +
			 route->output_tokens * STEP_US * (1 + FULL_SLOWDOWN)) /
	       1000;
}

static void arrive(struct world *w)
{
	struct request *r = g_new0(struct request, 1);
	int64_t now_ms = w->now_us / 1000, retry_ms;
	static const char *const names[ACCOUNTS] = { "a", "b", "c", "d", "e" };
	/* One account sends as much as all others together. */
	bool big = g_rand_boolean(w->random);

	make_route(w, &r->route);
	r->entry = g_rand_int_range(w->random, 0, ENTRIES);
	r->account = big ? 0 : g_rand_int_range(w->random, 1, ACCOUNTS);
	r->arrived_us = w->now_us;
	r->output = r->left = r->route.output_tokens;
	r->ticket.ctx = r;
	if (now_ms > WARM_MS)
		w->t.arrived++;
	if (!admission_enqueue(
		    w->entries[r->entry].admission, now_ms, &r->ticket,
		    names[r->account],
		    r->route.prompt_tokens * 0.1 + r->route.output_tokens,
		    now_ms + DEADLINE_MS - service_ms(&r->route), &retry_ms))
		return;
	if (now_ms > WARM_MS)
		w->t.refused++;
	g_free(r);
}

/* ---- engines ---- */

static uint32_t read_prompt(struct engine *e, const struct request *r)
{
	uint32_t hit = 0;

	while (hit < r->route.prefix_count &&
	       g_hash_table_contains(e->cache, &r->route.prefix[hit]))
		hit++;
	for (uint32_t i = 0; i < r->route.prefix_count; i++) {
		uint64_t *part;

		if (g_hash_table_contains(e->cache, &r->route.prefix[i]))
			continue;
		part = g_memdup2(&r->route.prefix[i], sizeof(*part));
		g_hash_table_add(e->cache, part);
		g_queue_push_tail(&e->order, part);
		if (e->order.length > CACHE_PARTS)
			g_hash_table_remove(e->cache,
					    g_queue_pop_head(&e->order));
	}
	return hit * PART_TOKENS;
}

static void begin(struct world *w, struct engine *e, struct request *r)
{
	uint32_t cached = read_prompt(e, r);

	r->ready_us = w->now_us +
		      (int64_t)(r->route.prompt_tokens - cached) * PREFILL_US;
	if (r->arrived_us / 1000 > WARM_MS) {
		w->t.prompt_tokens += r->route.prompt_tokens;
		w->t.cached_tokens += cached;
	}
	g_ptr_array_add(e->running, r);
}

static void finish(struct world *w, struct request *r, bool whole)
{
	struct entry *entry = &w->entries[r->entry];
	bool counted = r->arrived_us / 1000 > WARM_MS;
	bool in_time = w->now_us - r->arrived_us <= (int64_t)DEADLINE_MS * 1000;

	router_done(entry->router, r->replica, 1,
		    r->route.output_tokens - (r->output - r->left));
	admission_finish(entry->admission, w->now_us / 1000, &r->ticket,
			 r->route.prompt_tokens * 0.1 + r->output - r->left);
	if (counted && !whole)
		w->t.broken++;
	else if (counted && !in_time)
		w->t.late++;
	else if (counted)
		w->t.tokens_in_time += r->output;
	if (counted && whole)
		w->t.served[r->account] += r->output;
	g_free(r);
}

static void give_token(struct world *w, struct request *r)
{
	struct entry *entry = &w->entries[r->entry];

	if (r->left == r->output) {
		r->first_us = w->now_us;
		r->paced_us = w->now_us;
		if (r->arrived_us / 1000 > WARM_MS)
			w->t.first_ms[w->t.count++] =
				(double)(w->now_us - r->arrived_us) / 1000;
		router_add_prefill_sample(entry->router, r->replica,
					  r->route.prompt_tokens,
					  w->now_us - r->dispatched_us);
	} else if (++r->paced == 16) {
		router_add_step_sample(entry->router, r->replica,
				       w->now_us / 1000, 16,
				       w->now_us - r->paced_us);
		r->paced = 0;
		r->paced_us = w->now_us;
	}
	r->left--;
	router_progress(entry->router, r->replica, 1);
}

static void step_engine(struct world *w, struct engine *e)
{
	double us;

	while (e->running->len < SLOTS && e->waiting->len)
		begin(w, e, g_ptr_array_steal_index(e->waiting, 0));
	for (guint i = e->running->len; i > 0; i--) {
		struct request *r = e->running->pdata[i - 1];

		if (r->ready_us > w->now_us)
			continue;
		give_token(w, r);
		if (r->left)
			continue;
		g_ptr_array_remove_index_fast(e->running, i - 1);
		finish(w, r, true);
	}
	us = STEP_US * e->slow * (1 + FULL_SLOWDOWN * e->running->len / SLOTS);
	e->next_step_us = w->now_us + (int64_t)us;
}

static void go_dark(struct world *w, struct engine *e, bool dark)
{
	e->dark = dark;
	while (dark && e->running->len)
		finish(w, g_ptr_array_steal_index_fast(e->running, 0), false);
	while (dark && e->waiting->len)
		finish(w, g_ptr_array_steal_index_fast(e->waiting, 0), false);
	for (int i = 0; i < ENTRIES; i++)
		router_set_health(w->entries[i].router,
				  (uint32_t)(e - w->engines) + 1,
				  dark ? 0 : INT64_MAX, "vm-silent");
}

/* ---- entries ---- */

static void pump(struct world *w, int number)
{
	struct entry *entry = &w->entries[number];
	struct admission_ticket *ticket;

	while ((ticket = admission_pop_expired(entry->admission,
					       w->now_us / 1000))) {
		struct request *r = ticket->ctx;

		if (r->arrived_us / 1000 > WARM_MS)
			w->t.refused++;
		g_free(r);
	}
	while ((ticket = admission_peek(entry->admission, w->now_us / 1000))) {
		struct request *r = ticket->ctx;
		struct router_choice c;

		router_choose(entry->router, w->now_us / 1000,
			      ROUTER_FILL_FREE_SLOT, &r->route, &c);
		if (!c.replica)
			return;
		admission_dequeue(entry->admission, ticket);
		router_sent(entry->router, c.replica, w->now_us / 1000,
			    &r->route);
		r->replica = c.replica;
		r->dispatched_us = w->now_us;
		g_ptr_array_add(w->engines[c.replica - 1].waiting, r);
		if (!w->engines[c.replica - 1].next_step_us)
			w->engines[c.replica - 1].next_step_us = w->now_us;
	}
}

static void report_loads(struct world *w)
{
	for (int i = 0; i < REPLICAS; i++)
		for (int j = 0; j < ENTRIES; j++)
			router_set_load(w->entries[j].router, (uint32_t)i + 1,
					w->engines[i].running->len +
						w->engines[i].waiting->len,
					0);
}

static void account_idle(struct world *w, double ms)
{
	uint32_t waiting = 0, idle = 0;

	for (int i = 0; i < ENTRIES; i++)
		waiting += admission_waiting(w->entries[i].admission);
	for (int i = 0; i < REPLICAS; i++)
		if (!w->engines[i].dark)
			idle += SLOTS - MIN(SLOTS, w->engines[i].running->len);
	w->t.idle_ms += MIN(waiting, idle) * ms;
}

/* ---- a run ---- */

static void init(struct world *w, const struct router_policy *policy,
		 double load, bool faults, uint32_t seed)
{
	/* Mean output 100 tokens at a full batch's pace. */
	double capacity = REPLICAS * SLOTS /
			  (100 * STEP_US / 1e6 * (1 + FULL_SLOWDOWN) +
			   700 * PREFILL_US / 1e6);

	memset(w, 0, sizeof(*w));
	w->random = g_rand_new_with_seed(seed);
	w->rate_s = capacity * load;
	w->faults = faults;
	w->now_us = 1000;
	w->next_us = 1000;
	w->t.first_ms = g_new(double, (gsize)(w->rate_s * LENGTH_MS / 500));
	for (int i = 0; i < REPLICAS; i++) {
		struct engine *e = &w->engines[i];

		e->running = g_ptr_array_new();
		e->waiting = g_ptr_array_new();
		e->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
		g_queue_init(&e->order);
		e->slow = faults && i == 7 ? 4 : 1;
	}
	for (int i = 0; i < ENTRIES; i++) {
		struct router_opts opts = { .seed = seed + (uint32_t)i,
					    .entry = (uint32_t)i + 1,
					    .prefix_max = CACHE_PARTS,
					    .policy = policy };

		w->entries[i].router = router_create(&opts);
		w->entries[i].admission = admission_create();
		for (uint32_t j = 1; j <= REPLICAS; j++) {
			router_put(w->entries[i].router, j, 1, SLOTS, "x:1");
			router_set_health(w->entries[i].router, j, INT64_MAX,
					  "whole");
		}
	}
}

static void clear(struct world *w)
{
	for (int i = 0; i < REPLICAS; i++) {
		struct engine *e = &w->engines[i];

		g_ptr_array_set_free_func(e->running, g_free);
		g_ptr_array_set_free_func(e->waiting, g_free);
		g_ptr_array_unref(e->running);
		g_ptr_array_unref(e->waiting);
		g_queue_clear(&e->order);
		g_hash_table_unref(e->cache);
	}
	for (int i = 0; i < ENTRIES; i++) {
		struct admission_ticket *t;

		while ((t = admission_peek(w->entries[i].admission,
					   w->now_us / 1000))) {
			admission_cancel(w->entries[i].admission, t);
			g_free(t->ctx);
		}
		router_destroy(w->entries[i].router);
		admission_destroy(w->entries[i].admission);
	}
	g_rand_free(w->random);
}

static void set_domain(struct world *w, bool dark)
{
	for (int i = 0; i < REPLICAS; i += DOMAINS)
		go_dark(w, &w->engines[i], dark);
}

static void run(struct world *w)
{
	int64_t tick = 2000, next_report = 0;

	for (; w->now_us < (int64_t)LENGTH_MS * 1000; w->now_us += tick) {
		if (w->faults && w->now_us / 1000 == 25000)
			set_domain(w, true);
		if (w->faults && w->now_us / 1000 == 45000)
			set_domain(w, false);
		while (w->next_us <= w->now_us) {
			arrive(w);
			w->next_us -= (int64_t)(log(g_rand_double_range(
							w->random, 1e-9, 1)) *
						1e6 / w->rate_s);
		}
		if (w->now_us >= next_report) {
			report_loads(w);
			next_report = w->now_us + REPORT_MS * 1000;
		}
		for (int i = 0; i < ENTRIES; i++)
			pump(w, i);
		for (int i = 0; i < REPLICAS; i++)
			if (!w->engines[i].dark &&
			    w->now_us >= w->engines[i].next_step_us)
				step_engine(w, &w->engines[i]);
		if (w->now_us / 1000 > WARM_MS)
			account_idle(w, (double)tick / 1000);
	}
}

struct outcome {
	double p50, p95, p99, goodput, hit, idle, refused, error;
};

static void measure(const struct router_policy *policy, double load,
		    bool faults, uint32_t seed, struct outcome *o)
{
	static struct world w;
	double seconds = (LENGTH_MS - WARM_MS) / 1000.0, sum = 0, small = 0;

	init(&w, policy, load, faults, seed);
	run(&w);
	o->p50 = meter_percentile(w.t.first_ms, w.t.count, 50);
	o->p95 = meter_percentile(w.t.first_ms, w.t.count, 95);
	o->p99 = meter_percentile(w.t.first_ms, w.t.count, 99);
	o->goodput = w.t.tokens_in_time / seconds;
	o->hit = 100.0 * (double)w.t.cached_tokens /
		 (double)MAX(1, w.t.prompt_tokens);
	o->idle = w.t.idle_ms / (LENGTH_MS - WARM_MS);
	o->refused = 100.0 * w.t.refused / MAX(1, w.t.arrived);
	for (int i = 0; i < ACCOUNTS; i++)
		sum += w.t.served[i];
	for (int i = 1; i < ACCOUNTS; i++)
		small += w.t.served[i];
	/* Equal weights: under contention each of five should have a fifth. */
	o->error = load > 1 && sum > 0 ? fabs(100 * small / sum - 80) : 0;
	g_free(w.t.first_ms);
	clear(&w);
}

int main(int argc, char **argv)
{
	static const double loads[] = { 0.5, 0.9, 1.5, 3 };
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	double flat = 0, worst = 1e9;
	bool best_p99 = true, best_goodput = true;

	for (int faults = 0; faults < 2; faults++)
		for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
			struct outcome ours = { 0 }, other;

			printf("# load %.1f%s\n", loads[l],
			       faults ? ", straggler and a dark domain" : "");
			printf("# %-18s %8s %8s %8s %9s %6s %7s %7s %7s\n",
			       "policy", "p50 ms", "p95 ms", "p99 ms", "tok/s",
			       "hit %", "idle", "ref %", "unfair");
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
				       other.refused, other.error);
				if (p < 0)
					ours = other;
				best_p99 &= p < 0 || ours.p99 <= other.p99;
				best_goodput &= p < 0 ||
						ours.goodput >=
							other.goodput * 0.999;
			}
			if (loads[l] > 1 && !faults) {
				flat = MAX(flat, ours.goodput);
				worst = MIN(worst, ours.goodput);
				meter_print_verdict("fairness_error",
						    ours.error, "percent", 5,
						    ours.error < 5);
			}
			if (loads[l] == 0.9)
				meter_print_verdict(faults ? "first_token_p95_"
							     "dark"
							   : "first_token_p95",
						    ours.p95, "ms", 670,
						    ours.p95 <= 670);
		}
	meter_print_verdict("goodput_3x_over_1.5x", worst / flat, "ratio", 0.95,
			    worst / flat >= 0.95);
	meter_print_verdict("p99_beats_baselines", best_p99, "of-all", 1,
			    best_p99);
	meter_print_verdict("goodput_beats_baselines", best_goodput, "of-all",
			    1, best_goodput);
	return 0;
}
