/*
 * Placement on seeded fault traces, in given time, against baselines and the
 * lower bound of each trace.
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
#define CONFIRM_MS 300 /* an order, its answer and the announcement */
#define MINUTE_MS 60000.0
#define VM_ACCELERATORS 8
#define FILL_MS 120000

/** A VM of the trace. */
struct vm {
	char name[32];
	char domain[32];
	char centre[8];
	bool up;	     /* in truth */
	bool seen;	     /* as the evidence has it */
	int64_t change_ms;   /* when the truth changed last */
	int64_t up_again_ms; /* when a lost one returns; 0: stays */
	char version[8];     /* loaded weights, empty for none */
	char service[16];    /* whose weights these are */
	char ahead[16];	     /* whose weights it loads ahead */
	uint32_t replica;
	int64_t free_at_ms;   /* while it is being released; 0 otherwise */
	int64_t preloaded_ms; /* when a load ahead ends; 0 for none */
};

struct replica {
	uint32_t id;
	int service;
	uint64_t epoch;
	struct vm *vms[PLACEMENT_VMS_MAX];
	uint32_t vm_count;
	int64_t ready_ms; /* when all have loaded; 0 while waiting to load */
	bool whole;
	uint32_t moves;
};

struct service {
	char name[16];
	uint32_t wanted, vms;
	uint32_t downtime_weight, stranded_weight;
	double downtime_ms; /* replicas wanted and not whole, times ms */
};

struct trace {
	const char *name;
	int vms_per_domain, domains, services;
	uint32_t replicas; /* of each service */
	uint32_t vms;	   /* of each replica */
	int64_t length_ms;
	double mean_gap_ms;	/* between single failures */
	double repair_ms;	/* until a lost VM returns */
	double pause_share;	/* failures that are pauses of 0.2 to 3 s */
	int64_t domain_dark_ms; /* when a whole domain goes dark; 0 never */
	int load_ms;
	uint32_t loads;
};

struct world {
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
	double stranded_ms; /* accelerators idle though wanted, times ms */
	uint32_t failures, moves;
	double plan_us_sum, plan_us_max;
	uint64_t plans;
	double bound_down_ms, bound_stranded_ms;
	GPtrArray *decisions;
};

/* ---- evidence and the model ---- */

static void tell_vm(struct world *w, struct vm *vm)
{
	struct placement_vm p = {
		.name = vm->name,
		.domain = vm->domain,
		.data_centre = vm->centre,
		.model = *vm->version ? vm->service : "",
		.adapter = "",
		.version = vm->version,
		.accelerators = VM_ACCELERATORS,
		.alive = vm->seen,
		.lost_ms = vm->seen ? 0 : w->now_ms,
	};

	placement_put_vm(w->placement, w->now_ms, &p);
}

static void make_world(struct world *w, const struct trace *trace,
		       const struct placement_opts *opts, uint32_t seed)
{
	memset(w, 0, sizeof(*w));
	w->trace = trace;
	w->placement = placement_create(opts);
	w->random = g_rand_new_with_seed(seed);
	w->replicas = g_ptr_array_new_with_free_func(g_free);
	w->decisions = g_ptr_array_new_with_free_func(g_free);
	w->vm_count = trace->vms_per_domain * trace->domains;
	w->vms = g_new0(struct vm, w->vm_count);
	w->services = g_new0(struct service, trace->services);
	w->next_fault_ms = FILL_MS;
	w->next_replica = 1;
	w->next_epoch = 1;
	for (int i = 0; i < w->vm_count; i++) {
		struct vm *vm = &w->vms[i];
		int domain = i / trace->vms_per_domain;

		g_snprintf(vm->name, sizeof(vm->name), "d%03d-%04d", domain, i);
		g_snprintf(vm->domain, sizeof(vm->domain), "d%03d", domain);
		g_snprintf(vm->centre, sizeof(vm->centre), "c%d", domain % 3);
		vm->up = vm->seen = true;
		tell_vm(w, vm);
	}
	for (int i = 0; i < trace->services; i++) {
		struct service *s = &w->services[i];
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
		placement_put_service(w->placement, &p);
	}
}

