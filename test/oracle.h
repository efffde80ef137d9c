/**
 * @file
 * Checks the records of fake back ends, and sends malformed input to ports.
 */
#ifndef TEST_ORACLE_H
#define TEST_ORACLE_H

#include <stdbool.h>

/** Returns how often the request with an idempotency key was executed. */
int oracle_count_runs(const char *path, const char *key);

/** Counts the runs of all bookings in the file of runs of fake_service. */
int oracle_count_all_runs(const char *path);

/**
 * Returns the number of repeated executions: for each key, those after the
 * first. Requests without a key are not counted.
 */
int oracle_count_duplicate_runs(const char *path);

/**
 * Checks a fake engine's log: no VM is in two replicas at once, no request is
 * begun or served while a VM of the replica is missing, and no VM accepts an
 * order of an older epoch after a newer one. Returns "clean" or the first
 * fault; free it with g_free().
 */
char *oracle_check_engine(const char *path);

/**
 * Sends malformed input of a kind to a port, on several connections: `garbage`,
 * `huge`, `truncated-rpc`, `random-rpc`, `bad-json` or `half-request`. Returns
 * false if a connection is refused.
 */
bool oracle_send_malformed(const char *address, const char *kind,
			   unsigned seed);

#endif
