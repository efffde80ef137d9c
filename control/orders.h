/**
 * @file
 * Sending one order to an engine so that it cannot take effect after the
 * sender's lease.
 *
 * The connection is opened first; then the lease is checked, and the order
 * goes out as one small write. The kernel gives up unacknowledged data within
 * ORDER_DELIVERY_LIMIT_MS and the socket is closed abortively, so nothing
 * arrives later than that. Runs on the control task.
 */
#ifndef CONTROL_ORDERS_H
#define CONTROL_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "wire/radishdeal.h"

/** After this long an order that was sent has arrived or never will. */
#define ORDER_DELIVERY_LIMIT_MS 1000

enum order_kind {
	ORDER_FORM,    /* take part in a replica under an epoch */
	ORDER_OPEN,    /* as its head, begin to serve */
	ORDER_RELEASE, /* hold nothing of a replica any more */
	ORDER_LOAD,    /* load weights ahead of need */
	ORDER_WARM,    /* keep loaded weights ready in memory, alone */
};

/** Returns a word for a kind. */
const char *order_kind_name(enum order_kind kind);

/** What a VM is to do. Strings are borrowed. */
struct order_intent {
	enum order_kind kind;
	const char *vm;
	uint32_t replica;
	uint64_t epoch;
	uint64_t term; /* of the leader that orders */
	u_int rank;    /* of the VM in the replica */
	const char *service, *model, *adapter, *version;
	uint32_t slots;
	const struct vm_ref *vms; /* of the replica, the head first */
	u_int vm_count;
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_STALE,	/* the engine has seen a higher fencing number */
	ORDER_REFUSED,	/* for another reason */
	ORDER_WITHHELD, /* the lease had run out; nothing was sent */
	ORDER_LOST,	/* no answer; it may or may not have arrived */
};

/** How engines are spoken to. */
struct order_format {
	/** The JSON body, to be freed by free(). */
	char *(*body)(const struct order_intent *intent);
	/** Further header lines, each with CR and LF; g_free(). May be NULL. */
	char *(*headers)(const struct order_intent *intent);
	enum order_result (*classify_status)(int status);
	bool fences_old_leaders; /* all engines refuse orders of an older leader
				  */
	bool supports_warm;	 /* knows ORDER_WARM */
	bool requires_open; /* a head waits for ORDER_OPEN before it serves */
};

/** The project's own engine orders. */
extern const struct order_format native_orders;

struct order {
	const struct order_format *format;
	const char *address;
	const struct order_intent *intent; /* used before the call returns */
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
