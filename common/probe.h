/**
 * @file
 * TCP connect probe: checks whether an address accepts connections. Runs on
 * the thread that owns the event base.
 */
#ifndef COMMON_PROBE_H
#define COMMON_PROBE_H

#include <stdbool.h>

#include <event2/event.h>

struct probe;

/** Called once; `reachable` is false if the connect failed or timed out. */
typedef void (*probe_done_fn)(void *ctx, bool reachable);

struct probe_opts {
	const char *address; /* a.b.c.d:port */
	int timeout_ms;	     /* limit on the connect */
	/** Time for which the connection has to stay open; 0: none. */
	int hold_ms;
	probe_done_fn done;
	void *ctx;
};

/** Starts a probe. `done` does not run before the call returns. */
struct probe *probe_start(struct event_base *base,
			  const struct probe_opts *opts);

/** Ends a probe whose `done` has not been called; it won't be. */
void probe_cancel(struct probe *probe);

/** Returns the log line about a VM that is treated as lost; free it. */
char *probe_failure_line(const char *vm, int timeout_ms, int lost_ms);

#endif
