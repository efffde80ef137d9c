/**
 * @file
 * Runs of the request that ends each endpoint which begins to answer it, from
 * the endpoints' logs, and the check that there are few once that has happened
 * three times.
 */
#ifndef SOAK_BAD_RUNS_H
#define SOAK_BAD_RUNS_H

#include "soak/soak.h"

struct bad_runs;

struct bad_runs *bad_runs_create(void);
void bad_runs_free(struct bad_runs *runs);

/** Adds what a log of a fake says. */
void bad_runs_read_log(struct bad_runs *runs, const char *path);

/** Adds a finding if the request reached endpoints too often. */
void bad_runs_check(const struct soak *soak, struct soak_result *result);

#endif
