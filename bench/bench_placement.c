/*
 * Simulates placement on seeded fault traces in virtual time and compares it
 * with baselines and with a lower bound on the downtime of each trace.
 * usage: bench_placement [SEED]
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sys/resource.h>

#include <radishdeal/placement.h>

#define TICK_MS 100
#define DETECT_MS 1500
#define CONFIRM_MS 300 /* order, its response and the next announcement */
#define MINUTE_MS 60000.0
#define VM_ACCELERATORS 8
#define WARMUP_MS 120000

/** A VM of the simulation. */
struct vm {
	char name[32];
	char domain[32];
	char data_centre[8];
	bool up;		  /* actual state */
	bool observed_up;	  /* as known to placement */
	int64_t state_since_ms;	  /* last change of `up` */
	int64_t recover_ms;	  /* end of an outage */
	char version[8];	  /* loaded weights; empty: none */
	char service[16];	  /* owner of the loaded weights */
	char preload_service[16]; /* target of the running preload */
	uint32_t replica;
	int64_t release_done_ms; /* end of a release; 0: none */
	int64_t preload_done_ms; /* end of a preload; 0: none */
};

struct replica {
	uint32_t id;
	int service;
	uint64_t epoch;
	struct vm *vms[PLACEMENT_VMS_MAX];
	uint32_t vm_count;
	int64_t ready_ms; /* end of loading; 0: not started */
	bool healthy;
	uint32_t moves;
};

struct service {
	char name[16];
	uint32_t wanted, vms;
	uint32_t downtime_weight, stranded_weight;
	double downtime_ms; /* replicas missing or unhealthy, in replica-ms */
};

struct trace {
	const char *name;
	int vms_per_domain, domains, services;
	uint32_t replicas; /* of each service */
	uint32_t vms;	   /* of each replica */
	int64_t length_ms;
	double mean_gap_ms;	  /* between VM failures */
	double repair_ms;	  /* until a failed VM recovers */
	double pause_share;	  /* failures that are pauses of 0.2 to 3 s */
	int64_t domain_outage_ms; /* start of a domain outage; 0: none */
	int load_ms;
	uint32_t concurrent_loads;
};

struct simulation {
	const struct trace *trace;
	struct placement *placement;
	struct vm *vms;
	int vm_count;
	struct service *services;
	GPtrArray *replicas;
	int64_t now_ms;
	GRand *random;
	int64_t next_fault_ms;
	uint32_t next_replica;
	uint64_t next_epoch;
	double stranded_ms; /* idle accelerators needed, in accelerator-ms */
	uint32_t failures, moves;
	double plan_us_sum, plan_us_max;
	uint64_t plans;
	double bound_downtime_ms, bound_stranded_ms;
	GPtrArray *decisions;
};

/* ---- input of placement ---- */

static void update_vm(struct simulation *sim, struct vm *vm)
{
	struct placement_vm p = {
		.name = vm->name,
		.domain = vm->domain,
		.data_centre = vm->data_centre,
		.model = *vm->version ? vm->service : "",
		.adapter = "",
		.version = vm->version,
		.accelerators = VM_ACCELERATORS,
		.alive = vm->observed_up,
		.lost_ms = vm->observed_up ? 0 : sim->now_ms,
	};

	placement_put_vm(sim->placement, sim->now_ms, &p);
}

