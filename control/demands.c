#include <stdint.h>

#include "control/demands.h"

static void clear_demand(gpointer data)
{
	struct service_demand *demand = data;

	g_free(demand->service);
}

GArray *demands_create(void)
{
	GArray *demands = g_array_new(FALSE, FALSE,
				      sizeof(struct service_demand));

	g_array_set_clear_func(demands, clear_demand);
	return demands;
}

void demands_add(GArray *demands, const struct service_demand *demand)
{
	struct service_demand copy = *demand;

	copy.service = g_strdup(demand->service);
	g_array_append_val(demands, copy);
}

void demands_accumulate(struct service_demand *sum,
			const struct service_demand *demand)
{
	uint64_t rate = (uint64_t)sum->requests_per_ks +
			demand->requests_per_ks;
	uint64_t tokens = (uint64_t)sum->requests_per_ks * sum->prompt_tokens +
			  (uint64_t)demand->requests_per_ks *
				  demand->prompt_tokens;

	if (!rate)
		return;
	sum->prompt_tokens = (uint32_t)(tokens / rate);
	sum->requests_per_ks = (uint32_t)MIN(rate, UINT32_MAX);
}
