/**
 * @file
 * Sends orders to engines, such that an order cannot arrive later than
 * ORDER_DELIVERY_LIMIT_MS after the sender last held a valid lease.
 *
 * The connection is opened first. Then the lease is checked, and the order is
 * sent in one small write. The kernel drops unacknowledged data within
 * ORDER_DELIVERY_LIMIT_MS and the socket is closed with a reset, which bounds
 * the time of arrival. Runs on the control task.
 */
#ifndef CONTROL_ORDERS_H
#define CONTROL_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>

#include "wire/radishdeal.h"

/** Longest time from sending an order to its arrival at the engine. */
#define ORDER_DELIVERY_LIMIT_MS 1000

enum order_kind {
	ORDER_FORM,    /* join a replica under an epoch */
	ORDER_OPEN,    /* start serving as the head of a replica */
	ORDER_RELEASE, /* leave a replica and free its resources */
	ORDER_LOAD,    /* preload weights */
	ORDER_WARM,    /* hold staged weights in memory, outside any replica */
};

/** Returns the name of a kind, as used in orders and log lines. */
const char *order_kind_name(enum order_kind kind);

/** Content of an order. Strings are borrowed. */
struct order_intent {
	enum order_kind kind;
	const char *vm;
	uint32_t replica;
	uint64_t epoch;
	uint64_t term; /* of the leader that sends it */
	u_int rank;    /* of the VM in the replica; 0: the head */
	const char *service, *model, *adapter, *version;
	uint32_t slots;
	const struct vm_ref *vms; /* of the replica, the head first */
	u_int vm_count;
};

enum order_result {
	ORDER_ACCEPTED,
	ORDER_STALE,	/* refused: the engine saw a higher fencing token */
	ORDER_REFUSED,	/* refused for another reason */
	ORDER_WITHHELD, /* not sent: no connection, or the lease expired */
	ORDER_LOST,	/* sent, no valid response; it may have arrived */
};

/** Encoding of orders for one kind of engine. */
struct order_format {
	/** Returns the JSON body; free it with free(). */
	char *(*body)(const struct order_intent *intent);
	/**
	 * Returns further header lines, each ending in CR LF; free them with
	 * g_free(). The callback may be NULL.
	 */
	char *(*headers)(const struct order_intent *intent);
	/** Maps an HTTP status to a result. */
	enum order_result (*classify_status)(int status);
	/** Whether all engines refuse orders of earlier leaders. */
	bool fences_old_leaders;
	/** Whether engines support ORDER_WARM. */
	bool supports_warm;
	/** Whether a head serves only after ORDER_OPEN. */
	bool requires_open;
};

/** Format of the project's native engine interface. */
extern const struct order_format native_orders;

/** Arguments of order_send(). */
struct order {
	const struct order_format *format;
	const char *address;		   /* IP:port */
	const struct order_intent *intent; /* need not outlive order_send() */
	int timeout_ms;			   /* for connect, send and response */
	/** Called right before the write; false withholds the order. */
	bool (*may_send)(void *ctx);
	/** Called once, possibly before order_send() returns. */
	void (*done)(void *ctx, enum order_result result);
	void *ctx;
};

/** Starts to send an order. Strings are copied. */
void order_send(struct event_base *base, const struct order *order);

#endif