static void free_world(struct world *w)
{
	placement_destroy(w->placement);
	g_ptr_array_unref(w->replicas);
	g_ptr_array_unref(w->decisions);
	g_rand_free(w->random);
	g_free(w->vms);
	g_free(w->services);
}

/* ---- faults ---- */

static void lose(struct world *w, struct vm *vm, int64_t back_ms)
{
	if (!vm->up)
		return;
	vm->up = false;
	vm->change_ms = w->now_ms;
	vm->up_again_ms = back_ms;
	w->failures++;
}

static void single_fault(struct world *w)
{
	struct vm *vm = &w->vms[g_rand_int_range(w->random, 0, w->vm_count)];
	double gap = -log(g_rand_double_range(w->random, 1e-9, 1)) *
		     w->trace->mean_gap_ms;
	bool pauses = g_rand_double(w->random) < w->trace->pause_share;
	int64_t back = pauses ? g_rand_int_range(w->random, 200, 3000)
			      : (int64_t)w->trace->repair_ms;

	lose(w, vm, w->now_ms + back);
	w->next_fault_ms = w->now_ms + (int64_t)gap + 1;
}

static void domain_fault(struct world *w)
{
	for (int i = 0; i < w->trace->vms_per_domain; i++)
		lose(w, &w->vms[i], w->now_ms + 600000);
}

static void inject(struct world *w)
{
	const struct trace *t = w->trace;

	if (w->now_ms >= w->next_fault_ms && w->now_ms < t->length_ms)
		single_fault(w);
	if (t->domain_dark_ms && w->now_ms == t->domain_dark_ms)
		domain_fault(w);
	for (int i = 0; i < w->vm_count; i++) {
		struct vm *vm = &w->vms[i];

		if (vm->up || w->now_ms < vm->up_again_ms)
			continue;
		vm->up = true;
		/* A short pause keeps the process; a loss does not. */
		if (w->now_ms - vm->change_ms > 5000) {
			*vm->version = '\0';
			vm->replica = 0;
		}
		vm->change_ms = w->now_ms;
	}
}

/* ---- replicas in truth ---- */

static struct replica *find_replica(struct world *w, uint32_t id)
{
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r = w->replicas->pdata[i];

		if (r->id == id)
			return r;
	}
	return NULL;
}

static bool serves(const struct replica *r)
{
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (!r->vms[i]->up || r->vms[i]->replica != r->id)
			return false;
	return true;
}

static bool needs_load(struct world *w, const struct replica *r)
{
	for (uint32_t i = 0; i < r->vm_count; i++)
		if (strcmp(r->vms[i]->service, w->services[r->service].name) !=
			    0 ||
		    !*r->vms[i]->version)
			return true;
	return false;
}

static uint32_t loads_running(struct world *w)
{
	uint32_t n = 0;

	for (int i = 0; i < w->vm_count; i++)
		n += w->vms[i].preloaded_ms != 0;
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r = w->replicas->pdata[i];

		n += r->ready_ms && !r->whole && needs_load(w, r);
	}
	return n;
}

/* The weight store serves so many replicas at once, in order of epochs. */
static void advance(struct world *w)
{
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r = w->replicas->pdata[i];
		const char *name = w->services[r->service].name;

		if (!serves(r)) {
			r->whole = false;
			continue;
		}
		if (!r->ready_ms) {
			if (!needs_load(w, r))
				r->ready_ms = w->now_ms + CONFIRM_MS;
			else if (loads_running(w) < w->trace->loads)
				r->ready_ms = w->now_ms + CONFIRM_MS +
					      w->trace->load_ms;
		}
		if (!r->ready_ms || w->now_ms < r->ready_ms)
			continue;
		for (uint32_t j = 0; j < r->vm_count; j++) {
			g_strlcpy(r->vms[j]->version, "1", 8);
			g_strlcpy(r->vms[j]->service, name, 16);
			tell_vm(w, r->vms[j]);
		}
		r->whole = true;
	}
}

