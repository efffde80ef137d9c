/**
 * @file
 * The placer's parts and what they share. All on the control task.
 */
#ifndef CONTROL_PLACER_INTERNAL_H
#define CONTROL_PLACER_INTERNAL_H

#include <radishdeal/placement.h>

#include "control/control_internal.h"
#include "control/orders.h"

/** What was ordered of a VM. */
struct vm_orders {
	struct placer *placer;
	char *name;
	bool in_flight;
	int64_t next_ms; /* earliest time of the next order */
	int32_t backoff_ms;
	enum order_kind kind;	 /* of the order in flight */
	uint64_t epoch;		 /* of the order in flight */
	uint64_t released_epoch; /* the VM confirmed to hold nothing of it */
	int64_t released_ms;	 /* when it did */
	uint64_t formed_epoch;	 /* it accepted to take part under it */
	int64_t releasing_since_ms;
	bool probing;		      /* a connection is being opened */
	int64_t probed_ms;	      /* when it last was */
	int64_t preload_until_ms;     /* 0 unless told to load ahead */
	uint64_t preload_incarnation; /* of the VM then */
	uint64_t warm_incarnation; /* of the VM when it was told to be warm */
	char warm_model[64];
	char preload_model[64];
	char preload_version[64];
};

struct placer {
	struct control *control;
	struct placement *placement;
	GHashTable *orders;	    /* VM's name -> struct vm_orders */
	GHashTable *planned_epochs; /* replica's number -> epoch + 1 */
	GHashTable
		*ready_epochs; /* replica's number -> epoch it was whole at */
	GHashTable *
		target_replicas; /* service's name -> replicas, if shared out */
	GHashTable *allocated_pools; /* names of pools divided in this tick */
	GHashTable
		*serving_heads; /* replica's number -> its heads, of a tick */
	GArray *load_starts;	/* int64_t: starts of loads in the window */
	GHashTable
		*planned_services; /* name -> itself, as put into the planner */
	GQueue decisions;	   /* of char *, newest last */
	GHashTable
		*wait_logged_ms; /* who waits and why -> int64_t: last logged */
	GHashTable
		*short_since_ms; /* pool's name -> int64_t: too small since */
	int64_t active_from_ms;	 /* 0 while not leading */
	int32_t pending_proposals;
	uint32_t next_replica;
	uint64_t next_epoch;
	bool cold_start;
};

/* placer.c */
int64_t placer_now_ms(const struct placer *placer);
const struct state *placer_state(const struct placer *placer);
const struct order_format *placer_order_format(const struct placer *placer);

/** What was ordered of a VM; made if there is nothing yet. */
struct vm_orders *placer_orders(struct placer *placer, const char *name);

/** Whether the whole system starts, and no requests are likely yet. */
bool placer_in_cold_start(const struct placer *placer);

/** Whether a VM has weights at hand, in memory or on its disk. */
bool placer_has_weights(const struct vm_report *r, const char *model,
			const char *version);

/** Whether one more load of weights may start now; counts it if so. */
bool placer_admit_load(struct placer *placer);

/** Proposes a command of its own to the log. */
void placer_propose(struct placer *placer, struct command *command);

/* placer_watch.c: what entries' traffic says of replicas */

/** Whether a VM is alive by its own word, or by its replica's answers. */
bool placer_is_alive(const struct placer *placer, const struct view_vm *vm);

/** Looks into replicas from which no answers come. */
void placer_probe_stalled(struct placer *placer);

/* placer_model.c: what the planner knows */
void placer_sync_planner(struct placer *placer);

/* placer_share.c: how many replicas a service has of its pool */
uint32_t placer_target_replicas(struct placer *placer,
				const struct service_state *service);

/** Has pools divided anew, by the VMs there are now. */
void placer_reset_targets(struct placer *placer);

/* reconcile.c: bringing VMs to what the log says */
bool placer_order_is_due(struct placer *placer, const struct vm_orders *o);
void placer_send_order(struct placer *placer, const struct view_vm *to,
		       struct order_intent *intent);

/** The VM if it is alive by fresh evidence, or NULL. */
const struct view_vm *placer_find_alive(const struct placer *placer,
					const char *name);

/** Sends the orders that are due to bring all VMs to what the log says. */
void placer_reconcile(struct placer *placer);

#endif
