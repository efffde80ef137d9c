/**
 * @file
 * Judges what stand-ins recorded, and throws bad bytes at ports.
 */
#ifndef TEST_ORACLE_H
#define TEST_ORACLE_H

#include <stdbool.h>

/** How often a booking's key ran. */
int oracle_count_runs(const char *path, const char *key);

/** How many keys ran more than once. */
int oracle_count_duplicate_runs(const char *path);

/**
 * Checks an engine's log: no VM in two replicas, no request begun or served
 * with a VM missing, no order of an older epoch obeyed after a newer one.
 * Returns "clean" or the first fault; the caller frees.
 */
char *oracle_check_engine(const char *path);

/**
 * Sends bad bytes to a port: `garbage`, `huge`, `truncated-rpc`,
 * `random-rpc`, `bad-json`, `half-request`. False if it cannot connect.
 */
bool oracle_send_malformed(const char *address, const char *kind,
			   unsigned seed);

#endif
