/**
 * @file
 * TCP connect probe: checks whether an address accepts connections. Runs on
 * the control task.
 */
#ifndef CONTROL_PROBE_H
#define CONTROL_PROBE_H

#include <stdbool.h>

#include <event2/event.h>

/** Called once; `reachable` is false if the connect failed or timed out. */
typedef void (*probe_done_fn)(void *ctx, bool reachable);

/**
 * Starts a probe of `address` (IP:port). `done` may run before the call
 * returns if the connect fails at once.
 */
void probe_start(struct event_base *base, const char *address, int timeout_ms,
		 probe_done_fn done, void *ctx);

/** Returns the log line about a VM that is treated as lost; free it. */
char *probe_failure_line(const char *vm, int timeout_ms, int lost_ms);

#endif
