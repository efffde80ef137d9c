/**
 * @file
 * Time source that is passed to the tasks. Code that decides by time takes
 * `now_ms` as an argument and reads no clock.
 */
#ifndef COMMON_CLOCK_H
#define COMMON_CLOCK_H

#include <stdint.h>

/** A monotonic time source; `now_us` counts from an arbitrary start. */
struct clock_source {
	int64_t (*now_us)(void *ctx);
	void *ctx;
};

/** The system clock that also advances while the VM is suspended. */
extern const struct clock_source clock_system;

/** Returns the time in ms. */
int64_t clock_now_ms(const struct clock_source *clock);

/** Returns the time in us. */
int64_t clock_now_us(const struct clock_source *clock);

#endif
