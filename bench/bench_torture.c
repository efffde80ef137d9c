/*
 * Runs seeded schedules of faults over the state group.
 * usage: bench_torture FIRST-SEED COUNT [THREADS]
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "test/torture.h"

struct work {
	uint32_t first, count;
	uint32_t next;
	uint32_t failed;
	struct torture_result sums;
	pthread_mutex_t lock;
};

static void add(struct work *w, uint32_t seed, struct torture_result *r)
{
	pthread_mutex_lock(&w->lock);
	if (r->fault) {
		w->failed++;
		printf("seed %u: %s\n", seed, r->fault);
		fflush(stdout);
	}
	w->sums.crashes += r->crashes;
	w->sums.pauses += r->pauses;
	w->sums.partitions += r->partitions;
	w->sums.wipes += r->wipes;
	w->sums.config_changes += r->config_changes;
	w->sums.transfers += r->transfers;
	w->sums.acknowledged += r->acknowledged;
	w->sums.snapshots += r->snapshots;
	w->sums.terms += r->terms;
	pthread_mutex_unlock(&w->lock);
	g_free(r->fault);
}

static void *run(void *arg)
{
	struct work *w = arg;

	for (;;) {
		struct torture_result result;
		uint32_t seed;

		pthread_mutex_lock(&w->lock);
		seed = w->next < w->first + w->count ? w->next++ : 0;
		pthread_mutex_unlock(&w->lock);
		if (!seed)
			return NULL;
		torture_run(seed, &result);
		add(w, seed, &result);
	}
}

int main(int argc, char **argv)
{
	struct work w = { .first = 1, .count = 1000 };
	int threads = 8;
	pthread_t ids[64];

	if (argc > 1)
		w.first = (uint32_t)atoi(argv[1]);
	if (argc > 2)
		w.count = (uint32_t)atoi(argv[2]);
	if (argc > 3)
		threads = CLAMP(atoi(argv[3]), 1, 64);
	w.next = w.first;
	pthread_mutex_init(&w.lock, NULL);
	log_setup((GLogLevelFlags)0, LOG_FORMAT_KEY_VALUE);
	for (int i = 0; i < threads; i++)
		pthread_create(&ids[i], NULL, run, &w);
	for (int i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	printf("seeds %u to %u: %u failed; %u crashes, %u lost disks, "
	       "%u pauses, %u cuts, "
	       "%u membership changes, %u transfers, %u terms, "
	       "%u snapshots received, %u changes acknowledged\n",
	       w.first, w.first + w.count - 1, w.failed, w.sums.crashes,
	       w.sums.wipes, w.sums.pauses, w.sums.partitions,
	       w.sums.config_changes, w.sums.transfers, w.sums.terms,
	       w.sums.snapshots, w.sums.acknowledged);
	return w.failed != 0;
}