static void init_simulation(struct simulation *sim, const struct trace *trace,
			    const struct placement_opts *opts, uint32_t seed)
{
	memset(sim, 0, sizeof(*sim));
	sim->trace = trace;
	sim->placement = placement_create(opts);
	sim->random = g_rand_new_with_seed(seed);
	sim->replicas = g_ptr_array_new_with_free_func(g_free);
	sim->decisions = g_ptr_array_new_with_free_func(g_free);
	sim->vm_count = trace->vms_per_domain * trace->domains;
	sim->vms = g_new0(struct vm, sim->vm_count);
	sim->services = g_new0(struct service, trace->services);
	sim->next_fault_ms = WARMUP_MS;
	sim->next_replica = 1;
	sim->next_epoch = 1;
	for (int i = 0; i < sim->vm_count; i++) {
		struct vm *vm = &sim->vms[i];
		int domain = i / trace->vms_per_domain;

		g_snprintf(vm->name, sizeof(vm->name), "d%03d-%04d", domain, i);
		g_snprintf(vm->domain, sizeof(vm->domain), "d%03d", domain);
		g_snprintf(vm->data_centre, sizeof(vm->data_centre), "c%d",
			   domain % 3);
		vm->up = vm->observed_up = true;
		update_vm(sim, vm);
	}
	for (int i = 0; i < trace->services; i++) {
		struct service *s = &sim->services[i];
		struct placement_service p = {
			.name = s->name,
			.model = s->name,
			.adapter = "",
			.version = "1",
			.replicas = trace->replicas,
			.vms_per_replica = trace->vms,
			.accelerators_per_vm = VM_ACCELERATORS,
		};

		g_snprintf(s->name, sizeof(s->name), "s%d", i);
		s->wanted = trace->replicas;
		s->vms = trace->vms;
		p.downtime_weight = s->downtime_weight = i % 2 ? 5 : 20;
		p.stranded_weight = s->stranded_weight = i % 2 ? 5 : 1;
		placement_put_service(sim->placement, &p);
	}
}

static void clear_simulation(struct simulation *sim)
{
	placement_destroy(sim->placement);
	g_ptr_array_unref(sim->replicas);
	g_ptr_array_unref(sim->decisions);
	g_rand_free(sim->random);
	g_free(sim->vms);
	g_free(sim->services);
}

/* ---- faults ---- */

static void fail_vm(struct simulation *sim, struct vm *vm, int64_t recovery_ms)
{
	if (!vm->up)
		return;
	vm->up = false;
	vm->state_since_ms = sim->now_ms;
	vm->recover_ms = recovery_ms;
	sim->failures++;
}

static void inject_vm_fault(struct simulation *sim)
{
	struct vm *vm =
		&sim->vms[g_rand_int_range(sim->random, 0, sim->vm_count)];
	double gap = -log(g_rand_double_range(sim->random, 1e-9, 1)) *
		     sim->trace->mean_gap_ms;
	bool is_pause = g_rand_double(sim->random) < sim->trace->pause_share;
	int64_t outage_ms = is_pause ? g_rand_int_range(sim->random, 200, 3000)
				     : (int64_t)sim->trace->repair_ms;

	fail_vm(sim, vm, sim->now_ms + outage_ms);
	sim->next_fault_ms = sim->now_ms + (int64_t)gap + 1;
}

static void inject_domain_fault(struct simulation *sim)
{
	for (int i = 0; i < sim->trace->vms_per_domain; i++)
		fail_vm(sim, &sim->vms[i], sim->now_ms + 600000);
}

static void inject_faults(struct simulation *sim)
{
	const struct trace *t = sim->trace;

	if (sim->now_ms >= sim->next_fault_ms && sim->now_ms < t->length_ms)
		inject_vm_fault(sim);
	if (t->domain_outage_ms && sim->now_ms == t->domain_outage_ms)
		inject_domain_fault(sim);
	for (int i = 0; i < sim->vm_count; i++) {
		struct vm *vm = &sim->vms[i];

		if (vm->up || sim->now_ms < vm->recover_ms)
			continue;
		vm->up = true;
		/* After a short pause the process is still running. */
		if (sim->now_ms - vm->state_since_ms > 5000) {
			*vm->version = '\0';
			vm->replica = 0;
		}
		vm->state_since_ms = sim->now_ms;
	}
}

/* ---- actual state of replicas ---- */

static struct replica *find_replica(struct simulation *sim, uint32_t id)
{
	for (guint i = 0; i < sim->replicas->len; i++) {
		struct replica *r = sim->replicas->pdata[i];

		if (r->id == id)
			return r;
	}
	return NULL;
}

