/**
 * @file
 * Types and functions shared by the placer's source files. Everything runs on
 * the control task.
 */
#ifndef CONTROL_PLACER_INTERNAL_H
#define CONTROL_PLACER_INTERNAL_H

#include <radishdeal/placement.h>

#include "control/control_internal.h"
#include "control/orders.h"

/** State of the orders to one VM. */
struct vm_orders {
	struct placer *placer;
	char *name;
	bool in_flight;
	int64_t next_ms; /* earliest time of the next order */
	int32_t backoff_ms;
	enum order_kind kind;	 /* of the last order */
	uint64_t epoch;		 /* of the last order */
	uint64_t released_epoch; /* highest epoch with a release accepted */
	int64_t released_ms;	 /* time of that acceptance */
	uint64_t formed_epoch;	 /* highest epoch with a form accepted */
	int64_t releasing_since_ms;
	bool probing;		      /* a connect probe is in flight */
	int64_t probed_ms;	      /* start of the last probe */
	int64_t preload_until_ms;     /* deadline; 0 without a preload */
	uint64_t preload_incarnation; /* of the VM at the preload order */
	uint64_t warm_incarnation;    /* of the VM at the last warm order */
	char warm_model[64];
	char preload_model[64];
	char preload_version[64];
};

struct placer {
	struct control *control;
	struct placement *placement;
	/** VM name -> struct vm_orders. */
	GHashTable *orders;
	/** Replica number -> epoch known to the planner, plus 1. */
	GHashTable *planned_epochs;
	/** Replica number -> last epoch under which all its VMs were ready. */
	GHashTable *ready_epochs;
	/** Service name -> target replica count, for services with a share. */
	GHashTable *target_replicas;
	/** Set of names of the pools allocated in this tick. */
	GHashTable *allocated_pools;
	/** Replica number -> array of view_vm that serve it, in this tick. */
	GHashTable *serving_heads;
	/** Start times of the weight loads within LOAD_WINDOW_MS (int64_t). */
	GArray *load_starts;
	/** Set of names of the services known to the planner. */
	GHashTable *planned_services;
	GQueue decisions; /* of char *, newest last */
	/** Service, replica and reason of a wait -> when last logged. */
	GHashTable *wait_logged_ms;
	/** Pool name -> since when its VMs are too few for its targets. */
	GHashTable *short_since_ms;
	int64_t active_from_ms; /* 0 while not leading */
	int32_t pending_proposals;
	uint32_t next_replica;
	uint64_t next_epoch;
	bool cold_start; /* elected before any replica was ever assigned */
};

/* placer.c */
int64_t placer_now_ms(const struct placer *placer);
const struct state *placer_state(const struct placer *placer);
const struct order_format *placer_order_format(const struct placer *placer);

/** Returns the order state of a VM, creating it if needed. Never NULL. */
struct vm_orders *placer_orders(struct placer *placer, const char *name);

/** Returns whether a cold start is in progress: requests are yet to arrive. */
bool placer_in_cold_start(const struct placer *placer);

/** Returns whether a VM has the weights in memory or on its disk. */
bool placer_has_weights(const struct vm_report *r, const char *model,
			const char *version);

/**
 * Returns whether the rate limit of the weight store admits one more load now,
 * and counts the load if so.
 */
bool placer_admit_load(struct placer *placer);

/** Fills in the common fields of a placement command and proposes it. */
void placer_propose(struct placer *placer, struct command *command);

/* placer_watch.c: liveness from entries' traffic */

/**
 * Returns whether a VM is alive by its own announcements, or because the
 * replica that it belongs to returns answers.
 */
bool placer_is_alive(const struct placer *placer, const struct view_vm *vm);

/**
 * Starts connect probes to the VMs of replicas that have requests in flight but
 * return no data.
 */
void placer_probe_stalled(struct placer *placer);

/* placer_model.c: the planner's input */

/** Updates the planner's services, VMs and replicas from the log and view. */
void placer_sync_planner(struct placer *placer);

/* placer_share.c: replica counts of services that share a pool */

/** Returns how many replicas a service is to have in its pool. */
uint32_t placer_target_replicas(struct placer *placer,
				const struct service_state *service);

/** Makes the next placer_target_replicas() of each pool allocate it again. */
void placer_reset_targets(struct placer *placer);

/* reconcile.c: orders that bring VMs to the state in the log */

/** Returns whether no order is in flight and its `next_ms` has passed. */
bool placer_order_is_due(struct placer *placer, const struct vm_orders *o);

/** Sends an order to a VM, and fills in the VM's name and the term. */
void placer_send_order(struct placer *placer, const struct view_vm *to,
		       struct order_intent *intent);

/** Returns the VM if its own announcements show it alive, else NULL. */
const struct view_vm *placer_find_alive(const struct placer *placer,
					const char *name);

/** Sends the orders that are due to bring all VMs to the state in the log. */
void placer_reconcile(struct placer *placer);

#endif
