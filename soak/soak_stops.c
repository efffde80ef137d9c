/*
 * Runs daemons under seeded series of signals, restarts and changes.
 * usage: soak_stops SEED SEEDS SECONDS
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak/soak.h"

#define CALLERS 48
#define MS_PER_S 1000

int main(int argc, char **argv)
{
	uint32_t first = argc > 1 ? (uint32_t)atoi(argv[1]) : 1;
	uint32_t seeds = argc > 2 ? (uint32_t)atoi(argv[2]) : 1;
	int seconds = argc > 3 ? atoi(argv[3]) : 20;
	uint32_t failed = 0;

	signal(SIGPIPE, SIG_IGN);
	for (uint32_t seed = first; seed < first + seeds; seed++) {
		struct soak_opts opts = {
			.rig = &native_rig,
			.seed = seed,
			.duration_ms = seconds * MS_PER_S,
			.callers = CALLERS,
		};
		struct soak_result result;

		soak_run(&opts, &result);
		failed += result.findings->len != 0;
		soak_result_clear(&result);
	}
	printf("%u seeds, %u failed\n", seeds, failed);
	return failed != 0;
}