static bool holds_all_vms(const struct replica *r)
{
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (!r->vms[i]->up || r->vms[i]->replica != r->id)
			return false;
	return true;
}

static bool needs_load(struct simulation *sim, const struct replica *r)
{
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (strcmp(r->vms[i]->service,
			   sim->services[r->service].name) != 0 ||
		    !*r->vms[i]->version)
			return true;
	return false;
}

static uint32_t loads_running(struct simulation *sim)
{
	uint32_t n = 0;

	for (int i = 0; i < sim->vm_count; i++)
		n += sim->vms[i].preload_done_ms != 0;
	for (guint i = 0; i < sim->replicas->len; i++) {
		struct replica *r = sim->replicas->pdata[i];

		n += r->ready_ms && !r->healthy && needs_load(sim, r);
	}
	return n;
}

/* At most `concurrent_loads` loads and preloads run at the same time. */
static void advance_loads(struct simulation *sim)
{
	for (guint i = 0; i < sim->replicas->len; i++) {
		struct replica *r = sim->replicas->pdata[i];
		const char *name = sim->services[r->service].name;

		if (!holds_all_vms(r)) {
			r->healthy = false;
			continue;
		}
		if (!r->ready_ms) {
			if (!needs_load(sim, r))
				r->ready_ms = sim->now_ms + CONFIRM_MS;
			else if (loads_running(sim) <
				 sim->trace->concurrent_loads)
				r->ready_ms = sim->now_ms + CONFIRM_MS +
					      sim->trace->load_ms;
		}
		if (!r->ready_ms || sim->now_ms < r->ready_ms)
			continue;
		for (uint32_t j = 0; j < r->vm_count; j++) {
			g_strlcpy(r->vms[j]->version, "1", 8);
			g_strlcpy(r->vms[j]->service, name, 16);
			update_vm(sim, r->vms[j]);
		}
		r->healthy = true;
	}
}

/* ---- decisions of placement ---- */

static struct vm *find_vm(struct simulation *sim, const char *name)
{
	return &sim->vms[atoi(strrchr(name, '-') + 1)];
}

static void release_vm(struct simulation *sim, struct vm *vm, uint32_t id)
{
	if (vm->replica != id)
		return;
	placement_set_holder(sim->placement, vm->name, id, true);
	vm->release_done_ms = sim->now_ms + CONFIRM_MS;
}

static void assign_vms(struct simulation *sim, struct replica *r,
		       const struct placement_decision *d)
{
	for (uint32_t i = 0; i < r->vm_count; i++) {
		bool is_kept = false;

		for (uint32_t j = 0; j < d->vm_count; j++)
			is_kept |= !strcmp(r->vms[i]->name, d->vms[j]);
		if (!is_kept)
			release_vm(sim, r->vms[i], r->id);
	}
	r->vm_count = d->vm_count;
	for (uint32_t j = 0; j < d->vm_count; j++) {
		r->vms[j] = find_vm(sim, d->vms[j]);
		r->vms[j]->replica = r->id;
		r->vms[j]->release_done_ms = 0;
	}
}

static int service_index(const char *name)
{
	return atoi(name + 1);
}

static void apply_decision(struct simulation *sim,
			   const struct placement_decision *d)
{
	struct replica *r = d->replica ? find_replica(sim, d->replica) : NULL;

	if (d->action == PLACEMENT_PRELOAD) {
		struct vm *vm = find_vm(sim, d->vms[0]);

		vm->preload_done_ms = sim->now_ms + sim->trace->load_ms;
		g_strlcpy(vm->preload_service, d->service,
			  sizeof(vm->preload_service));
		placement_set_preloading(sim->placement, vm->name, true);
		return;
	}
	sim->moves++;
	if (d->action == PLACEMENT_RELEASE) {
		g_assert(r);
		for (uint32_t i = 0; i < r->vm_count; i++)
			release_vm(sim, r->vms[i], r->id);
		placement_remove_replica(sim->placement, r->id);
		g_ptr_array_remove_fast(sim->replicas, r);
		return;
	}
	if (!r) {
		r = g_new0(struct replica, 1);
		r->id = sim->next_replica++;
		r->service = service_index(d->service);
		g_ptr_array_add(sim->replicas, r);
	}
	assign_vms(sim, r, d);
	r->epoch = sim->next_epoch++;
	r->ready_ms = 0;
	r->healthy = false;
	placement_put_replica(sim->placement, sim->now_ms, r->id, r->epoch,
			      d->service, d->version, d->vms, d->vm_count);
}

