/**
 * @file
 * Request limits that endpoints named during a run, from their logs, and the
 * check that entries kept to them. The table belongs to struct soak.
 */
#ifndef SOAK_LIMITS_H
#define SOAK_LIMITS_H

#include "soak/soak.h"

/** Returns an empty table of the VMs' limits, by their ids. */
GHashTable *limits_table_create(void);

/** Adds what a log of a fake says of limits and of requests that arrived. */
void limits_read_log(GHashTable *vms, const char *path);

/** Adds a finding for each limit that was exceeded. */
void limits_check(const struct soak *soak, struct soak_result *result);

#endif