/* ---- what placement decides ---- */

static struct vm *find_vm(struct world *w, const char *name)
{
	return &w->vms[atoi(strrchr(name, '-') + 1)];
}

static void release_vm(struct world *w, struct vm *vm, uint32_t id)
{
	if (vm->replica != id)
		return;
	placement_set_holder(w->placement, vm->name, id, true);
	vm->free_at_ms = w->now_ms + CONFIRM_MS;
}

static void take_vms(struct world *w, struct replica *r,
		     const struct placement_decision *d)
{
	for (uint32_t i = 0; i < r->vm_count; i++) {
		bool kept = false;

		for (uint32_t j = 0; j < d->vm_count; j++)
			kept |= !strcmp(r->vms[i]->name, d->vms[j]);
		if (!kept)
			release_vm(w, r->vms[i], r->id);
	}
	r->vm_count = d->vm_count;
	for (uint32_t j = 0; j < d->vm_count; j++) {
		r->vms[j] = find_vm(w, d->vms[j]);
		r->vms[j]->replica = r->id;
		r->vms[j]->free_at_ms = 0;
	}
}

static int service_number(const char *name)
{
	return atoi(name + 1);
}

static void carry_out(struct world *w, const struct placement_decision *d)
{
	struct replica *r = d->replica ? find_replica(w, d->replica) : NULL;

	if (d->action == PLACEMENT_PRELOAD) {
		struct vm *vm = find_vm(w, d->vms[0]);

		vm->preloaded_ms = w->now_ms + w->trace->load_ms;
		g_strlcpy(vm->ahead, d->service, sizeof(vm->ahead));
		placement_set_preloading(w->placement, vm->name, true);
		return;
	}
	w->moves++;
	if (d->action == PLACEMENT_RELEASE) {
		g_assert(r);
		for (uint32_t i = 0; i < r->vm_count; i++)
			release_vm(w, r->vms[i], r->id);
		placement_remove_replica(w->placement, r->id);
		g_ptr_array_remove_fast(w->replicas, r);
		return;
	}
	if (!r) {
		r = g_new0(struct replica, 1);
		r->id = w->next_replica++;
		r->service = service_number(d->service);
		g_ptr_array_add(w->replicas, r);
	}
	take_vms(w, r, d);
	r->epoch = w->next_epoch++;
	r->ready_ms = 0;
	r->whole = false;
	placement_put_replica(w->placement, w->now_ms, r->id, r->epoch,
			      d->service, d->version, d->vms, d->vm_count);
}

/* Kept until the plan is made: the model may not change meanwhile. */
static void on_decision(void *ctx, const struct placement_decision *d)
{
	struct world *w = ctx;

	if (d->action != PLACEMENT_WAIT)
		g_ptr_array_add(w->decisions, g_memdup2(d, sizeof(*d)));
}

static void carry_out_all(struct world *w)
{
	for (guint i = 0; i < w->decisions->len; i++) {
		struct placement_decision *d = w->decisions->pdata[i];
		char service[16];

		g_strlcpy(service, d->service, sizeof(service));
		d->service = service;
		d->version = "1";
		carry_out(w, d);
	}
	g_ptr_array_set_size(w->decisions, 0);
}

static void plan(struct world *w)
{
	struct timespec a, b;
	double us;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &a);
	placement_plan(w->placement, w->now_ms, on_decision, w);
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &b);
	us = (double)(b.tv_sec - a.tv_sec) * 1e6 +
	     (double)(b.tv_nsec - a.tv_nsec) / 1e3;
	w->plan_us_sum += us;
	w->plan_us_max = MAX(w->plan_us_max, us);
	w->plans++;
	carry_out_all(w);
}

/* ---- time ---- */