/* Queued until planning ends: its callback must not change the placement. */
static void on_decision(void *ctx, const struct placement_decision *d)
{
	struct simulation *sim = ctx;

	if (d->action != PLACEMENT_WAIT)
		g_ptr_array_add(sim->decisions, g_memdup2(d, sizeof(*d)));
}

static void apply_decisions(struct simulation *sim)
{
	for (guint i = 0; i < sim->decisions->len; i++) {
		struct placement_decision *d = sim->decisions->pdata[i];
		char service[16];

		g_strlcpy(service, d->service, sizeof(service));
		d->service = service;
		d->version = "1";
		apply_decision(sim, d);
	}
	g_ptr_array_set_size(sim->decisions, 0);
}

static void run_planner(struct simulation *sim)
{
	struct timespec a, b;
	double cpu_us;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
	placement_plan(sim->placement, sim->now_ms, on_decision, sim);
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
	cpu_us = (double)(b.tv_sec - a.tv_sec) * 1e6 +
		 (double)(b.tv_nsec - a.tv_nsec) / 1e3;
	sim->plan_us_sum += cpu_us;
	sim->plan_us_max = MAX(sim->plan_us_max, cpu_us);
	sim->plans++;
	apply_decisions(sim);
}

/* ---- simulation loop ---- */

static bool update_observations(struct simulation *sim)
{
	bool changed = false;

	for (int i = 0; i < sim->vm_count; i++) {
		struct vm *vm = &sim->vms[i];
		int64_t delay_ms = vm->up ? CONFIRM_MS : DETECT_MS;

		if (vm->release_done_ms && vm->up &&
		    sim->now_ms >= vm->release_done_ms) {
			vm->release_done_ms = 0;
			vm->replica = 0;
			placement_set_holder(sim->placement, vm->name, 0,
					     false);
			changed = true;
		}
		if (vm->preload_done_ms && sim->now_ms >= vm->preload_done_ms) {
			vm->preload_done_ms = 0;
			placement_set_preloading(sim->placement, vm->name,
						 false);
			if (vm->up && !vm->replica) {
				g_strlcpy(vm->version, "1", 8);
				g_strlcpy(vm->service, vm->preload_service, 16);
				update_vm(sim, vm);
			}
		}
		if (vm->observed_up == vm->up ||
		    sim->now_ms - vm->state_since_ms < delay_ms)
			continue;
		vm->observed_up = vm->up;
		update_vm(sim, vm);
		/* A restarted VM announces that it holds no replica. */
		if (vm->observed_up && !vm->replica)
			placement_set_holder(sim->placement, vm->name, 0,
					     false);
		changed = true;
	}
	return changed;
}

static void update_health(struct simulation *sim)
{
	for (guint i = 0; i < sim->replicas->len; i++) {
		struct replica *r = sim->replicas->pdata[i];

		placement_set_healthy(sim->placement, r->id, r->healthy);
	}
}

/*
 * Adds to the lower bound for any placement: the wanted replicas that do not
 * fit on the running VMs if no replica spans domains.
 */
