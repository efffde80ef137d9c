/* Faults of endpoints, drawn from the seed: pauses, late heartbeats, ... */
#include <signal.h>
#include <stdio.h>

#include "soak/platform.h"

#define US_PER_MS 1000
#define INTERVAL_MIN_MS 300
#define INTERVAL_MAX_MS 2500
#define PAUSE_MIN_MS 300
#define PAUSE_MAX_MS 3000
/* A stream pauses, but its VM goes on to report. */
#define HOLD_MIN_MS 1200
#define HOLD_MAX_MS 1800

struct platform_faults {
	struct soak *soak;
	GRand *random;
	int64_t next_us;
	int64_t continue_us; /* of the stopped process; 0 if it runs */
	int made;
};

/** A fault of one VM or all; percentages add up to less than 100. */
struct vm_fault {
	int percent;
	bool all;
	const char *what;
	int min_ms, max_ms;
};

static const struct vm_fault vm_faults[] = {
	{ 15, false, "pause", PAUSE_MIN_MS, PAUSE_MAX_MS },
	{ 25, false, "hold", HOLD_MIN_MS, HOLD_MAX_MS },
	{ 10, true, "skip-beats", 1000, 4000 },
	{ 10, false, "skip-beats", 1000, 8000 },
	{ 10, true, "late-beats:3000", 3000, 8000 },
	{ 10, false, "slow:4", 3000, 8000 },
	{ 4, false, "crash", 0, 0 },
};

static int draw(struct platform_faults *f, int from, int to)
{
	return g_rand_int_range(f->random, from, to + 1);
}

static pid_t engine_of(const struct platform_faults *f)
{
	return ((struct platform_rig *)f->soak->rig_state)->engine;
}

static void stop_engine(struct platform_faults *f, int64_t now)
{
	kill(engine_of(f), SIGSTOP);
	f->continue_us = now + draw(f, PAUSE_MIN_MS, PAUSE_MAX_MS) *
				       (int64_t)US_PER_MS;
}

static void change_vm(struct platform_faults *f, const struct vm_fault *fault)
{
	int vm = draw(f, 0, f->soak->opts.platform.vms - 1);
	char *number = fault->all ? g_strdup("all") : g_strdup_printf("%d", vm);
	char *path = g_strdup_printf("/set?vm=%s&what=%s&ms=%d", number,
				     fault->what,
				     draw(f, fault->min_ms, fault->max_ms));

	if (!cluster_change_fake(f->soak->cluster, "models", path))
		printf("seed %u: the endpoints refused %s\n",
		       f->soak->opts.seed, path);
	g_free(number);
	g_free(path);
}

static void make_fault(struct platform_faults *f, int64_t now)
{
	int n = draw(f, 0, 99);

	f->made++;
	for (size_t i = 0; i < G_N_ELEMENTS(vm_faults); i++) {
		if (n < vm_faults[i].percent) {
			change_vm(f, &vm_faults[i]);
			return;
		}
		n -= vm_faults[i].percent;
	}
	stop_engine(f, now);
}

void platform_faults_run(struct platform_faults *f)
{
	int64_t now = soak_now_us();

	if (f->continue_us && now >= f->continue_us) {
		kill(engine_of(f), SIGCONT);
		f->continue_us = 0;
	}
	if (f->continue_us || now < f->next_us)
		return;
	make_fault(f, now);
	f->next_us = now + draw(f, INTERVAL_MIN_MS, INTERVAL_MAX_MS) *
				   (int64_t)US_PER_MS;
}

struct platform_faults *platform_faults_create(struct soak *soak)
{
	struct platform_faults *f = g_new0(struct platform_faults, 1);

	f->soak = soak;
	f->random = g_rand_new_with_seed(soak->opts.seed ^ 0x5eedu);
	return f;
}

void platform_faults_free(struct platform_faults *f)
{
	g_rand_free(f->random);
	g_free(f);
}
