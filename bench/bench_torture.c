/*
 * Runs the consensus group under seeded fault schedules.
 * usage: bench_torture FIRST-SEED COUNT [THREADS]
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "test/torture.h"

struct seed_range {
	uint32_t first, count;
	uint32_t next;
	uint32_t failed;
	struct torture_result totals;
	pthread_mutex_t lock;
};

static const char *const crash_names[] = {
	[TORTURE_POWER] = "power",
	[TORTURE_POWER_OR_KILL] = "power-or-kill",
};

static const char *const disk_names[] = {
	[TORTURE_DISK_INLINE] = "inline",
	[TORTURE_DISK_THREAD] = "thread",
};

static void add_result(struct seed_range *range,
		       const struct torture_opts *opts,
		       struct torture_result *r)
{
	pthread_mutex_lock(&range->lock);
	if (r->fault) {
		range->failed++;
		printf("seed %u, disk %s, crash %s: %s\n", opts->seed,
		       disk_names[opts->disk], crash_names[opts->crash],
		       r->fault);
		fflush(stdout);
	}
	range->totals.crashes += r->crashes;
	range->totals.kills += r->kills;
	range->totals.pauses += r->pauses;
	range->totals.partitions += r->partitions;
	range->totals.wipes += r->wipes;
	range->totals.config_changes += r->config_changes;
	range->totals.transfers += r->transfers;
	range->totals.acknowledged += r->acknowledged;
	range->totals.snapshots += r->snapshots;
	range->totals.terms += r->terms;
	range->totals.final_wipes += r->final_wipes;
	pthread_mutex_unlock(&range->lock);
	g_free(r->fault);
}

static void run_schedule(struct seed_range *range, uint32_t seed,
			 enum torture_disk disk, enum torture_crash crash)
{
	struct torture_opts opts = { seed, disk, crash };
	struct torture_result result;

	torture_run(&opts, &result);
	add_result(range, &opts, &result);
}

static void run_seed(struct seed_range *range, uint32_t seed)
{
	run_schedule(range, seed, TORTURE_DISK_INLINE, TORTURE_POWER);
	run_schedule(range, seed, TORTURE_DISK_THREAD, TORTURE_POWER);
	run_schedule(range, seed, TORTURE_DISK_INLINE, TORTURE_POWER_OR_KILL);
	run_schedule(range, seed, TORTURE_DISK_THREAD, TORTURE_POWER_OR_KILL);
}

static void *run_worker(void *arg)
{
	struct seed_range *range = arg;

	for (;;) {
		uint32_t seed;

		pthread_mutex_lock(&range->lock);
		seed = range->next < range->first + range->count ? range->next++
								 : 0;
		pthread_mutex_unlock(&range->lock);
		if (!seed)
			return NULL;
		run_seed(range, seed);
	}
}

int main(int argc, char **argv)
{
	struct seed_range range = { .first = 1, .count = 1000 };
	int threads = 8;
	pthread_t ids[64];

	if (argc > 1)
		range.first = (uint32_t)atoi(argv[1]);
	if (argc > 2)
		range.count = (uint32_t)atoi(argv[2]);
	if (argc > 3)
		threads = CLAMP(atoi(argv[3]), 1, 64);
	range.next = range.first;
	pthread_mutex_init(&range.lock, NULL);
	log_setup((GLogLevelFlags)0, LOG_FORMAT_KEY_VALUE);
	for (int i = 0; i < threads; i++)
		pthread_create(&ids[i], NULL, run_worker, &range);
	for (int i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	printf("seeds %u to %u: %u failed; %u crashes, %u of them kills, "
	       "%u lost disks, "
	       "%u of them as the final fault, "
	       "%u pauses, %u partitions, "
	       "%u membership changes, %u transfers, %u terms, "
	       "%u snapshots installed, %u changes acknowledged\n",
	       range.first, range.first + range.count - 1, range.failed,
	       range.totals.crashes, range.totals.kills, range.totals.wipes,
	       range.totals.final_wipes, range.totals.pauses,
	       range.totals.partitions, range.totals.config_changes,
	       range.totals.transfers, range.totals.terms,
	       range.totals.snapshots, range.totals.acknowledged);
	return range.failed != 0;
}