static void add_lower_bound(struct simulation *sim)
{
	const struct trace *t = sim->trace;
	uint32_t fitting = 0, wanted = t->replicas * (uint32_t)t->services;

	for (int d = 0; d < t->domains; d++) {
		uint32_t up = 0;

		for (int i = 0; i < t->vms_per_domain; i++)
			up += sim->vms[d * t->vms_per_domain + i].up;
		fitting += up / t->vms;
	}
	if (fitting < wanted)
		sim->bound_downtime_ms += (double)(wanted - fitting) * TICK_MS;
}

static void accumulate_losses(struct simulation *sim)
{
	uint32_t up = 0, busy = 0, wanted_vms = 0;

	for (int i = 0; i < sim->trace->services; i++) {
		struct service *s = &sim->services[i];
		uint32_t healthy = 0;

		for (guint j = 0; j < sim->replicas->len; j++) {
			struct replica *r = sim->replicas->pdata[j];

			healthy += r->service == i && r->healthy &&
				   holds_all_vms(r);
		}
		healthy = MIN(healthy, s->wanted);
		s->downtime_ms += (double)(s->wanted - healthy) * TICK_MS;
		busy += healthy * s->vms;
		wanted_vms += s->wanted * s->vms;
	}
	for (int i = 0; i < sim->vm_count; i++)
		up += sim->vms[i].up;
	/* Spares beyond the wanted replicas do not count as stranded. */
	if (MIN(up, wanted_vms) > busy)
		sim->stranded_ms += (double)(MIN(up, wanted_vms) - busy) *
				    VM_ACCELERATORS * TICK_MS;
	add_lower_bound(sim);
}

static void run_trace(struct simulation *sim)
{
	bool changed = true;

	for (sim->now_ms = TICK_MS; sim->now_ms <= sim->trace->length_ms;
	     sim->now_ms += TICK_MS) {
		inject_faults(sim);
		changed = update_observations(sim);
		advance_loads(sim);
		update_health(sim);
		if (changed || sim->now_ms % 500 == 0)
			run_planner(sim);
		/* The first two minutes only fill the cluster. */
		if (sim->now_ms > WARMUP_MS)
			accumulate_losses(sim);
		if (sim->now_ms == WARMUP_MS)
			sim->plan_us_sum = sim->plan_us_max = sim->plans = 0;
	}
}

/* ---- results ---- */

struct outcome {
	double downtime_min, stranded_min, bound_min, moves_per_failure;
	double plan_ms, plan_max_ms;
	uint32_t failures;
	double weighted;
};

static void measure(const struct trace *t, const struct placement_opts *opts,
		    uint32_t seed, struct outcome *out)
{
	struct simulation sim;

	init_simulation(&sim, t, opts, seed);
	run_trace(&sim);
	memset(out, 0, sizeof(*out));
	for (int i = 0; i < t->services; i++) {
		out->downtime_min += sim.services[i].downtime_ms / MINUTE_MS;
		out->weighted += sim.services[i].downtime_ms / MINUTE_MS *
				 sim.services[i].downtime_weight;
	}
	out->stranded_min = sim.stranded_ms / MINUTE_MS;
	/*
	 * The bound leaves out the time of detection and of one order, which
	 * each loss of a serving VM costs at least.
	 */
	out->bound_min = sim.bound_downtime_ms / MINUTE_MS;
	out->failures = sim.failures;
	out->moves_per_failure = (double)sim.moves / MAX(1, sim.failures);
	out->plan_ms = sim.plan_us_sum / 1000 / (double)sim.plans;
	out->plan_max_ms = sim.plan_us_max / 1000;
	clear_simulation(&sim);
}

static const struct placement_opts default_opts = {
	.pause_wait_ms = 1000,
	.drain_ms = 30000,
	.flap_wait_ms = 2000,
	.flap_forget_ms = 60000,
	.loads_max = 4,
};

#define VARIANTS 5

struct variant {
	const char *name;
	struct placement_opts opts;
};

