/**
 * @file
 * Whether somebody listens at an address, asked by opening a connection. On
 * the control task.
 */
#ifndef CONTROL_PROBE_H
#define CONTROL_PROBE_H

#include <stdbool.h>

#include <event2/event.h>

/** Called once; `reachable` is false if nobody listened in time. */
typedef void (*probe_done_fn)(void *ctx, bool reachable);

/** Starts to ask; the address is IP:port. */
void probe_start(struct event_base *base, const char *address, int timeout_ms,
		 probe_done_fn done, void *ctx);

#endif
