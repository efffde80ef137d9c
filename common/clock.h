/**
 * @file
 * The clock passed to whatever needs the time. Decision code takes `now_ms`
 * as an argument and never reads a clock.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/** A source of time; `now_us` counts from an arbitrary start, monotonic. */
struct clock_source {
	int64_t (*now_us)(void *ctx);
	void *ctx;
};

/** The system's clock that also runs while the VM is suspended. */
extern const struct clock_source clock_system;

/** Returns the time in ms. */
int64_t clock_now_ms(const struct clock_source *clock);

/** Returns the time in us. */
int64_t clock_now_us(const struct clock_source *clock);

#endif