static void make_variants(struct variant *variants)
{
	for (int i = 0; i < VARIANTS; i++)
		variants[i].opts = default_opts;
	variants[0].name = "radishdeal";
	variants[1].name = "first-fit, repair at once";
	variants[1].opts.first_fit = true;
	variants[1].opts.repair_at_once = true;
	variants[1].opts.ignore_weights = true;
	variants[1].opts.loads_max = 100000;
	variants[2].name = "wait for the lost VM";
	variants[2].opts.wait_for_own = true;
	variants[2].opts.no_preload = true;
	variants[1].opts.no_preload = true;
	variants[3].name = "ignore loaded weights";
	variants[3].opts.ignore_weights = true;
	variants[3].opts.no_preload = true;
	variants[4].name = "no preloading";
	variants[4].opts.no_preload = true;
}

static const struct trace traces[] = {
	{ "today", 30, 6, 2, 25, 3, 3600000, 20000, 120000, 0.4, 1800000, 20000,
	  4 },
	{ "today, scarce", 25, 6, 2, 25, 3, 3600000, 30000, 300000, 0.3, 0,
	  20000, 4 },
};

static void print_verdict(const char *name, double value, const char *unit,
			  double target, bool met)
{
	printf("%s %.4g %s %.4g %s\n", name, value, unit, target,
	       met ? "met" : "not-met");
}

static void compare_variants(uint32_t seed)
{
	struct variant variants[VARIANTS];

	make_variants(variants);
	for (size_t t = 0; t < G_N_ELEMENTS(traces); t++) {
		struct outcome ours = { 0 }, other;
		bool better = true;

		printf("# trace %s, seed %u\n", traces[t].name, seed);
		printf("# %-26s %12s %12s %12s %8s %8s\n", "placement",
		       "down min", "stranded min", "bound min", "moves/f",
		       "plan ms");
		for (int i = 0; i < VARIANTS; i++) {
			measure(&traces[t], &variants[i].opts, seed, &other);
			printf("# %-26s %12.1f %12.1f %12.1f %8.2f %8.3f\n",
			       variants[i].name, other.downtime_min,
			       other.stranded_min, other.bound_min,
			       other.moves_per_failure, other.plan_ms);
			if (!i)
				ours = other;
			else if (other.downtime_min < ours.downtime_min ||
				 other.stranded_min < ours.stranded_min)
				better = false;
		}
		printf("placement_beats_baselines_%zu %d of-2-measures 1 %s\n",
		       t, better, better ? "met" : "not-met");
		if (ours.bound_min > 0)
			print_verdict(
				"placement_downtime_over_bound",
				ours.downtime_min / ours.bound_min, "ratio",
				1.2, ours.downtime_min <= 1.2 * ours.bound_min);
	}
}

/* Planning time and memory by number of replicas, at one failure per second. */
static void measure_plan_time(void)
{
	static const uint32_t sizes[] = { 50, 500, 1500, 4900 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct trace t = {
			.name = "size",
			.vms_per_domain = 96,
			.services = 50,
			.replicas = sizes[i] / 50,
			.vms = 8,
			.length_ms = WARMUP_MS + 20000,
			.mean_gap_ms = 1000,
			.repair_ms = 60000,
			.load_ms = 1000,
			.concurrent_loads = 100000,
		};
		struct placement_opts opts = default_opts;
		struct outcome o;
		struct rusage usage;

		opts.loads_max = 100000;
		t.domains = (int)(sizes[i] * 8 * 11 / 10 / 96 + 1);
		measure(&t, &opts, 1, &o);
		getrusage(RUSAGE_SELF, &usage);
		printf("# replicas %u vms %d plan mean %.3f ms max %.3f ms "
		       "rss %ld KB\n",
		       sizes[i], t.domains * 96, o.plan_ms, o.plan_max_ms,
		       usage.ru_maxrss);
		if (sizes[i] == 4900)
			print_verdict("plan_ms_at_4900_replicas", o.plan_ms,
				      "ms", 10, o.plan_ms < 10);
	}
}

int main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;

	compare_variants(seed);
	measure_plan_time();
	return 0;
}
