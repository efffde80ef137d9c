/* A run: sets up the cluster, and has the parts do their work in turn. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "soak/bad_runs.h"
#include "soak/limits.h"
#include "soak/soak.h"

#define TICK_US 2000

enum phase {
	PHASE_SERIES,  /* callers send, daemons are stopped and restarted */
	PHASE_ANSWERS, /* the open requests end */
	PHASE_STOP,    /* all daemons are stopped once */
};

struct run {
	struct soak *soak;
	struct callers *callers;
	struct schedule *schedule;
	enum phase phase;
};

int64_t soak_now_us(void)
{
	return clock_now_us(&clock_system);
}

void soak_process_free(gpointer process)
{
	g_free(process);
}

void soak_request_free(gpointer request)
{
	struct request *r = request;

	g_free(r->refusal);
	g_free(r->fault);
	g_free(r->end);
	g_free(r);
}

GHashTable *soak_index_requests(const struct soak *soak)
{
	GHashTable *by_id = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < soak->requests->len; i++) {
		struct request *r = soak->requests->pdata[i];

		g_hash_table_insert(by_id, r->id, r);
	}
	return by_id;
}

/* ---- set-up ---- */

static void init_soak(struct soak *soak, const struct soak_opts *opts)
{
	*soak = (struct soak){ .opts = *opts };
	soak->cluster = opts->rig->set_up(soak);
	g_mutex_init(&soak->lock);
	soak->processes = g_ptr_array_new_with_free_func(soak_process_free);
	soak->requests = g_ptr_array_new_with_free_func(soak_request_free);
	soak->endpoint_runs = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
	soak->reasons = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
	soak->limits = limits_table_create();
	soak->bad_runs = bad_runs_create();
	soak->began_us = soak_now_us();
	for (int node = 1; node <= soak->opts.rig->nodes; node++)
		processes_add(soak, node);
}

static void clear_soak(struct soak *soak)
{
	if (soak->opts.rig->clear)
		soak->opts.rig->clear(soak);
	cluster_destroy(soak->cluster);
	g_mutex_clear(&soak->lock);
	g_ptr_array_unref(soak->processes);
	g_ptr_array_unref(soak->requests);
	g_hash_table_unref(soak->endpoint_runs);
	g_hash_table_unref(soak->reasons);
	g_hash_table_unref(soak->limits);
	bad_runs_free(soak->bad_runs);
}

/* ---- the run ---- */

static int64_t elapsed_ms(const struct soak *soak)
{
	return (soak_now_us() - soak->began_us) / 1000;
}

static void stop_all(struct soak *soak)
{
	for (int node = 1; node <= soak->opts.rig->nodes; node++)
		if (soak->current[node] &&
		    !process_stop_us(soak->current[node]))
			processes_signal(soak, node, SIGTERM);
}

/* Returns false at the end of the run. */
static bool tick(struct run *run)
{
	struct soak *soak = run->soak;

	processes_poll(soak);
	switch (run->phase) {
	case PHASE_SERIES:
		schedule_run_due(run->schedule);
		if (soak->opts.rig->make_faults)
			soak->opts.rig->make_faults(soak);
		if (elapsed_ms(soak) < soak->opts.duration_ms)
			break;
		callers_finish(run->callers);
		run->phase = PHASE_ANSWERS;
		break;
	case PHASE_ANSWERS:
		if (callers_running(run->callers))
			break;
		stop_all(soak);
		run->phase = PHASE_STOP;
		break;
	case PHASE_STOP:
		return processes_running(soak) > 0;
	}
	return true;
}

static void run_phases(struct soak *soak)
{
	struct run run = { .soak = soak };

	run.callers = callers_create(soak);
	run.schedule = schedule_create(soak);
	while (tick(&run))
		g_usleep(TICK_US);
	schedule_free(run.schedule);
	callers_free(run.callers);
}

static void read_logs(struct soak *soak)
{
	for (const char *const *name = soak->opts.rig->logs; *name; name++) {
		char *path = cluster_path(soak->cluster, *name);

		endpoints_read_log(soak->endpoint_runs, path);
		limits_read_log(soak->limits, path);
		bad_runs_read_log(soak->bad_runs, path);
		g_free(path);
	}
	for (int node = 1; node <= soak->opts.rig->nodes; node++) {
		char *name = g_strdup_printf("node%d.log", node);
		char *path = cluster_path(soak->cluster, name);

		reasons_read_log(soak->reasons, path);
		g_free(name);
		g_free(path);
	}
}

static void print_counts(const char *title, GHashTable *counts,
			 const struct soak *soak)
{
	GHashTableIter iter;
	gpointer type, count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &type, &count))
		printf("seed %u: %s %s: %d\n", soak->opts.seed, title,
		       (const char *)type, GPOINTER_TO_INT(count));
}

static void print_result(const struct soak *soak,
			 const struct soak_result *result)
{
	guint shown = soak->opts.shown ? soak->opts.shown : G_MAXUINT;

	printf("seed %u: %d requests, %d complete, %d refused, %d excused, "
	       "%d abandoned; "
	       "%d stops, %d repeated signals, %d early ends; %d limits; "
	       "%d ends by bad requests; %u findings\n",
	       soak->opts.seed, result->requests, result->complete,
	       result->refused, result->excused, result->abandoned,
	       result->stops, result->repeated_signals, result->early_ends,
	       result->limits, result->bad_ends, result->findings->len);
	print_counts("refused with", result->refusals, soak);
	print_counts("ended:", result->causes, soak);
	for (guint i = 0; i < MIN(shown, result->findings->len); i++)
		printf("seed %u: %s\n", soak->opts.seed,
		       (const char *)result->findings->pdata[i]);
	fflush(stdout);
}

void soak_run(const struct soak_opts *opts, struct soak_result *result)
{
	struct soak soak;

	printf("seed %u: starts\n", opts->seed);
	fflush(stdout);
	init_soak(&soak, opts);
	run_phases(&soak);
	read_logs(&soak);
	soak_result_init(result);
	check_records(&soak, result);
	print_result(&soak, result);
	if (result->findings->len)
		setenv("KEEP", "1", 1);
	clear_soak(&soak);
	unsetenv("KEEP");
}

void soak_result_init(struct soak_result *result)
{
	*result = (struct soak_result){
		.refusals = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL),
		.causes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.findings = g_ptr_array_new_with_free_func(g_free),
	};
}

void soak_result_clear(struct soak_result *result)
{
	g_hash_table_unref(result->refusals);
	g_hash_table_unref(result->causes);
	g_ptr_array_unref(result->findings);
}