static bool observe(struct world *w)
{
	bool changed = false;

	for (int i = 0; i < w->vm_count; i++) {
		struct vm *vm = &w->vms[i];
		int64_t lag = vm->up ? CONFIRM_MS : DETECT_MS;

		if (vm->free_at_ms && vm->up && w->now_ms >= vm->free_at_ms) {
			vm->free_at_ms = 0;
			vm->replica = 0;
			placement_set_holder(w->placement, vm->name, 0, false);
			changed = true;
		}
		if (vm->preloaded_ms && w->now_ms >= vm->preloaded_ms) {
			vm->preloaded_ms = 0;
			placement_set_preloading(w->placement, vm->name, false);
			if (vm->up && !vm->replica) {
				g_strlcpy(vm->version, "1", 8);
				g_strlcpy(vm->service, vm->ahead, 16);
				tell_vm(w, vm);
			}
		}
		if (vm->seen == vm->up || w->now_ms - vm->change_ms < lag)
			continue;
		vm->seen = vm->up;
		tell_vm(w, vm);
		/* Returned empty: it holds nothing, and says so. */
		if (vm->seen && !vm->replica)
			placement_set_holder(w->placement, vm->name, 0, false);
		changed = true;
	}
	return changed;
}

static void tell_whole(struct world *w)
{
	for (guint i = 0; i < w->replicas->len; i++) {
		struct replica *r = w->replicas->pdata[i];

		placement_set_healthy(w->placement, r->id, r->whole);
	}
}

/*
 * The least that any placement could lose at this moment: replicas that the
 * VMs up cannot fill, domain by domain, and accelerators left over once all
 * that is wanted is filled.
 */
static void add_bound(struct world *w)
{
	const struct trace *t = w->trace;
	uint32_t fit = 0, wanted = t->replicas * (uint32_t)t->services;

	for (int d = 0; d < t->domains; d++) {
		uint32_t up = 0;

		for (int i = 0; i < t->vms_per_domain; i++)
			up += w->vms[d * t->vms_per_domain + i].up;
		fit += up / t->vms;
	}
	if (fit < wanted)
		w->bound_down_ms += (double)(wanted - fit) * TICK_MS;
}

static void account(struct world *w)
{
	uint32_t up = 0, busy = 0, wanted_vms = 0;

	for (int i = 0; i < w->trace->services; i++) {
		struct service *s = &w->services[i];
		uint32_t whole = 0;

		for (guint j = 0; j < w->replicas->len; j++) {
			struct replica *r = w->replicas->pdata[j];

			whole += r->service == i && r->whole && serves(r);
		}
		whole = MIN(whole, s->wanted);
		s->downtime_ms += (double)(s->wanted - whole) * TICK_MS;
		busy += whole * s->vms;
		wanted_vms += s->wanted * s->vms;
	}
	for (int i = 0; i < w->vm_count; i++)
		up += w->vms[i].up;
	/* Spares beyond what is wanted are not stranded. */
	if (MIN(up, wanted_vms) > busy)
		w->stranded_ms += (double)(MIN(up, wanted_vms) - busy) *
				  VM_ACCELERATORS * TICK_MS;
	add_bound(w);
}

static void run(struct world *w)
{
	bool changed = true;

	for (w->now_ms = TICK_MS; w->now_ms <= w->trace->length_ms;
	     w->now_ms += TICK_MS) {
		inject(w);
		changed = observe(w);
		advance(w);
		tell_whole(w);
		if (changed || w->now_ms % 500 == 0)
			plan(w);
		/* The first two minutes fill the system. */
		if (w->now_ms > FILL_MS)
			account(w);
		if (w->now_ms == FILL_MS)
			w->plan_us_sum = w->plan_us_max = w->plans = 0;
	}
}

/* ---- the report ---- */

struct outcome {
	double downtime_min, stranded_min, bound_min, moves_per_failure;
	double plan_ms, plan_max_ms;
	uint32_t failures;
	double weighted;
};

