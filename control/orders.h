/**
 * @file
 * Sending one order to an engine so that it cannot take effect after the
 * sender's lease.
 *
 * The connection is opened first; then the lease is checked, and the order
 * goes out as one small write. The kernel gives up unacknowledged data within
 * ORDER_BOUND_MS and the socket is closed abortively, so nothing arrives
 * later than that. Runs on the control task.
 */
#ifndef CONTROL_ORDERS_H
#define CONTROL_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

/** After this long an order that was sent has arrived or never will. */
#define ORDER_BOUND_MS 1000

enum order_result {
	ORDER_ACCEPTED,
	ORDER_STALE,	/* the engine has seen a higher fencing number */
	ORDER_REFUSED,	/* for another reason */
	ORDER_WITHHELD, /* the lease had run out; nothing was sent */
	ORDER_LOST,	/* no answer; it may or may not have arrived */
};

struct order {
	const char *address;
	const char *body; /* JSON */
	int timeout_ms;
	/** Asked right before the write. */
	bool (*may_send)(void *ctx);
	/** Called once. */
	void (*done)(void *ctx, enum order_result result);
	void *ctx;
};

/** Starts sending; strings are copied. */
void order_send(struct event_base *base, const struct order *order);

#endif
