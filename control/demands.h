/**
 * @file
 * Request rates and prompt sizes by service, as entries report them to the
 * leader.
 */
#ifndef CONTROL_DEMANDS_H
#define CONTROL_DEMANDS_H

#include <glib.h>

#include "wire/radishdeal.h"

/**
 * Returns an empty array of struct service_demand. It owns the service names
 * of its elements; free it with g_array_unref().
 */
GArray *demands_create(void);

/** Appends a copy of `demand`, including its service name. */
void demands_add(GArray *demands, const struct service_demand *demand);

/**
 * Adds one entry's demand to the sum for a service: rates are added, the
 * prompt size becomes the mean weighted by rate. The name is not used.
 */
void demands_accumulate(struct service_demand *sum,
			const struct service_demand *demand);

#endif