static void measure(const struct trace *t, const struct placement_opts *opts,
		    uint32_t seed, struct outcome *out)
{
	struct world w;

	make_world(&w, t, opts, seed);
	run(&w);
	memset(out, 0, sizeof(*out));
	for (int i = 0; i < t->services; i++) {
		out->downtime_min += w.services[i].downtime_ms / MINUTE_MS;
		out->weighted += w.services[i].downtime_ms / MINUTE_MS *
				 w.services[i].downtime_weight;
	}
	out->stranded_min = w.stranded_ms / MINUTE_MS;
	/* Each loss of a serving VM costs detection and an order at least. */
	out->bound_min = w.bound_down_ms / MINUTE_MS;
	out->failures = w.failures;
	out->moves_per_failure = (double)w.moves / MAX(1, w.failures);
	out->plan_ms = w.plan_us_sum / 1000 / (double)w.plans;
	out->plan_max_ms = w.plan_us_max / 1000;
	free_world(&w);
}

static const struct placement_opts base = {
	.pause_wait_ms = 1000,
	.drain_ms = 30000,
	.flap_wait_ms = 2000,
	.flap_forget_ms = 60000,
	.loads_max = 4,
};

#define RIVALS 5

struct rival {
	const char *name;
	struct placement_opts opts;
};

static void make_rivals(struct rival *rivals)
{
	for (int i = 0; i < RIVALS; i++)
		rivals[i].opts = base;
	rivals[0].name = "radishdeal";
	rivals[1].name = "first-fit, repair at once";
	rivals[1].opts.first_fit = true;
	rivals[1].opts.repair_at_once = true;
	rivals[1].opts.ignore_weights = true;
	rivals[1].opts.loads_max = 100000;
	rivals[2].name = "waits for its own VM";
	rivals[2].opts.wait_for_own = true;
	rivals[2].opts.no_preload = true;
	rivals[1].opts.no_preload = true;
	rivals[3].name = "no weight preference";
	rivals[3].opts.ignore_weights = true;
	rivals[3].opts.no_preload = true;
	rivals[4].name = "no loading ahead";
	rivals[4].opts.no_preload = true;
}

static const struct trace traces[] = {
	{ "today", 30, 6, 2, 25, 3, 3600000, 20000, 120000, 0.4, 1800000, 20000,
	  4 },
	{ "today, scarce", 25, 6, 2, 25, 3, 3600000, 30000, 300000, 0.3, 0,
	  20000, 4 },
};

static void verdict(const char *name, double value, const char *unit,
		    double target, bool met)
{
	printf("%s %.4g %s %.4g %s\n", name, value, unit, target,
	       met ? "met" : "not-met");
}

static void compare(uint32_t seed)
{
	struct rival rivals[RIVALS];

	make_rivals(rivals);
	for (size_t t = 0; t < G_N_ELEMENTS(traces); t++) {
		struct outcome ours = { 0 }, other;
		bool better = true;

		printf("# trace %s, seed %u\n", traces[t].name, seed);
		printf("# %-26s %12s %12s %12s %8s %8s\n", "placement",
		       "down min", "stranded min", "bound min", "moves/f",
		       "plan ms");
		for (int i = 0; i < RIVALS; i++) {
			measure(&traces[t], &rivals[i].opts, seed, &other);
			printf("# %-26s %12.1f %12.1f %12.1f %8.2f %8.3f\n",
			       rivals[i].name, other.downtime_min,
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
			verdict("placement_downtime_over_bound",
				ours.downtime_min / ours.bound_min, "ratio",
				1.2, ours.downtime_min <= 1.2 * ours.bound_min);
	}
}

/* Planning time and memory at growing size, one failure a second. */
static void slope(void)
{
	static const uint32_t sizes[] = { 50, 500, 1500, 4900 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct trace t = {
			.name = "size",
			.vms_per_domain = 96,
			.services = 50,
			.replicas = sizes[i] / 50,
			.vms = 8,
			.length_ms = FILL_MS + 20000,
			.mean_gap_ms = 1000,
			.repair_ms = 60000,
			.load_ms = 1000,
			.loads = 100000,
		};
		struct placement_opts opts = base;
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
			verdict("plan_ms_at_4900_replicas", o.plan_ms, "ms", 10,
				o.plan_ms < 10);
	}
}

int main(int argc, char **argv)
{
	uint32_t seed = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;

	compare(seed);
	slope();
	return 0;
}
