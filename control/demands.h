/**
 * @file
 * Lists of what callers ask of services, as entries tell the leader.
 */
#ifndef CONTROL_DEMANDS_H
#define CONTROL_DEMANDS_H

#include <glib.h>

#include "wire/radishdeal.h"

/** An empty list of struct service_demand, which owns its names. */
GArray *demands_create(void);

/** Adds a copy. */
void demands_add(GArray *demands, const struct service_demand *demand);

/**
 * Adds to a service's sum what another entry told: rates add up, sizes are
 * weighed by them.
 */
void demands_accumulate(struct service_demand *sum,
			const struct service_demand *demand);

#endif
