/* Faults of endpoints, drawn from the seed: pauses, late heartbeats, ... */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak/platform.h"

#define US_PER_MS 1000
#define INTERVAL_MIN_MS 300
#define INTERVAL_MAX_MS 2500
#define PAUSE_MIN_MS 300
#define PAUSE_MAX_MS 3000
/* A stream pauses, but its VM goes on to report. */
#define HOLD_MIN_MS 1200
#define HOLD_MAX_MS 1800
/* Longer than a group stalls before it breaks. */
#define DARK_MIN_MS 4000
#define DARK_MAX_MS 9000

/* Long enough for an entry to find out, and to serve for a while after that. */
#define CUT_MIN_MS 1000
#define CUT_MAX_MS 6000
#define ENTRY_GROUP "links"

struct platform_faults {
	struct soak *soak;
	GRand *random;
	char **groups; /* NULL: all */
	int64_t next_us;
	int64_t continue_us; /* of the stopped process; 0 if it runs */
};

/* Long enough for a limit to be known, and for a window after that. */
#define LIMIT_MIN_MS 8000
#define LIMIT_MAX_MS 12000

/** A fault of one VM or all. */
struct vm_fault {
	const char *group; /* name in the option */
	const char *what;  /* for the endpoints; NULL: their process stops */
	int weight;
	int min_ms, max_ms;
	bool all;
	bool plain; /* of the plain service, not of the model */
};

static const struct vm_fault vm_faults[] = {
	{ "stop", NULL, 16, PAUSE_MIN_MS, PAUSE_MAX_MS, true, false },
	{ "pause", "pause", 15, PAUSE_MIN_MS, PAUSE_MAX_MS, false, false },
	{ "hold", "hold", 25, HOLD_MIN_MS, HOLD_MAX_MS, false, false },
	{ "late", "skip-beats", 10, 1000, 4000, true, false },
	{ "late", "skip-beats", 10, 1000, 8000, false, false },
	{ "late", "late-beats:3000", 10, 3000, 8000, true, false },
	{ "slow", "slow:4", 10, 3000, 8000, false, false },
	{ "crash", "crash", 4, 0, 0, false, false },
	{ "dark", "dark", 3, DARK_MIN_MS, DARK_MAX_MS, false, false },
	{ "limit", "limit:2", 8, LIMIT_MIN_MS, LIMIT_MAX_MS, false, false },
	{ "limit", "limit:0.5", 4, LIMIT_MIN_MS, LIMIT_MAX_MS, true, false },
	{ "limit", "limit:1", 8, LIMIT_MIN_MS, LIMIT_MAX_MS, false, true },
	{ "limit", "limit:3", 4, LIMIT_MIN_MS, LIMIT_MAX_MS, true, true },
	{ ENTRY_GROUP, "cut", 10, CUT_MIN_MS, CUT_MAX_MS, true, false },
	{ ENTRY_GROUP, "reset", 10, CUT_MIN_MS, CUT_MAX_MS, true, false },
};

static int draw(struct platform_faults *f, int from, int to)
{
	return g_rand_int_range(f->random, from, to + 1);
}

static pid_t engine_of(const struct platform_faults *f)
{
	return ((struct platform_rig *)f->soak->rig_state)->engine;
}

static void stop_engine(struct platform_faults *f, int ms)
{
	kill(engine_of(f), SIGSTOP);
	f->continue_us = soak_now_us() + ms * (int64_t)US_PER_MS;
}

static void change_vm(struct platform_faults *f, const struct vm_fault *fault)
{
	const struct soak_platform_opts *opts = &f->soak->opts.platform;
	int vm = draw(f, 0, (fault->plain ? opts->plain_vms : opts->vms) - 1);
	char *number = fault->all ? g_strdup("all") : g_strdup_printf("%d", vm);
	char *path = g_strdup_printf("/set?vm=%s&what=%s&ms=%d", number,
				     fault->what,
				     draw(f, fault->min_ms, fault->max_ms));

	if (!cluster_change_fake(f->soak->cluster,
				 fault->plain ? "web" : "models", path))
		printf("seed %u: the endpoints refused %s\n",
		       f->soak->opts.seed, path);
	g_free(number);
	g_free(path);
}

/* Cuts an entry off from all endpoints, of the model and the plain service. */
static void cut_entry(struct platform_faults *f, const struct vm_fault *fault)
{
	struct cluster *c = f->soak->cluster;
	int entry = draw(f, PLATFORM_CONTROL_VMS, c->node_count - 1);
	int ms = draw(f, fault->min_ms, fault->max_ms);
	char *path = g_strdup_printf("/set?vm=all&what=%s:%d&ms=%d",
				     fault->what, (int)c->nodes[entry].pid, ms);

	if (!cluster_change_fake(c, "web", path) ||
	    !cluster_change_fake(c, "models", path))
		printf("seed %u: the endpoints refused %s\n",
		       f->soak->opts.seed, path);
	g_free(path);
}

static int weight_of(const struct platform_faults *f,
		     const struct vm_fault *fault)
{
	if (f->groups &&
	    !g_strv_contains((const char *const *)f->groups, fault->group))
		return 0;
	return fault->weight;
}

static const struct vm_fault *draw_fault(struct platform_faults *f)
{
	const struct vm_fault *fault = vm_faults;
	int sum = 0, n;

	for (size_t i = 0; i < G_N_ELEMENTS(vm_faults); i++)
		sum += weight_of(f, &vm_faults[i]);
	/* Only callers make faults. */
	if (!sum)
		return NULL;
	n = draw(f, 0, sum - 1);
	while (n >= weight_of(f, fault))
		n -= weight_of(f, fault++);
	return fault;
}

static void make_fault(struct platform_faults *f)
{
	const struct vm_fault *fault = draw_fault(f);

	if (!fault)
		return;
	if (!strcmp(fault->group, ENTRY_GROUP))
		cut_entry(f, fault);
	else if (fault->what)
		change_vm(f, fault);
	else
		stop_engine(f, draw(f, fault->min_ms, fault->max_ms));
}

bool platform_faults_known(const char *list)
{
	char **groups = g_strsplit(list, ",", 0);
	bool known = groups[0] != NULL;

	for (int i = 0; groups[i]; i++) {
		bool found = !strcmp(groups[i], "all") ||
			     !strcmp(groups[i], PLATFORM_BAD_REQUESTS);

		for (size_t j = 0; j < G_N_ELEMENTS(vm_faults); j++)
			found |= !strcmp(groups[i], vm_faults[j].group);
		known &= found;
	}
	g_strfreev(groups);
	return known;
}

bool platform_faults_include(const char *list, const char *group)
{
	char **groups = g_strsplit(list ? list : "", ",", 0);
	bool included = g_strv_contains((const char *const *)groups, "all") ||
			g_strv_contains((const char *const *)groups, group);

	g_strfreev(groups);
	return included;
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
	make_fault(f);
	f->next_us = now + draw(f, INTERVAL_MIN_MS, INTERVAL_MAX_MS) *
				   (int64_t)US_PER_MS;
}

struct platform_faults *platform_faults_create(struct soak *soak)
{
	struct platform_faults *f = g_new0(struct platform_faults, 1);
	const char *list = soak->opts.platform.faults;

	f->soak = soak;
	if (list && strcmp(list, "all") != 0)
		f->groups = g_strsplit(list, ",", 0);
	f->random = g_rand_new_with_seed(soak->opts.seed ^ 0x5eedu);
	return f;
}

void platform_faults_free(struct platform_faults *f)
{
	g_rand_free(f->random);
	g_strfreev(f->groups);
	g_free(f);
}
