#include <stddef.h>
#include <time.h>

#include "common/clock.h"

static int64_t system_now_us(void *ctx)
{
	struct timespec ts;

	(void)ctx;
	/*
	 * CLOCK_MONOTONIC stops while a VM is suspended, which would extend
	 * its leases.
	 */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

const struct clock_source clock_system = { system_now_us, NULL };

int64_t clock_now_us(const struct clock_source *clock)
{
	return clock->now_us(clock->ctx);
}

int64_t clock_now_ms(const struct clock_source *clock)
{
	return clock->now_us(clock->ctx) / 1000;
}
